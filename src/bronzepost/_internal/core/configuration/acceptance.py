"""Acceptance of changes: all nodes apply the same rule in log order.

A change is accepted if its base revision is still the path's revision. The
rule depends only on the tree, so nodes that started from a snapshot decide
like nodes that have applied every record. A second copy of an accepted record
is not accepted again, since the first copy has changed the path's revision.
"""

import functools

from .entities import (
    UNKNOWN_REVISION,
    ChangeAccepted,
    ChangeRejected,
    ChangeResult,
    ConfigurationEntry,
    ConfigurationTables,
)
from .messages import TreeAtOffset
from .records import (
    AnyRecord,
    ConfigurationChange,
    ConfigurationSnapshot,
    SnapshotEntry,
    UnreadableRecord,
)

_ChangeResults = tuple[ChangeResult, ...]


def apply_record(
    tables: ConfigurationTables, offset: int, record: AnyRecord
) -> _ChangeResults:
    """Apply the record at ``offset`` if it is the next one.

    A record that was applied before, or that follows a gap, is ignored.
    Returns the result of a change, once for each record id.
    """
    if offset != tables.next_offset:
        return ()
    results = _handle_record(record, tables, offset)
    tables.next_offset = offset + 1
    _cache_record(tables, offset, record)
    return results


def load_tree(tables: ConfigurationTables, tree: TreeAtOffset) -> bool:
    """Replace the tree by that of a snapshot; return whether it was loaded.

    A snapshot that is not ahead of the node, or that would revert an accepted
    change, is not loaded.
    """
    is_ahead = tree.next_offset > tables.next_offset
    if not is_ahead or _would_revert(tables, tree.entries):
        return False
    for entry in tree.entries:
        _load_entry(tables, entry)
    tables.next_offset = tree.next_offset
    tables.snapshot_next_offset = max(
        tables.snapshot_next_offset, tree.snapshot_next_offset
    )
    tables.scan_offset = None
    tables.recent_by_offset.clear()
    for record_id in tables.is_uncertain_by_record_id:
        tables.is_uncertain_by_record_id[record_id] = True
    return True


def list_entries(tables: ConfigurationTables) -> tuple[SnapshotEntry, ...]:
    """Return the whole tree as snapshot entries, sorted by path."""
    return tuple(
        SnapshotEntry(
            path=entry.path,
            value=entry.value,
            revision=entry.revision,
            author=entry.author,
            record_id=entry.record_id,
        )
        for _, entry in sorted(tables.entries_by_path.items())
    )


def find_result(
    tables: ConfigurationTables, record_id: str
) -> ChangeResult | None:
    """Return the result of a change, or ``None`` if it is not known.

    It stays unknown if the node skipped the record by loading a tree and the
    path has been changed again since.
    """
    result = tables.results_by_record_id.get(record_id)
    if result is not None:
        return result
    entries = tables.entries_by_path.values()
    matches = (entry for entry in entries if entry.record_id == record_id)
    entry = next(matches, None)
    return _accepted(entry) if entry else None


def add_pending_change(tables: ConfigurationTables, record_id: str) -> None:
    """Add a change proposed by this node, whose result is not known yet."""
    pending = tables.is_uncertain_by_record_id
    pending[record_id] = False
    if len(pending) > tables.settings.results:
        pending.pop(next(iter(pending)))


@functools.singledispatch
def _handle_record(
    record: object, tables: ConfigurationTables, offset: int
) -> _ChangeResults:
    raise TypeError(
        f'configuration: no handler for record {type(record).__name__}'
    )


@_handle_record.register
def _(
    record: UnreadableRecord, tables: ConfigurationTables, offset: int
) -> _ChangeResults:
    return ()


@_handle_record.register
def _(
    record: ConfigurationSnapshot, tables: ConfigurationTables, offset: int
) -> _ChangeResults:
    # The node has applied all records before this one, so its tree already has
    # the entries.
    tables.snapshot_next_offset = max(
        tables.snapshot_next_offset, record.next_offset
    )
    tables.snapshot_seen_at = None
    tables.snapshot_due_at = None
    return ()


@_handle_record.register
def _(
    record: ConfigurationChange, tables: ConfigurationTables, offset: int
) -> _ChangeResults:
    current = tables.entries_by_path.get(record.path)
    if current and current.record_id == record.record_id:
        return _store_result(tables, _accepted(current))
    revision = current.revision if current else 0
    # Revision 0 means that nothing was accepted, so a change at offset 0 is
    # always rejected.
    if record.base_revision != revision or not offset:
        if tables.is_uncertain_by_record_id.get(record.record_id):
            # An earlier copy may have been accepted and its value replaced.
            return ()
        return _store_result(tables, _rejected(record, current))
    entry = ConfigurationEntry(
        path=record.path,
        value=record.value,
        revision=offset,
        base_revision=revision,
        author=record.author,
        record_id=record.record_id,
    )
    _store_entry(tables, entry)
    return _store_result(tables, _accepted(entry))


def _accepted(entry: ConfigurationEntry) -> ChangeAccepted:
    return ChangeAccepted(
        record_id=entry.record_id,
        path=entry.path,
        value=entry.value,
        revision=entry.revision,
        author=entry.author,
    )


def _rejected(
    record: ConfigurationChange, current: ConfigurationEntry | None
) -> ChangeRejected:
    return ChangeRejected(
        record_id=record.record_id,
        path=record.path,
        value=current.value if current else None,
        revision=current.revision if current else 0,
        author=current.author if current else '',
    )


def _would_revert(
    tables: ConfigurationTables, entries: tuple[SnapshotEntry, ...]
) -> bool:
    revisions = {entry.path: entry.revision for entry in entries}
    return any(
        revisions.get(path, 0) < entry.revision
        for path, entry in tables.entries_by_path.items()
    )


def _load_entry(tables: ConfigurationTables, entry: SnapshotEntry) -> None:
    current = tables.entries_by_path.get(entry.path)
    if current and current.revision == entry.revision:
        return
    # A snapshot does not contain the previous revision of a path.
    _store_entry(
        tables,
        ConfigurationEntry(
            path=entry.path,
            value=entry.value,
            revision=entry.revision,
            base_revision=UNKNOWN_REVISION,
            author=entry.author,
            record_id=entry.record_id,
        ),
    )


def _store_entry(
    tables: ConfigurationTables, entry: ConfigurationEntry
) -> None:
    tables.entries_by_path[entry.path] = entry
    # Most paths change only once, and a tuple of one element is the smallest
    # container.
    entries = (*tables.history_by_path.get(entry.path, ()), entry)
    limit = tables.settings.history_per_path
    tables.history_by_path[entry.path] = entries[-limit:]


def _store_result(
    tables: ConfigurationTables, result: ChangeResult
) -> _ChangeResults:
    results = tables.results_by_record_id
    if result.record_id in results:
        return ()
    results[result.record_id] = result
    tables.is_uncertain_by_record_id.pop(result.record_id, None)
    if len(results) > tables.settings.results:
        results.pop(next(iter(results)))
    return (result,)


def _cache_record(
    tables: ConfigurationTables, offset: int, record: AnyRecord
) -> None:
    recent = tables.recent_by_offset
    recent[offset] = record
    if len(recent) > tables.settings.recent_records:
        recent.pop(next(iter(recent)))
