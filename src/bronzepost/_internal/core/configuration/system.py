"""The configuration system: events in, actions out."""

import functools
from collections.abc import Iterable, Iterator
from http import HTTPStatus

from bronzepost._internal.exceptions import RefusedError

from .acceptance import apply_record, load_tree, note_proposal
from .dissemination import (
    answer_request,
    list_readers,
    push_records,
    send_request,
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
    is_behind_retention,
    next_record_id,
    scan_snapshots,
)
from .schema import check_value

_Actions = tuple[ConfigurationAction, ...]


def apply_event(
    tables: ConfigurationTables, event: ConfigurationEvent
) -> tuple[ConfigurationAction, ...]:
    """Apply an event to the tables and return what has to be done.

    Raises ``RefusedError`` for a proposed change that is not allowed.
    """
    return _apply(event, tables)


@functools.singledispatch
def _apply(event: object, tables: ConfigurationTables) -> _Actions:
    raise TypeError(f'configuration has no event {type(event).__name__}')


@_apply.register
def _(event: Tick, tables: ConfigurationTables) -> _Actions:
    return (
        *_poll_log(tables, event.at),
        *_ask_while_not_ready(tables, event.at),
        *append_snapshot_when_due(tables, event.at),
    )


@_apply.register
def _(event: MembersChanged, tables: ConfigurationTables) -> _Actions:
    tables.peers_by_name = {
        member.name: member
        for member in sorted(event.members, key=lambda member: member.name)
    }
    return ()


@_apply.register
def _(event: LogRead, tables: ConfigurationTables) -> _Actions:
    before = tables.next_offset
    was_ready = tables.is_ready
    tables.first_offset = max(tables.first_offset, event.first_offset)
    if is_behind_retention(tables, event):
        scan_snapshots(tables, event)
    results = _apply_records(tables, event.records)
    if tables.next_offset >= event.next_offset:
        tables.is_ready = True
    return (
        *results,
        *_report_offset(tables, before, was_ready),
        # What a starting node catches up with is not news to the others.
        *_push_news(tables, before, tables.own_name if was_ready else ''),
        *_read_on(tables, event),
    )


@_apply.register
def _(event: MessageReceived, tables: ConfigurationTables) -> _Actions:
    return _receive(event.message, tables, event.at)


@_apply.register
def _(event: PeerAhead, tables: ConfigurationTables) -> _Actions:
    is_ahead = event.offset > tables.next_offset
    if not is_ahead or event.at < tables.next_request_at:
        return ()
    tables.next_request_at = event.at + tables.settings.request_seconds
    return (send_request(tables, event.peer_address),)


@_apply.register
def _(event: RecordAppended, tables: ConfigurationTables) -> _Actions:
    return (ReadLog(from_offset=_read_offset(tables)),)


@_apply.register
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
    note_proposal(tables, change.record_id)
    records: tuple[ConfigurationRecord, ...] = (change,)
    if not tables.next_offset:
        # Offset 0 is no revision, so the stream starts with an empty tree.
        records = (build_snapshot(tables), change)
    return (AppendRecords(records=records, record_id=change.record_id),)


@functools.singledispatch
def _receive(
    message: object, tables: ConfigurationTables, at: float
) -> _Actions:
    raise TypeError(f'configuration has no message {type(message).__name__}')


@_receive.register
def _(
    message: ConfigurationRequest, tables: ConfigurationTables, at: float
) -> _Actions:
    # A node that is not ready could pass on an empty tree as the current one.
    is_useful = message.from_offset <= tables.next_offset
    if not tables.is_ready or not is_useful:
        return ()
    answer = answer_request(tables, message.from_offset)
    return (Send(peer_address=message.peer_address, message=answer),)


@_receive.register
def _(
    message: ConfigurationRecords, tables: ConfigurationTables, at: float
) -> _Actions:
    before = tables.next_offset
    was_ready = tables.is_ready
    if message.tree:
        load_tree(tables, message.tree)
    results = _apply_records(tables, message.records)
    if tables.next_offset >= message.next_offset:
        tables.is_ready = True
    return (
        *results,
        *_report_offset(tables, before, was_ready),
        *_push_news(tables, before, message.root),
        *_ask_for_rest(tables, message, at),
    )


def _apply_records(
    tables: ConfigurationTables, records: Iterable[RecordAtOffset]
) -> tuple[ChangeResult, ...]:
    results: list[ChangeResult] = []
    for item in records:
        results.extend(apply_record(tables, item.offset, item.record))
    return tuple(results)


def _report_offset(
    tables: ConfigurationTables, before: int, was_ready: bool
) -> Iterator[OffsetReached]:
    if tables.next_offset > before or tables.is_ready is not was_ready:
        yield OffsetReached(next_offset=tables.next_offset)


def _push_news(
    tables: ConfigurationTables, before: int, root: str
) -> Iterator[Send]:
    # Only a node to which records are new passes them on, so records that
    # several readers push at the same time go through each node once.
    if root and tables.is_ready and tables.next_offset > before:
        yield from push_records(tables, before, root)


def _ask_for_rest(
    tables: ConfigurationTables, message: ConfigurationRecords, at: float
) -> Iterator[Send]:
    if tables.next_offset < message.next_offset and message.peer_address:
        tables.next_request_at = at + tables.settings.request_seconds
        yield send_request(tables, message.peer_address)


def _read_on(tables: ConfigurationTables, event: LogRead) -> Iterator[ReadLog]:
    offset = _read_offset(tables)
    if event.records and offset < event.next_offset:
        yield ReadLog(from_offset=offset)


def _read_offset(tables: ConfigurationTables) -> int:
    if tables.scan_offset is None:
        return tables.next_offset
    return max(tables.scan_offset, tables.next_offset)


def _poll_log(tables: ConfigurationTables, at: float) -> Iterator[ReadLog]:
    if at < tables.next_poll_at:
        return
    tables.next_poll_at = at + tables.settings.poll_seconds
    if not tables.is_ready or tables.own_name in list_readers(tables):
        yield ReadLog(from_offset=_read_offset(tables))


def _ask_while_not_ready(
    tables: ConfigurationTables, at: float
) -> Iterator[Send]:
    if tables.is_ready or at < tables.next_request_at:
        return
    tables.next_request_at = at + tables.settings.request_seconds
    names = [name for name in tables.peers_by_name if name != tables.own_name]
    if names:
        # The turn goes round, since some peers may not be ready either.
        turn = int(at / tables.settings.request_seconds) % len(names)
        peer = tables.peers_by_name[names[turn]]
        yield send_request(tables, peer.peer_address)


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
