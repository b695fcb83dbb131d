"""The routes in force and the backend servers that requests may go to."""

from collections import Counter
from collections.abc import Iterable, Sequence

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallerLimits,
    EngineShape,
    GatewayConfiguration,
)
from bronzepost._internal.core.gateway.route_table import RouteTable
from bronzepost._internal.core.gateway.workspaces import WorkspaceTable
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.link_records import LinkRecords
from bronzepost._internal.gateway.servers.engine_ratings import EngineRatings
from bronzepost._internal.gateway.servers.parts_in_use import PartsInUse
from bronzepost._internal.gateway.servers.server_limits import ServerLimits
from bronzepost._internal.gateway.servers.server_ratings import ServerRatings
from bronzepost._internal.gateway.servers.service_versions import (
    ServiceVersions,
)
from bronzepost._internal.gateway.servers.warm_requests import WarmRequests
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


class Directory:
    """The current configuration and backend servers, with their health."""

    def __init__(
        self, *, pool: ConnectionPool, memory: HeldMemory | None = None
    ) -> None:
        """Start without a configuration and without servers."""
        self.memory = memory or HeldMemory()
        self.configuration: GatewayConfiguration | None = None
        self.routes = RouteTable(routes_by_host={})
        self.workspaces = WorkspaceTable.build(workspaces=None)
        # Copied from a VM of an earlier build, which knows no workspaces.
        self.is_partial = False
        self.servers_by_id: dict[str, BackendServer] = {}
        self.in_flight_by_id: Counter[str] = Counter()
        self.prompt_parts = PartsInUse()
        self.ratings = ServerRatings()
        self.engine_ratings = EngineRatings()
        self.limits = ServerLimits()
        self.links = LinkRecords()
        self.warm_requests = WarmRequests()
        # Connections to backend servers that this VM relays for others.
        self.tunnels = 0
        self._pool = pool
        pool.memory = self.memory
        self.versions = ServiceVersions()
        self._misplaced_by_id: dict[str, BackendServer] = {}
        # Id and start of servers that are leaving. They stay here when their
        # entries go, since an entry may come back while the server still runs.
        self._leaving: set[tuple[str, int]] = set()
        # Cached until a server changes.
        self._servers_by_service: dict[str, tuple[BackendServer, ...]] = {}

    @property
    def version(self) -> int:
        """Return the version of the routes in force, 0 without any."""
        return self.configuration.version if self.configuration else 0

    @property
    def may_have_workspaces(self) -> bool:
        """Return whether requests need keys, or may need them."""
        return self.configuration is None or self.workspaces.is_in_force

    def read_limits(self) -> CallerLimits:
        """Return the limits of what callers may send now."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def put_configuration(
        self, configuration: GatewayConfiguration, *, is_partial: bool = False
    ) -> None:
        """Put a configuration in force unless a newer one already is.

        One that ``is_partial`` lacks what an earlier build does not know. The
        whole configuration of the same version goes before it.
        """
        current = self.configuration
        is_completed = self.is_partial and not is_partial
        if current is not None and configuration.version <= current.version:
            if configuration.version < current.version or not is_completed:
                return
        self.configuration = configuration
        self.is_partial = is_partial
        self.routes = RouteTable.build(routes=configuration.routes)
        self.workspaces = WorkspaceTable.build(
            workspaces=configuration.workspaces
        )
        _log_unusable(self.workspaces, configuration.version)
        self.warm_requests.use_routes(configuration.routes)
        emit(
            LogEvent.ROUTES_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
        )

    def put_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace all servers by those that are registered now."""
        current = {server.server_id: server for server in servers}
        self.versions.record(current.values())
        for server_id, server in current.items():
            known = self.servers_by_id.get(server_id)
            _log_change(known, server)
            if known is not None and known.born != server.born:
                self.links.forget(server_id)
        for gone_id in self.servers_by_id.keys() - current.keys():
            self._remove_server(self.servers_by_id[gone_id])
        if current != self.servers_by_id:
            self.servers_by_id = current
            self._servers_by_service = {}

    def list_servers(self, service: str) -> Sequence[BackendServer]:
        """Return the servers of a service that take new requests, by their id.

        The same sequence is returned until a server changes.
        """
        if service not in self._servers_by_service:
            self._servers_by_service[service] = tuple(
                server
                for _, server in sorted(self.servers_by_id.items())
                if self._is_serving(server, service)
            )
        return self._servers_by_service[service]

    def find_serving(
        self, service: str, server_id: str
    ) -> BackendServer | None:
        """Return a server of a service if it takes new requests."""
        server = self.servers_by_id.get(server_id)
        if server is None or not self._is_serving(server, service):
            return None
        return server

    def list_other_versions(self, service: str, version: str) -> frozenset[str]:
        """Return the ids of a service's servers that have another version."""
        return frozenset(
            server.server_id
            for server in self.list_servers(service)
            if server.version != version
        )

    def find_engine(self, service_name: str) -> EngineShape:
        """Return the shape of a service's engines, the default if unknown."""
        if self.configuration is None:
            return EngineShape()
        service = self.configuration.services_by_name.get(service_name)
        return (service and service.engine) or EngineShape()

    def report_misplaced(self, server: BackendServer) -> None:
        """Stop using a server whose address now belongs to another one.

        It is used again once its entry in the registry changes.
        """
        self._misplaced_by_id[server.server_id] = server
        self._servers_by_service = {}
        self._pool.close_address(server.address)

    def report_leaving(self, server: BackendServer) -> None:
        """Stop using a server whose answer says that it is leaving.

        Its entry may say so later or never. A server that starts again under
        the same id is used.
        """
        incarnation = (server.server_id, server.born)
        if incarnation in self._leaving:
            return
        self._leaving.add(incarnation)
        self._servers_by_service = {}
        self._pool.close_address(server.address)
        _log_server(LogEvent.SERVER_LEAVING, server, source='answer')

    def _is_serving(self, server: BackendServer, service: str) -> bool:
        return (
            server.service == service
            and not server.is_draining
            and (server.server_id, server.born) not in self._leaving
            and self._misplaced_by_id.get(server.server_id) != server
        )

    def _remove_server(self, server: BackendServer) -> None:
        self._pool.close_address(server.address)
        self._misplaced_by_id.pop(server.server_id, None)
        self.ratings.forget(server.server_id)
        self.engine_ratings.forget(server)
        self.links.forget(server.server_id)
        emit(
            LogEvent.SERVER_GONE,
            server=server.server_id,
            service=server.service,
        )


def _log_unusable(table: WorkspaceTable, version: int) -> None:
    for workspace in table.unusable:
        emit(
            LogEvent.WORKSPACE_UNUSABLE,
            workspace=workspace.name,
            version=version,
        )


def _log_change(old: BackendServer | None, new: BackendServer) -> None:
    if old == new:
        return
    event = LogEvent.SERVER_LEAVING if new.is_draining else LogEvent.SERVER_UP
    _log_server(event, new, source='registry')


def _log_server(event: LogEvent, server: BackendServer, *, source: str) -> None:
    emit(
        event,
        server=server.server_id,
        service=server.service,
        peer=server.address,
        born=server.born,
        version=server.version,
        source=source,
    )
