"""Processor time of gateway processes: idle, and for each request."""

import itertools
import statistics
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import gevent
from gevent.pool import Group

from tests.platform.gateway_load import (
    TURNS_PER_PROGRAM,
    send_tool_call,
    send_turn,
    start_standins,
)

from .gateway_vms import GatewayVms, Usage
from .rows import Point, Row, show_points

VM_COUNTS: Final = (10, 30, 90)
# News of VMs that have joined travel for some seconds.
SPREAD_SECONDS: Final = 15.0
SAMPLE_SECONDS: Final = 10.0
SAMPLES: Final = 3
REQUEST_VMS: Final = 10
REQUESTS_A_SECOND: Final = 50
_PERCENT: Final = 100
_MILLISECONDS: Final = 1000

SendRequest = Callable[[str, int], None]


def measure_idle_vms() -> Iterable[Row]:
    """Yield what an idle VM uses a second against the number of VMs."""
    usages = {count: _measure_idle(count) for count in VM_COUNTS}
    readers: dict[str, Callable[[Usage], float]] = {
        '% of a core, all threads': _sum_percent,
        '% of a core, threads of the message library': lambda usage: (
            usage.times.other_seconds * _PERCENT
        ),
        'switches to a thread': lambda usage: usage.times.switches,
        'messages sent to other VMs': lambda usage: usage.sent,
        'messages received': lambda usage: usage.received,
        'calls of the store': lambda usage: usage.store_calls,
    }
    for name, read in readers.items():
        points: list[Point] = [
            (count, statistics.median(map(read, found)))
            for count, found in usages.items()
        ]
        yield Row(
            role=f'idle VM, a second, by VMs: {name}',
            slope='',
            points=show_points(points),
        )


def measure_requests() -> Iterable[Row]:
    """Yield the processor time of all VMs for one turn and one tool call."""
    with start_standins() as store:
        with GatewayVms(count=REQUEST_VMS, store=store) as vms:
            gevent.sleep(SPREAD_SECONDS)
            for name, send in (
                ('turn', send_turn),
                ('tool call', send_tool_call),
            ):
                spent = [_measure_load(vms, send) for _ in range(SAMPLES)]
                yield Row(
                    role=f'ms of processor time of all {REQUEST_VMS} VMs'
                    f' for one {name}, beside the idle time',
                    slope=f'{statistics.median(spent):.2f}',
                    points='; '.join(f'{found:.2f}' for found in spent),
                )


def _measure_idle(count: int) -> list[Usage]:
    with start_standins() as store:
        with GatewayVms(count=count, store=store) as vms:
            gevent.sleep(SPREAD_SECONDS)
            return [_sample(vms) for _ in range(SAMPLES)]


def _sample(vms: GatewayVms) -> Usage:
    """Return what one VM uses a second, the mean of all."""
    before = vms.read_usage()
    gevent.sleep(SAMPLE_SECONDS)
    share = 1 / (SAMPLE_SECONDS * len(vms.addresses))
    return vms.read_usage().rates(before, share=share)


# Ids differ from one sample to the next.
_numbers: Final = itertools.count(1)


def _measure_load(vms: GatewayVms, send: SendRequest) -> float:
    """Return the milliseconds of processor time of a request."""
    idle_percent = _sum_percent(_sample(vms)) * len(vms.addresses)
    before = vms.read_usage()
    requests = int(SAMPLE_SECONDS * REQUESTS_A_SECOND)
    _send_all(vms, send, requests)
    busy_percent = _sum_percent(vms.read_usage().rates(before, share=1))
    spent = busy_percent - idle_percent * SAMPLE_SECONDS
    return spent / _PERCENT * _MILLISECONDS / requests


def _send_all(vms: GatewayVms, send: SendRequest, requests: int) -> None:
    end = time.monotonic() + SAMPLE_SECONDS
    under_way = Group()
    for number in _order_turns(requests):
        address = vms.addresses[number % len(vms.addresses)]
        under_way.spawn(send, address, number)
        gevent.sleep(1 / REQUESTS_A_SECOND)
    under_way.join(raise_error=True)
    # The idle time was measured for as long.
    gevent.sleep(max(end - time.monotonic(), 0))


def _order_turns(requests: int) -> Iterator[int]:
    """Yield numbers so that the turns of a program are a second apart."""
    first = next(_numbers) * requests
    block = REQUESTS_A_SECOND * TURNS_PER_PROGRAM
    for place in range(requests):
        rounds, rest = divmod(place, block)
        turn, program = divmod(rest, REQUESTS_A_SECOND)
        yield first + rounds * block + program * TURNS_PER_PROGRAM + turn


def _sum_percent(usage: Usage) -> float:
    times = usage.times
    return (times.main_seconds + times.other_seconds) * _PERCENT
