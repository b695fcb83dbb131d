"""Bytes and time to load a partition, and to write a checkpoint."""

import time
from collections.abc import Iterable
from typing import Any, Final

import msgspec

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger.journal import Journal, build_checkpoint
from bronzepost._internal.core.ledger.journal_handler import handle_event
from bronzepost._internal.core.ledger.records import Record, encode_record

from . import scale
from .builders import BOOT, NODE, STREAM, build_state, list_records
from .rows import Point, Row, fit_line, judge, show_points

RECORD_COUNTS: Final = (250, 500, 1000, 2000, 4000)
CHECKPOINT_TURNS: Final = (25, 50, 100, 200)
PROGRAMS_IN_LOAD: Final = 100
PROGRAMS_IN_CHECKPOINT: Final = 1400
TICK_MILLISECONDS: Final = 50
_MILLISECONDS: Final = 1000
_MEGABYTE: Final = 1_000_000


def measure_loading() -> Iterable[Row]:
    """Yield the cost of loading, then that of a checkpoint."""
    sizes: list[Point] = []
    times: list[Point] = []
    for count in RECORD_COUNTS:
        page = encode_page(count)
        sizes.append((count, len(page) / _MEGABYTE))
        times.append((count, time_loading(page) * _MILLISECONDS))
    yield from _loading_rows(sizes, times)
    yield from measure_checkpoint()


def encode_page(count: int) -> bytes:
    """Return what the log would answer for ``count`` records."""
    turns = count // PROGRAMS_IN_LOAD + 1
    records = list(list_records(PROGRAMS_IN_LOAD, turns))[:count]
    return msgspec.json.encode([encode_record(record) for record in records])


def time_loading(page: bytes) -> float:
    """Return the seconds to decode and apply the records of a page."""
    journal = Journal(stream=STREAM, node=NODE, boot=BOOT)
    started = time.perf_counter()
    bodies: list[dict[str, Any]] = msgspec.json.decode(page)
    read = events.RecordsRead(
        at=0,
        from_offset=0,
        records=tuple(enumerate(bodies)),
        first_offset=0,
        next_offset=len(bodies),
    )
    handle_event(read, journal)
    return time.perf_counter() - started


def _loading_rows(sizes: list[Point], times: list[Point]) -> Iterable[Row]:
    due = 2 * scale.PROGRAMS_PER_PARTITION
    size = fit_line(sizes)
    taken = fit_line(times)
    yield Row(
        role='bytes to load a partition against records since the checkpoint',
        slope=f'{size.slope * _MILLISECONDS:.2f} KB per record',
        points=show_points(sizes),
        scaled=f'{size.at(due):.1f} MB for {due:.0f} records',
        mechanism='a checkpoint every 1,000 records or 2 per program',
    )
    yield Row(
        role='time to load a partition against records since the checkpoint',
        slope=f'{taken.slope * _MILLISECONDS:.1f} us per record',
        points=show_points(times),
        scaled=f'{taken.at(due):.0f} ms for {due:.0f} records',
        bound=f'{scale.TAKEOVER_SECONDS} s for the whole takeover',
        fits=judge(taken.at(due), scale.TAKEOVER_SECONDS * _MILLISECONDS),
        mechanism='a checkpoint every 1,000 records or 2 per program',
    )


def measure_checkpoint() -> Iterable[Row]:
    """Yield bytes and time of a checkpoint against the turns of programs."""
    sizes: list[Point] = []
    times: list[Point] = []
    for turns in CHECKPOINT_TURNS:
        checkpoint, seconds = time_checkpoint(turns)
        sizes.append((turns, len(checkpoint) / _MEGABYTE))
        times.append((turns, seconds * _MILLISECONDS))
    size = fit_line(sizes)
    taken = fit_line(times)
    yield Row(
        role='bytes of a checkpoint of 1,400 programs against turns',
        slope=f'{size.slope * _MILLISECONDS:.1f} KB per turn of all',
        points=show_points(sizes),
        scaled=f'{size.at(scale.TURNS):.1f} MB at 400 turns',
        mechanism='history as one offset per turn',
    )
    yield Row(
        role='time the loop stands still for a checkpoint against turns',
        slope=f'{taken.slope:.2f} ms per turn of all',
        points=show_points(times),
        scaled=f'{taken.at(scale.TURNS):.0f} ms at 400 turns',
        bound=f'{TICK_MILLISECONDS} ms, one tick',
        fits=judge(taken.at(scale.TURNS), TICK_MILLISECONDS),
        mechanism='history as one offset per turn',
    )


def time_checkpoint(turns: int) -> tuple[bytes, float]:
    """Return an encoded checkpoint and the seconds that it took."""
    journal = Journal(stream=STREAM, node=NODE, boot=BOOT)
    journal.state = build_state(PROGRAMS_IN_CHECKPOINT, turns)
    started = time.perf_counter()
    record: Record = build_checkpoint(journal)
    encoded = msgspec.json.encode({'records': [encode_record(record)]})
    return encoded, time.perf_counter() - started
