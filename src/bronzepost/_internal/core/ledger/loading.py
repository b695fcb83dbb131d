"""Load a partition from its last checkpoint instead of the whole log."""

from typing import Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.journal import (
    Journal,
    is_epoch_independent,
    mark_applied,
    rebuild_view,
)
from bronzepost._internal.core.ledger.journal_events import (
    RecordSettled,
    RecordsRead,
)
from bronzepost._internal.core.ledger.state import PartitionState, load_state

_WINDOW_GROWTH: Final = 4


SettledRecords = tuple[RecordSettled, ...]


def load_records(journal: Journal, event: RecordsRead) -> SettledRecords:
    """Buffer the result of a read; finish at the end of the stream.

    Reading starts a window of records before the end. The window grows until it
    contains a checkpoint or reaches the oldest retained record. Returns the
    submitted records that were found on the log.
    """
    loading = journal.loading
    if loading.start is None:
        end_of_read = event.from_offset + len(event.records)
        if event.first_offset or end_of_read < event.next_offset:
            _start_window(journal, event)
            return ()
    elif loading.buffer and event.first_offset > loading.start:
        # Records left the log between two reads, so the buffer has a gap.
        _start_window(journal, event)
        return ()
    loading.buffer += [
        (offset, records.decode_stored(body)) for offset, body in event.records
    ]
    if loading.buffer and loading.buffer[-1][0] + 1 < event.next_offset:
        loading.start = loading.buffer[-1][0] + 1
        return ()
    return _finish_loading(journal, event)


def _start_window(journal: Journal, event: RecordsRead) -> None:
    loading = journal.loading
    window_start = event.next_offset - loading.window
    loading.start = max(event.first_offset, window_start)
    loading.window *= _WINDOW_GROWTH
    loading.buffer = []


def _finish_loading(journal: Journal, event: RecordsRead) -> SettledRecords:
    loading = journal.loading
    buffer = loading.buffer
    checkpoint = _find_last_checkpoint(buffer)
    if checkpoint is None and buffer and buffer[0][0] > event.first_offset:
        _start_window(journal, event)
        return ()
    if checkpoint is None:
        state = _build_initial_state(buffer, event)
    else:
        state = load_state(checkpoint)
    settled = _replay(journal, state)
    state.next_offset = max(state.next_offset, event.next_offset)
    _install_state(journal, state)
    return settled


def _replay(journal: Journal, state: PartitionState) -> SettledRecords:
    """Apply the records after the state; settle those of this node."""
    settled: SettledRecords = ()
    for offset, record in journal.loading.buffer:
        if offset < state.next_offset:
            continue
        verdict = apply_record(state, offset, record)
        if mark_applied(journal, record):
            settled += (
                RecordSettled(
                    record_id=record.record_id,
                    valid=verdict.valid,
                    offset=offset,
                    reason=verdict.reason,
                ),
            )
    return settled


def _install_state(journal: Journal, state: PartitionState) -> None:
    journal.state = state
    journal.loading.done = True
    journal.loading.start = None
    journal.loading.buffer = []
    rebuild_view(journal)


def _find_last_checkpoint(
    buffer: list[tuple[int, records.Record]],
) -> records.Checkpoint | None:
    for _, record in reversed(buffer):
        if isinstance(record, records.Checkpoint):
            if record.covers_offset >= buffer[0][0]:
                return record
    return None


def _build_initial_state(
    buffer: list[tuple[int, records.Record]], event: RecordsRead
) -> PartitionState:
    """Return the state before the oldest record that the log retains.

    If records have left the log and no checkpoint remains, only the highest
    epoch in the records is certain to have been in force. Records of lower
    epochs may come from owners that had already been replaced.
    """
    state = PartitionState(next_offset=event.first_offset)
    if not event.first_offset:
        return state
    state.epoch = max((record.epoch for _, record in buffer), default=0)
    for _, record in buffer:
        if record.epoch == state.epoch and not is_epoch_independent(record):
            _assume_owner(state, record)
            break
    return state


def _assume_owner(state: PartitionState, record: records.Record) -> None:
    """Derive the owner of the epoch from the epoch's first record."""
    if isinstance(record, records.Claim):
        state.epoch -= 1
    elif not isinstance(record, records.Checkpoint):
        state.owner = record.node
        state.claim_id = record.record_id
