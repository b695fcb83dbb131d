"""What a node reads and holds after a restart, against programs."""

import time
from collections.abc import Iterable
from typing import Final

import msgspec

from bronzepost._internal.core.ledger.records import Record, encode_record
from bronzepost._internal.core.rendezvous import partition_of
from standins.http_client import request_json

from . import scale
from .builders import RecordMaker, name_program
from .fleet import SETTLE_SECONDS, Fleet
from .proc import read_cpu_seconds, read_resident_bytes
from .rows import Point, Row, fit_line, judge, show_points

PROGRAM_COUNTS: Final = (500, 1000, 2000, 4000)
TURNS: Final = 2
NODES: Final = 8
APPEND_RECORDS: Final = 200
_MEGABYTE: Final = 1_000_000
_MEBIBYTE: Final = 1024 * 1024


class FilledFleet(Fleet):
    """A fleet that finds programs on the log when it starts."""

    def __init__(self, *, programs: int) -> None:
        """Plan the fleet; the programs are written when it starts."""
        super().__init__(nodes=NODES, is_counted=True)
        self._programs = programs

    def _start_nodes(self) -> None:
        for partition, records in list_partitions(self._programs).items():
            self._append(f'programs-{partition:02}', records)
        super()._start_nodes()

    def _append(self, stream: str, records: list[Record]) -> None:
        address = self.addresses_by_kind['log']
        for first in range(0, len(records), APPEND_RECORDS):
            bodies = [
                encode_record(record)
                for record in records[first : first + APPEND_RECORDS]
            ]
            request_json(
                'POST',
                f'{address}/streams/{stream}/records',
                {'records': bodies},
            )


def list_partitions(programs: int) -> dict[int, list[Record]]:
    """Return the records of programs by their partitions."""
    makers: dict[int, RecordMaker] = {}
    records: dict[int, list[Record]] = {}
    for number in range(programs):
        partition = partition_of(name_program(number))
        if partition not in makers:
            makers[partition] = RecordMaker()
            records[partition] = [makers[partition].claim()]
        maker = makers[partition]
        records[partition].append(maker.start(number))
        records[partition].extend(
            maker.turn(number, sequence) for sequence in range(1, TURNS + 1)
        )
    return records


def measure_restart() -> Iterable[Row]:
    """Yield bytes read, memory and processor time of a restarted node."""
    read: list[Point] = []
    resident: list[Point] = []
    used: list[Point] = []
    for programs in PROGRAM_COUNTS:
        with FilledFleet(programs=programs) as fleet:
            time.sleep(SETTLE_SECONDS)
            megabytes, mebibytes, seconds = restart_last(fleet)
        read.append((programs, megabytes))
        resident.append((programs, mebibytes))
        used.append((programs, seconds))
    yield from _rows(read, resident, used)


def restart_last(fleet: Fleet) -> tuple[float, float, float]:
    """Restart the last node; return MB read, MiB held and seconds used."""
    node = fleet.nodes[-1]
    node.kill()
    fleet.start_node(node)
    time.sleep(SETTLE_SECONDS)
    process = node.process.process_id
    counts = msgspec.json.decode(fleet.write_counts(node).read_bytes())
    received = sum(
        numbers[1]
        for cause, numbers in counts.items()
        if cause.startswith('read programs')
    )
    return (
        received / _MEGABYTE,
        read_resident_bytes(process) / _MEBIBYTE,
        read_cpu_seconds(process),
    )


def _rows(
    read: list[Point], resident: list[Point], used: list[Point]
) -> Iterable[Row]:
    line = fit_line(resident)
    found = line.at(scale.PROGRAMS)
    yield Row(
        role=f'MB read from the log by a restarted node, {NODES} nodes',
        slope=f'{fit_line(read).slope * 1000:.2f} KB per program',
        points=show_points(read),
        scaled=f'{fit_line(read).at(scale.PROGRAMS):.0f} MB',
        mechanism='a node reads the partitions that it claims',
    )
    yield Row(
        role=f'resident MiB of a restarted node, {NODES} nodes',
        slope=f'{line.intercept:.1f} MiB + {line.slope * 1024:.2f} KiB',
        points=show_points(resident),
        scaled=f'{found:.0f} MiB with the share of 1 of {NODES} nodes',
        bound=f'{scale.MEMORY_BYTES / _MEBIBYTE:.0f} MiB',
        fits=judge(found, scale.MEMORY_BYTES / _MEBIBYTE),
        mechanism='a node holds the programs of the partitions that it claims',
    )
    yield Row(
        role='processor seconds of a node in its first seconds',
        slope=f'{fit_line(used).slope * 1000:.2f} ms per program',
        points=show_points(used),
        scaled=f'{fit_line(used).at(scale.PROGRAMS):.0f} s',
        mechanism='a node reads the partitions that it claims',
    )
