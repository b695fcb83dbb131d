"""The limited retention of the log: when to append and when to load a tree."""

from collections.abc import Iterator

from bronzepost._internal.core.record_ids import format_record_id

from .acceptance import list_entries, load_tree
from .dissemination import list_readers
from .entities import ConfigurationTables
from .events import AppendRecords, LogRead
from .messages import TreeAtOffset
from .records import ConfigurationSnapshot


def next_record_id(tables: ConfigurationTables) -> str:
    """Return an id that no record of this node has."""
    tables.record_count += 1
    return format_record_id(
        f'{tables.own_name} configuration', tables.boot, tables.record_count
    )


def build_snapshot(tables: ConfigurationTables) -> ConfigurationSnapshot:
    """Return the whole tree as a record."""
    return ConfigurationSnapshot(
        record_id=next_record_id(tables),
        node=tables.own_name,
        next_offset=tables.next_offset,
        entries=list_entries(tables),
    )


def append_snapshot_when_due(
    tables: ConfigurationTables, at: float
) -> Iterator[AppendRecords]:
    """Append a snapshot before the log loses what a new node needs.

    Readers wait in turn, so that usually the first one's snapshot comes back
    before another appends one.
    """
    if tables.snapshot_seen_at is None:
        tables.snapshot_seen_at = at
    readers = list_readers(tables)
    is_reader = tables.own_name in readers
    if not is_reader or not tables.is_ready or not _is_due(tables, at):
        tables.snapshot_due_at = None
        return
    settings = tables.settings
    if tables.snapshot_due_at is None:
        turn = readers.index(tables.own_name)
        stagger = settings.snapshot_stagger_seconds
        tables.snapshot_due_at = at + turn * stagger
    if at >= tables.snapshot_due_at:
        tables.snapshot_due_at = at + settings.snapshot_retry_seconds
        yield AppendRecords(records=(build_snapshot(tables),))


def is_behind_retention(tables: ConfigurationTables, event: LogRead) -> bool:
    """Return whether the log has lost the record that the node needs next."""
    return event.first_offset > tables.next_offset


def scan_snapshots(tables: ConfigurationTables, event: LogRead) -> None:
    """Look for a snapshot on the log that the node can go on from.

    It can if the records that follow the snapshot's tree are still there.
    Otherwise ``scan_offset`` is moved on to the records not looked at yet.
    """
    scan_offset = max(tables.scan_offset or 0, event.first_offset)
    for item in event.records:
        if item.offset < scan_offset:
            continue
        scan_offset = item.offset + 1
        record = item.record
        if not isinstance(record, ConfigurationSnapshot):
            continue
        if record.next_offset >= event.first_offset:
            _load_snapshot(tables, record)
            return
    tables.scan_offset = scan_offset


def _load_snapshot(
    tables: ConfigurationTables, record: ConfigurationSnapshot
) -> None:
    tree = TreeAtOffset(
        next_offset=record.next_offset,
        snapshot_next_offset=record.next_offset,
        entries=record.entries,
    )
    load_tree(tables, tree)


def _is_due(tables: ConfigurationTables, at: float) -> bool:
    if not tables.next_offset:
        return False
    settings = tables.settings
    snapshot = tables.snapshot_next_offset
    first = tables.first_offset
    since = tables.snapshot_seen_at or at
    if at >= since + settings.snapshot_seconds:
        return True
    # What the log retains is only known once it has dropped something.
    half = first + (tables.next_offset - first) // 2
    return tables.next_offset - snapshot >= settings.snapshot_records or (
        first > 0 and snapshot < half
    )
