"""Processor time of the periodic work inside one process."""

import time
from collections.abc import Callable, Iterable
from typing import Final

from bronzepost._internal.core import membership
from bronzepost._internal.core.membership.entities import entry_from_member
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.node.ledger.mirroring import Mirroring
from bronzepost._internal.node.ledger.partitions import Partitions
from bronzepost._internal.node.ledger.settlements import Settlements
from bronzepost._internal.node.ledger.waiting_records import WaitingRecords
from bronzepost._internal.node.node import (
    PARTITION_TICK_INTERVAL_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from bronzepost._internal.telemetry.metrics import open_metrics
from bronzepost._internal.telemetry.spans import NoSpans, Tracer
from bronzepost._internal.telemetry.start import Telemetry

from . import scale
from .builders import BOOT, build_entry, build_members, map_serving_boots
from .rows import Point, Row, check_bound, fit_line, format_points

MEMBER_COUNTS: Final = (12, 50, 100, 200, 410)
REPEATS: Final = 40
SIMULATED_TICKS: Final = 400
TICKS_PER_PING: Final = 10
# This node is not among the members, so it claims no partitions.
OBSERVER: Final = 'observer'
UNUSED_ADDRESS: Final = '127.0.0.1:1'


def measure_tick() -> Iterable[Row]:
    """Yield the processor time of each periodic task."""
    yield _row(
        'partition ownership check, 48 partitions, 4 a second',
        [(count, _measure_partitions(count)) for count in MEMBER_COUNTS],
        'rendezvous first choice over the serving members',
    )
    yield _row(
        'membership, 20 ticks a second, without encoding',
        [(count, _measure_membership(count)) for count in MEMBER_COUNTS],
        'SWIM: one probe each 0.5 s',
    )
    journals_percent = _measure_keeper()
    yield Row(
        role='tick of 48 journals that this node does not own, 20 a second',
        slope=f'{journals_percent / scale.PARTITIONS:.4f}% per journal',
        scaled=f'{journals_percent:.2f}% of a core',
        bound=f'{scale.MAX_IDLE_CORE_PERCENT}% of a core',
        fits=check_bound(journals_percent, scale.MAX_IDLE_CORE_PERCENT),
        mechanism='does not depend on the number of nodes',
    )


def _row(role: str, points: list[Point], mechanism: str) -> Row:
    line = fit_line(points)
    percent = points[-1][1]
    return Row(
        role=f'{role}, against members',
        slope=f'{line.intercept:.3f}% + {line.slope:.5f}% per member',
        points=format_points(points),
        scaled=f'{percent:.2f}% of a core (measured at 410)',
        bound=f'{scale.MAX_IDLE_CORE_PERCENT}% of a core',
        fits=check_bound(percent, scale.MAX_IDLE_CORE_PERCENT),
        mechanism=mechanism,
    )


def _measure_share(work: Callable[[], None], period_seconds: float) -> float:
    """Return the percent of a core that periodic work uses."""
    started = time.process_time()
    for _ in range(REPEATS):
        work()
    cpu_seconds = (time.process_time() - started) / REPEATS
    return cpu_seconds / period_seconds * 100


def build_keeper() -> JournalKeeper:
    """Return a journal keeper with all partitions loaded and none owned."""
    telemetry = Telemetry(
        metrics=open_metrics(address='', node=OBSERVER),
        tracer=Tracer(sink=NoSpans()),
    )
    settlements = Settlements()
    keeper = JournalKeeper(
        node=OBSERVER,
        boot=BOOT,
        log=LogClient(exchange_client=ExchangeClient(address=UNUSED_ADDRESS)),
        telemetry=telemetry,
        settlements=settlements,
        mirroring=Mirroring(
            node=OBSERVER,
            peer_address=UNUSED_ADDRESS,
            settlements=settlements,
            limit_bytes=0,
        ),
        waiting=WaitingRecords(limit_bytes=0),
    )
    for partition in range(scale.PARTITIONS):
        keeper.get_or_create_journal(partition).loading.done = True
    return keeper


def _measure_partitions(members: int) -> float:
    boots = dict(map_serving_boots(build_members(members)))
    serving = frozenset(boots)
    partitions = Partitions(
        node=OBSERVER,
        journal_keeper=build_keeper(),
        list_serving=lambda: serving,
        list_boots=lambda: boots,
        may_claim=lambda: True,
        list_running=tuple,
    )
    return _measure_share(partitions.tick, PARTITION_TICK_INTERVAL_SECONDS)


def _measure_keeper() -> float:
    return _measure_share(build_keeper().tick, TICK_INTERVAL_SECONDS)


def _measure_membership(members: int) -> float:
    tables = build_members(members)
    started = time.process_time()
    for number in range(1, SIMULATED_TICKS + 1):
        _simulate_tick(tables, number, members)
    cpu_seconds = (time.process_time() - started) / SIMULATED_TICKS
    return cpu_seconds / TICK_INTERVAL_SECONDS * 100


def _simulate_tick(
    tables: membership.MembershipTables, number: int, members: int
) -> None:
    """Run a tick, acknowledge its probe, and receive a ping at intervals."""
    at = number * TICK_INTERVAL_SECONDS
    for action in membership.apply_event(tables, membership.Tick(at=at)):
        if isinstance(action, membership.Send):
            _apply_ack(tables, action.message, at)
    if number % TICKS_PER_PING == 0:
        ping = membership.Ping(
            sender=build_entry(number % (members - 1) + 1),
            sequence=number,
            configuration_offset=0,
            digest=0,
            updates=(),
        )
        received = membership.MessageReceived(at=at, message=ping)
        membership.apply_event(tables, received)


def _apply_ack(
    tables: membership.MembershipTables, message: object, at: float
) -> None:
    if not isinstance(message, membership.Ping) or tables.probe is None:
        return
    target = tables.members_by_name[tables.probe.name]
    ack = membership.Ack(
        sender=entry_from_member(target),
        sequence=message.sequence,
        configuration_offset=0,
        digest=message.digest,
        updates=(),
    )
    received = membership.MessageReceived(at=at, message=ack)
    membership.apply_event(tables, received)
