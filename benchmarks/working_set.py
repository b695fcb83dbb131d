"""Working set of a trace: history tokens of live programs."""

from .settings import Deployment, EngineShape, Shapes
from .traces import Program, Trace, TraceSource, Turn

PEAK_TRACE = 'peak_crowd'


class WorkingSet:
    """History of live programs over time, as if no call ever waited."""

    def __init__(self, *, engine: EngineShape, start: float, end: float):
        """Measure between ``start`` and ``end``, in seconds."""
        self._engine = engine
        self._start = start
        self._end = end
        self.token_seconds: float = 0

    def add_program(self, program: Program, at: float) -> float:
        """Add a program that starts at ``at``; return when it ends."""
        history_tokens = 0
        now = at
        for turn in program.turns:
            history_tokens += turn.added_tokens + turn.output_tokens
            ends_at = self._find_turn_end(turn, now)
            overlap = min(ends_at, self._end) - max(now, self._start)
            self.token_seconds += history_tokens * max(overlap, 0)
            now = ends_at
        return now

    def mean_tokens(self) -> float:
        """Return the mean history tokens of live programs in the interval."""
        return self.token_seconds / (self._end - self._start)

    def _find_turn_end(self, turn: Turn, at: float) -> float:
        """Return when the turn and its tool or sub-agents end, unqueued."""
        engine = self._engine
        step = engine.step_base_seconds + engine.step_seconds_per_sequence
        answered_at = at + turn.added_tokens / engine.prefill_tokens_per_second
        answered_at += turn.output_tokens * step
        end_times = [
            self.add_program(child, answered_at) for child in turn.sub_agents
        ]
        return max([answered_at + turn.tool_seconds, *end_times])


def compute_engine_cache_tokens(
    shapes: Shapes,
    deployment: Deployment,
    seed: int,
) -> int:
    """Return the cache capacity of one engine of the deployment, in tokens."""
    shape = next(shape for shape in shapes.traces if shape.name == PEAK_TRACE)
    trace: Trace = TraceSource(
        shapes=shapes, deployment=deployment, trace=shape, seed=seed
    ).draw()
    working_set = WorkingSet(
        engine=shapes.engine, start=shape.crowd_from, end=shape.crowd_until
    )
    for program in trace.programs:
        working_set.add_program(program, program.arrives_at)
    share = shapes.cache.working_set_share
    total = working_set.mean_tokens() * share
    return int(total / len(deployment.engine_zones))
