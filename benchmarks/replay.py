"""Replay of one trace against one policy."""

import dataclasses
import functools

import numpy as np
from hdrh.histogram import HdrHistogram

from bronzepost._internal.core.scheduling.events import ProgramEnded
from bronzepost._internal.core.scheduling.policies import make_policy
from bronzepost._internal.core.scheduling.tables import (
    CallRequest,
    SchedulingTables,
)

from .clock import VirtualClock
from .cluster import Cluster
from .dispatcher import Dispatcher, PendingCall
from .program_run import ProgramRun, RunContext
from .settings import Deployment, Shapes, TraceShape
from .traces import Lookup, Program, Trace, TraceSource
from .working_set import compute_engine_cache_tokens

# Programs that have not ended this long after the end of the trace count as
# not completed.
DRAIN_SECONDS = 14400
MAX_LATENCY_MILLISECONDS = 100000000
SIGNIFICANT_DIGITS = 3
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Parameters of one run; ``nodes`` is the number of schedulers."""

    deployment: str
    trace: str
    policy: str
    seed: int
    nodes: int = 1


class Latencies:
    """Histogram of latencies with three significant digits."""

    def __init__(self) -> None:
        """Create an empty histogram of milliseconds."""
        self.recorded_count = 0
        self._histogram = HdrHistogram(
            1, MAX_LATENCY_MILLISECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Add one latency, rounded to at least 1 ms."""
        self.recorded_count += 1
        self._histogram.record_value(
            max(round(seconds * MILLISECONDS_PER_SECOND), 1)
        )

    def find_percentile(self, percentile: float) -> float:
        """Return a percentile in seconds, 0 if nothing was recorded."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / MILLISECONDS_PER_SECOND


class Replay:
    """Simulation of a trace with its schedulers and servers."""

    def __init__(self, shapes: Shapes, case: Case) -> None:
        """Draw the trace and build the servers and the schedulers."""
        self.program_latencies = Latencies()
        self.lookup_latencies = Latencies()
        self._deployment = find_deployment(shapes, case.deployment)
        self._clock = VirtualClock()
        self.trace: Trace = TraceSource(
            shapes=shapes,
            deployment=self._deployment,
            trace=find_trace(shapes, case.trace),
            seed=case.seed,
        ).draw()
        self._generator = np.random.default_rng(case.seed)
        self.cluster = Cluster(
            clock=self._clock,
            shapes=shapes,
            deployment=self._deployment,
            cache_tokens=compute_engine_cache_tokens(
                shapes, self._deployment, case.seed
            ),
            generator=self._generator,
        )
        self._context = RunContext(
            clock=self._clock,
            cluster=self.cluster,
            shapes=shapes,
            deployment=self._deployment,
        )
        self.dispatchers = [
            self._build_dispatcher(case) for _ in range(case.nodes)
        ]
        self._unfinished_count = len(self.trace.programs) + len(
            self.trace.lookups
        )

    def run(self) -> None:
        """Run until nothing is due or the drain time is over."""
        for number, program in enumerate(self.trace.programs):
            self._clock.call_at(
                program.arrives_at,
                functools.partial(self._start_program, number, program),
            )
        for lookup in self.trace.lookups:
            self._clock.call_at(
                lookup.arrives_at,
                functools.partial(self._start_lookup, lookup),
            )
        lost_at = self.trace.shape.zone_lost_at
        if lost_at is not None:
            self._clock.call_at(lost_at, self._fail_zone)
        self._report_loads()
        self._clock.run(self.trace.shape.seconds + DRAIN_SECONDS)

    def _build_dispatcher(self, case: Case) -> Dispatcher:
        return Dispatcher(
            clock=self._clock,
            policy=make_policy(
                case.policy,
                cache_weight=self._deployment.cache_weight,
                memory_share=1 / case.nodes,
            ),
            tables=SchedulingTables(
                zone_latency_seconds_by_pair=build_zone_latencies(
                    self._deployment
                )
            ),
            cluster=self.cluster,
            generator=self._generator,
        )

    def _find_node_zone(self, number: int) -> str:
        """Return a node's zone; the first node is outside the failing zone."""
        zones = self._deployment.zones
        return zones[(number + 1) % len(zones)]

    def _start_program(self, number: int, program: Program) -> None:
        node = number % len(self.dispatchers)
        ProgramRun(
            context=self._context,
            dispatcher=self.dispatchers[node],
            zone=self._find_node_zone(node),
            program=program,
            on_end=functools.partial(self._end_program, program),
        ).issue_model_call()

    def _end_program(self, program: Program) -> None:
        self._unfinished_count -= 1
        self.program_latencies.record(self._clock.now - program.arrives_at)

    def _start_lookup(self, lookup: Lookup) -> None:
        dispatcher = self.dispatchers[0]
        call = CallRequest(
            program_id=lookup.lookup_id,
            service=self._deployment.plain_service,
            availability_zone=self._find_node_zone(0),
        )
        dispatcher.send(
            PendingCall(
                call=call,
                issued_at=lookup.arrives_at,
                run_seconds=lookup.run_seconds,
                on_done=functools.partial(self._end_lookup, lookup),
            )
        )

    def _end_lookup(self, lookup: Lookup) -> None:
        self._unfinished_count -= 1
        now = self._clock.now
        self.lookup_latencies.record(now - lookup.arrives_at)
        self.dispatchers[0].apply(
            ProgramEnded(at=now, program_id=lookup.lookup_id)
        )

    def _fail_zone(self) -> None:
        failed_ids = self.cluster.fail_zone(self._deployment.zones[0])
        for dispatcher in self.dispatchers:
            self._clock.call_later(
                self.trace.shape.detection_seconds,
                functools.partial(dispatcher.remove_failed_servers, failed_ids),
            )

    def _report_loads(self) -> None:
        if not self._unfinished_count:
            return
        self.cluster.report_loads()
        self._clock.call_later(
            self._context.shapes.engine.report_interval_seconds,
            self._report_loads,
        )


def find_deployment(shapes: Shapes, name: str) -> Deployment:
    """Return the deployment of that name."""
    return next(each for each in shapes.deployments if each.name == name)


def find_trace(shapes: Shapes, name: str) -> TraceShape:
    """Return the trace shape of that name."""
    return next(each for each in shapes.traces if each.name == name)


def build_zone_latencies(
    deployment: Deployment,
) -> dict[tuple[str, str], float]:
    """Return the one-way seconds between all pairs of zones."""
    return {
        (source, target): deployment.zone_distance_seconds
        for source in deployment.zones
        for target in deployment.zones
        if source != target
    }
