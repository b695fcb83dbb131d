"""Report the state of a node as gauges, and ticks that came late."""

import resource
from typing import Final

from bronzepost._internal.core.membership import MemberState
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.program_calls import ProgramCalls
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import Metrics

# Above this a probe of another node may be answered too late.
LATE_SECONDS: Final = 0.25
# Above this other nodes have taken the process for dead.
PAUSED_SECONDS: Final = 2.0

_MILLISECONDS: Final = 1000
_KILOBYTE: Final = 1024


class TickWatch:
    """Measure how late ticks come and how long they take."""

    def __init__(self, *, metrics: Metrics, tick_seconds: float) -> None:
        """Expect the first tick now."""
        self._metrics = metrics
        self._tick_seconds = tick_seconds
        self._started_at = read_clock()
        self._due_at = read_clock()

    def begin(self) -> None:
        """Record the start of a tick; log it if it is late."""
        self._started_at = read_clock()
        delay = max(0, self._started_at - self._due_at)
        self._metrics.timing(Metric.TICK_DELAY, delay * _MILLISECONDS)
        if delay >= PAUSED_SECONDS:
            emit(LogEvent.NODE_PAUSED, seconds=delay)
        elif delay >= LATE_SECONDS:
            emit(LogEvent.TICK_LATE, seconds=delay)

    def end(self) -> None:
        """Record the duration of the tick, in milliseconds."""
        ended_at = read_clock()
        elapsed = (ended_at - self._started_at) * _MILLISECONDS
        self._metrics.timing(Metric.TICK_TIME, elapsed)
        self._due_at = ended_at + self._tick_seconds


class GaugeReporter:
    """Set the gauges of a node."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        keeper: JournalKeeper,
        programs: ProgramCalls,
        cluster: Cluster,
        directory: BackendDirectory,
    ) -> None:
        """Use the parts that the gauges describe."""
        self._metrics = metrics
        self._keeper = keeper
        self._programs = programs
        self._cluster = cluster
        self._directory = directory

    def report(self) -> None:
        """Set every gauge, then send what was collected."""
        self._report_ledger()
        self._report_cluster()
        self._report_runners()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._metrics.gauge(Metric.MEMORY, usage.ru_maxrss * _KILOBYTE)
        self._metrics.flush()

    def _report_ledger(self) -> None:
        owned = self._keeper.owned_journals()
        live = sum(
            not program.ended
            for journal in owned
            for program in journal.view.programs_by_id.values()
        )
        waiting = sum(
            len(journal.pending) + len(journal.in_flight_by_id)
            for journal in owned
        )
        running = len(self._programs.running_by_program)
        self._metrics.gauge(Metric.PARTITIONS_OWNED, len(owned))
        self._metrics.gauge(Metric.PROGRAMS_LIVE, live)
        self._metrics.gauge(Metric.RECORDS_PENDING, waiting)
        self._metrics.gauge(Metric.CALLS_RUNNING, running)
        self._metrics.gauge(
            Metric.BYTES_PENDING, self._keeper.waiting.size_bytes
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
