"""Operators see how slow each engine is and how loaded."""

import testtools

from bronzepost._internal.core.gateway.entities import (
    CallerLimits,
    EngineShape,
    GatewayConfiguration,
    Service,
)
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.engine_gauges import (
    list_engine_gauges,
    set_engine_gauges,
)
from bronzepost._internal.telemetry.exposition import METRICS
from tests.builders_gateway import make_route, make_servers
from tests.builders_gateway_servers import NoPeerReports


class OwnLoads(NoPeerReports):
    """The load of a gateway whose peers have no requests in flight."""

    def __init__(self, directory: Directory) -> None:
        """Count the requests in flight of ``directory``."""
        self._directory = directory

    def count_in_flight(self, server_id: str) -> int:
        """Return the requests in flight at a server."""
        return self._directory.in_flight_by_id[server_id]


def make_directory(engine: EngineShape | None) -> Directory:
    """Return two servers with one and three requests in flight."""
    directory = Directory(pool=ConnectionPool())
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
    directory.put_servers(make_servers(2))
    directory.in_flight_by_id.update({'i-0': 1, 'i-1': 3})
    return directory


class TestEngineGauges(testtools.TestCase):
    """The load of an engine is compared with the mean of its service."""

    def test_load_over_fair_share(self) -> None:
        directory = make_directory(EngineShape())
        gauges = list_engine_gauges(
            directory,
            OwnLoads(directory),  # type: ignore[arg-type]
        )
        self.assertEqual(
            {'i-0': 0.5, 'i-1': 1.5},
            {gauge.server_id: gauge.load for gauge in gauges},
        )

    def test_plain_services_have_no_gauges(self) -> None:
        directory = make_directory(None)
        reports = OwnLoads(directory)
        self.assertEqual(
            [],
            list(list_engine_gauges(directory, reports)),  # type: ignore[arg-type]
        )

    def test_engine_that_left_is_no_longer_shown(self) -> None:
        """Guard against metrics that grow with each restart of an engine."""
        directory = make_directory(EngineShape())
        reports = OwnLoads(directory)
        set_engine_gauges(directory, reports)  # type: ignore[arg-type]
        directory.put_servers(make_servers(1))
        set_engine_gauges(directory, reports)  # type: ignore[arg-type]
        self.addCleanup(METRICS.engine_load.clear)
        self.addCleanup(METRICS.engine_slowness.clear)
        self.assertEqual(
            [('i-0',)], [labels for labels, _ in METRICS.engine_load]
        )
