"""What rare events and periodic copies cost at the design scale.

The sizes are measured in this process; the numbers of events are those of the
design scale.
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
from bronzepost._internal.node.backend_directory import (
    LOAD_POLL_INTERVAL_SECONDS,
)
from bronzepost._internal.node.engine_memory import SWEEP_INTERVAL_SECONDS

from . import scale
from .measure_configuration import count_levels
from .measure_loading import encode_page, time_checkpoint
from .measure_memory import SETTINGS_PER_WORKSPACE, build_tree
from .rows import Row, judge

RECORDS: Final = 1000
MEAN_TURNS: Final = 200
HOUR_SECONDS: Final = 3600
POLLERS_PER_RUNNER: Final = 2
_MEGABYTE: Final = 1_000_000
_KILOBYTE: Final = 1000
_CHANGED: Final = 'would have to change; see the page'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sizes:
    """Measured bytes of a record and of a checkpoint of a partition."""

    record: float
    checkpoint: float

    def to_load(self) -> float:
        """Return the bytes to load a partition half way to a checkpoint."""
        records = scale.PROGRAMS_PER_PARTITION
        return self.checkpoint + records * self.record


def derive_rows() -> Iterable[Row]:
    """Yield the costs that follow from measured sizes."""
    checkpoint, _ = time_checkpoint(MEAN_TURNS)
    sizes = Sizes(
        record=len(encode_page(RECORDS)) / RECORDS, checkpoint=len(checkpoint)
    )
    yield from _moves(sizes)
    yield _log_bytes(sizes)
    yield _reread_row(sizes)
    yield from _poll_rows()
    yield _snapshot_row()


def _moves(sizes: Sizes) -> Iterable[Row]:
    per_node = scale.PARTITIONS / scale.NODES
    # A failed VM is replaced: its partitions move away and back again.
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
    read = moves * sizes.to_load() / _MEGABYTE
    # A release returns one allowance per program, in groups, and a checkpoint.
    groups = scale.PROGRAMS_PER_PARTITION / MAX_APPEND_RECORDS + 1
    appends = moves + releases * groups
    return Row(
        role=role,
        slope=f'{sizes.to_load() / _MEGABYTE:.1f} MB read per partition moved',
        scaled=(
            f'{moves:.1f} partitions and {programs:.0f} programs moved,'
            f' {read:.0f} MB read, {appends:.0f} appends'
        ),
        bound='several hundred appends/s',
        fits=judge(appends, scale.APPENDS_PER_SECOND),
        mechanism='rendezvous order, checkpoints, group commit',
    )


def _log_bytes(sizes: Sizes) -> Row:
    turns = scale.REQUESTS_PER_SECOND * sizes.record
    records_due = 2 * scale.PROGRAMS_PER_PARTITION
    per_partition = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    copies = sizes.checkpoint * scale.PARTITIONS * per_partition / records_due
    return Row(
        role='bytes appended to the log at the peak',
        slope=f'{sizes.record:.0f} B per turn at 490,000 tokens in 400 turns',
        scaled=(
            f'{turns / _MEGABYTE:.0f} MB/s of turns and'
            f' {copies / _MEGABYTE:.1f} MB/s of checkpoints'
        ),
        bound='about 4.4 MB/s by docs/design.md 2.2',
        fits='does not fit',
        mechanism='deltas on the log; each message is written once',
    )


def _reread_row(sizes: Sizes) -> Row:
    per_second = scale.REQUESTS_PER_SECOND / scale.PARTITIONS
    missed = per_second * HOUR_SECONDS * sizes.record / _MEGABYTE
    return Row(
        role='a partition claimed again by a node that gave it up an hour ago',
        slope=f'{sizes.record:.0f} B per record missed',
        scaled=f'{missed:.0f} MB read at the peak rate',
        bound=f'{sizes.to_load() / _MEGABYTE:.1f} MB from a checkpoint',
        fits='does not fit',
        mechanism='catch_up reads on from the old state, not the checkpoint',
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
    entry = len(msgspec.msgpack.encode((599, 64, 64, 1_000_000)))
    table = entry * scale.RUNNERS
    yield Row(
        role='the alternative: two pollers per runner, reports spread',
        slope=f'{entry} B per report in MessagePack, without authentication',
        scaled=(
            f'{POLLERS_PER_RUNNER * scale.RUNNERS / scale.NODES:.1f} runners'
            f' polled per node; a whole table of {table / _KILOBYTE:.1f} KB'
            f' received each {table / scale.BYTES_PER_SECOND:.1f} s takes all'
            ' of the 3 KB/s'
        ),
        bound='3 KB/s a node',
        mechanism=_CHANGED,
    )


def _snapshot_row() -> Row:
    count = scale.WORKSPACES * SETTINGS_PER_WORKSPACE
    snapshot = build_snapshot(build_tree(count))
    size = len(msgspec.msgpack.encode(record_to_builtins(snapshot)))
    settings = ConfigurationSettings()
    per_day = (
        scale.DAY_SECONDS / settings.snapshot_seconds
        + scale.CHANGES_PER_DAY / settings.snapshot_records
    )
    sent = settings.fan_out * size * per_day / scale.DAY_SECONDS
    return Row(
        role=f'snapshots of the tree with {count} settings',
        slope=f'{size / count:.0f} B per setting, {per_day:.1f} a day',
        scaled=(
            f'{size / _MEGABYTE:.1f} MB each; a node inside the tree of'
            f' {count_levels(scale.NODES)} levels sends {sent:.0f} B/s'
        ),
        bound=f'{scale.BYTES_PER_SECOND} B/s for all groups together',
        fits=judge(sent, scale.BYTES_PER_SECOND),
        mechanism='a snapshot record is pushed like any other',
    )
