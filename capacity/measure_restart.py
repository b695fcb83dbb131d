"""Log reads, memory and processor time of a restarted node."""

import time
from collections.abc import Iterable
from typing import Final

import msgspec

from bronzepost._internal.core.ledger.records import Record, encode_record
from bronzepost._internal.core.rendezvous import partition_of
from standins.http_client import request_json

from . import scale
from .builders import RecordBuilder, name_program
from .fleet import SETTLE_SECONDS, Fleet
from .proc import read_cpu_seconds, read_resident_bytes
from .rows import Point, Row, check_bound, fit_line, format_points

PROGRAM_COUNTS: Final = (500, 1000, 2000, 4000)
TURNS: Final = 2
NODES: Final = 8
APPEND_RECORDS: Final = 200
_MEGABYTE: Final = 1_000_000
_MEBIBYTE: Final = 1024 * 1024


class FilledFleet(Fleet):
    """A fleet whose log holds programs before its nodes start."""

    def __init__(self, *, programs: int) -> None:
        """Plan the fleet; its start writes the programs to the log."""
        super().__init__(nodes=NODES, is_counted=True)
        self._programs = programs

    def _start_nodes(self) -> None:
        for partition, records in build_records_by_partition(
            self._programs
        ).items():
            self._append_records(f'programs-{partition:02}', records)
        super()._start_nodes()

    def _append_records(self, stream: str, records: list[Record]) -> None:
        address = self.addresses_by_kind['log']
        for start in range(0, len(records), APPEND_RECORDS):
            bodies = [
                encode_record(record)
                for record in records[start : start + APPEND_RECORDS]
            ]
            request_json(
                'POST',
                f'{address}/streams/{stream}/records',
                {'records': bodies},
            )


def build_records_by_partition(programs: int) -> dict[int, list[Record]]:
    """Return the records of programs, by partition."""
    builders_by_partition: dict[int, RecordBuilder] = {}
    records_by_partition: dict[int, list[Record]] = {}
    for number in range(programs):
        partition = partition_of(name_program(number))
        if partition not in builders_by_partition:
            builders_by_partition[partition] = RecordBuilder()
            records_by_partition[partition] = [
                builders_by_partition[partition].build_claim()
            ]
        builder = builders_by_partition[partition]
        records_by_partition[partition].append(builder.build_start(number))
        records_by_partition[partition].extend(
            builder.build_turn(number, sequence)
            for sequence in range(1, TURNS + 1)
        )
    return records_by_partition


def measure_restart() -> Iterable[Row]:
    """Yield bytes read, memory and processor time of a restarted node."""
    read_megabytes: list[Point] = []
    resident: list[Point] = []
    cpu_seconds: list[Point] = []
    for programs in PROGRAM_COUNTS:
        with FilledFleet(programs=programs) as fleet:
            time.sleep(SETTLE_SECONDS)
            megabytes, mebibytes, seconds = restart_last_node(fleet)
        read_megabytes.append((programs, megabytes))
        resident.append((programs, mebibytes))
        cpu_seconds.append((programs, seconds))
    yield from _rows(read_megabytes, resident, cpu_seconds)


def restart_last_node(fleet: Fleet) -> tuple[float, float, float]:
    """Restart the last node; return MB read, resident MiB and CPU seconds."""
    node = fleet.nodes[-1]
    node.kill()
    fleet.start_node(node)
    time.sleep(SETTLE_SECONDS)
    process = node.process.process_id
    counts = msgspec.json.decode(fleet.write_counts(node).read_bytes())
    received_bytes = sum(
        counts_of_cause[1]
        for cause, counts_of_cause in counts.items()
        if cause.startswith('read programs')
    )
    return (
        received_bytes / _MEGABYTE,
        read_resident_bytes(process) / _MEBIBYTE,
        read_cpu_seconds(process),
    )


def _rows(
    read_megabytes: list[Point], resident: list[Point], cpu_seconds: list[Point]
) -> Iterable[Row]:
    line = fit_line(resident)
    memory_at_scale = line.value_at(scale.PROGRAMS)
    yield Row(
        role=f'MB read from the log by a restarted node, {NODES} nodes',
        slope=f'{fit_line(read_megabytes).slope * 1000:.2f} KB per program',
        points=format_points(read_megabytes),
        scaled=f'{fit_line(read_megabytes).value_at(scale.PROGRAMS):.0f} MB',
        mechanism='a node reads the partitions that it claims',
    )
    yield Row(
        role=f'resident MiB of a restarted node, {NODES} nodes',
        slope=f'{line.intercept:.1f} MiB + {line.slope * 1024:.2f} KiB',
        points=format_points(resident),
        scaled=(
            f'{memory_at_scale:.0f} MiB with the share of 1 of {NODES} nodes'
        ),
        bound=f'{scale.MAX_MEMORY_BYTES / _MEBIBYTE:.0f} MiB',
        fits=check_bound(memory_at_scale, scale.MAX_MEMORY_BYTES / _MEBIBYTE),
        mechanism='a node holds the programs of the partitions that it claims',
    )
    yield Row(
        role='processor seconds of a node in its first seconds',
        slope=f'{fit_line(cpu_seconds).slope * 1000:.2f} ms per program',
        points=format_points(cpu_seconds),
        scaled=f'{fit_line(cpu_seconds).value_at(scale.PROGRAMS):.0f} s',
        mechanism='a node reads the partitions that it claims',
    )
