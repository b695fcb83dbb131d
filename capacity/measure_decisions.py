"""Processor time of a routing decision, measured as in the benchmark."""

from collections.abc import Iterable
from typing import Final

from benchmarks.decisions import time_decisions

from . import scale
from .rows import Point, Row, fit_line, format_points

SERVER_COUNTS: Final = (12, 100, 300, 600)
PROGRAM_COUNT: Final = 1400
POLICY: Final = 'program_aware'
_MICROSECONDS_PER_SECOND: Final = 1_000_000


def measure_choices() -> Iterable[Row]:
    """Yield the time of a decision by number of runners."""
    points: list[Point] = [
        (servers, time_decisions(POLICY, servers, PROGRAM_COUNT))
        for servers in SERVER_COUNTS
    ]
    line = fit_line(points)
    per_owner = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    share = (
        line.value_at(scale.RUNNERS)
        * per_owner
        / _MICROSECONDS_PER_SECOND
        * 100
    )
    yield Row(
        role='time of a routing decision against runners, 1,400 programs',
        slope=f'{line.intercept:.1f} us + {line.slope:.2f} us per runner',
        points=format_points(points),
        scaled=(
            f'{line.value_at(scale.RUNNERS):.0f} us at 600 runners;'
            f' {share:.1f}% of a core at {per_owner:.0f} calls/s an owner'
        ),
        mechanism='the cost is computed for every runner of the model',
    )
