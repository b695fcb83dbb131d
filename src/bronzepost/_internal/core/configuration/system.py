"""Event handlers of the configuration."""

import functools
from collections.abc import Iterable, Iterator
from http import HTTPStatus

from bronzepost._internal.exceptions import RefusedError

from .acceptance import add_pending_change, apply_record, load_tree
from .dissemination import (
    answer_request,
    build_request,
    list_readers,
    push_to_children,
)
from .entities import ChangeResult, ConfigurationTables
from .events import (
    AppendRecords,
    ChangeProposed,
    ConfigurationAction,
    ConfigurationEvent,
    LogRead,
    MembersChanged,
    MessageReceived,
    OffsetReached,
    PeerAhead,
    ReadLog,
    RecordAppended,
    Send,
    Tick,
)
from .messages import (
    ConfigurationRecords,
    ConfigurationRequest,
    RecordAtOffset,
)
from .paths import parse_path
from .records import ConfigurationChange, ConfigurationRecord
from .retention import (
    append_snapshot_when_due,
    build_snapshot,
    is_next_record_deleted,
    load_snapshot_from_log,
    next_record_id,
)
from .schema import check_value

_Actions = tuple[ConfigurationAction, ...]


def apply_event(
    tables: ConfigurationTables, event: ConfigurationEvent
) -> tuple[ConfigurationAction, ...]:
    """Apply an event to the tables and return the resulting actions.

    Raises ``RefusedError`` for a proposed change that is not allowed.
    """
    return _handle_event(event, tables)


@functools.singledispatch
def _handle_event(event: object, tables: ConfigurationTables) -> _Actions:
    raise TypeError(
        f'configuration: no handler for event {type(event).__name__}'
    )


@_handle_event.register
def _(event: Tick, tables: ConfigurationTables) -> _Actions:
    return (
        *_poll_log(tables, event.at),
        *_request_until_ready(tables, event.at),
        *append_snapshot_when_due(tables, event.at),
    )


@_handle_event.register
def _(event: MembersChanged, tables: ConfigurationTables) -> _Actions:
    tables.peers_by_name = {
        member.name: member
        for member in sorted(event.members, key=lambda member: member.name)
    }
    return ()


@_handle_event.register
def _(event: LogRead, tables: ConfigurationTables) -> _Actions:
    previous_offset = tables.next_offset
    was_ready = tables.is_ready
    tables.first_offset = max(tables.first_offset, event.first_offset)
    if is_next_record_deleted(tables, event):
        load_snapshot_from_log(tables, event)
    results = _apply_records(tables, event.records)
    if tables.next_offset >= event.next_offset:
        tables.is_ready = True
    return (
        *results,
        *_report_offset(tables, previous_offset, was_ready),
        # The records with which a node becomes ready are not pushed, since the
        # other nodes have them.
        *_push_new_records(
            tables, previous_offset, tables.own_name if was_ready else ''
        ),
        *_continue_read(tables, event),
    )


@_handle_event.register
def _(event: MessageReceived, tables: ConfigurationTables) -> _Actions:
    return _handle_message(event.message, tables, event.at)


@_handle_event.register
def _(event: PeerAhead, tables: ConfigurationTables) -> _Actions:
    is_ahead = event.offset > tables.next_offset
    if not is_ahead or event.at < tables.next_request_at:
        return ()
    tables.next_request_at = event.at + tables.settings.request_seconds
    return (build_request(tables, event.peer_address),)


@_handle_event.register
def _(event: RecordAppended, tables: ConfigurationTables) -> _Actions:
    return (ReadLog(from_offset=_next_read_offset(tables)),)


@_handle_event.register
def _(event: ChangeProposed, tables: ConfigurationTables) -> _Actions:
    path = parse_path(event.path)
    check_value(path.name, event.value)
    _check_ready(tables)
    _check_base(tables, event)
    change = ConfigurationChange(
        record_id=next_record_id(tables),
        node=tables.own_name,
        path=str(path),
        value=event.value,
        base_revision=event.base_revision,
        author=event.author,
    )
    add_pending_change(tables, change.record_id)
    records: tuple[ConfigurationRecord, ...] = (change,)
    if not tables.next_offset:
        # Offset 0 is not a revision, so the stream begins with an empty
        # snapshot.
        records = (build_snapshot(tables), change)
    return (AppendRecords(records=records, record_id=change.record_id),)


