"""Memory of the tables of programs, runners and settings."""

import gc
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Final

from bronzepost._internal.core import configuration
from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.tables import (
    BackendServer,
    SchedulingTables,
)

from . import scale
from .builders import build_members, build_state
from .rows import Point, Row, check_bound, fit_line, format_points

PROGRAM_COUNTS: Final = (1000, 4000, 16_000, 64_000)
TURN_COUNTS: Final = (50, 100, 200, 400)
TURN_PROGRAMS: Final = 100
SETTING_COUNTS: Final = (500, 2000, 8000, 24_300)
RUNNER_COUNTS: Final = (100, 200, 400, 600)
MEMBER_COUNTS: Final = (50, 100, 200, 410)
SETTINGS_PER_WORKSPACE: Final = 9
TOTAL_BOUND: Final = '64 MiB for all together'
_MEGABYTE: Final = 1024 * 1024
_KILOBYTE: Final = 1024


def measure_memory() -> Iterable[Row]:
    """Yield the memory per item of each table, and of one partition."""
    programs = _measure_points(
        PROGRAM_COUNTS, lambda count: build_state(count, 1)
    )
    turns = _measure_points(
        TURN_COUNTS, lambda count: build_state(TURN_PROGRAMS, count)
    )
    per_turn = fit_line(turns).slope / TURN_PROGRAMS
    per_program = fit_line(programs).slope
    yield _program_row(programs)
    yield _turn_row(turns, per_turn)
    yield _owner_row(per_program + per_turn * (scale.TURNS_PER_PROGRAM - 1))
    yield _table_row(
        'setting in the tree',
        _measure_points(SETTING_COUNTS, build_tree),
        scale.WORKSPACES * SETTINGS_PER_WORKSPACE,
    )
    yield _table_row(
        'runner', _measure_points(RUNNER_COUNTS, build_runners), scale.RUNNERS
    )
    yield _table_row(
        'member', _measure_points(MEMBER_COUNTS, build_members), scale.NODES
    )


def _measure_points(
    counts: tuple[int, ...], build: Callable[[int], object]
) -> list[Point]:
    return [(count, measure_bytes(build, count)) for count in counts]


def measure_bytes(build: Callable[[int], object], count: int) -> int:
    """Return the bytes that Python allocates for the built tables."""
    gc.collect()
    tracemalloc.start()
    # The name keeps the tables alive until they are measured.
    built = (build(count),)
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated if built else 0


def build_tree(count: int) -> configuration.ConfigurationTables:
    """Return a settings tree with ``count`` paths, each changed once."""
    tables = configuration.create_tables(
        'zone-1-1', own_peer_address='127.0.0.1:7001', boot=1
    )
    changes = tuple(
        configuration.RecordAtOffset(
            offset=number,
            record=configuration.ConfigurationChange(
                record_id=f'zone-1-1-1-{number}',
                path=f'organisation-{number}:budget',
                value=number + 1,
                base_revision=0,
                author='operator',
            ),
        )
        for number in range(1, count + 1)
    )
    tables.next_offset = 1
    log_read = configuration.LogRead(
        at=0, first_offset=0, next_offset=count + 1, records=changes
    )
    configuration.apply_event(tables, log_read)
    return tables


def build_runners(count: int) -> SchedulingTables:
    """Return the scheduler's tables with ``count`` runners."""
    tables = SchedulingTables()
    for number in range(count):
        backend_server = BackendServer(
            backend_server_id=f'runner-{number}',
            service='capacity-model',
            model='capacity-model',
            availability_zone=f'zone-{number % scale.ZONES}',
        )
        apply_event(
            tables,
            events.BackendServerListed(at=0, backend_server=backend_server),
        )
    return tables


def _program_row(points: list[Point]) -> Row:
    per_program = fit_line(points).slope
    total = per_program * scale.PROGRAMS
    return Row(
        role='memory of a program held, at its first turn',
        slope=f'{per_program:.0f} B per program',
        points=format_points(points),
        scaled=(
            f'{per_program * scale.PROGRAMS_PER_PARTITION / _MEGABYTE:.2f}'
            f' MiB per partition owned; {total / _MEGABYTE:.0f} MiB if all'
            ' programs are held'
        ),
        bound=TOTAL_BOUND,
        mechanism='only the owner of a partition holds its programs',
    )


def _turn_row(points: list[Point], per_turn: float) -> Row:
    return Row(
        role=f'memory of a turn of a program, {TURN_PROGRAMS} programs',
        slope=f'{per_turn:.1f} B per turn',
        points=format_points(points),
        scaled=(
            f'{per_turn * scale.TURNS_PER_PROGRAM / _KILOBYTE:.1f} KiB at 400'
            ' turns'
        ),
        bound=TOTAL_BOUND,
        mechanism='the owner keeps offsets of records, not the text',
    )


def _owner_row(per_program: float) -> Row:
    partition_bytes = per_program * scale.PROGRAMS_PER_PARTITION
    return Row(
        role='memory of an owner of one partition, programs at 400 turns',
        slope=f'{per_program / _KILOBYTE:.1f} KiB per program',
        scaled=f'{partition_bytes / _MEGABYTE:.1f} MiB',
        bound=TOTAL_BOUND,
        fits=check_bound(partition_bytes, scale.MAX_MEMORY_BYTES),
        mechanism='48 partitions; a node seldom owns more than one',
    )


def _table_row(name: str, points: list[Point], count: int) -> Row:
    per_item = fit_line(points).slope
    total = per_item * count
    return Row(
        role=f'memory of a {name}',
        slope=f'{per_item:.0f} B per {name}',
        points=format_points(points),
        scaled=f'{total / _MEGABYTE:.2f} MiB for {count}',
        bound=TOTAL_BOUND,
        fits=check_bound(total, scale.MAX_MEMORY_BYTES),
        mechanism='one row per item; every node holds all',
    )
