"""Processor time of gateway processes, idle and per request."""

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
from .rows import Point, Row, format_points

VM_COUNTS: Final = (10, 30, 90)
# Time for membership updates of new VMs to reach all VMs.
PROPAGATION_SECONDS: Final = 15.0
SAMPLE_SECONDS: Final = 10.0
SAMPLES: Final = 3
REQUEST_VMS: Final = 10
REQUESTS_PER_SECOND: Final = 50
_PERCENT: Final = 100
_MILLISECONDS_PER_SECOND: Final = 1000

SendRequest = Callable[[str, int], None]


def measure_idle_vms() -> Iterable[Row]:
    """Yield the usage per second of an idle VM by number of VMs."""
    samples_by_count = {count: _measure_idle(count) for count in VM_COUNTS}
    getters_by_name: dict[str, Callable[[Usage], float]] = {
        '% of a core, all threads': _sum_percent,
        '% of a core, threads of the message library': lambda usage: (
            usage.times.other_seconds * _PERCENT
        ),
        'switches to a thread': lambda usage: usage.times.switches,
        'messages sent to other VMs': lambda usage: usage.messages_sent,
        'messages received': lambda usage: usage.messages_received,
        'calls of the store': lambda usage: usage.store_calls,
    }
    for name, get_value in getters_by_name.items():
        points: list[Point] = [
            (count, statistics.median(map(get_value, samples)))
            for count, samples in samples_by_count.items()
        ]
        yield Row(
            role=f'idle VM, a second, by VMs: {name}',
            slope='',
            points=format_points(points),
        )


def measure_requests() -> Iterable[Row]:
    """Yield the total processor time of a turn and of a tool call."""
    with start_standins() as store:
        with GatewayVms(count=REQUEST_VMS, store=store) as vms:
            gevent.sleep(PROPAGATION_SECONDS)
            for name, send in (
                ('turn', send_turn),
                ('tool call', send_tool_call),
            ):
                milliseconds = [
                    _measure_load(vms, send) for _ in range(SAMPLES)
                ]
                yield Row(
                    role=f'ms of processor time of all {REQUEST_VMS} VMs'
                    f' for one {name}, beside the idle time',
                    slope=f'{statistics.median(milliseconds):.2f}',
                    points='; '.join(f'{value:.2f}' for value in milliseconds),
                )


def _measure_idle(count: int) -> list[Usage]:
    with start_standins() as store:
        with GatewayVms(count=count, store=store) as vms:
            gevent.sleep(PROPAGATION_SECONDS)
            return [_sample(vms) for _ in range(SAMPLES)]


def _sample(vms: GatewayVms) -> Usage:
    """Return the mean usage of a VM per second."""
    before = vms.read_usage()
    gevent.sleep(SAMPLE_SECONDS)
    factor = 1 / (SAMPLE_SECONDS * len(vms.addresses))
    return vms.read_usage().scaled_difference(before, factor=factor)


# Numbers the samples, so that each uses its own identifiers.
_sample_numbers: Final = itertools.count(1)


def _measure_load(vms: GatewayVms, send: SendRequest) -> float:
    """Return the ms of processor time of a request, without the idle load."""
    idle_percent = _sum_percent(_sample(vms)) * len(vms.addresses)
    before = vms.read_usage()
    requests = int(SAMPLE_SECONDS * REQUESTS_PER_SECOND)
    _send_requests(vms, send, requests)
    used_percent_seconds = _sum_percent(
        vms.read_usage().scaled_difference(before, factor=1)
    )
    request_percent_seconds = (
        used_percent_seconds - idle_percent * SAMPLE_SECONDS
    )
    return (
        request_percent_seconds / _PERCENT * _MILLISECONDS_PER_SECOND / requests
    )


def _send_requests(vms: GatewayVms, send: SendRequest, requests: int) -> None:
    end = time.monotonic() + SAMPLE_SECONDS
    pending_requests = Group()
    for number in _order_turns(requests):
        address = vms.addresses[number % len(vms.addresses)]
        pending_requests.spawn(send, address, number)
        gevent.sleep(1 / REQUESTS_PER_SECOND)
    pending_requests.join(raise_error=True)
    # Wait out the sample, since the idle usage is subtracted for all of it.
    gevent.sleep(max(end - time.monotonic(), 0))


def _order_turns(requests: int) -> Iterator[int]:
    """Yield request numbers with the turns of a program a second apart."""
    first = next(_sample_numbers) * requests
    block = REQUESTS_PER_SECOND * TURNS_PER_PROGRAM
    for position in range(requests):
        rounds, remainder = divmod(position, block)
        turn, program = divmod(remainder, REQUESTS_PER_SECOND)
        yield first + rounds * block + program * TURNS_PER_PROGRAM + turn


def _sum_percent(usage: Usage) -> float:
    times = usage.times
    return (times.main_seconds + times.other_seconds) * _PERCENT
