"""Load a partition from its last checkpoint instead of the whole log."""

from typing import Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ledger.journal_events import RecordsRead
from bronzepost._internal.core.ledger.state import PartitionState, load_state

_WINDOW_GROWTH: Final = 4


def load_records(journal: Journal, event: RecordsRead) -> None:
    """Take what a read returned; finish when the end of the log is reached.

    Reading starts a window before the end. The window grows until it holds a
    checkpoint or reaches the oldest record that the log keeps.
    """
    loading = journal.loading
    if loading.start is None:
        end_of_read = event.from_offset + len(event.records)
        if event.first_offset or end_of_read < event.next_offset:
            _start_window(journal, event)
            return
    loading.buffer += [
        (offset, records.decode_record(body)) for offset, body in event.records
    ]
    if loading.buffer and loading.buffer[-1][0] + 1 < event.next_offset:
        loading.start = loading.buffer[-1][0] + 1
        return
    _finish(journal, event)


def _start_window(journal: Journal, event: RecordsRead) -> None:
    loading = journal.loading
    window_start = event.next_offset - loading.window
    loading.start = max(event.first_offset, window_start)
    loading.window *= _WINDOW_GROWTH
    loading.buffer = []


def _finish(journal: Journal, event: RecordsRead) -> None:
    loading = journal.loading
    buffer = loading.buffer
    checkpoint = _last_checkpoint(buffer)
    if checkpoint is None and buffer and buffer[0][0] > event.first_offset:
        _start_window(journal, event)
        return
    if checkpoint is None:
        state = _first_state(buffer, event)
    else:
        state = load_state(checkpoint)
    for offset, record in buffer:
        if offset >= state.next_offset:
            apply_record(state, offset, record)
    state.next_offset = max(state.next_offset, event.next_offset)
    _install(journal, state)


def _install(journal: Journal, state: PartitionState) -> None:
    journal.state = state
    journal.view = state
    journal.loading.done = True
    journal.loading.start = None
    journal.loading.buffer = []


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

    If records have aged out and no checkpoint is left, the epoch is taken
    from the oldest record, so that claims go on from there.
    """
    state = PartitionState(next_offset=event.first_offset)
    if event.first_offset and buffer:
        oldest = buffer[0][1]
        is_claim = isinstance(oldest, records.Claim)
        state.epoch = oldest.epoch - 1 if is_claim else oldest.epoch
        state.owner = '' if is_claim else oldest.node
    return state
