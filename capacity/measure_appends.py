"""Appends a second at the log against programs that run at once."""

import time
from collections.abc import Iterable
from typing import Final

from bronzepost._internal.core.ledger.journal_handler import (
    APPENDS_PER_SECOND as APPENDS_EACH,
)

from . import scale
from .fleet import FAST_ENGINE, SETTLE_SECONDS, Counts, Fleet
from .load import run_programs
from .rows import Point, Row, judge, show_points

PROGRAM_COUNTS: Final = (1, 4, 16, 48, 96)
NODES: Final = 4
LOAD_SECONDS: Final = 10.0
# A partition may append 5 times at once before it is held to its rate, which
# is a tenth of what it appends in this run.
BURST_SHARE: Final = 0.1
SHORT_TOKENS: Final = 2


def measure_appends() -> Iterable[Row]:
    """Yield appends a second against programs."""
    options = {'engine': FAST_ENGINE}
    with Fleet(nodes=NODES, is_counted=True, options=options) as fleet:
        time.sleep(SETTLE_SECONDS)
        found = [
            (programs, *_measure_load(fleet, programs))
            for programs in PROGRAM_COUNTS
        ]
    yield _append_row(
        [(programs, appended) for programs, appended, _ in found],
        [(programs, finished) for programs, _, finished in found],
    )


def _append_row(points: list[Point], calls: list[Point]) -> Row:
    most = max(appended for _, appended in points)
    ceiling = APPENDS_EACH * scale.PARTITIONS
    return Row(
        role=f'appends a second at the log against programs, {NODES} nodes',
        slope=f'at most {most:.0f}/s measured',
        points=(
            f'appends/s {show_points(points)} / turns/s {show_points(calls)}'
        ),
        scaled=f'{ceiling:.0f} appends/s: 48 partitions at 5 a second',
        bound='several hundred appends/s',
        fits=judge(most, scale.APPENDS_PER_SECOND + BURST_SHARE * ceiling),
        mechanism='group commit: a partition appends 5 times a second',
    )


def _measure_load(fleet: Fleet, programs: int) -> tuple[float, float]:
    before = count_appends(fleet.read_counts())
    done = run_programs(
        [node.caller_address for node in fleet.nodes],
        programs=programs,
        tokens=SHORT_TOKENS,
        seconds=LOAD_SECONDS,
    )
    appended = count_appends(fleet.read_counts()) - before
    return appended / done.seconds, done.calls / done.seconds


def count_appends(counts: Counts) -> float:
    """Return the append requests to the streams of programs."""
    return sum(
        numbers[2]
        for cause, numbers in counts.items()
        if cause.startswith('append to programs')
    )
