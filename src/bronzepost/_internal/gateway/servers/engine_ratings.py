"""How fast the engines of large services stream, as all VMs measure it."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final

from bronzepost._internal.core.gateway import engine_speeds
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

Servers = Sequence[BackendServer]

# Summing the reports of 90 peers takes longer than the rest of a decision.
REFRESH_SECONDS: Final = 0.5
# Older reports have less than a fifth of their weight left.
REPORT_LIFETIME_SECONDS: Final = 10.0
# An engine is logged as slow above the first ratio, and as recovered below the
# second one, so that a ratio near one of them does not fill the log.
SLOW_RATIO: Final = 1.4
RECOVERED_RATIO: Final = 1.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRatings:
    """Ratings of the engines of one service at ``at``, in monotonic seconds.

    ``ratios`` has the seconds per event by server id, divided by
    ``reference_seconds``, the median of the engines.
    """

    ratios: Mapping[str, float]
    reference_seconds: float
    at: float


class EngineRatings:
    """Rate engines by the streams of this VM and the reports of its peers."""

    def __init__(self) -> None:
        """Start without a sample."""
        self._own_by_service: dict[
            str, dict[str, engine_speeds.EngineSamples]
        ] = {}
        self._reported_by_name: dict[
            str, tuple[float, engine_speeds.ReportedSpeeds]
        ] = {}
        self._ratings_by_service: dict[str, ServiceRatings] = {}
        self._slow_ids: set[str] = set()

    def record(
        self, server: BackendServer, *, seconds_per_event: float, running: float
    ) -> None:
        """Add one stream; ``running`` is the requests in flight there."""
        own = self._own_by_service.setdefault(server.service, {})
        own[server.server_id] = engine_speeds.add_sample(
            own.get(server.server_id),
            seconds_per_event=seconds_per_event,
            running=running,
            at=read_clock(),
        )

    def find_ratios(
        self, service: str, servers: Servers
    ) -> Mapping[str, float]:
        """Return seconds per event by server id, divided by their median.

        ``servers`` are all servers of the service.
        """
        known = self._ratings_by_service.get(service)
        if known is None or read_clock() - known.at > REFRESH_SECONDS:
            known = self._rate(service, servers)
        return known.ratios

    def list_reported(self) -> dict[str, tuple[int, float]]:
        """Return the own samples of engines that differ from the others."""
        at = read_clock()
        reported: dict[str, tuple[int, float]] = {}
        for service, ratings in self._ratings_by_service.items():
            reported.update(
                engine_speeds.list_reported(
                    self._own_by_service.get(service, {}),
                    reference_seconds=ratings.reference_seconds,
                    at=at,
                )
            )
        return reported

    def put_reported(
        self, name: str, speeds: engine_speeds.ReportedSpeeds
    ) -> None:
        """Replace what a peer has measured."""
        if speeds:
            self._reported_by_name[name] = (read_clock(), speeds)
        else:
            self._reported_by_name.pop(name, None)

    def list_ratios(self) -> dict[str, float]:
        """Return the last ratios of all engines, for operators."""
        ratios: dict[str, float] = {}
        for ratings in self._ratings_by_service.values():
            ratios.update(ratings.ratios)
        return ratios

    def forget(self, server: BackendServer) -> None:
        """Discard what is known of a server that has left."""
        self._own_by_service.get(server.service, {}).pop(server.server_id, None)
        self._slow_ids.discard(server.server_id)

    def _rate(self, service: str, servers: Servers) -> ServiceRatings:
        at = read_clock()
        self._drop_old_reports(at)
        total = engine_speeds.sum_samples(
            self._own_by_service.get(service, {}),
            self._reported_by_name.values(),
            at=at,
        )
        total = {
            server.server_id: total[server.server_id]
            for server in servers
            if server.server_id in total
        }
        reference_seconds = engine_speeds.find_reference(total)
        ratings = ServiceRatings(
            ratios=engine_speeds.rate_engines(total, reference_seconds),
            reference_seconds=reference_seconds,
            at=at,
        )
        self._ratings_by_service[service] = ratings
        self._log_changes(servers, ratings)
        return ratings

    def _drop_old_reports(self, at: float) -> None:
        self._reported_by_name = {
            name: received
            for name, received in self._reported_by_name.items()
            if received[0] >= at - REPORT_LIFETIME_SECONDS
        }

    def _log_changes(self, servers: Servers, ratings: ServiceRatings) -> None:
        for server in servers:
            ratio = ratings.ratios.get(server.server_id, 1)
            is_known_slow = server.server_id in self._slow_ids
            if ratio > SLOW_RATIO and not is_known_slow:
                self._slow_ids.add(server.server_id)
                _log_ratio(LogEvent.ENGINE_SLOW, server, ratio)
            elif ratio < RECOVERED_RATIO and is_known_slow:
                self._slow_ids.discard(server.server_id)
                _log_ratio(LogEvent.ENGINE_RECOVERED, server, ratio)


def _log_ratio(event: LogEvent, server: BackendServer, ratio: float) -> None:
    emit(
        event,
        server=server.server_id,
        service=server.service,
        ratio=round(ratio, 2),
    )
