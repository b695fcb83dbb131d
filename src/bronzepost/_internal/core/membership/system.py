"""Event handlers of the membership protocol."""

import dataclasses
import functools
from collections.abc import Iterator

from .entities import MembershipTables, MemberState
from .events import (
    LeaveRequested,
    MembershipAction,
    MembershipEvent,
    MessageReceived,
    OffsetAdvanced,
    PeerOffsetSeen,
    ReconnectPeer,
    Send,
    Tick,
)
from .messages import Ack, MembershipMessage, Origin, Ping, PingRequest
from .sending import build_ack, build_joining_ping, build_ping
from .timers import run_due_work
from .updates import (
    digest_members,
    has_unpushed_updates,
    mark_self_leaving,
    merge_entries,
)

_Actions = tuple[MembershipAction, ...]


def apply_event(
    tables: MembershipTables, event: MembershipEvent
) -> tuple[MembershipAction, ...]:
    """Apply an event to the tables and return the resulting actions."""
    return _handle_event(event, tables)


def leave(tables: MembershipTables, at: float) -> tuple[MembershipAction, ...]:
    """Mark the node as leaving; the next ticks spread the update."""
    return apply_event(tables, LeaveRequested(at=at))


@functools.singledispatch
def _handle_event(event: object, tables: MembershipTables) -> _Actions:
    raise TypeError(f'membership: no handler for event {type(event).__name__}')


@_handle_event.register
def _(event: Tick, tables: MembershipTables) -> _Actions:
    return run_due_work(tables, event.at)


@_handle_event.register
def _(event: LeaveRequested, tables: MembershipTables) -> _Actions:
    change = mark_self_leaving(tables, event.at)
    return (change,) if change else ()


@_handle_event.register
def _(event: OffsetAdvanced, tables: MembershipTables) -> _Actions:
    offset = max(event.offset, tables.own_member().configuration_offset)
    _record_offset(tables, tables.own_name, offset)
    return ()


@_handle_event.register
def _(event: MessageReceived, tables: MembershipTables) -> _Actions:
    message = event.message
    if message.sender.name == tables.own_name:
        # A seed address may be the node's own address.
        return ()
    entries = (message.sender, *message.updates)
    changes = merge_entries(tables, entries, event.at)
    _record_offset(tables, message.sender.name, message.configuration_offset)
    return (
        *changes,
        *_report_newer_offset(tables, message),
        *_sync_on_mismatch(tables, message, event.at),
        *_handle_message(message, tables),
    )


@functools.singledispatch
def _handle_message(message: object, tables: MembershipTables) -> _Actions:
    raise TypeError(
        f'membership: no handler for message {type(message).__name__}'
    )


@_handle_message.register
def _(message: Ping, tables: MembershipTables) -> _Actions:
    ack = build_ack(tables, message)
    if message.is_repeated:
        return ReconnectPeer(peer_address=ack.peer_address), ack
    return (ack,)


@_handle_message.register
def _(message: Ack, tables: MembershipTables) -> _Actions:
    if message.origin and message.origin.peer_address != _own_address(tables):
        return (_relay_ack(message, message.origin),)
    probe = tables.probe
    tables.has_joined = tables.has_joined or message.is_full
    _clear_leaver_suspicion(tables, message.sender.name)
    sequence = message.origin.sequence if message.origin else message.sequence
    acknowledged = (message.sender.name, sequence)
    if probe and acknowledged == (probe.name, probe.sequence):
        tables.probe = None
    return ()


@_handle_message.register
def _(message: PingRequest, tables: MembershipTables) -> _Actions:
    origin = Origin(
        peer_address=message.sender.peer_address, sequence=message.sequence
    )
    return (
        build_ping(
            tables,
            message.target_address,
            sequence=message.sequence,
            origin=origin,
        ),
    )


def _clear_leaver_suspicion(tables: MembershipTables, name: str) -> None:
    # A leaving member stays in state leaving when it is suspected, so it has
    # nothing to refute; its ack ends the suspicion.
    member = tables.members_by_name.get(name)
    if member and member.state is MemberState.LEAVING:
        tables.suspicions_by_name.pop(name, None)


def _relay_ack(ack: Ack, origin: Origin) -> Send:
    return Send(peer_address=origin.peer_address, message=ack)


def _own_address(tables: MembershipTables) -> str:
    return tables.own_member().peer_address


def _sync_on_mismatch(
    tables: MembershipTables, message: MembershipMessage, at: float
) -> Iterator[Send]:
    is_equal = message.digest in {0, digest_members(tables)}
    tables.digest_mismatches = 0 if is_equal else tables.digest_mismatches + 1
    if tables.digest_mismatches < tables.settings.sync_mismatches:
        return
    if at >= tables.next_sync_at and not has_unpushed_updates(tables):
        tables.digest_mismatches = 0
        tables.next_sync_at = at + tables.settings.sync_seconds
        yield build_joining_ping(tables, message.sender.peer_address)


def _record_offset(tables: MembershipTables, name: str, offset: int) -> None:
    member = tables.members_by_name.get(name)
    if member and offset != member.configuration_offset:
        tables.members_by_name[name] = dataclasses.replace(
            member, configuration_offset=offset
        )


def _report_newer_offset(
    tables: MembershipTables, message: MembershipMessage
) -> Iterator[PeerOffsetSeen]:
    if message.configuration_offset <= tables.own_member().configuration_offset:
        return
    yield PeerOffsetSeen(
        name=message.sender.name,
        peer_address=message.sender.peer_address,
        offset=message.configuration_offset,
    )
