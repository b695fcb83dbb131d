"""Gauges of a node's state, and the delay of its ticks."""

import resource
from typing import Final

from bronzepost._internal.core.membership import MemberState
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.peers.cluster import Cluster
from bronzepost._internal.node.programs.program_calls import ProgramCalls
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import Metrics

# After a longer delay a probe of another node may be answered too late.
LATE_TICK_DELAY_SECONDS: Final = 0.25
# After a longer delay other nodes treat this one as dead.
PAUSED_NODE_DELAY_SECONDS: Final = 2.0

_MILLISECONDS_PER_SECOND: Final = 1000
_BYTES_PER_KIBIBYTE: Final = 1024


class TickMonitor:
    """Measures the delay and the duration of ticks."""

    def __init__(self, *, metrics: Metrics, interval_seconds: float) -> None:
        """Measure the delay of the first tick from now."""
        self._metrics = metrics
        self._interval_seconds = interval_seconds
        self._started_at = read_clock()
        self._due_at = read_clock()

    def begin(self) -> None:
        """Record the start of a tick; a long delay is logged."""
        self._started_at = read_clock()
        delay = max(0, self._started_at - self._due_at)
        self._metrics.timing(
            Metric.TICK_DELAY, delay * _MILLISECONDS_PER_SECOND
        )
        if delay >= PAUSED_NODE_DELAY_SECONDS:
            emit(LogEvent.NODE_PAUSED, seconds=delay)
        elif delay >= LATE_TICK_DELAY_SECONDS:
            emit(LogEvent.TICK_LATE, seconds=delay)

    def end(self) -> None:
        """Record the end of the tick; the next is due after the interval."""
        ended_at = read_clock()
        elapsed = (ended_at - self._started_at) * _MILLISECONDS_PER_SECOND
        self._metrics.timing(Metric.TICK_TIME, elapsed)
        self._due_at = ended_at + self._interval_seconds


class GaugeReporter:
    """Sets the gauges of a node."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        journal_keeper: JournalKeeper,
        program_calls: ProgramCalls,
        cluster: Cluster,
        directory: BackendDirectory,
    ) -> None:
        """Use the components whose state the gauges show."""
        self._metrics = metrics
        self._journal_keeper = journal_keeper
        self._program_calls = program_calls
        self._cluster = cluster
        self._directory = directory

    def report(self) -> None:
        """Set every gauge, then send all collected metrics."""
        self._report_ledger()
        self._report_cluster()
        self._report_runners()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._metrics.gauge(
            Metric.MEMORY, usage.ru_maxrss * _BYTES_PER_KIBIBYTE
        )
        self._metrics.flush()

    def _report_ledger(self) -> None:
        owned_journals = self._journal_keeper.list_owned_journals()
        live = sum(
            not program.ended
            for journal in owned_journals
            for program in journal.view.programs_by_id.values()
        )
        pending = sum(
            len(journal.pending) + len(journal.in_flight_by_id)
            for journal in owned_journals
        )
        running = len(self._program_calls.running_by_program)
        self._metrics.gauge(Metric.PARTITIONS_OWNED, len(owned_journals))
        self._metrics.gauge(Metric.PROGRAMS_LIVE, live)
        self._metrics.gauge(Metric.RECORDS_PENDING, pending)
        self._metrics.gauge(Metric.CALLS_RUNNING, running)
        self._metrics.gauge(
            Metric.BYTES_PENDING, self._journal_keeper.waiting.size_bytes
        )

    def _report_cluster(self) -> None:
        members = self._cluster.members.members_by_name.values()
        states = [member.state for member in members]
        counts = self._cluster.transport.counts
        self._metrics.gauge(
            Metric.MEMBERS_LIVE, len(self._cluster.list_boots())
        )
        self._metrics.gauge(
            Metric.MEMBERS_SUSPECTED, states.count(MemberState.SUSPECTED)
        )
        self._metrics.gauge(Metric.PEER_MESSAGES, counts.sent)
        self._metrics.gauge(Metric.PEER_REJECTED, counts.rejected)
        self._metrics.gauge(
            Metric.CONFIGURATION_OFFSET,
            self._cluster.configuration.tables.next_offset,
        )

    def _report_runners(self) -> None:
        servers = self._directory.tables.backend_servers_by_id.values()
        leaving = sum(server.is_leaving for server in servers)
        self._metrics.gauge(Metric.RUNNERS_LIVE, len(servers) - leaving)
        self._metrics.gauge(Metric.RUNNERS_LEAVING, leaving)
