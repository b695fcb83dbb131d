"""The speed and the load of each engine, for operators."""

import dataclasses
from collections.abc import Iterator

from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.telemetry.exposition import METRICS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineGauge:
    """What this VM knows of one engine.

    ``slowness`` is its time per event over the median of its service, and
    ``load`` its requests in flight over their mean. If each engine is sent
    requests in proportion to its speed, all have equally many in flight
    (Little's law), so ``load`` is what an engine is sent over its fair share.
    """

    server_id: str
    slowness: float
    load: float


def list_engine_gauges(
    directory: Directory, reports: PeerReports
) -> Iterator[EngineGauge]:
    """Yield the gauges of the engines of all services that have some."""
    if directory.configuration is None:
        return
    ratios = directory.engine_ratings.list_ratios()
    for service in directory.configuration.services_by_name.values():
        if service.engine is None:
            continue
        in_flight = {
            server.server_id: reports.count_in_flight(server.server_id)
            for server in directory.list_servers(service.name)
        }
        mean = sum(in_flight.values()) / max(len(in_flight), 1)
        for server_id, count in in_flight.items():
            yield EngineGauge(
                server_id=server_id,
                slowness=ratios.get(server_id, 1),
                load=count / mean if mean else 0,
            )


def set_engine_gauges(directory: Directory, reports: PeerReports) -> None:
    """Set the metrics of all engines, and drop those of engines that left."""
    METRICS.engine_slowness.clear()
    METRICS.engine_load.clear()
    for gauge in list_engine_gauges(directory, reports):
        server_id = gauge.server_id
        METRICS.engine_slowness.labels(server=server_id).set(gauge.slowness)
        METRICS.engine_load.labels(server=server_id).set(gauge.load)
