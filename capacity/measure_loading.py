"""Bytes and time to load a partition and to encode a checkpoint."""

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
from .rows import Point, Row, check_bound, fit_line, format_points

RECORD_COUNTS: Final = (250, 500, 1000, 2000, 4000)
CHECKPOINT_TURNS: Final = (25, 50, 100, 200)
PROGRAMS_IN_LOAD: Final = 100
PROGRAMS_IN_CHECKPOINT: Final = 1400
TICK_MILLISECONDS: Final = 50
# Factor between metric units, such as seconds and milliseconds.
_KILO: Final = 1000
_MEGABYTE: Final = 1_000_000


def measure_loading() -> Iterable[Row]:
    """Yield the cost of loading a partition, then of a checkpoint."""
    sizes: list[Point] = []
    times: list[Point] = []
    for count in RECORD_COUNTS:
        page = encode_page(count)
        sizes.append((count, len(page) / _MEGABYTE))
        times.append((count, time_loading(page) * _KILO))
    yield from _loading_rows(sizes, times)
    yield from measure_checkpoint()


def encode_page(count: int) -> bytes:
    """Return the JSON of ``count`` records, as the log answers a read."""
    turns = count // PROGRAMS_IN_LOAD + 1
    records = list(list_records(PROGRAMS_IN_LOAD, turns))[:count]
    return msgspec.json.encode([encode_record(record) for record in records])


def time_loading(page: bytes) -> float:
    """Return the seconds to decode a page and apply its records."""
    journal = Journal(stream=STREAM, node=NODE, boot=BOOT)
    started = time.perf_counter()
    bodies: list[dict[str, Any]] = msgspec.json.decode(page)
    records_read = events.RecordsRead(
        at=0,
        from_offset=0,
        records=tuple(enumerate(bodies)),
        first_offset=0,
        next_offset=len(bodies),
    )
    handle_event(records_read, journal)
    return time.perf_counter() - started


def _loading_rows(sizes: list[Point], times: list[Point]) -> Iterable[Row]:
    max_records = 2 * scale.PROGRAMS_PER_PARTITION
    size_line = fit_line(sizes)
    time_line = fit_line(times)
    yield Row(
        role='bytes to load a partition against records since the checkpoint',
        slope=f'{size_line.slope * _KILO:.2f} KB per record',
        points=format_points(sizes),
        scaled=(
            f'{size_line.value_at(max_records):.1f} MB for {max_records:.0f}'
            ' records'
        ),
        mechanism='a checkpoint every 1,000 records or 2 per program',
    )
    yield Row(
        role='time to load a partition against records since the checkpoint',
        slope=f'{time_line.slope * _KILO:.1f} us per record',
        points=format_points(times),
        scaled=(
            f'{time_line.value_at(max_records):.0f} ms for {max_records:.0f}'
            ' records'
        ),
        bound=f'{scale.MAX_TAKEOVER_SECONDS} s for the whole takeover',
        fits=check_bound(
            time_line.value_at(max_records), scale.MAX_TAKEOVER_SECONDS * _KILO
        ),
        mechanism='a checkpoint every 1,000 records or 2 per program',
    )


def measure_checkpoint() -> Iterable[Row]:
    """Yield bytes and time of a checkpoint by turns per program."""
    sizes: list[Point] = []
    times: list[Point] = []
    for turns in CHECKPOINT_TURNS:
        checkpoint, seconds = time_checkpoint(turns)
        sizes.append((turns, len(checkpoint) / _MEGABYTE))
        times.append((turns, seconds * _KILO))
    size_line = fit_line(sizes)
    time_line = fit_line(times)
    yield Row(
        role='bytes of a checkpoint of 1,400 programs against turns',
        slope=f'{size_line.slope * _KILO:.1f} KB per turn of all',
        points=format_points(sizes),
        scaled=(
            f'{size_line.value_at(scale.TURNS_PER_PROGRAM):.1f} MB at 400 turns'
        ),
        mechanism='history as one offset per turn',
    )
    yield Row(
        role='time the loop stands still for a checkpoint against turns',
        slope=f'{time_line.slope:.2f} ms per turn of all',
        points=format_points(times),
        scaled=(
            f'{time_line.value_at(scale.TURNS_PER_PROGRAM):.0f} ms at 400 turns'
        ),
        bound=f'{TICK_MILLISECONDS} ms, one tick',
        fits=check_bound(
            time_line.value_at(scale.TURNS_PER_PROGRAM), TICK_MILLISECONDS
        ),
        mechanism='history as one offset per turn',
    )


def time_checkpoint(turns: int) -> tuple[bytes, float]:
    """Return an encoded checkpoint and the seconds to build and encode it."""
    journal = Journal(stream=STREAM, node=NODE, boot=BOOT)
    journal.state = build_state(PROGRAMS_IN_CHECKPOINT, turns)
    started = time.perf_counter()
    record: Record = build_checkpoint(journal)
    encoded = msgspec.json.encode({'records': [encode_record(record)]})
    return encoded, time.perf_counter() - started
