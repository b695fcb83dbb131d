"""Journal of one partition: its state and the records to be appended.

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
CHECKPOINT_INTERVAL_RECORDS: Final = 1000


@dataclasses.dataclass(kw_only=True, slots=True)
class LogRequestState:
    """State of the requests to the log; times in seconds.

    ``busy`` is set while a request is in flight; none is sent before
    ``retry_at``.
    ``failing_since`` is the time of the first failure since the log last
    worked; a successful read does not prove that appends work.
    ``maybe_stored_ids`` are the records of appends without an answer. The log
    may still store them at any later time, so they cannot be withdrawn.
    ``append_tokens`` limit the rate of appends and were last refilled at
    ``tokens_refilled_at``.
    """

    busy: bool = False
    refresh_wanted: bool = False
    retry_at: float = 0
    failing_since: float | None = None
    appends_failing: bool = False
    append_tokens: float = APPEND_BURST
    tokens_refilled_at: float = 0
    maybe_stored_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True, slots=True)
class LoadingProgress:
    """Progress of reading the partition from its last checkpoint.

    ``window`` is the number of records to read from the end of the stream.
    """

    done: bool = False
    window: int = CHECKPOINT_INTERVAL_RECORDS
    start: int | None = None
    buffer: list[tuple[int, records.Record]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Journal:
    """One partition's stream as seen and written by one node.

    ``state`` follows from the records read from the log. ``view`` also applies
    submitted records that are not known to be stored yet, so that a program's
    next call can be checked before the previous one is durable. ``boot`` is
    unique to a process. ``covered_offset`` is the first offset that the last
    checkpoint does not cover.
    """

    stream: str
    node: str
    boot: str
    state: PartitionState = dataclasses.field(default_factory=PartitionState)
    view: PartitionState = dataclasses.field(default_factory=PartitionState)
    requests: LogRequestState = dataclasses.field(
        default_factory=LogRequestState
    )
    loading: LoadingProgress = dataclasses.field(
        default_factory=LoadingProgress
    )
    first_retained_offset: int = 0
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
        """Return whether the claim of this boot is in force."""
        return bool(self.claim_id) and (
            self.state.claim_id == self.claim_id
            and self.state.owner == self.node
        )

    @property
    def is_settled(self) -> bool:
        """Return whether no submitted record awaits an append or its answer."""
        return not self.pending and not self.in_flight_by_id

    def next_record_id(self) -> str:
        """Return a record identifier, unique over all nodes and boots."""
        self.record_count += 1
        return f'{self.boot}-{self.stream}-{self.record_count:x}'


def submit_record(journal: Journal, record: records.Record) -> Verdict:
    """Queue a record and return whether it is valid after those in the view.

    An invalid record is not queued. Queued records are sent by a tick.
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
    """Remove a pending record; return whether it was pending.

    A removed record will never be on the log.
    """
    for record in journal.pending:
        if record.record_id == record_id:
            journal.pending.remove(record)
            rebuild_view(journal)
            return True
    return False


def rebuild_view(journal: Journal) -> None:
    """Rebuild the view from the state and the unsettled records."""
    journal.is_view_stale = False
    journal.view = copy_state(journal.state)
    for record in (*journal.in_flight_by_id.values(), *journal.pending):
        apply_record(journal.view, journal.view.next_offset, record)


def copy_state(state: PartitionState) -> PartitionState:
    """Return a copy whose tables can be changed independently."""
    return dataclasses.replace(
        state,
        programs_by_id=dict(state.programs_by_id),
        intents_by_id=dict(state.intents_by_id),
        intent_ids_by_program=dict(state.intent_ids_by_program),
        open_intents_by_program=dict(state.open_intents_by_program),
        outcomes_by_call=dict(state.outcomes_by_call),
    )


def is_epoch_independent(record: records.Record) -> bool:
    """Return whether a record is accepted from any epoch."""
    return isinstance(record, records.Outcome) and bool(record.intent_id)


def is_checkpoint_due(journal: Journal) -> bool:
    """Return whether the owner should append a checkpoint.

    The interval grows with the number of programs, so that checkpoints stay a
    bounded share of the appended data. A checkpoint is also due if the last
    one is in the older half of the records that the log retains, or has left
    the log.
    """
    interval = max(
        CHECKPOINT_INTERVAL_RECORDS, 2 * len(journal.state.programs_by_id)
    )
    is_due = (
        journal.records_since_checkpoint >= interval
        or _is_checkpoint_aging(journal)
    )
    return journal.is_owner and is_due


def _is_checkpoint_aging(journal: Journal) -> bool:
    first_retained = journal.first_retained_offset
    middle = (first_retained + journal.state.next_offset) / 2
    return first_retained > 0 and journal.covered_offset < middle


def mark_applied(journal: Journal, record: records.Record) -> bool:
    """Register a record as stored; return whether it was in flight here."""
    journal.records_since_checkpoint += 1
    if isinstance(record, records.Checkpoint):
        journal.records_since_checkpoint = 0
        journal.covered_offset = max(
            journal.covered_offset, record.covers_offset
        )
    journal.requests.maybe_stored_ids.discard(record.record_id)
    return journal.in_flight_by_id.pop(record.record_id, None) is not None


def build_checkpoint(journal: Journal) -> records.Checkpoint:
    """Return a checkpoint of the current state."""
    return records.Checkpoint(
        record_id=journal.next_record_id(),
        epoch=journal.state.epoch,
        node=journal.node,
        covers_offset=journal.state.next_offset,
        state=dump_state(journal.state),
    )
