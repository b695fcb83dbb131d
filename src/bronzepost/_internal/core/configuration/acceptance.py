"""The rule by which all nodes accept changes, in log order.

A change is accepted if its base revision is still the path's revision. The
rule looks at nothing but the tree, so nodes that started from a snapshot
decide like those that have seen every record. A second copy of a record
cannot be accepted again, since the first has moved the revision.
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

_Results = tuple[ChangeResult, ...]


def apply_record(
    tables: ConfigurationTables, offset: int, record: AnyRecord
) -> _Results:
    """Apply the record at ``offset`` if it is the next one.

    A record that was applied before, or that comes after a gap, changes
    nothing. Returns the result of a change, once for each record id.
    """
    if offset != tables.next_offset:
        return ()
    results = _apply(record, tables, offset)
    tables.next_offset = offset + 1
    _remember_record(tables, offset, record)
    return results


def load_tree(tables: ConfigurationTables, tree: TreeAtOffset) -> bool:
    """Replace the tree by that of a snapshot; return whether it was done.

    A snapshot that is not ahead of the node, or that would take back an
    accepted change, is not loaded.
    """
    is_ahead = tree.next_offset > tables.next_offset
    if not is_ahead or _takes_back(tables, tree.entries):
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
    """Return the whole tree in the form of a snapshot, ordered by path."""
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

    It stays unknown if the record was among those that a loaded tree stands
    for and another change is in force at its path by now.
    """
    result = tables.results_by_record_id.get(record_id)
    if result is not None:
        return result
    entries = tables.entries_by_path.values()
    found = (entry for entry in entries if entry.record_id == record_id)
    entry = next(found, None)
    return _accepted(entry) if entry else None


def note_proposal(tables: ConfigurationTables, record_id: str) -> None:
    """Remember a change of this node until its result is known."""
    pending = tables.is_uncertain_by_record_id
    pending[record_id] = False
    if len(pending) > tables.settings.results:
        pending.pop(next(iter(pending)))


@functools.singledispatch
def _apply(
    record: object, tables: ConfigurationTables, offset: int
) -> _Results:
    raise TypeError(f'configuration has no record {type(record).__name__}')


@_apply.register
def _(
    record: UnreadableRecord, tables: ConfigurationTables, offset: int
) -> _Results:
    return ()


@_apply.register
def _(
    record: ConfigurationSnapshot, tables: ConfigurationTables, offset: int
) -> _Results:
    # A node that has applied every record before has the content already.
    tables.snapshot_next_offset = max(
        tables.snapshot_next_offset, record.next_offset
    )
    tables.snapshot_seen_at = None
    tables.snapshot_due_at = None
    return ()


@_apply.register
def _(
    record: ConfigurationChange, tables: ConfigurationTables, offset: int
) -> _Results:
    known = tables.entries_by_path.get(record.path)
    if known and known.record_id == record.record_id:
        return _remember_result(tables, _accepted(known))
    revision = known.revision if known else 0
    # Revision 0 means that nothing was accepted, so offset 0 cannot be one.
    if record.base_revision != revision or not offset:
        if tables.is_uncertain_by_record_id.get(record.record_id):
            # A first copy may have been accepted and replaced.
            return ()
        return _remember_result(tables, _rejected(record, known))
    entry = ConfigurationEntry(
        path=record.path,
        value=record.value,
        revision=offset,
        base_revision=revision,
        author=record.author,
        record_id=record.record_id,
    )
    _store_entry(tables, entry)
    return _remember_result(tables, _accepted(entry))


def _accepted(entry: ConfigurationEntry) -> ChangeAccepted:
    return ChangeAccepted(
        record_id=entry.record_id,
        path=entry.path,
        value=entry.value,
        revision=entry.revision,
        author=entry.author,
    )


def _rejected(
    record: ConfigurationChange, known: ConfigurationEntry | None
) -> ChangeRejected:
    return ChangeRejected(
        record_id=record.record_id,
        path=record.path,
        value=known.value if known else None,
        revision=known.revision if known else 0,
        author=known.author if known else '',
    )


def _takes_back(
    tables: ConfigurationTables, entries: tuple[SnapshotEntry, ...]
) -> bool:
    revisions = {entry.path: entry.revision for entry in entries}
    return any(
        revisions.get(path, 0) < entry.revision
        for path, entry in tables.entries_by_path.items()
    )


def _load_entry(tables: ConfigurationTables, entry: SnapshotEntry) -> None:
    known = tables.entries_by_path.get(entry.path)
    if known and known.revision == entry.revision:
        return
    # The change before it is not known, so its base is given as unknown.
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
    # Most paths change once, and a tuple of one is smaller than any other
    # container.
    kept = (*tables.history_by_path.get(entry.path, ()), entry)
    limit = tables.settings.history_per_path
    tables.history_by_path[entry.path] = kept[-limit:]


def _remember_result(
    tables: ConfigurationTables, result: ChangeResult
) -> _Results:
    known = tables.results_by_record_id
    if result.record_id in known:
        return ()
    known[result.record_id] = result
    tables.is_uncertain_by_record_id.pop(result.record_id, None)
    if len(known) > tables.settings.results:
        known.pop(next(iter(known)))
    return (result,)


def _remember_record(
    tables: ConfigurationTables, offset: int, record: AnyRecord
) -> None:
    recent = tables.recent_by_offset
    recent[offset] = record
    if len(recent) > tables.settings.recent_records:
        recent.pop(next(iter(recent)))
