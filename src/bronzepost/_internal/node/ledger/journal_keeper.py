"""Carry out the actions that the journals of the partitions request."""

import functools
from collections.abc import Callable
from typing import Final

import gevent

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger.calls import is_log_down
from bronzepost._internal.core.ledger.journal import (
    Journal,
    build_checkpoint,
    is_checkpoint_due,
    submit_record,
)
from bronzepost._internal.core.ledger.journal_handler import handle_event
from bronzepost._internal.core.ledger.records import Record
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.node.ledger.log_requests import (
    MILLISECONDS_PER_SECOND,
    request_append,
    request_read,
)
from bronzepost._internal.node.ledger.mirroring import Mirroring
from bronzepost._internal.node.ledger.settlements import Settlement, Settlements
from bronzepost._internal.node.ledger.waiting_records import WaitingRecords
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.start import Telemetry

_POLL_INTERVAL_SECONDS: Final = 0.005
# Callers wait for this read; it takes milliseconds while the log is available.
_CONFIRM_TIMEOUT_SECONDS: Final = 1.0


class JournalKeeper:
    """Holds journals of partitions and exchanges their records with the log."""

    def __init__(
        self,
        *,
        node: str,
        boot: str,
        log: LogClient,
        telemetry: Telemetry,
        settlements: Settlements,
        mirroring: Mirroring,
        waiting: WaitingRecords,
    ) -> None:
        """Start with no journal."""
        self.journals_by_partition: dict[int, Journal] = {}
        self.settlements = settlements
        self.mirroring = mirroring
        self.waiting = waiting
        self.metrics = telemetry.metrics
        self._tracer = telemetry.tracer
        self._record_counts_by_partition: dict[int, int] = {}
        self._node = node
        self._boot = boot
        self._log = log

    def get_or_create_journal(self, partition: int) -> Journal:
        """Return the journal of a partition; create it if there is none."""
        journal = self.journals_by_partition.get(partition)
        if journal is None:
            journal = Journal(
                stream=f'programs-{partition:02}',
                node=self._node,
                boot=self._boot,
                # Continues the count, so that record identifiers stay unique.
                record_count=self._record_counts_by_partition.get(partition, 0),
            )
            self.journals_by_partition[partition] = journal
        return journal

    def drop_unused_journal(self, partition: int) -> None:
        """Drop the journal of a partition that another node owns.

        If this node claims the partition later, it starts to read at the last
        checkpoint instead of at the offset where it once stopped. A journal
        with pending records or requests is kept.
        """
        journal = self.journals_by_partition.get(partition)
        if journal is None or not _is_unused(journal):
            return
        self._record_counts_by_partition[partition] = journal.record_count
        self.journals_by_partition.pop(partition)

    def list_owned_journals(self) -> list[Journal]:
        """Return the journals of the partitions that this node owns."""
        journals = self.journals_by_partition.values()
        return [journal for journal in journals if journal.is_owner]

    def handle_event(self, journal: Journal, event: events.Event) -> None:
        """Apply an event to a journal and carry out the resulting actions."""
        for action in handle_event(event, journal):
            carry_out(action, self, journal)

    def send_pending(self, journal: Journal) -> None:
        """Send pending records to the log, or to the mirror in an outage."""
        self.handle_event(journal, events.Tick(at=read_clock()))
        self.mirroring.mirror_pending(journal)

    def refresh(self, journal: Journal) -> None:
        """Start to read the records that other nodes have appended."""
        self.handle_event(journal, events.RefreshWanted(at=read_clock()))

    def tick(self) -> None:
        """Send records, repeat requests and append checkpoints where due.

        A journal without work is not read. Otherwise each node would load the
        programs of all partitions: 44 MB at a restart with 4,000 programs of
        two turns.
        """
        for journal in list(self.journals_by_partition.values()):
            if not _has_work(journal):
                continue
            if is_checkpoint_due(journal):
                submit_record(journal, build_checkpoint(journal))
                emit(LogEvent.CHECKPOINT_APPENDED, stream=journal.stream)
            self.send_pending(journal)

    def catch_up(self, journal: Journal, timeout_seconds: float) -> bool:
        """Read a partition up to its end; return False after the timeout."""
        requests = journal.requests
        # A read that is already in progress may miss the latest records.
        self._poll(journal, timeout_seconds, lambda: not requests.busy)
        self.refresh(journal)

        def is_done() -> bool:  # noqa: WPS430
            is_read = not requests.busy and not requests.refresh_wanted
            return journal.loading.done and is_read

        self._poll(journal, timeout_seconds, is_done)
        return is_done()

    def claim(self, journal: Journal, timeout_seconds: float) -> bool:
        """Claim a partition; return whether this node then owns it."""
        self.handle_event(journal, events.OwnershipWanted(at=read_clock()))
        self._poll(journal, timeout_seconds, lambda: journal.is_settled)
        return journal.is_owner

    def confirm_owner(self, journal: Journal) -> bool:
        """Read the log to its end; return whether the node's claim still holds.

        An owner that does not append finds out about a successor only by
        reading the log. Call this before refusing a program as unknown. While
        the log is down, the result follows from the last read.
        """
        claim_id = journal.claim_id
        if not is_log_down(journal, read_clock()):
            self.catch_up(journal, _CONFIRM_TIMEOUT_SECONDS)
        return journal.is_owner and journal.claim_id == claim_id

    def append(self, journal: Journal, records: tuple[Record, ...]) -> None:
        """Append records and pass the result to the journal."""
        started = read_clock()
        with self._tracer.record_span('append to log'):
            self._exchange(
                journal,
                lambda: request_append(self._log, journal.stream, records),
            )
        elapsed = (read_clock() - started) * MILLISECONDS_PER_SECOND
        self.metrics.timing(Metric.LOG_APPEND_TIME, elapsed)
        self.metrics.count(Metric.LOG_APPENDS)

    def read(self, journal: Journal, from_offset: int) -> None:
        """Read records and pass them to the journal."""
        self._exchange(
            journal,
            lambda: request_read(self._log, journal.stream, from_offset),
        )

    def _exchange(
        self, journal: Journal, request: Callable[[], events.Event]
    ) -> None:
        was_failing = journal.requests.failing_since is not None
        self.handle_event(journal, request())
        is_failing = journal.requests.failing_since is not None
        if is_failing:
            self.metrics.count(Metric.LOG_ERRORS)
        if is_failing and not was_failing:
            emit(LogEvent.LOG_OUTAGE_STARTED, stream=journal.stream)
        elif was_failing and not is_failing:
            emit(LogEvent.LOG_OUTAGE_ENDED, stream=journal.stream)

    def _poll(
        self,
        journal: Journal,
        timeout_seconds: float,
        is_done: Callable[[], bool],
    ) -> None:
        end = read_clock() + timeout_seconds
        while not is_done() and read_clock() < end:
            self.send_pending(journal)
            gevent.sleep(_POLL_INTERVAL_SECONDS)


