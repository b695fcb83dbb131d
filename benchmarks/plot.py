"""Plot of the ratios to the best baseline."""

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
    """Write a bar chart of our ratios; the lines are the targets at peak."""
    mpl.use('agg')
    from matplotlib import pyplot as plt  # noqa: PLC0415

    ours = [row for row in rows if row.policy == POLICY]
    labels = [f'{row.deployment}\n{row.trace}' for row in ours]
    figure, panes = plt.subplots(2, 1, figsize=FIGURE_INCHES, sharex=True)
    latency = [row.p95_ratio_to_best_baseline for row in ours]
    waste = [row.waste_ratio_to_best_baseline for row in ours]
    draw_bars(panes[0], labels, latency, 'p95')
    draw_bars(panes[1], labels, waste, 'waste')
    plt.setp(panes[1].get_xticklabels(), fontsize='x-small')
    figure.tight_layout()
    figure.savefig(pathlib.Path(path))


def draw_bars(
    pane: Any,
    labels: Sequence[str],
    spreads: Sequence[Spread | None],
    name: str,
) -> None:
    """Draw the ratios with their spread and the target of one figure."""
    medians, below, above = split_spreads(spreads)
    pane.bar(labels, medians, yerr=[below, above])
    pane.axhline(TARGETS_BY_NAME[name], linestyle='--')
    pane.set_ylabel(f'{name} ratio')


def split_spreads(
    spreads: Sequence[Spread | None],
) -> tuple[list[float], list[float], list[float]]:
    """Return medians and the distances to the smallest and the largest."""
    known = [
        spread or Spread(median=0, smallest=0, largest=0) for spread in spreads
    ]
    return (
        [each.median for each in known],
        [each.median - each.smallest for each in known],
        [each.largest - each.median for each in known],
    )
