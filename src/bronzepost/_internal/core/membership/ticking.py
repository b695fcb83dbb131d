"""What the membership does as time passes: probe, suspect, join, spread."""

import dataclasses
from collections.abc import Iterator

from .entities import Member, MembershipTables, MemberState, Probe, Suspicion
from .events import MembershipAction, ReconnectPeer, Send
from .sending import (
    choose_others,
    next_sequence,
    send_joining_ping,
    send_ping,
    send_ping_request,
    send_updates,
)
from .updates import forget_member, has_news, mark_member, shorten_suspicion


def pass_time(
    tables: MembershipTables, at: float
) -> tuple[MembershipAction, ...]:
    """Do everything that is due at ``at``."""
    _forgive_pause(tables, at)
    return (
        *_check_probe(tables, at),
        *_check_suspicions(tables, at),
        *_start_probe(tables, at),
        *_seek_members(tables, at),
        *_push_news(tables, at),
    )


def _forgive_pause(tables: MembershipTables, at: float) -> None:
    # A process that was paused has received no acks meanwhile, so the time
    # that it missed says nothing about the other members.
    last_at = at if tables.last_tick_at is None else tables.last_tick_at
    tables.last_tick_at = at
    gap = at - last_at
    if gap <= tables.settings.probe_seconds:
        return
    tables.probe = None
    for name, suspicion in tables.suspicions_by_name.items():
        tables.suspicions_by_name[name] = dataclasses.replace(
            suspicion, dead_at=suspicion.dead_at + gap
        )


def _check_probe(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    probe = tables.probe
    if probe is None or probe.is_indirect:
        return
    if at < probe.started_at + tables.settings.ack_seconds:
        return
    member = tables.members_by_name.get(probe.name)
    if member is None:
        tables.probe = None
        return
    tables.probe = dataclasses.replace(probe, is_indirect=True)
    yield from _probe_again(tables, member, probe.sequence)


def _probe_again(
    tables: MembershipTables, member: Member, sequence: int
) -> Iterator[MembershipAction]:
    yield ReconnectPeer(peer_address=member.peer_address)
    yield send_ping(
        tables,
        member.peer_address,
        sequence=sequence,
        name=member.name,
        is_repeated=True,
    )
    helpers = choose_others(
        tables, tables.settings.helpers, excluded=member.name
    )
    for helper in helpers:
        yield send_ping_request(
            tables, helper, target=member.name, sequence=sequence
        )


def _check_suspicions(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    for name, suspicion in sorted(tables.suspicions_by_name.items()):
        if at >= suspicion.dead_at:
            tables.suspicions_by_name.pop(name)
            change = mark_member(tables, name, MemberState.DEAD, at)
            if change:
                yield change
        elif at >= suspicion.ping_at:
            yield _ping_suspect(tables, name, suspicion, at)


def _ping_suspect(
    tables: MembershipTables, name: str, suspicion: Suspicion, at: float
) -> Send:
    # The suspect is told directly, so that its refutation does not have to
    # wait for the suspicion to reach it through others.
    tables.suspicions_by_name[name] = dataclasses.replace(
        suspicion, ping_at=at + tables.settings.ack_seconds
    )
    return send_ping(
        tables,
        tables.members_by_name[name].peer_address,
        sequence=next_sequence(tables),
        name=name,
        is_repeated=True,
    )


def _start_probe(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    if at < tables.next_probe_at:
        return
    tables.next_probe_at = at + tables.settings.probe_seconds
    yield from _end_probe(tables, at)
    yield from _forget_dead(tables, at)
    name = _next_target(tables)
    if not name:
        return
    sequence = next_sequence(tables)
    tables.probe = Probe(name=name, sequence=sequence, started_at=at)
    address = tables.members_by_name[name].peer_address
    yield send_ping(tables, address, sequence=sequence, name=name)


def _end_probe(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    probe = tables.probe
    tables.probe = None
    if probe is None or not probe.is_indirect:
        return
    member = tables.members_by_name.get(probe.name)
    if member is None or member.state is MemberState.DEAD:
        return
    change = mark_member(tables, probe.name, MemberState.SUSPECTED, at)
    shorten_suspicion(tables, probe.name, at)
    if change:
        yield change


def _forget_dead(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    expired_at = at - tables.settings.dead_retention_seconds
    for member in tuple(tables.members_by_name.values()):
        is_dead = member.state is MemberState.DEAD
        if is_dead and member.changed_at < expired_at:
            yield forget_member(tables, member.name)


def _next_target(tables: MembershipTables) -> str:
    # A shuffled round visits every member once, which bounds the time until
    # a failure is noticed.
    if not tables.probe_order:
        tables.probe_order = choose_others(tables, len(tables.members_by_name))
    while tables.probe_order:
        name = tables.probe_order.pop()
        member = tables.members_by_name.get(name)
        if member and member.state is not MemberState.DEAD:
            return name
    return ''


def _seek_members(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    if at < tables.next_join_at:
        return
    settings = tables.settings
    interval = settings.probe_seconds
    if tables.has_joined:
        interval = settings.rejoin_seconds
    tables.next_join_at = at + interval
    missing = _missing_addresses(tables) if tables.has_joined else tables.seeds
    if missing:
        address = tables.random.choice(missing)
        # A connection from before a network partition may never recover.
        yield ReconnectPeer(peer_address=address)
        yield _seek_member(tables, address)


def _seek_member(tables: MembershipTables, address: str) -> Send:
    members = tables.members_by_name.values()
    names = [
        member.name for member in members if member.peer_address == address
    ]
    if not names or not tables.has_joined:
        return send_joining_ping(tables, address)
    # A dead member that is told so refutes; all entries are not needed.
    return send_ping(
        tables, address, sequence=next_sequence(tables), name=names[0]
    )


def _missing_addresses(tables: MembershipTables) -> list[str]:
    members = tables.members_by_name.values()
    present = {
        member.peer_address
        for member in members
        if member.state is not MemberState.DEAD
    }
    known = {member.peer_address for member in members}
    return sorted((known | set(tables.seeds)) - present)


def _push_news(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    # Probes alone take seconds to spread a change to 410 members, which is
    # too slow for the takeover of programs within 3 s.
    if at < tables.next_push_at:
        return
    if not has_news(tables):
        return
    tables.next_push_at = at + tables.settings.push_seconds
    for name in choose_others(tables, tables.settings.push_fan_out):
        yield send_updates(tables, name)
