"""The routes in force and the backend servers that requests may go to."""

from collections import Counter
from collections.abc import Iterable

from bronzepost._internal.core.gateway import server_health
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallerLimits,
    GatewayConfiguration,
)
from bronzepost._internal.core.gateway.route_table import RouteTable
from bronzepost._internal.core.gateway.server_latency import (
    LatencyTable,
    compute_latency_ratios,
    record_latency,
    remove_server,
)
from bronzepost._internal.gateway.backend_connections import ConnectionPool
from bronzepost._internal.gateway.parts_in_use import PartsInUse
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


class Directory:
    """The current configuration and backend servers, with their health."""

    def __init__(self, *, pool: ConnectionPool) -> None:
        """Start without a configuration and without servers."""
        self.configuration: GatewayConfiguration | None = None
        self.routes = RouteTable(routes_by_host={})
        self.servers_by_id: dict[str, BackendServer] = {}
        self.in_flight_by_id: Counter[str] = Counter()
        self.prompt_parts = PartsInUse()
        self._pool = pool
        self._health: server_health.HealthTable = {}
        self._misplaced_by_id: dict[str, BackendServer] = {}
        self._latencies = LatencyTable(seconds_by_server={})

    @property
    def version(self) -> int:
        """Return the version of the routes in force, 0 without any."""
        return self.configuration.version if self.configuration else 0

    def read_limits(self) -> CallerLimits:
        """Return the limits of what callers may send now."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def put_configuration(self, configuration: GatewayConfiguration) -> None:
        """Put a configuration in force unless a newer one already is."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.routes = RouteTable.build(routes=configuration.routes)
        emit(
            LogEvent.ROUTES_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
        )

    def put_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace all servers by those that are registered now."""
        current = {server.server_id: server for server in servers}
        for server_id, server in current.items():
            self._log_change(self.servers_by_id.get(server_id), server)
        for gone_id in self.servers_by_id.keys() - current.keys():
            self._remove_server(self.servers_by_id[gone_id])
        self.servers_by_id = current

    def list_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that take new requests."""
        return [
            server
            for server in self.servers_by_id.values()
            if server.service == service
            and not server.is_draining
            and self._misplaced_by_id.get(server.server_id) != server
        ]

    def list_avoided(self) -> frozenset[str]:
        """Return the ids of servers to avoid because of recent failures."""
        return server_health.list_avoided(self._health, at=read_clock())

    def compute_latency_ratios(
        self, servers: Iterable[BackendServer]
    ) -> dict[str, float]:
        """Return the seconds per event of servers, divided by their mean.

        Servers without a recorded latency are left out.
        """
        return compute_latency_ratios(
            self._latencies, [server.server_id for server in servers]
        )

    def find_memory_tokens(self, service_name: str) -> int:
        """Return the KV cache tokens of a service's engine, 0 if unknown."""
        if self.configuration is None:
            return 0
        service = self.configuration.services_by_name.get(service_name)
        if service is None or service.engine is None:
            return 0
        return service.engine.memory_tokens

    def report_latency(
        self, server_id: str, *, seconds_per_event: float, running: float
    ) -> None:
        """Record the seconds per event of a server, measured in one stream.

        ``running`` is the number of requests in flight at the server.
        """
        self._latencies = record_latency(
            self._latencies,
            server_id=server_id,
            seconds_per_event=seconds_per_event,
            running=running,
        )

    def report_failure(self, server_id: str) -> None:
        """Record a failure; other servers are preferred for some time."""
        self._health = server_health.record_failure(
            self._health, server_id, at=read_clock()
        )

    def report_success(self, server_id: str) -> None:
        """Record an answer of a server that is not a server error."""
        self._health = server_health.record_success(
            self._health, server_id, at=read_clock()
        )

    def report_misplaced(self, server: BackendServer) -> None:
        """Stop using a server whose address now belongs to another one.

        It is used again once its entry in the registry changes.
        """
        self._misplaced_by_id[server.server_id] = server
        self._pool.close_address(server.address)

    def _remove_server(self, server: BackendServer) -> None:
        self._pool.close_address(server.address)
        self._health = {
            server_id: health
            for server_id, health in self._health.items()
            if server_id != server.server_id
        }
        self._misplaced_by_id.pop(server.server_id, None)
        self._latencies = remove_server(self._latencies, server.server_id)
        emit(
            LogEvent.SERVER_GONE,
            server=server.server_id,
            service=server.service,
        )

    def _log_change(
        self, old: BackendServer | None, new: BackendServer
    ) -> None:
        if old == new:
            return
        event = LogEvent.SERVER_UP
        if new.is_draining:
            event = LogEvent.SERVER_LEAVING
        emit(
            event,
            server=new.server_id,
            service=new.service,
            peer=new.address,
            born=new.born,
        )
