"""Cost of rare events and of periodic snapshots at the design scale.

Record sizes are measured in this process; event rates come from the design
scale.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

import msgspec

from bronzepost._internal.core.configuration import (
    ConfigurationSettings,
    record_to_builtins,
)
from bronzepost._internal.core.configuration.retention import build_snapshot
from bronzepost._internal.core.ledger.journal_handler import (
    MAX_APPEND_RECORDS,
)
from bronzepost._internal.node.engines.backend_directory import (
    LOAD_POLL_INTERVAL_SECONDS,
)
from bronzepost._internal.node.engines.engine_memory import (
    SWEEP_INTERVAL_SECONDS,
)

from . import scale
from .measure_configuration import count_levels
from .measure_loading import encode_page, time_checkpoint
from .measure_memory import SETTINGS_PER_WORKSPACE, build_tree
from .rows import Row, check_bound

SAMPLE_RECORDS: Final = 1000
MEAN_TURNS: Final = 200
SECONDS_PER_HOUR: Final = 3600
POLLERS_PER_RUNNER: Final = 2
_MEGABYTE: Final = 1_000_000
_KILOBYTE: Final = 1000
_CHANGE_NEEDED: Final = 'would have to change; see the page'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sizes:
    """Measured bytes of one record and of one checkpoint of a partition."""

    record_bytes: float
    checkpoint_bytes: float

    def bytes_to_load(self) -> float:
        """Return the bytes to load a partition half-way between checkpoints."""
        records = scale.PROGRAMS_PER_PARTITION
        return self.checkpoint_bytes + records * self.record_bytes


def derive_rows() -> Iterable[Row]:
    """Yield the costs that follow from measured sizes."""
    checkpoint, _ = time_checkpoint(MEAN_TURNS)
    sizes = Sizes(
        record_bytes=len(encode_page(SAMPLE_RECORDS)) / SAMPLE_RECORDS,
        checkpoint_bytes=len(checkpoint),
    )
    yield from _move_rows(sizes)
    yield _log_bytes_row(sizes)
    yield _reread_row(sizes)
    yield from _poll_rows()
    yield _snapshot_row()


def _move_rows(sizes: Sizes) -> Iterable[Row]:
    per_node = scale.PARTITIONS / scale.NODES
    # A failed VM is replaced, so its partitions move twice: away and back.
    yield _move_row(
        f'{scale.FAILURES_PER_DAY} VM failures a day, each replaced',
        2 * scale.FAILURES_PER_DAY * per_node,
        releases=scale.FAILURES_PER_DAY * per_node,
        sizes=sizes,
    )
    yield _move_row(
        f'{scale.RESTARTS_PER_DAY} planned restarts a day',
        2 * scale.RESTARTS_PER_DAY * per_node,
        releases=2 * scale.RESTARTS_PER_DAY * per_node,
        sizes=sizes,
    )
    yield _move_row(
        'an availability zone lost',
        scale.PARTITIONS / scale.ZONES,
        releases=0,
        sizes=sizes,
    )
    region = scale.PARTITIONS / scale.REGIONS
    yield _move_row(
        'a region without the log for an hour, then back',
        2 * region,
        releases=region,
        sizes=sizes,
    )


def _move_row(role: str, moves: float, *, releases: float, sizes: Sizes) -> Row:
    programs = moves * scale.PROGRAMS_PER_PARTITION
    read_megabytes = moves * sizes.bytes_to_load() / _MEGABYTE
    # A release appends one returned allowance per program, in groups, and one
    # checkpoint.
    appends_per_release = scale.PROGRAMS_PER_PARTITION / MAX_APPEND_RECORDS + 1
    appends = moves + releases * appends_per_release
    return Row(
        role=role,
        slope=(
            f'{sizes.bytes_to_load() / _MEGABYTE:.1f} MB read per partition'
            ' moved'
        ),
        scaled=(
            f'{moves:.1f} partitions and {programs:.0f} programs moved,'
            f' {read_megabytes:.0f} MB read, {appends:.0f} appends'
        ),
        bound='several hundred appends/s',
        fits=check_bound(appends, scale.MAX_APPENDS_PER_SECOND),
        mechanism='rendezvous order, checkpoints, group commit',
    )


def _log_bytes_row(sizes: Sizes) -> Row:
    turn_bytes_per_second = scale.REQUESTS_PER_SECOND * sizes.record_bytes
    records_due = 2 * scale.PROGRAMS_PER_PARTITION
    per_partition = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    checkpoint_bytes_per_second = (
        sizes.checkpoint_bytes * scale.PARTITIONS * per_partition / records_due
    )
    return Row(
        role='bytes appended to the log at the peak',
        slope=(
            f'{sizes.record_bytes:.0f} B per turn at 490,000 tokens in 400'
            ' turns'
        ),
        scaled=(
            f'{turn_bytes_per_second / _MEGABYTE:.0f} MB/s of turns and'
            f' {checkpoint_bytes_per_second / _MEGABYTE:.1f} MB/s of'
            ' checkpoints'
        ),
        bound='about 4.4 MB/s by docs/design.md 2.2',
        fits='does not fit',
        mechanism='deltas on the log; each message is written once',
    )


def _reread_row(sizes: Sizes) -> Row:
    records_per_second = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    missed_megabytes = (
        records_per_second * SECONDS_PER_HOUR * sizes.record_bytes / _MEGABYTE
    )
    return Row(
        role='a partition claimed again by a node that gave it up an hour ago',
        slope=f'{sizes.record_bytes:.0f} B per record missed',
        scaled=f'{missed_megabytes:.0f} MB read at the peak rate',
        bound=f'{sizes.bytes_to_load() / _MEGABYTE:.1f} MB from a checkpoint',
        fits='does not fit',
        mechanism=(
            'catch_up resumes from the old state instead of the checkpoint'
        ),
    )


def _poll_rows() -> Iterable[Row]:
    polls = (
        scale.NODES
        * scale.RUNNERS
        * (1 / LOAD_POLL_INTERVAL_SECONDS + 1 / SWEEP_INTERVAL_SECONDS)
    )
    yield Row(
        role='load polls and sweeps of all runners by all nodes',
        slope=(
            f'{1 / LOAD_POLL_INTERVAL_SECONDS + 1 / SWEEP_INTERVAL_SECONDS:.1f}'
            ' requests/s a pair'
        ),
        scaled=(
            f'{polls:.0f} requests/s, {polls / scale.RUNNERS:.0f}/s at each'
            ' runner'
        ),
        bound='3 KB/s a node',
        fits='does not fit',
        mechanism='every node polls every runner',
    )
    report_bytes = len(msgspec.msgpack.encode((599, 64, 64, 1_000_000)))
    table_bytes = report_bytes * scale.RUNNERS
    yield Row(
        role='the alternative: two pollers per runner, reports spread',
        slope=(
            f'{report_bytes} B per report in MessagePack, without'
            ' authentication'
        ),
        scaled=(
            f'{POLLERS_PER_RUNNER * scale.RUNNERS / scale.NODES:.1f} runners'
            f' polled per node; a whole table of {table_bytes / _KILOBYTE:.1f}'
            ' KB'
            f' received each {table_bytes / scale.MAX_BYTES_PER_SECOND:.1f} s'
            ' takes all'
            ' of the 3 KB/s'
        ),
        bound='3 KB/s a node',
        mechanism=_CHANGE_NEEDED,
    )


def _snapshot_row() -> Row:
    settings_count = scale.WORKSPACES * SETTINGS_PER_WORKSPACE
    snapshot = build_snapshot(build_tree(settings_count))
    snapshot_bytes = len(msgspec.msgpack.encode(record_to_builtins(snapshot)))
    settings = ConfigurationSettings()
    per_day = (
        scale.SECONDS_PER_DAY / settings.snapshot_seconds
        + scale.CHANGES_PER_DAY / settings.snapshot_records
    )
    bytes_per_second = (
        settings.fan_out * snapshot_bytes * per_day / scale.SECONDS_PER_DAY
    )
    return Row(
        role=f'snapshots of the tree with {settings_count} settings',
        slope=(
            f'{snapshot_bytes / settings_count:.0f} B per setting,'
            f' {per_day:.1f} a day'
        ),
        scaled=(
            f'{snapshot_bytes / _MEGABYTE:.1f} MB each; a node inside the tree'
            ' of'
            f' {count_levels(scale.NODES)} levels sends {bytes_per_second:.0f}'
            ' B/s'
        ),
        bound=f'{scale.MAX_BYTES_PER_SECOND} B/s for all groups together',
        fits=check_bound(bytes_per_second, scale.MAX_BYTES_PER_SECOND),
        mechanism='a snapshot record is pushed like any other',
    )
