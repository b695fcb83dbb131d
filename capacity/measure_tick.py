"""Processor time of the periodic work inside one process."""

import time
from collections.abc import Callable, Iterable
from typing import Final

from bronzepost._internal.core import membership
from bronzepost._internal.core.membership.entities import entry_from_member
from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.log_client import LogClient
from bronzepost._internal.node.mirroring import Mirroring
from bronzepost._internal.node.node import (
    PARTITION_TICK_INTERVAL_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from bronzepost._internal.node.partitions import Partitions
from bronzepost._internal.node.settlements import Settlements
from bronzepost._internal.node.waiting_records import WaitingRecords
from bronzepost._internal.telemetry.metrics import open_metrics
from bronzepost._internal.telemetry.spans import NoSpans, Tracer
from bronzepost._internal.telemetry.start import Telemetry

from . import scale
from .builders import BOOT, build_entry, build_members, list_serving
from .rows import Point, Row, fit_line, judge, show_points

MEMBER_COUNTS: Final = (12, 50, 100, 200, 410)
REPEATS: Final = 40
SIMULATED_TICKS: Final = 400
PINGS_EVERY: Final = 10
# The node is not among the members, so it has nothing to claim.
OBSERVER: Final = 'observer'
NOWHERE: Final = '127.0.0.1:1'


def measure_tick() -> Iterable[Row]:
    """Yield the processor time of each periodic task."""
    yield _row(
        'partition ownership check, 48 partitions, 4 a second',
        [(count, _partition_share(count)) for count in MEMBER_COUNTS],
        'rendezvous first choice over the serving members',
    )
    yield _row(
        'membership, 20 ticks a second, without encoding',
        [(count, _membership_share(count)) for count in MEMBER_COUNTS],
        'SWIM: one probe each 0.5 s',
    )
    journals = _keeper_share()
    yield Row(
        role='tick of 48 journals that this node does not own, 20 a second',
        slope=f'{journals / scale.PARTITIONS:.4f}% per journal',
        scaled=f'{journals:.2f}% of a core',
        bound=f'{scale.CORE_PERCENT}% of a core',
        fits=judge(journals, scale.CORE_PERCENT),
        mechanism='does not depend on the number of nodes',
    )


def _row(role: str, points: list[Point], mechanism: str) -> Row:
    line = fit_line(points)
    found = points[-1][1]
    return Row(
        role=f'{role}, against members',
        slope=f'{line.intercept:.3f}% + {line.slope:.5f}% per member',
        points=show_points(points),
        scaled=f'{found:.2f}% of a core (measured at 410)',
        bound=f'{scale.CORE_PERCENT}% of a core',
        fits=judge(found, scale.CORE_PERCENT),
        mechanism=mechanism,
    )


def _measure_share(work: Callable[[], None], period_seconds: float) -> float:
    """Return the percent of a core that work takes at its period."""
    started = time.process_time()
    for _ in range(REPEATS):
        work()
    taken = (time.process_time() - started) / REPEATS
    return taken / period_seconds * 100


def build_keeper() -> JournalKeeper:
    """Return a keeper with all partitions read and none owned."""
    telemetry = Telemetry(
        metrics=open_metrics(address='', node=OBSERVER),
        tracer=Tracer(sink=NoSpans()),
    )
    settlements = Settlements()
    keeper = JournalKeeper(
        node=OBSERVER,
        boot=BOOT,
        log=LogClient(peer=HttpPeer(address=NOWHERE)),
        telemetry=telemetry,
        settlements=settlements,
        mirroring=Mirroring(
            node=OBSERVER,
            peer_address=NOWHERE,
            settlements=settlements,
            limit_bytes=0,
        ),
        waiting=WaitingRecords(limit_bytes=0),
    )
    for partition in range(scale.PARTITIONS):
        keeper.get_or_create_journal(partition).loading.done = True
    return keeper


def _partition_share(members: int) -> float:
    boots = dict(list_serving(build_members(members)))
    serving = frozenset(boots)
    partitions = Partitions(
        node=OBSERVER,
        keeper=build_keeper(),
        list_serving=lambda: serving,
        list_boots=lambda: boots,
        may_claim=lambda: True,
        list_running=tuple,
    )
    return _measure_share(partitions.tick, PARTITION_TICK_INTERVAL_SECONDS)


def _keeper_share() -> float:
    return _measure_share(build_keeper().tick, TICK_INTERVAL_SECONDS)


def _membership_share(members: int) -> float:
    tables = build_members(members)
    started = time.process_time()
    for number in range(1, SIMULATED_TICKS + 1):
        _simulate_tick(tables, number, members)
    taken = (time.process_time() - started) / SIMULATED_TICKS
    return taken / TICK_INTERVAL_SECONDS * 100


def _simulate_tick(
    tables: membership.MembershipTables, number: int, members: int
) -> None:
    """Do a tick; each probe is acked, and another node probes this one."""
    at = number * TICK_INTERVAL_SECONDS
    for action in membership.apply_event(tables, membership.Tick(at=at)):
        if isinstance(action, membership.Send):
            _acknowledge(tables, action.message, at)
    if number % PINGS_EVERY == 0:
        ping = membership.Ping(
            sender=build_entry(number % (members - 1) + 1),
            sequence=number,
            configuration_offset=0,
            digest=0,
            updates=(),
        )
        received = membership.MessageReceived(at=at, message=ping)
        membership.apply_event(tables, received)


def _acknowledge(
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
