"""Load a partition from its last checkpoint instead of the whole log."""

from typing import Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.journal import (
    Journal,
    is_fact,
    note_applied,
    reset_view,
)
from bronzepost._internal.core.ledger.journal_events import (
    RecordSettled,
    RecordsRead,
)
from bronzepost._internal.core.ledger.state import PartitionState, load_state

_WINDOW_GROWTH: Final = 4


Settled = tuple[RecordSettled, ...]


def load_records(journal: Journal, event: RecordsRead) -> Settled:
    """Take what a read returned; finish when the end of the log is reached.

    Reading starts a window before the end. The window grows until it holds a
    checkpoint or reaches the oldest record that the log keeps. Returns which
    submitted records the log turned out to hold.
    """
    loading = journal.loading
    if loading.start is None:
        end_of_read = event.from_offset + len(event.records)
        if event.first_offset or end_of_read < event.next_offset:
            _start_window(journal, event)
            return ()
    elif loading.buffer and event.first_offset > loading.start:
        # Records aged out between two reads, so the buffer has a gap.
        _start_window(journal, event)
        return ()
    loading.buffer += [
        (offset, records.decode_stored(body)) for offset, body in event.records
    ]
    if loading.buffer and loading.buffer[-1][0] + 1 < event.next_offset:
        loading.start = loading.buffer[-1][0] + 1
        return ()
    return _finish(journal, event)


def _start_window(journal: Journal, event: RecordsRead) -> None:
    loading = journal.loading
    window_start = event.next_offset - loading.window
    loading.start = max(event.first_offset, window_start)
    loading.window *= _WINDOW_GROWTH
    loading.buffer = []


def _finish(journal: Journal, event: RecordsRead) -> Settled:
    loading = journal.loading
    buffer = loading.buffer
    checkpoint = _last_checkpoint(buffer)
    if checkpoint is None and buffer and buffer[0][0] > event.first_offset:
        _start_window(journal, event)
        return ()
    if checkpoint is None:
        state = _first_state(buffer, event)
    else:
        state = load_state(checkpoint)
    settled = _replay(journal, state)
    state.next_offset = max(state.next_offset, event.next_offset)
    _install(journal, state)
    return settled


def _replay(journal: Journal, state: PartitionState) -> Settled:
    """Apply what follows the state; settle what this node had submitted."""
    settled: Settled = ()
    for offset, record in journal.loading.buffer:
        if offset < state.next_offset:
            continue
        verdict = apply_record(state, offset, record)
        if note_applied(journal, record):
            settled += (
                RecordSettled(
                    record_id=record.record_id,
                    valid=verdict.valid,
                    offset=offset,
                    reason=verdict.reason,
                ),
            )
    return settled


def _install(journal: Journal, state: PartitionState) -> None:
    journal.state = state
    journal.loading.done = True
    journal.loading.start = None
    journal.loading.buffer = []
    reset_view(journal)


def _last_checkpoint(
    buffer: list[tuple[int, records.Record]],
) -> records.Checkpoint | None:
    for _, record in reversed(buffer):
        if isinstance(record, records.Checkpoint):
            if record.covers_offset >= buffer[0][0]:
                return record
    return None


def _first_state(
    buffer: list[tuple[int, records.Record]], event: RecordsRead
) -> PartitionState:
    """Return the state before the oldest record that the log keeps.

    If records have aged out and no checkpoint is left, only the last epoch
    that the records name is certain to have been in force. Older records may
    come from owners that had been replaced when they were written.
    """
    state = PartitionState(next_offset=event.first_offset)
    if not event.first_offset:
        return state
    state.epoch = max((record.epoch for _, record in buffer), default=0)
    for _, record in buffer:
        if record.epoch == state.epoch and not is_fact(record):
            _assume_owner(state, record)
            break
    return state


def _assume_owner(state: PartitionState, record: records.Record) -> None:
    """Let the epoch's first record decide who owns it."""
    if isinstance(record, records.Claim):
        state.epoch -= 1
    elif not isinstance(record, records.Checkpoint):
        state.owner = record.node
        state.claim_id = record.record_id
