"""Processor time of a routing decision, by the benchmark's measurement."""

from collections.abc import Iterable
from typing import Final

from benchmarks.decisions import time_decisions

from . import scale
from .rows import Point, Row, fit_line, show_points

SERVER_COUNTS: Final = (12, 100, 300, 600)
PROGRAM_COUNT: Final = 1400
POLICY: Final = 'program_aware'
_MICROSECONDS: Final = 1_000_000


def measure_choices() -> Iterable[Row]:
    """Yield the time of a decision against the number of runners."""
    points: list[Point] = [
        (servers, time_decisions(POLICY, servers, PROGRAM_COUNT))
        for servers in SERVER_COUNTS
    ]
    line = fit_line(points)
    per_owner = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    share = line.at(scale.RUNNERS) * per_owner / _MICROSECONDS * 100
    yield Row(
        role='time of a routing decision against runners, 1,400 programs',
        slope=f'{line.intercept:.1f} us + {line.slope:.2f} us per runner',
        points=show_points(points),
        scaled=(
            f'{line.at(scale.RUNNERS):.0f} us at 600 runners;'
            f' {share:.1f}% of a core at {per_owner:.0f} calls/s an owner'
        ),
        mechanism='the cost is computed for every runner of the model',
    )