@functools.singledispatch
def _handle_message(
    message: object, tables: ConfigurationTables, at: float
) -> _Actions:
    raise TypeError(
        f'configuration: no handler for message {type(message).__name__}'
    )


@_handle_message.register
def _(
    message: ConfigurationRequest, tables: ConfigurationTables, at: float
) -> _Actions:
    # A node that is not ready could send an empty tree as the current one.
    is_answerable = message.from_offset <= tables.next_offset
    if not tables.is_ready or not is_answerable:
        return ()
    answer = answer_request(tables, message.from_offset)
    return (Send(peer_address=message.peer_address, message=answer),)


@_handle_message.register
def _(
    message: ConfigurationRecords, tables: ConfigurationTables, at: float
) -> _Actions:
    previous_offset = tables.next_offset
    was_ready = tables.is_ready
    if message.tree:
        load_tree(tables, message.tree)
    results = _apply_records(tables, message.records)
    if tables.next_offset >= message.next_offset:
        tables.is_ready = True
    return (
        *results,
        *_report_offset(tables, previous_offset, was_ready),
        *_push_new_records(tables, previous_offset, message.root),
        *_request_missing_records(tables, message, at),
    )


def _apply_records(
    tables: ConfigurationTables, records: Iterable[RecordAtOffset]
) -> tuple[ChangeResult, ...]:
    results: list[ChangeResult] = []
    for item in records:
        results.extend(apply_record(tables, item.offset, item.record))
    return tuple(results)


def _report_offset(
    tables: ConfigurationTables, previous_offset: int, was_ready: bool
) -> Iterator[OffsetReached]:
    if tables.next_offset > previous_offset or tables.is_ready is not was_ready:
        yield OffsetReached(next_offset=tables.next_offset)


def _push_new_records(
    tables: ConfigurationTables, previous_offset: int, root: str
) -> Iterator[Send]:
    # A node pushes only records that were new to it, so that each node pushes
    # them once even if several readers read them at the same time.
    if root and tables.is_ready and tables.next_offset > previous_offset:
        yield from push_to_children(tables, previous_offset, root)


def _request_missing_records(
    tables: ConfigurationTables, message: ConfigurationRecords, at: float
) -> Iterator[Send]:
    if tables.next_offset < message.next_offset and message.peer_address:
        tables.next_request_at = at + tables.settings.request_seconds
        yield build_request(tables, message.peer_address)


def _continue_read(
    tables: ConfigurationTables, event: LogRead
) -> Iterator[ReadLog]:
    offset = _next_read_offset(tables)
    if event.records and offset < event.next_offset:
        yield ReadLog(from_offset=offset)


def _next_read_offset(tables: ConfigurationTables) -> int:
    if tables.scan_offset is None:
        return tables.next_offset
    return max(tables.scan_offset, tables.next_offset)


def _poll_log(tables: ConfigurationTables, at: float) -> Iterator[ReadLog]:
    if at < tables.next_poll_at:
        return
    tables.next_poll_at = at + tables.settings.poll_seconds
    if not tables.is_ready or tables.own_name in list_readers(tables):
        yield ReadLog(from_offset=_next_read_offset(tables))


def _request_until_ready(
    tables: ConfigurationTables, at: float
) -> Iterator[Send]:
    if tables.is_ready or at < tables.next_request_at:
        return
    tables.next_request_at = at + tables.settings.request_seconds
    names = [name for name in tables.peers_by_name if name != tables.own_name]
    if names:
        # Each request goes to another peer, since some may not be ready either.
        index = int(at / tables.settings.request_seconds) % len(names)
        peer = tables.peers_by_name[names[index]]
        yield build_request(tables, peer.peer_address)


def _check_ready(tables: ConfigurationTables) -> None:
    if not tables.is_ready:
        raise RefusedError(
            'the node has no configuration yet: retry',
            code='not_ready',
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            step='propose change',
            retry_after_seconds=1,
        )


def _check_base(tables: ConfigurationTables, event: ChangeProposed) -> None:
    if 0 <= event.base_revision < max(tables.next_offset, 1):
        return
    raise RefusedError(
        f'no revision {event.base_revision}: the last is'
        f' {tables.next_offset - 1}; read the path again',
        code='unknown_revision',
        status=HTTPStatus.BAD_REQUEST,
        step='propose change',
        parameter='base_revision',
    )
