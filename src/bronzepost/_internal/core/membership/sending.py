"""How messages to members are put together."""

from .entities import MemberEntry, MembershipTables, MemberState, entry_of
from .events import Send
from .messages import Ack, Origin, Ping, PingRequest
from .updates import digest_members, select_updates


def next_sequence(tables: MembershipTables) -> int:
    """Return a number that the node has not used in this boot."""
    tables.sequence += 1
    return tables.sequence


def send_ping(
    tables: MembershipTables,
    peer_address: str,
    *,
    sequence: int,
    name: str = '',
    is_repeated: bool = False,
    origin: Origin | None = None,
) -> Send:
    """Return a probe of a member."""
    ping = Ping(
        sender=entry_of(tables.own()),
        sequence=sequence,
        configuration_offset=tables.own().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables, about=name),
        is_repeated=is_repeated,
        origin=origin,
    )
    return Send(peer_address=peer_address, message=ping)


def send_joining_ping(tables: MembershipTables, peer_address: str) -> Send:
    """Return a ping that asks for all members."""
    ping = Ping(
        sender=entry_of(tables.own()),
        sequence=next_sequence(tables),
        configuration_offset=tables.own().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables),
        is_joining=True,
    )
    return Send(peer_address=peer_address, message=ping)


def send_ack(tables: MembershipTables, ping: Ping) -> Send:
    """Return the answer to a ping."""
    if ping.is_joining:
        updates = _all_entries(tables)
    else:
        updates = select_updates(tables, about=ping.sender.name)
    ack = Ack(
        sender=entry_of(tables.own()),
        sequence=ping.sequence,
        configuration_offset=tables.own().configuration_offset,
        digest=digest_members(tables),
        updates=updates,
        is_full=ping.is_joining,
        origin=ping.origin,
    )
    return Send(peer_address=ping.sender.peer_address, message=ack)


def send_updates(tables: MembershipTables, name: str) -> Send:
    """Return a message that only spreads updates."""
    ack = Ack(
        sender=entry_of(tables.own()),
        sequence=0,
        configuration_offset=tables.own().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables, about=name),
    )
    address = tables.members_by_name[name].peer_address
    return Send(peer_address=address, message=ack)


def send_ping_request(
    tables: MembershipTables, helper: str, *, target: str, sequence: int
) -> Send:
    """Return a request to ``helper`` to probe ``target``."""
    request = PingRequest(
        sender=entry_of(tables.own()),
        sequence=sequence,
        configuration_offset=tables.own().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables, about=helper),
        target_address=tables.members_by_name[target].peer_address,
    )
    address = tables.members_by_name[helper].peer_address
    return Send(peer_address=address, message=request)


def choose_others(
    tables: MembershipTables, count: int, *, excluded: str = ''
) -> list[str]:
    """Return up to ``count`` random members that are not dead."""
    skipped = {tables.own_name, excluded}
    names = [
        name
        for name, member in sorted(tables.members_by_name.items())
        if member.state is not MemberState.DEAD and name not in skipped
    ]
    return tables.random.sample(names, min(count, len(names)))


def _all_entries(tables: MembershipTables) -> tuple[MemberEntry, ...]:
    return tuple(entry_of(member) for member in tables.members_by_name.values())
