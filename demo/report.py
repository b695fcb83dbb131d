"""Figures of the demo, which are its last line of output."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import quantiles
from typing import Any, Final

from demo.observations import Observation
from demo.outcome_checks import count_double_effects, find_problems
from demo.program_run import RunResult

PERCENTILES: Final = (50, 95, 99)
DECIMALS: Final = 3
_QUANTILE_COUNT: Final = 100


@dataclass(kw_only=True, slots=True)
class Report:
    """Figures of all replays.

    ``problems_by_program`` has only programs that failed.
    """

    results: list[RunResult] = field(default_factory=list)
    problems_by_program: dict[str, list[str]] = field(default_factory=dict)
    double_effects: int = 0
    overspent: int = 0
    stranded_tokens: int = 0
    filled_tokens: int = 0
    evicted_unused_tokens: int = 0

    def add(
        self, results: Iterable[RunResult], observation: Observation
    ) -> None:
        """Add the results of the replay of one organisation."""
        for result in results:
            self.results.append(result)
            problems = find_problems(result, observation)
            if problems:
                self.problems_by_program[result.program.name] = problems
            self.overspent += len(result.overspent_programs)
            self.double_effects += count_double_effects(
                result.program.outcome.effects, observation.runs_by_key
            )
        self.stranded_tokens += observation.stranded_tokens
        self.filled_tokens += observation.filled_tokens
        self.evicted_unused_tokens += observation.evicted_unused_tokens

    @property
    def has_passed(self) -> bool:
        """Return whether all expected outcomes and all invariants hold."""
        return not (
            self.problems_by_program
            or self.double_effects
            or self.overspent
            or self.stranded_tokens
        )

    def summary(self) -> dict[str, Any]:
        """Return the figures for the last line."""
        failed = len(self.problems_by_program)
        latencies = [
            result.seconds
            for result in self.results
            if result.is_finished and not result.program.is_alone
        ]
        wasted = self.evicted_unused_tokens / max(1, self.filled_tokens)
        return {
            'programs': len(self.results),
            'completed': sum(result.is_finished for result in self.results),
            'refused': sum(
                result.refusal is not None for result in self.results
            ),
            'outcomes_met': len(self.results) - failed,
            'outcomes_failed': failed,
            'double_effects': self.double_effects,
            'overspent': self.overspent,
            'stranded_tokens': self.stranded_tokens,
            'program_latency_seconds': compute_percentiles(latencies),
            'wasted_cache_fraction': round(wasted, DECIMALS),
        }


def compute_percentiles(seconds: Sequence[float]) -> dict[str, float]:
    """Return the percentiles of the report; empty without values."""
    if not seconds:
        return {}
    # ``quantiles`` needs two values; a single one is every percentile.
    cut_points = quantiles(
        [*seconds, *seconds[:1]] if len(seconds) == 1 else seconds,
        n=_QUANTILE_COUNT,
        method='inclusive',
    )
    return {
        f'p{percent}': round(cut_points[percent - 1], DECIMALS)
        for percent in PERCENTILES
    }
