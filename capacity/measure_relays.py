"""Processor time of requests that other VMs relay."""

import dataclasses
import functools
import io
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

from gevent.server import StreamServer

from bronzepost._internal.core.membership import Member
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.relays import Relays
from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.received_reports import ReceivedReports
from bronzepost._internal.telemetry.logs import configure_logs
from tests.builders_gateway import make_member
from tests.builders_tunnels import OWN_NAME, open_pair

from .rows import Point, Row, make_fitted_row

VM_COUNTS: Final = (12, 90, 195, 410)
CUT_OFF_SHARE: Final = 0.6
ANSWER_BYTES: Final = (800, 8_000, 64_000)
REPETITIONS: Final = 300
REQUEST_BYTES: Final = 2000
_MICROSECONDS: Final = 1_000_000
_READ_BYTES: Final = 65536


def measure_choices() -> Iterable[Row]:
    """Yield the time to look for a VM with a link, by number of VMs."""
    points: list[Point] = [(count, _time_choice(count)) for count in VM_COUNTS]
    yield make_fitted_row(
        'time of the list of relays against VMs, 60 in 100 of them cut off, us',
        points,
        mechanism='listed ten times a second at most, while links are lost',
    )


def measure_tunnels() -> Iterable[Row]:
    """Yield the time that a hop adds to a request, by bytes of the answer."""
    configure_logs(stream=io.StringIO())
    points: list[Point] = [
        (size, _time_exchange(size)) for size in ANSWER_BYTES
    ]
    yield make_fitted_row(
        'time added to an exchange by an open tunnel against bytes of its'
        ' answer, both VMs, us',
        points,
        mechanism='bytes are passed on unread; tunnels are used again',
    )
    opening = _time_opening()
    yield Row(
        role='time to open a tunnel and close it, both VMs and the server, us',
        slope='',
        points='',
        scaled=f'{opening:.0f} measured',
        mechanism='two frames and a connection of the relay',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Members:
    members: tuple[Member, ...]
    own_name: str = OWN_NAME

    def list_serving(self) -> tuple[Member, ...]:
        return self.members

    def list_serving_peers(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members[1:])


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reports:
    received: ReceivedReports


def _make_vm(number: int) -> Member:
    member = make_member(f'vm-{number}' if number else OWN_NAME)
    return dataclasses.replace(member, forward_address='127.0.0.1:1')


def _time_choice(count: int) -> float:
    reports = ReceivedReports(own_name=OWN_NAME)
    members = tuple(_make_vm(number) for number in range(count))
    for number, member in enumerate(members):
        report = LoadReport(
            in_flight={},
            has_store=True,
            is_ready=True,
            version=1,
            is_cut_off=number < CUT_OFF_SHARE * count,
        )
        reports.put(member.name, report)
    relays = Relays(
        fleet=_Members(members=members),  # type: ignore[arg-type]
        reports=_Reports(received=reports),  # type: ignore[arg-type]
        pool=ConnectionPool(),
        own_address='127.0.0.1:0',
        availability_zone='hall-a',
    )
    return _time(relays.list_relays)


def _time_exchange(size: int) -> float:
    """Return the difference between an exchange by a tunnel and a direct one."""
    server = StreamServer(('127.0.0.1', 0), _Answering(size=size).serve)
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    with open_pair(address) as pair:
        tunnel = pair.open()
        direct = pair.relays.pool.open(address, step='measure')
        by_tunnel, by_link = (
            _time(functools.partial(_exchange, connection.sock, size))
            for connection in (tunnel, direct)
        )
        tunnel.close()
        direct.close()
    server.stop()
    return by_tunnel - by_link


def _time_opening() -> float:
    server = StreamServer(('127.0.0.1', 0), _Answering(size=1).serve)
    server.start()
    with open_pair(f'127.0.0.1:{server.server_port}') as pair:
        micros = _time(lambda: pair.open().close())
    server.stop()
    return micros


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Answering:
    """A server that answers each request with some bytes."""

    size: int

    def serve(self, sock: Any, _address: Any) -> None:
        while self._receive(sock):
            sock.sendall(bytes(self.size))

    def _receive(self, sock: Any) -> bool:
        received = 0
        while received < REQUEST_BYTES:
            block = sock.recv(_READ_BYTES)
            if not block:
                return False
            received += len(block)
        return True


def _exchange(sock: Any, size: int) -> None:
    sock.sendall(bytes(REQUEST_BYTES))
    received = 0
    while received < size:
        received += len(sock.recv(_READ_BYTES))


def _time(action: Callable[[], object]) -> float:
    """Return the processor time of an action in us, the mean of repetitions."""
    start = time.process_time()
    for _ in range(REPETITIONS):
        action()
    return (time.process_time() - start) / REPETITIONS * _MICROSECONDS
