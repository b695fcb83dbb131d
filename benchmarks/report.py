"""Rows of the benchmark's report, as JSON or as a table."""

import dataclasses
from collections.abc import Sequence
from typing import TextIO

import msgspec

from .figures import (
    RunFigures,
    Spread,
    compare_with_baselines,
    find_p95,
    find_waste,
    summarise,
)
from .replay import Case

TABLE_FIGURES = (
    'p50_seconds',
    'p95_seconds',
    'p99_seconds',
    'wasted_fraction',
    'refusals',
    'longest_wait_seconds',
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Figures of one policy on one trace over all seeds.

    Each ratio compares with the baseline that is best in that figure for the
    same seed.
    """

    deployment: str
    trace: str
    policy: str
    nodes: int
    seeds: tuple[int, ...]
    figures: dict[str, Spread]
    p95_ratio_to_best_baseline: Spread | None
    waste_ratio_to_best_baseline: Spread | None


def list_rows(figures_by_case: dict[Case, RunFigures]) -> list[Row]:
    """Return a row for each deployment, trace and policy."""
    groups: dict[Case, list[Case]] = {}
    for case in figures_by_case:
        groups.setdefault(dataclasses.replace(case, seed=0), []).append(case)
    return [
        build_row(figures_by_case, group, cases)
        for group, cases in groups.items()
    ]


def build_row(
    figures_by_case: dict[Case, RunFigures],
    group: Case,
    cases: Sequence[Case],
) -> Row:
    """Return the row of the cases that differ only by their seed."""
    runs = [figures_by_case[case] for case in cases]
    return Row(
        deployment=group.deployment,
        trace=group.trace,
        policy=group.policy,
        nodes=group.nodes,
        seeds=tuple(case.seed for case in cases),
        figures={
            field.name: summarise([getattr(run, field.name) for run in runs])
            for field in dataclasses.fields(RunFigures)
        },
        p95_ratio_to_best_baseline=compare_with_baselines(
            figures_by_case, cases, find_p95
        ),
        waste_ratio_to_best_baseline=compare_with_baselines(
            figures_by_case, cases, find_waste
        ),
    )


def write_json(rows: Sequence[Row], stream: TextIO) -> None:
    """Write the rows as one JSON document."""
    encoded = msgspec.json.format(msgspec.json.encode(rows))
    stream.write(f'{encoded.decode()}\n')


def write_table(rows: Sequence[Row], stream: TextIO) -> None:
    """Write a table of medians, and of ratios with their spread."""
    names = [name.removesuffix('_seconds') for name in TABLE_FIGURES]
    stream.write(
        f'{"deployment":12} {"trace":14} {"policy":18} '
        f'{" ".join(f"{name:>15}" for name in names)}'
        f' {"p95 ratio":>20} {"waste ratio":>20}\n'
    )
    for row in rows:
        figures = ' '.join(
            f'{row.figures[name].median:15.3f}' for name in TABLE_FIGURES
        )
        stream.write(
            f'{row.deployment:12} {row.trace:14} {row.policy:18} {figures}'
            f' {format_spread(row.p95_ratio_to_best_baseline):>20}'
            f' {format_spread(row.waste_ratio_to_best_baseline):>20}\n'
        )


def format_spread(spread: Spread | None) -> str:
    """Return the text of a median with the minimum and the maximum."""
    if spread is None:
        return '-'
    return f'{spread.median:.2f} ({spread.smallest:.2f}-{spread.largest:.2f})'
