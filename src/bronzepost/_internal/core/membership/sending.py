"""Build outgoing messages."""

from .entities import (
    MemberEntry,
    MembershipTables,
    MemberState,
    entry_from_member,
)
from .events import Send
from .messages import Ack, Origin, Ping, PingRequest
from .updates import digest_members, select_updates


def next_sequence(tables: MembershipTables) -> int:
    """Return the next sequence number of this boot."""
    tables.sequence += 1
    return tables.sequence


def build_ping(
    tables: MembershipTables,
    peer_address: str,
    *,
    sequence: int,
    recipient: str = '',
    is_repeated: bool = False,
    origin: Origin | None = None,
) -> Send:
    """Return a probe of a member."""
    ping = Ping(
        sender=entry_from_member(tables.own_member()),
        sequence=sequence,
        configuration_offset=tables.own_member().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables, recipient=recipient),
        is_repeated=is_repeated,
        origin=origin,
    )
    return Send(peer_address=peer_address, message=ping)


def build_joining_ping(tables: MembershipTables, peer_address: str) -> Send:
    """Return a ping that requests all members."""
    ping = Ping(
        sender=entry_from_member(tables.own_member()),
        sequence=next_sequence(tables),
        configuration_offset=tables.own_member().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables),
        is_joining=True,
    )
    return Send(peer_address=peer_address, message=ping)


def build_ack(tables: MembershipTables, ping: Ping) -> Send:
    """Return the answer to a ping."""
    if ping.is_joining:
        updates = _list_entries(tables)
    else:
        updates = select_updates(tables, recipient=ping.sender.name)
    ack = Ack(
        sender=entry_from_member(tables.own_member()),
        sequence=ping.sequence,
        configuration_offset=tables.own_member().configuration_offset,
        digest=digest_members(tables),
        updates=updates,
        is_full=ping.is_joining,
        origin=ping.origin,
    )
    return Send(peer_address=ping.sender.peer_address, message=ack)


def build_update_message(tables: MembershipTables, recipient: str) -> Send:
    """Return a message that only spreads updates."""
    ack = Ack(
        sender=entry_from_member(tables.own_member()),
        sequence=0,
        configuration_offset=tables.own_member().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables, recipient=recipient),
    )
    address = tables.members_by_name[recipient].peer_address
    return Send(peer_address=address, message=ack)


def build_ping_request(
    tables: MembershipTables, helper: str, *, target: str, sequence: int
) -> Send:
    """Return a request to member ``helper`` to probe member ``target``."""
    request = PingRequest(
        sender=entry_from_member(tables.own_member()),
        sequence=sequence,
        configuration_offset=tables.own_member().configuration_offset,
        digest=digest_members(tables),
        updates=select_updates(tables, recipient=helper),
        target_address=tables.members_by_name[target].peer_address,
    )
    address = tables.members_by_name[helper].peer_address
    return Send(peer_address=address, message=request)


def choose_peers(
    tables: MembershipTables, count: int, *, excluded: str = ''
) -> list[str]:
    """Return the names of up to ``count`` random members that are not dead."""
    skipped = {tables.own_name, excluded}
    names = [
        name
        for name, member in sorted(tables.members_by_name.items())
        if member.state is not MemberState.DEAD and name not in skipped
    ]
    return tables.random.sample(names, min(count, len(names)))


def _list_entries(tables: MembershipTables) -> tuple[MemberEntry, ...]:
    return tuple(
        entry_from_member(member) for member in tables.members_by_name.values()
    )
