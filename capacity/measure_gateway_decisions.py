"""Processor time of a gateway's placement and of taking over a configuration."""

import time
from collections.abc import Callable, Iterable
from typing import Final

import msgspec
from bronzepost_platform.registry import decode_configuration

from bronzepost._internal.core.gateway.entities import (
    CallerLimits,
    EngineShape,
    GatewayConfiguration,
    Service,
)
from bronzepost._internal.gateway.callers.header_names import HeaderNames
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.server_calls import ServerCalls
from tests.builders_gateway import (
    make_pending_call,
    make_route,
    make_servers,
)
from tests.builders_gateway_servers import (
    NoPeerReports,
    make_links,
    make_permits,
    make_suspects,
)
from tests.platform.builders_platform import make_large_configuration

from .rows import Point, Row, make_fitted_row

SERVER_COUNTS: Final = (6, 24, 100, 300, 600)
DECISIONS: Final = 2000
ROUTE_COUNTS: Final = (100, 700, 1400)
TAKEOVERS: Final = 5
MEMORY_TOKENS: Final = 170_547
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_MILLISECONDS_PER_SECOND: Final = 1000


def measure_placements() -> Iterable[Row]:
    """Yield the time of a placement by number of servers of the service."""
    points: list[Point] = [
        (count, _time_placement(count)) for count in SERVER_COUNTS
    ]
    yield make_fitted_row(
        'time of a placement against servers of the service, us',
        points,
        mechanism='a few servers are drawn and compared',
    )


def measure_takeovers() -> Iterable[Row]:
    """Yield the time to decode a configuration and put it in force."""
    points: list[Point] = [
        (count, _time_takeover(count)) for count in ROUTE_COUNTS
    ]
    yield make_fitted_row(
        'time to take over a configuration against its routes, ms',
        points,
        mechanism='decoded once, routes indexed by host',
    )


def _time_placement(count: int) -> float:
    directory = Directory(pool=ConnectionPool())
    directory.put_servers(make_servers(count))
    engine = EngineShape(memory_tokens=MEMORY_TOKENS)
    directory.put_configuration(
        GatewayConfiguration(
            version=1,
            routes=(make_route(),),
            services_by_name={
                'engines': Service(name='engines', engine=engine)
            },
            limits=CallerLimits(),
        )
    )
    calls = ServerCalls(
        directory=directory,
        reports=NoPeerReports(),  # type: ignore[arg-type]
        permits=make_permits(directory),
        suspects=make_suspects(directory),
        links=make_links(directory, ConnectionPool()),
        names=HeaderNames(),
        vm_name='hall-a-1',
        availability_zone='hall-a',
    )
    pending = make_pending_call()
    seconds = _time(lambda: calls.choose(pending), DECISIONS)
    return seconds * _MICROSECONDS_PER_SECOND


def _time_takeover(routes: int) -> float:
    body = msgspec.json.encode(make_large_configuration(routes))
    seconds = _time(lambda: _take_over(body), TAKEOVERS)
    return seconds * _MILLISECONDS_PER_SECOND


def _take_over(body: bytes) -> None:
    configuration = decode_configuration(body)
    assert configuration is not None
    Directory(pool=ConnectionPool()).put_configuration(configuration)


def _time(action: Callable[[], object], repetitions: int) -> float:
    """Return the processor seconds of an action, the mean of repetitions."""
    start = time.process_time()
    for _ in range(repetitions):
        action()
    return (time.process_time() - start) / repetitions
