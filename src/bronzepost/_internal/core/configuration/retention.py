"""Snapshots, since the log deletes old records: when to append and load one."""

from collections.abc import Iterator

from bronzepost._internal.core.record_ids import format_record_id

from .acceptance import list_entries, load_tree
from .dissemination import list_readers
from .entities import ConfigurationTables
from .events import AppendRecords, LogRead
from .messages import TreeAtOffset
from .records import ConfigurationSnapshot


def next_record_id(tables: ConfigurationTables) -> str:
    """Return an id that no other record has."""
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
    """Append a snapshot before the log deletes records that new nodes need.

    Readers append at staggered times, so that the others usually read back the
    first reader's snapshot before they would append their own.
    """
    if tables.snapshot_seen_at is None:
        tables.snapshot_seen_at = at
    readers = list_readers(tables)
    is_reader = tables.own_name in readers
    if not is_reader or not tables.is_ready or not _is_snapshot_due(tables, at):
        tables.snapshot_due_at = None
        return
    settings = tables.settings
    if tables.snapshot_due_at is None:
        position = readers.index(tables.own_name)
        stagger = settings.snapshot_stagger_seconds
        tables.snapshot_due_at = at + position * stagger
    if at >= tables.snapshot_due_at:
        tables.snapshot_due_at = at + settings.snapshot_retry_seconds
        yield AppendRecords(records=(build_snapshot(tables),))


def is_next_record_deleted(tables: ConfigurationTables, event: LogRead) -> bool:
    """Return whether retention has deleted the next record to apply."""
    return event.first_offset > tables.next_offset


def load_snapshot_from_log(tables: ConfigurationTables, event: LogRead) -> None:
    """Load the first snapshot that is usable, if the read contains one.

    A snapshot is usable if the log still has all records after its tree. If
    there is none, ``scan_offset`` is set to the next offset to search.
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


def _is_snapshot_due(tables: ConfigurationTables, at: float) -> bool:
    if not tables.next_offset:
        return False
    settings = tables.settings
    snapshot_offset = tables.snapshot_next_offset
    first_offset = tables.first_offset
    seen_at = tables.snapshot_seen_at or at
    if at >= seen_at + settings.snapshot_seconds:
        return True
    # How much the log retains is only known once it has deleted something.
    middle = first_offset + (tables.next_offset - first_offset) // 2
    return (
        tables.next_offset - snapshot_offset >= settings.snapshot_records
        or (first_offset > 0 and snapshot_offset < middle)
    )