def _is_unused(journal: Journal) -> bool:
    is_read = journal.loading.done and not journal.requests.busy
    return is_read and journal.is_settled and not journal.is_owner


def _has_work(journal: Journal) -> bool:
    is_reading = journal.requests.refresh_wanted
    return journal.is_owner or is_reading or not journal.is_settled


@functools.singledispatch
def carry_out(
    action: events.Action, keeper: JournalKeeper, journal: Journal
) -> None:
    """Carry out an action; a function is registered for each kind."""
    raise NotImplementedError(type(action).__name__)


@carry_out.register
def _(
    action: events.AppendRecords, keeper: JournalKeeper, journal: Journal
) -> None:
    gevent.spawn(keeper.append, journal, action.records)


@carry_out.register
def _(
    action: events.ReadRecords, keeper: JournalKeeper, journal: Journal
) -> None:
    gevent.spawn(keeper.read, journal, action.from_offset)


@carry_out.register
def _(
    action: events.RecordSettled, keeper: JournalKeeper, journal: Journal
) -> None:
    if not action.valid:
        keeper.metrics.count(Metric.RECORDS_INVALID)
        emit(
            LogEvent.RECORD_INVALID,
            record=action.record_id,
            reason=action.reason,
        )
    keeper.waiting.remove(action.record_id)
    settlement = Settlement(
        valid=action.valid, offset=action.offset, reason=action.reason
    )
    keeper.settlements.settle(action.record_id, settlement)


@carry_out.register
def _(
    action: events.OwnershipGained, keeper: JournalKeeper, journal: Journal
) -> None:
    emit(LogEvent.PARTITION_CLAIMED, stream=journal.stream, epoch=action.epoch)
    keeper.mirroring.adopt(journal)


@carry_out.register
def _(
    action: events.OwnershipLost, keeper: JournalKeeper, journal: Journal
) -> None:
    keeper.metrics.count(Metric.PARTITIONS_LOST)
    emit(
        LogEvent.PARTITION_GIVEN_UP,
        stream=journal.stream,
        owner=action.owner,
        epoch=action.epoch,
    )


@carry_out.register
def _(
    action: events.RecordsSkipped, keeper: JournalKeeper, journal: Journal
) -> None:
    emit(LogEvent.RETENTION_GAP, stream=journal.stream)


@carry_out.register
def _(
    action: events.RecordUnreadable, keeper: JournalKeeper, journal: Journal
) -> None:
    emit(
        LogEvent.RECORD_UNREADABLE,
        stream=journal.stream,
        offset=action.offset,
        problem=action.problem,
    )
