"""Figures of runs, and their summary over seeds."""

import dataclasses
import statistics
from collections.abc import Callable, Sequence

from .replay import Case, Replay
from .settings import load_shapes

BASELINES = ('round_robin', 'least_outstanding', 'sticky_fcfs')
POLICIES = (*BASELINES, 'program_aware')
MEDIAN_PERCENTILE = 50
HIGH_PERCENTILE = 95
HIGHEST_PERCENTILE = 99
DIGITS = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunFigures:
    """Figures of one run; latencies are of whole programs, in seconds.

    ``wasted_fraction`` is the tokens that were filled and then evicted or
    released without being hit by a prompt while their program lived, over all
    tokens filled. ``longest_wait_seconds`` is the longest time from the issue
    of a model call, refusals included, until an engine started it.
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
    """Median, smallest and largest of a figure over the seeds."""

    median: float
    smallest: float
    largest: float


def run_case(case: Case) -> RunFigures:
    """Replay one case and return its figures."""
    replay = Replay(load_shapes(), case)
    replay.run()
    cache = replay.cluster.sum_figures()
    latencies = replay.program_latencies
    sums = [dispatcher.figures for dispatcher in replay.dispatchers]
    return RunFigures(
        programs=len(replay.trace.programs),
        completed=latencies.recorded,
        p50_seconds=latencies.find_percentile(MEDIAN_PERCENTILE),
        p95_seconds=latencies.find_percentile(HIGH_PERCENTILE),
        p99_seconds=latencies.find_percentile(HIGHEST_PERCENTILE),
        wasted_fraction=cache.wasted / max(cache.filled, 1),
        filled_tokens=cache.filled,
        hit_tokens=cache.hit,
        refusals=sum(each.refusals for each in sums),
        resent=sum(each.resent for each in sums),
        longest_wait_seconds=max(each.longest_wait_seconds for each in sums),
        lookup_p95_seconds=replay.lookup_latencies.find_percentile(
            HIGH_PERCENTILE
        ),
    )


def summarise(values: Sequence[float]) -> Spread:
    """Return the spread of one figure over the seeds."""
    return Spread(
        median=round(statistics.median(values), DIGITS),
        smallest=round(min(values), DIGITS),
        largest=round(max(values), DIGITS),
    )


def find_p95(figures: RunFigures) -> float:
    """Return the figure that the latency ratio compares."""
    return figures.p95_seconds


def find_waste(figures: RunFigures) -> float:
    """Return the figure that the waste ratio compares."""
    return figures.wasted_fraction


def compare(
    figures_by_case: dict[Case, RunFigures],
    cases: Sequence[Case],
    measure: Callable[[RunFigures], float],
) -> Spread | None:
    """Return the spread of the ratio to the best baseline of each seed.

    None if a baseline was not run. A ratio to a best baseline of 0 is given
    as 1 if the policy is at 0 too, and as infinite otherwise.
    """
    ratios: list[float] = []
    for case in cases:
        others = [
            figures_by_case.get(dataclasses.replace(case, policy=name))
            for name in BASELINES
        ]
        known = [measure(other) for other in others if other is not None]
        if len(known) < len(BASELINES):
            return None
        ratios.append(divide(measure(figures_by_case[case]), min(known)))
    return summarise(ratios)


def divide(figure: float, best: float) -> float:
    """Return a ratio that is defined for a best figure of 0."""
    if best:
        return figure / best
    return float('inf') if figure else 1
