"""The routes in force and the backend servers that may be used."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallerLimits,
    GatewayConfiguration,
)
from bronzepost._internal.core.gateway.paces import (
    PaceTable,
    compare_servers,
    forget_server,
    observe_pace,
)
from bronzepost._internal.core.gateway.route_table import RouteTable
from bronzepost._internal.gateway.backend_connections import ConnectionPool
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A server that broke off an answer or refused a connection is passed over for
# this long while others are there; most outages of one server last longer,
# and one that was unlucky comes back soon.
AVOID_SECONDS: Final = 1.0


class Directory:
    """Configuration and backend servers, replaced as news arrive."""

    def __init__(self, *, pool: ConnectionPool) -> None:
        """Start without a configuration and without servers."""
        self.configuration: GatewayConfiguration | None = None
        self.routes = RouteTable(routes_by_host={})
        self.servers_by_id: dict[str, BackendServer] = {}
        self.in_flight_by_id: Counter[str] = Counter()
        self._pool = pool
        self._avoided_until_by_id: dict[str, float] = {}
        self._misplaced_by_id: dict[str, BackendServer] = {}
        self._paces = PaceTable(seconds_by_server={})

    @property
    def version(self) -> int:
        """Return the version of the routes in force, 0 without any."""
        return self.configuration.version if self.configuration else 0

    def read_limits(self) -> CallerLimits:
        """Return what callers may send now."""
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
            self._forget_server(self.servers_by_id[gone_id])
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
        """Return the ids of servers that failed a moment ago."""
        now = read_clock()
        until_by_id: Mapping[str, float] = self._avoided_until_by_id
        return frozenset(
            server_id for server_id, until in until_by_id.items() if now < until
        )

    def compare_servers(
        self, servers: Iterable[BackendServer]
    ) -> dict[str, float]:
        """Return how much slower servers are than the mean of them."""
        return compare_servers(
            self._paces, [server.server_id for server in servers]
        )

    def report_pace(
        self, server_id: str, *, seconds_per_event: float, running: float
    ) -> None:
        """Learn from a stream how fast a server is."""
        self._paces = observe_pace(
            self._paces,
            server_id=server_id,
            seconds_per_event=seconds_per_event,
            running=running,
        )

    def report_failure(self, server: BackendServer) -> None:
        """Avoid a server for a moment."""
        until = read_clock() + AVOID_SECONDS
        self._avoided_until_by_id[server.server_id] = until

    def report_success(self, server: BackendServer) -> None:
        """Stop avoiding a server."""
        self._avoided_until_by_id.pop(server.server_id, None)

    def report_misplaced(self, server: BackendServer) -> None:
        """Stop using a server whose address belongs to another one.

        It is used again once its entry in the registry changes.
        """
        self._misplaced_by_id[server.server_id] = server
        self._pool.close_address(server.address)

    def _forget_server(self, server: BackendServer) -> None:
        self._pool.close_address(server.address)
        self._avoided_until_by_id.pop(server.server_id, None)
        self._misplaced_by_id.pop(server.server_id, None)
        self._paces = forget_server(self._paces, server.server_id)
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
