"""Appends per second at the log by number of concurrent programs."""

import time
from collections.abc import Iterable
from typing import Final

from bronzepost._internal.core.ledger.journal_handler import (
    APPENDS_PER_SECOND as PARTITION_APPENDS_PER_SECOND,
)

from . import scale
from .fleet import FAST_ENGINE, SETTLE_SECONDS, Counts, Fleet
from .load import run_programs
from .rows import Point, Row, check_bound, format_points

PROGRAM_COUNTS: Final = (1, 4, 16, 48, 96)
NODES: Final = 4
LOAD_SECONDS: Final = 10.0
# The rate limit of a partition allows a burst of 5 appends, a tenth of its
# appends in this run.
BURST_SHARE: Final = 0.1
SHORT_TOKENS: Final = 2


def measure_appends() -> Iterable[Row]:
    """Yield appends per second by number of programs."""
    options = {'engine': FAST_ENGINE}
    with Fleet(nodes=NODES, is_counted=True, options=options) as fleet:
        time.sleep(SETTLE_SECONDS)
        results = [
            (programs, *_measure_load(fleet, programs))
            for programs in PROGRAM_COUNTS
        ]
    yield _append_row(
        [(programs, appends) for programs, appends, _ in results],
        [
            (programs, calls_per_second)
            for programs, _, calls_per_second in results
        ],
    )


def _append_row(points: list[Point], calls: list[Point]) -> Row:
    max_appends = max(appends for _, appends in points)
    ceiling = PARTITION_APPENDS_PER_SECOND * scale.PARTITIONS
    return Row(
        role=f'appends a second at the log against programs, {NODES} nodes',
        slope=f'at most {max_appends:.0f}/s measured',
        points=(
            f'appends/s {format_points(points)} / turns/s'
            f' {format_points(calls)}'
        ),
        scaled=f'{ceiling:.0f} appends/s: 48 partitions at 5 a second',
        bound='several hundred appends/s',
        fits=check_bound(
            max_appends, scale.MAX_APPENDS_PER_SECOND + BURST_SHARE * ceiling
        ),
        mechanism='group commit: a partition appends 5 times a second',
    )


def _measure_load(fleet: Fleet, programs: int) -> tuple[float, float]:
    before = count_appends(fleet.read_counts())
    result = run_programs(
        [node.caller_address for node in fleet.nodes],
        programs=programs,
        tokens=SHORT_TOKENS,
        seconds=LOAD_SECONDS,
    )
    appends = count_appends(fleet.read_counts()) - before
    return appends / result.seconds, result.calls / result.seconds


def count_appends(counts: Counts) -> float:
    """Return the number of append requests to program streams."""
    return sum(
        counts_of_cause[2]
        for cause, counts_of_cause in counts.items()
        if cause.startswith('append to programs')
    )
