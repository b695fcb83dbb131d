"""Periodic work: probes, suspicion timeouts, joins and pushed updates."""

import dataclasses
from collections.abc import Iterator

from .entities import Member, MembershipTables, MemberState, Probe, Suspicion
from .events import MembershipAction, ReconnectPeer, Send
from .sending import (
    build_joining_ping,
    build_ping,
    build_ping_request,
    build_update_message,
    choose_peers,
    next_sequence,
)
from .updates import (
    confirm_suspicion,
    has_unpushed_updates,
    mark_member,
    remove_member,
)


def run_due_work(
    tables: MembershipTables, at: float
) -> tuple[MembershipAction, ...]:
    """Do all periodic work that is due at ``at``."""
    _discount_pause(tables, at)
    return (
        *_check_ack_timeout(tables, at),
        *_check_suspicions(tables, at),
        *_start_probe(tables, at),
        *_contact_missing_members(tables, at),
        *_push_updates(tables, at),
    )


def _discount_pause(tables: MembershipTables, at: float) -> None:
    # A paused process receives no acks, so its pause must not count against
    # other members: the probe is dropped and suspicions are extended.
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


def _check_ack_timeout(
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
    yield from _retry_probe(tables, member, probe.sequence)


def _retry_probe(
    tables: MembershipTables, member: Member, sequence: int
) -> Iterator[MembershipAction]:
    yield ReconnectPeer(peer_address=member.peer_address)
    yield build_ping(
        tables,
        member.peer_address,
        sequence=sequence,
        recipient=member.name,
        is_repeated=True,
    )
    helpers = choose_peers(
        tables, tables.settings.helpers, excluded=member.name
    )
    for helper in helpers:
        yield build_ping_request(
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
    # The ping carries the suspicion to the suspect directly, so that it can
    # refute without waiting for other nodes to spread the suspicion.
    tables.suspicions_by_name[name] = dataclasses.replace(
        suspicion, ping_at=at + tables.settings.ack_seconds
    )
    return build_ping(
        tables,
        tables.members_by_name[name].peer_address,
        sequence=next_sequence(tables),
        recipient=name,
        is_repeated=True,
    )


def _start_probe(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    if at < tables.next_probe_at:
        return
    tables.next_probe_at = at + tables.settings.probe_seconds
    yield from _finish_probe(tables, at)
    yield from _remove_expired_members(tables, at)
    name = _next_target(tables)
    if not name:
        return
    sequence = next_sequence(tables)
    tables.probe = Probe(name=name, sequence=sequence, started_at=at)
    address = tables.members_by_name[name].peer_address
    yield build_ping(tables, address, sequence=sequence, recipient=name)


def _finish_probe(
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
    confirm_suspicion(tables, probe.name, at)
    if change:
        yield change


def _remove_expired_members(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    expired_at = at - tables.settings.dead_retention_seconds
    for member in tuple(tables.members_by_name.values()):
        is_dead = member.state is MemberState.DEAD
        if is_dead and member.changed_at < expired_at:
            yield remove_member(tables, member.name)


def _next_target(tables: MembershipTables) -> str:
    # A shuffled round probes every member once, which bounds the time until
    # a failure is detected.
    if not tables.probe_order:
        tables.probe_order = choose_peers(tables, len(tables.members_by_name))
    while tables.probe_order:
        name = tables.probe_order.pop()
        member = tables.members_by_name.get(name)
        if member and member.state is not MemberState.DEAD:
            return name
    return ''


def _contact_missing_members(
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
        yield _build_contact_ping(tables, address)


def _build_contact_ping(tables: MembershipTables, address: str) -> Send:
    members = tables.members_by_name.values()
    names = [
        member.name for member in members if member.peer_address == address
    ]
    if not names or not tables.has_joined:
        return build_joining_ping(tables, address)
    # The ping includes the member's entry, so that a running member declared
    # dead can refute. It does not need all entries.
    return build_ping(
        tables, address, sequence=next_sequence(tables), recipient=names[0]
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


def _push_updates(
    tables: MembershipTables, at: float
) -> Iterator[MembershipAction]:
    # Probes alone need seconds to spread a change to 410 members, too slow for
    # a takeover of programs within 3 s.
    if at < tables.next_push_at:
        return
    if not has_unpushed_updates(tables):
        return
    tables.next_push_at = at + tables.settings.push_seconds
    for name in choose_peers(tables, tables.settings.push_fan_out):
        yield build_update_message(tables, name)
