"""Results of runs, and their summary over seeds."""

import dataclasses
import statistics
from collections.abc import Callable, Sequence

from .replay import Case, Replay
from .settings import load_shapes

BASELINES = ('round_robin', 'least_outstanding', 'sticky_fcfs')
POLICIES = (*BASELINES, 'program_aware')
P50 = 50
P95 = 95
P99 = 99
DECIMAL_PLACES = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunFigures:
    """Figures of one run; latencies are of whole programs, in seconds.

    ``wasted_fraction`` is the share of filled tokens that were evicted or
    released while their program was live and before any prompt hit them.
    ``longest_wait_seconds`` is the longest time from the issue of a model
    call until an engine started it, including the delays after refusals.
    """

    programs: int
    completed: int
    p50_seconds: float
    p95_seconds: float
    p99_seconds: float
    wasted_fraction: float
    filled_tokens: int
    hit_tokens: int
    refusals: int
    resent: int
    longest_wait_seconds: float
    lookup_p95_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Spread:
    """Median, minimum and maximum of a figure over the seeds."""

    median: float
    smallest: float
    largest: float


def run_case(case: Case) -> RunFigures:
    """Replay one case and return its figures."""
    replay = Replay(load_shapes(), case)
    replay.run()
    cache = replay.cluster.sum_cache_figures()
    latencies = replay.program_latencies
    dispatch_figures = [dispatcher.figures for dispatcher in replay.dispatchers]
    return RunFigures(
        programs=len(replay.trace.programs),
        completed=latencies.recorded_count,
        p50_seconds=latencies.find_percentile(P50),
        p95_seconds=latencies.find_percentile(P95),
        p99_seconds=latencies.find_percentile(P99),
        wasted_fraction=cache.wasted / max(cache.filled, 1),
        filled_tokens=cache.filled,
        hit_tokens=cache.hit,
        refusals=sum(each.refusals for each in dispatch_figures),
        resent=sum(each.resent for each in dispatch_figures),
        longest_wait_seconds=max(
            each.longest_wait_seconds for each in dispatch_figures
        ),
        lookup_p95_seconds=replay.lookup_latencies.find_percentile(P95),
    )


def summarise(values: Sequence[float]) -> Spread:
    """Return the spread of one figure over the seeds."""
    return Spread(
        median=round(statistics.median(values), DECIMAL_PLACES),
        smallest=round(min(values), DECIMAL_PLACES),
        largest=round(max(values), DECIMAL_PLACES),
    )


def find_p95(figures: RunFigures) -> float:
    """Return the p95 latency, which the latency ratio compares."""
    return figures.p95_seconds


def find_waste(figures: RunFigures) -> float:
    """Return the wasted fraction, which the waste ratio compares."""
    return figures.wasted_fraction


def compare_with_baselines(
    figures_by_case: dict[Case, RunFigures],
    cases: Sequence[Case],
    measure: Callable[[RunFigures], float],
) -> Spread | None:
    """Return the spread of the ratio to the best baseline of each seed.

    Returns None if a baseline was not run. If the best baseline is 0, the
    ratio is 1 where the policy is at 0 too, and infinite otherwise.
    """
    ratios: list[float] = []
    for case in cases:
        baselines = [
            figures_by_case.get(dataclasses.replace(case, policy=name))
            for name in BASELINES
        ]
        baseline_values = [
            measure(baseline) for baseline in baselines if baseline is not None
        ]
        if len(baseline_values) < len(BASELINES):
            return None
        ratios.append(
            divide_by_best(measure(figures_by_case[case]), min(baseline_values))
        )
    return summarise(ratios)


def divide_by_best(figure: float, best: float) -> float:
    """Return ``figure / best``; 1 for 0/0, infinite for other zero divisors."""
    if best:
        return figure / best
    return float('inf') if figure else 1
