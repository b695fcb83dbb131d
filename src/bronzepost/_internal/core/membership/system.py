"""The membership system: events in, actions out."""

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
from .sending import send_ack, send_joining_ping, send_ping
from .ticking import pass_time
from .updates import digest_members, has_news, leave_group, merge_entries

_Actions = tuple[MembershipAction, ...]


def apply_event(
    tables: MembershipTables, event: MembershipEvent
) -> tuple[MembershipAction, ...]:
    """Apply an event to the tables and return what has to be done."""
    return _apply(event, tables)


def leave(tables: MembershipTables, at: float) -> tuple[MembershipAction, ...]:
    """Mark the node as leaving; the next ticks spread it."""
    return apply_event(tables, LeaveRequested(at=at))


@functools.singledispatch
def _apply(event: object, tables: MembershipTables) -> _Actions:
    raise TypeError(f'membership has no event {type(event).__name__}')


@_apply.register
def _(event: Tick, tables: MembershipTables) -> _Actions:
    return pass_time(tables, event.at)


@_apply.register
def _(event: LeaveRequested, tables: MembershipTables) -> _Actions:
    change = leave_group(tables, event.at)
    return (change,) if change else ()


@_apply.register
def _(event: OffsetAdvanced, tables: MembershipTables) -> _Actions:
    offset = max(event.offset, tables.own().configuration_offset)
    _note_offset(tables, tables.own_name, offset)
    return ()


@_apply.register
def _(event: MessageReceived, tables: MembershipTables) -> _Actions:
    message = event.message
    if message.sender.name == tables.own_name:
        # A seed address may lead back to the node itself.
        return ()
    entries = (message.sender, *message.updates)
    changes = merge_entries(tables, entries, event.at)
    _note_offset(tables, message.sender.name, message.configuration_offset)
    return (
        *changes,
        *_compare_offset(tables, message),
        *_compare_members(tables, message, event.at),
        *_receive(message, tables),
    )


@functools.singledispatch
def _receive(message: object, tables: MembershipTables) -> _Actions:
    raise TypeError(f'membership has no message {type(message).__name__}')


@_receive.register
def _(message: Ping, tables: MembershipTables) -> _Actions:
    ack = send_ack(tables, message)
    if message.is_repeated:
        return ReconnectPeer(peer_address=ack.peer_address), ack
    return (ack,)


@_receive.register
def _(message: Ack, tables: MembershipTables) -> _Actions:
    if message.origin and message.origin.peer_address != _own_address(tables):
        return (_pass_on(message, message.origin),)
    probe = tables.probe
    tables.has_joined = tables.has_joined or message.is_full
    _clear_silent_leaver(tables, message.sender.name)
    sequence = message.origin.sequence if message.origin else message.sequence
    answered = (message.sender.name, sequence)
    if probe and answered == (probe.name, probe.sequence):
        tables.probe = None
    return ()


@_receive.register
def _(message: PingRequest, tables: MembershipTables) -> _Actions:
    origin = Origin(
        peer_address=message.sender.peer_address, sequence=message.sequence
    )
    return (
        send_ping(
            tables,
            message.target_address,
            sequence=message.sequence,
            origin=origin,
        ),
    )


def _clear_silent_leaver(tables: MembershipTables, name: str) -> None:
    # A leaving member is not marked as suspected, so it has nothing to refute
    # and its ack ends the suspicion.
    member = tables.members_by_name.get(name)
    if member and member.state is MemberState.LEAVING:
        tables.suspicions_by_name.pop(name, None)


def _pass_on(ack: Ack, origin: Origin) -> Send:
    return Send(peer_address=origin.peer_address, message=ack)


def _own_address(tables: MembershipTables) -> str:
    return tables.own().peer_address


def _compare_members(
    tables: MembershipTables, message: MembershipMessage, at: float
) -> Iterator[Send]:
    is_equal = message.digest in {0, digest_members(tables)}
    tables.mismatches = 0 if is_equal else tables.mismatches + 1
    if tables.mismatches < tables.settings.sync_mismatches:
        return
    if at >= tables.next_sync_at and not has_news(tables):
        tables.mismatches = 0
        tables.next_sync_at = at + tables.settings.sync_seconds
        yield send_joining_ping(tables, message.sender.peer_address)


def _note_offset(tables: MembershipTables, name: str, offset: int) -> None:
    member = tables.members_by_name.get(name)
    if member and offset != member.configuration_offset:
        tables.members_by_name[name] = dataclasses.replace(
            member, configuration_offset=offset
        )


def _compare_offset(
    tables: MembershipTables, message: MembershipMessage
) -> Iterator[PeerOffsetSeen]:
    if message.configuration_offset <= tables.own().configuration_offset:
        return
    yield PeerOffsetSeen(
        name=message.sender.name,
        peer_address=message.sender.peer_address,
        offset=message.configuration_offset,
    )
