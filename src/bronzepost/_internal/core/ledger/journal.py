"""Tables of one partition's journal, and what may be submitted to it.

Example::

    journal = Journal(stream='programs-07', node='hall-a-1', boot='4f1c')
    actions = handle_event(OwnershipWanted(at=now), journal)
"""

import dataclasses
from collections import deque
from typing import Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.rule_base import Verdict
from bronzepost._internal.core.ledger.state import PartitionState, dump_state

APPEND_BURST: Final = 5.0
MAX_PENDING_RECORDS: Final = 10_000
CHECKPOINT_RECORDS: Final = 1000


@dataclasses.dataclass(kw_only=True, slots=True)
class Requests:
    """What is under way towards the log; times in seconds.

    ``failing_since`` is when the first request failed after which none has
    shown that the log works; reads don't show that appends do.
    ``maybe_stored_ids`` are records of appends without an answer. The log may
    still store them at any later time, so they can't be taken back.
    """

    busy: bool = False
    refresh_wanted: bool = False
    retry_at: float = 0
    failing_since: float | None = None
    appends_failing: bool = False
    append_tokens: float = APPEND_BURST
    tokens_at: float = 0
    maybe_stored_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True, slots=True)
class Loading:
    """Progress of reading the partition from its last checkpoint."""

    done: bool = False
    window: int = CHECKPOINT_RECORDS
    start: int | None = None
    buffer: list[tuple[int, records.Record]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Journal:
    """One partition's stream as seen and written by one node.

    ``state`` holds what the log says. ``view`` adds the records that were
    submitted and are not yet read back, so that a program's next call can be
    checked before the last one is durable. ``boot`` is unique to a process.
    ``covered_offset`` is where a node has to start that reads the last
    checkpoint.
    """

    stream: str
    node: str
    boot: str
    state: PartitionState = dataclasses.field(default_factory=PartitionState)
    view: PartitionState = dataclasses.field(default_factory=PartitionState)
    requests: Requests = dataclasses.field(default_factory=Requests)
    loading: Loading = dataclasses.field(default_factory=Loading)
    first_kept_offset: int = 0
    claim_id: str = ''
    was_owner: bool = False
    is_view_stale: bool = False
    record_count: int = 0
    records_since_checkpoint: int = 0
    covered_offset: int = 0
    pending: deque[records.Record] = dataclasses.field(default_factory=deque)
    in_flight_by_id: dict[str, records.Record] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_owner(self) -> bool:
        """Return whether this boot's claim is the one in force."""
        return bool(self.claim_id) and (
            self.state.claim_id == self.claim_id
            and self.state.owner == self.node
        )

    @property
    def is_settled(self) -> bool:
        """Return whether the log is known to hold every submitted record."""
        return not self.pending and not self.in_flight_by_id

    def next_record_id(self) -> str:
        """Return an identifier that no other node or boot uses."""
        self.record_count += 1
        return f'{self.boot}-{self.stream}-{self.record_count:x}'


def submit_record(journal: Journal, record: records.Record) -> Verdict:
    """Queue a record and return whether it is valid if nothing intervenes.

    An invalid record is not queued. A tick sends what is queued.
    """
    if len(journal.pending) >= MAX_PENDING_RECORDS:
        return Verdict(valid=False, reason='too many records wait for the log')
    if journal.view is journal.state:
        journal.view = copy_state(journal.state)
    verdict = apply_record(journal.view, journal.view.next_offset, record)
    if verdict.valid:
        journal.pending.append(record)
    return verdict


def withdraw_pending(journal: Journal, record_id: str) -> bool:
    """Take back a record that was never sent to the log.

    Returns whether it was taken back: if so, it will never be on the log.
    """
    for record in journal.pending:
        if record.record_id == record_id:
            journal.pending.remove(record)
            reset_view(journal)
            return True
    return False


def reset_view(journal: Journal) -> None:
    """Build the view again from the log's state and what is under way."""
    journal.is_view_stale = False
    journal.view = copy_state(journal.state)
    for record in (*journal.in_flight_by_id.values(), *journal.pending):
        apply_record(journal.view, journal.view.next_offset, record)


def copy_state(state: PartitionState) -> PartitionState:
    """Return tables that can change without changing the originals."""
    return dataclasses.replace(
        state,
        programs_by_id=dict(state.programs_by_id),
        intents_by_id=dict(state.intents_by_id),
        intent_ids_by_program=dict(state.intent_ids_by_program),
        open_intents_by_program=dict(state.open_intents_by_program),
        outcomes_by_call=dict(state.outcomes_by_call),
    )


def is_fact(record: records.Record) -> bool:
    """Return whether a record is accepted from any epoch."""
    return isinstance(record, records.Outcome) and bool(record.intent_id)


def is_checkpoint_due(journal: Journal) -> bool:
    """Return whether enough records came since the last checkpoint.

    The number grows with the programs, so that checkpoints stay a bounded
    share of what is appended. A checkpoint is also due when the last one is
    in the older half of what the log still keeps, or has aged out.
    """
    due = max(CHECKPOINT_RECORDS, 2 * len(journal.state.programs_by_id))
    is_due = journal.records_since_checkpoint >= due or _is_aging(journal)
    return journal.is_owner and is_due


def _is_aging(journal: Journal) -> bool:
    first_kept = journal.first_kept_offset
    middle = (first_kept + journal.state.next_offset) / 2
    return first_kept > 0 and journal.covered_offset < middle


def note_applied(journal: Journal, record: records.Record) -> bool:
    """Count a record that the log holds; return whether it was submitted."""
    journal.records_since_checkpoint += 1
    if isinstance(record, records.Checkpoint):
        journal.records_since_checkpoint = 0
        journal.covered_offset = max(
            journal.covered_offset, record.covers_offset
        )
    journal.requests.maybe_stored_ids.discard(record.record_id)
    return journal.in_flight_by_id.pop(record.record_id, None) is not None


def build_checkpoint(journal: Journal) -> records.Checkpoint:
    """Return a checkpoint of what the log says so far."""
    return records.Checkpoint(
        record_id=journal.next_record_id(),
        epoch=journal.state.epoch,
        node=journal.node,
        covers_offset=journal.state.next_offset,
        state=dump_state(journal.state),
    )
