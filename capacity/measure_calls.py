"""Processor time of calls at one node."""

import time
from collections.abc import Iterable
from typing import Final

from . import scale
from .client import Conversation
from .fleet import FAST_ENGINE, SETTLE_SECONDS, Fleet, sample_cpu
from .load import run_programs
from .rows import Point, Row, fit_line, format_points

PROGRAM_COUNTS: Final = (4, 8, 16, 32)
TOKEN_COUNTS: Final = (1, 16, 64, 256)
HISTORY_KILOBYTES: Final = (10, 100, 500, 1000, 2000)
LOAD_SECONDS: Final = 8.0
IDLE_SECONDS: Final = 5.0
TOKEN_PROGRAMS: Final = 4
HISTORY_CALLS: Final = 8
SHORT_TOKENS: Final = 4
# Factor between metric units, such as seconds and milliseconds.
_KILO: Final = 1000
_KILOBYTE: Final = 1000


def measure_calls() -> Iterable[Row]:
    """Yield processor time per call, per token and per byte of history."""
    with Fleet(nodes=1, options={'engine': FAST_ENGINE}) as fleet:
        time.sleep(SETTLE_SECONDS)
        idle = sample_cpu(fleet, IDLE_SECONDS)[0]
        yield _call_row([
            _load_point(fleet, programs) for programs in PROGRAM_COUNTS
        ])
        yield _token_row([
            (tokens, _token_cost(fleet, tokens, idle))
            for tokens in TOKEN_COUNTS
        ])
        yield _history_row([
            (kilobytes, _history_cost(fleet, kilobytes, idle))
            for kilobytes in HISTORY_KILOBYTES
        ])


def _load_point(fleet: Fleet, programs: int) -> Point:
    """Return calls per second and their processor time in ms per second."""
    before = fleet.read_cpu_times()[0]
    result = run_programs(
        [fleet.nodes[0].caller_address],
        programs=programs,
        tokens=SHORT_TOKENS,
        seconds=LOAD_SECONDS,
    )
    cpu_seconds = fleet.read_cpu_times()[0] - before
    return result.calls / result.seconds, cpu_seconds / result.seconds * _KILO


def _call_row(points: list[Point]) -> Row:
    line = fit_line(points)
    per_owner = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    share = line.slope * per_owner / _KILO * 100
    return Row(
        role='processor time (ms a second) against calls a second, 4 tokens',
        slope=f'{line.slope:.2f} ms per call',
        points=format_points(points),
        scaled=(
            f'{share:.0f}% of a core for the {per_owner:.0f} calls/s of an'
            ' owner of one partition'
        ),
        mechanism='the owner of the program does the whole call',
    )


def _token_cost(fleet: Fleet, tokens: int, idle: float) -> float:
    """Return the processor time of a call in ms, without the idle load."""
    before = fleet.read_cpu_times()[0]
    result = run_programs(
        [fleet.nodes[0].caller_address],
        programs=TOKEN_PROGRAMS,
        tokens=tokens,
        seconds=LOAD_SECONDS,
    )
    cpu_seconds = (
        fleet.read_cpu_times()[0] - before - idle / 100 * result.seconds
    )
    return cpu_seconds / max(result.calls, 1) * _KILO


def _token_row(points: list[Point]) -> Row:
    line = fit_line(points)
    microseconds = line.slope * _KILO
    per_owner = scale.TOKENS_PER_SECOND / scale.PARTITIONS
    share = microseconds * per_owner / _KILO**2 * 100
    return Row(
        role='processor time (ms) of a call against tokens streamed',
        slope=f'{line.intercept:.2f} ms + {microseconds:.0f} us per token',
        points=format_points(points),
        scaled=(
            f'{share:.0f}% of a core for the {per_owner:.0f} tokens/s of an'
            ' owner of one partition'
        ),
        bound='100% of the one core that a node can use',
        fits='fits' if share <= 100 else 'does not fit',
        mechanism='each chunk is read, numbered and written on its own',
    )


def _history_cost(fleet: Fleet, kilobytes: int, idle: float) -> float:
    program = Conversation(address=fleet.nodes[0].caller_address)
    program.make_call(SHORT_TOKENS, 'x' * kilobytes * _KILOBYTE)
    before = fleet.read_cpu_times()[0]
    started = time.monotonic()
    for _ in range(HISTORY_CALLS):
        program.make_call(SHORT_TOKENS)
    elapsed = time.monotonic() - started
    cpu_seconds = fleet.read_cpu_times()[0] - before - idle / 100 * elapsed
    program.end()
    return cpu_seconds / HISTORY_CALLS * _KILO


def _history_row(points: list[Point]) -> Row:
    line = fit_line(points)
    mean_kilobytes = scale.HISTORY_BYTES / _KILOBYTE / 2
    per_owner = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    share = line.value_at(mean_kilobytes) * per_owner / _KILO * 100
    return Row(
        role='processor time (ms) of a call against KB of history sent',
        slope=f'{line.intercept:.1f} ms + {line.slope * 1000:.1f} us per KB',
        points=format_points(points),
        scaled=(
            f'{line.value_at(mean_kilobytes):.0f} ms a call at the mean'
            ' history of 1 MB;'
            f' {share:.0f}% of a core for {per_owner:.0f} calls/s'
        ),
        bound='100% of the one core that a node can use',
        fits='fits' if share <= 100 else 'does not fit',
        mechanism='whole messages from the caller, checked by a digest',
    )
