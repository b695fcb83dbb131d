"""Connections to backend servers, over links of this VM or through other VMs."""

import contextlib
from collections.abc import Iterable, Iterator
from typing import Final

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.server_links import (
    Path,
    find_path,
    is_answering,
    is_silent_since,
)
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.links.backend_connections import (
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.links.link_probes import LinkProbes
from bronzepost._internal.gateway.links.relays import Relays
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock

# A single link that fails may as well be a server that has crashed. Within this
# time the VMs that use the server have found out.
SINGLE_LINK_SECONDS: Final = 1.0
# Idle tunnels through a VM that leaves are closed within this time.
CHECK_INTERVAL_SECONDS: Final = 0.1
# Requests that may run again are taken off lost links after this time. Callers leave a
# stream after a gap of two seconds.
SEVER_SECONDS: Final = 1.2


class ServerLinks:
    """Open connections to backend servers, and watch over the links to them."""

    def __init__(
        self, *, directory: Directory, pool: ConnectionPool, relays: Relays
    ) -> None:
        """Record links in ``directory``; ``pool`` has the connections."""
        self._directory = directory
        self._records = directory.links
        self.pool = pool
        self._relays = relays
        self._exchanges: dict[BackendConnection, PendingCall] = {}
        self.probes = LinkProbes(directory=directory, pool=pool)

    def start(self) -> None:
        """Start to probe links that fail and to close tunnels through VMs that leave."""
        self.probes.start()
        start_loop(self.close_unusable, CHECK_INTERVAL_SECONDS)

    def close_unusable(self) -> None:
        """Close tunnels and connections on which nothing can be expected.

        These are idle tunnels through VMs that leave or have lost their links and,
        once nothing has come over the links of this VM for long, connections with
        requests that may run again.
        """
        self.pool.close_tunnels(self._relays.is_usable)
        silent_since = read_clock() - SEVER_SECONDS
        if is_silent_since(self._records.table, silent_since):
            for connection, pending in tuple(self._exchanges.items()):
                server_id = pending.server_id
                if pending.may_run_again and self._relays.reaches(server_id):
                    connection.sever()

    @contextlib.contextmanager
    def watch(
        self, connection: BackendConnection, pending: PendingCall
    ) -> Iterator[None]:
        """Sever a connection with a request if it hangs on a lost link."""
        if connection.relay:
            yield
            return
        with contextlib.ExitStack() as stack:
            stack.callback(self._exchanges.pop, connection, None)
            self._exchanges[connection] = pending
            yield

    def acquire(
        self, server: BackendServer, *, request_id: str, max_idle_seconds: float
    ) -> BackendConnection:
        """Return a connection to a server, a tunnel if its link has failed.

        Raises:
            ExchangeError: if no connection can be opened; nothing was sent.
        """
        path = find_path(self._records.table, server.server_id)
        if path is not Path.RELAY:
            connection = self.pool.find_idle(
                server.address, max_idle_seconds, request_id=request_id
            )
            if connection is not None:
                return connection
        may_open = is_answering(self._records.table, server.server_id)
        if path is Path.DIRECT or (may_open and not self._has_relay(server)):
            try:
                return self.probes.open(server, step=f'forward {request_id}')
            except ExchangeError:
                if not self._has_relay(server):
                    raise
        return self._acquire_tunnel(server, request_id, max_idle_seconds)

    def is_at_fault(self, server: BackendServer, *, relay: str) -> bool:
        """Return whether a link, not a server, broke an exchange off just now.

        A server that crashes leaves the links to others alone. So the VM that
        connected to it, this one or the ``relay``, has to reach another one now.
        """
        if relay:
            return not self._relays.answers(relay, server)
        broke_at = read_clock()
        if self._records.is_cut_off:
            return True
        if len(self._directory.servers_by_id) == 1:
            return False
        # A check that is running may have begun before the break.
        table = self._records.table
        for _ in range(2):
            if table.worked_at <= broke_at:
                self.probes.try_others()
        return table.worked_at <= broke_at

    def list_unreachable(
        self, servers: Iterable[BackendServer], max_idle_seconds: float
    ) -> frozenset[str]:
        """Return the ids of servers to which there is no path now."""
        if not self._records.table.failing_by_server:
            return frozenset()
        return frozenset(
            server.server_id
            for server in servers
            if not self._is_reachable(server, max_idle_seconds)
        )

    def list_relayed(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the ids of servers to which no new connection opens now."""
        if not self._records.table.failing_by_server:
            return frozenset()
        return frozenset(
            server.server_id
            for server in servers
            if find_path(self._records.table, server.server_id)
            is not Path.DIRECT
        )

    def has_idle(self, server: BackendServer, max_idle_seconds: float) -> bool:
        """Return whether an idle connection to a server may be used."""
        path = find_path(self._records.table, server.server_id)
        return (
            path is not Path.RELAY
            and self.pool.has_idle(server.address, max_idle_seconds)
        ) or (
            path is not Path.DIRECT
            and self.pool.has_idle(
                server.address, max_idle_seconds, is_tunnel=True
            )
        )

    def _is_reachable(
        self, server: BackendServer, max_idle_seconds: float
    ) -> bool:
        table = self._records.table
        if is_answering(table, server.server_id) or self._has_relay(server):
            return True
        path = find_path(table, server.server_id)
        return path is Path.OPEN and self.pool.has_idle(
            server.address, max_idle_seconds
        )

    def _has_relay(self, server: BackendServer) -> bool:
        if self._records.is_cut_off:
            return self._relays.reaches(server.server_id)
        failing = self._records.table.failing_by_server.get(server.server_id)
        if (
            failing is None
            or failing.since > read_clock() - SINGLE_LINK_SECONDS
        ):
            return False
        return self._relays.is_reached_elsewhere(server.server_id)

    def _acquire_tunnel(
        self, server: BackendServer, request_id: str, max_idle_seconds: float
    ) -> BackendConnection:
        while True:  # noqa: WPS457 - each connection is taken out of the pool
            tunnel = self.pool.find_idle(
                server.address,
                max_idle_seconds,
                request_id=request_id,
                is_tunnel=True,
            )
            if tunnel is None:
                return self._relays.open(server, request_id=request_id)
            if self._relays.is_usable(tunnel):
                return tunnel
            self.pool.discard(tunnel)
