"""Bar chart of the ratios to the best baseline."""

import pathlib
import types
from collections.abc import Sequence
from typing import Any

import matplotlib as mpl

from .figures import Spread
from .report import Row

POLICY = 'program_aware'
FIGURE_INCHES = (9, 5)
TARGETS_BY_NAME = types.MappingProxyType({'p95': 0.6, 'waste': 0.5})


def write_plot(rows: Sequence[Row], path: str) -> None:
    """Write the chart of the program-aware policy with the peak targets."""
    mpl.use('agg')
    from matplotlib import pyplot as plt  # noqa: PLC0415

    policy_rows = [row for row in rows if row.policy == POLICY]
    labels = [f'{row.deployment}\n{row.trace}' for row in policy_rows]
    figure, subplots = plt.subplots(2, 1, figsize=FIGURE_INCHES, sharex=True)
    latency = [row.p95_ratio_to_best_baseline for row in policy_rows]
    waste = [row.waste_ratio_to_best_baseline for row in policy_rows]
    draw_bars(subplots[0], labels, latency, 'p95')
    draw_bars(subplots[1], labels, waste, 'waste')
    plt.setp(subplots[1].get_xticklabels(), fontsize='x-small')
    figure.tight_layout()
    figure.savefig(pathlib.Path(path))


def draw_bars(
    axes: Any,
    labels: Sequence[str],
    spreads: Sequence[Spread | None],
    name: str,
) -> None:
    """Draw bars with their spread, and the target as a dashed line."""
    medians, below, above = split_spreads(spreads)
    axes.bar(labels, medians, yerr=[below, above])
    axes.axhline(TARGETS_BY_NAME[name], linestyle='--')
    axes.set_ylabel(f'{name} ratio')


def split_spreads(
    spreads: Sequence[Spread | None],
) -> tuple[list[float], list[float], list[float]]:
    """Return medians and their distances to the minimum and the maximum."""
    drawn_spreads = [
        spread or Spread(median=0, smallest=0, largest=0) for spread in spreads
    ]
    return (
        [each.median for each in drawn_spreads],
        [each.median - each.smallest for each in drawn_spreads],
        [each.largest - each.median for each in drawn_spreads],
    )
