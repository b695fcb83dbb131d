"""Connections to backend servers, over links of this VM or through other VMs."""

import contextlib
import random
from collections.abc import Iterable
from typing import Any, Final

import gevent
from gevent.pool import Pool

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.server_links import (
    Path,
    find_path,
    list_due,
    list_working,
)
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.backend_connections import (
    CONNECT_TIMEOUT_SECONDS,
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.relays import Relays
from bronzepost._internal.node.clock import read_clock

# A single link that fails may as well be a server that has crashed. Within this
# time the VMs that use the server have found out.
SINGLE_LINK_SECONDS: Final = 1.0
# Servers that are tried when a connection fails and no other server was heard from.
CHECKED_SERVERS: Final = 3
CHECK_TIMEOUT_SECONDS: Final = 0.2
PROBE_INTERVAL_SECONDS: Final = 0.1
# Links that are probed at a time, while all are lost and after one works again. VMs
# that lost their links together have to regain them without a flood of connections.
MAX_PROBES_CUT_OFF: Final = 4
MAX_PROBES: Final = 16
# Spreads the probes of VMs that have lost a link together.
PROBE_JITTER_SECONDS: Final = 0.1


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
        self._check: Any = None
        self._probed_ids: set[str] = set()

    def start(self) -> None:
        """Start to probe links that fail."""
        start_loop(self.probe_due, PROBE_INTERVAL_SECONDS)

    def acquire(
        self, server: BackendServer, *, request_id: str, max_idle_seconds: float
    ) -> BackendConnection:
        """Return a connection to a server, a tunnel if its link has failed.

        Raises:
            ExchangeError: if no connection can be opened; nothing was sent.
        """
        path = find_path(self._records.table, server.server_id)
        if path is not Path.RELAY:
            connection = self.pool.find_idle(server.address, max_idle_seconds)
            if connection is not None:
                return connection
        if path is Path.DIRECT:
            try:
                return self.open(server, step=f'forward {request_id}')
            except ExchangeError:
                if not self._has_relay(server):
                    raise
        return self._acquire_tunnel(server, request_id, max_idle_seconds)

    def open(self, server: BackendServer, *, step: str) -> BackendConnection:
        """Open a connection over the link of this VM.

        If it fails, this VM has found out whether it has lost all its links.

        Raises:
            ExchangeError: if no connection can be opened.
        """
        try:
            return self._open(server, step, CONNECT_TIMEOUT_SECONDS)
        except ExchangeError:
            self.check()
            raise

    def check(self) -> None:
        """Try other servers if this VM seems to have lost all its links."""
        if not self._records.is_cut_off:
            return
        if self._check is None or self._check.ready():
            self._check = gevent.spawn(self._try_others)
        self._check.join()

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

    def probe_due(self) -> None:
        """Probe links that fail, and close tunnels through VMs that leave."""
        self.pool.close_tunnels(self._relays.is_usable)
        limit = MAX_PROBES_CUT_OFF if self._records.is_cut_off else MAX_PROBES
        due = list_due(self._records.table, at=read_clock())
        for server_id in due[: max(limit - len(self._probed_ids), 0)]:
            server = self._directory.servers_by_id.get(server_id)
            if server is None:
                self._records.forget(server_id)
            elif server_id not in self._probed_ids:
                self._probed_ids.add(server_id)
                gevent.spawn(self._probe, server)

    def _probe(self, server: BackendServer) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._probed_ids.discard, server.server_id)
            self._try(server, CONNECT_TIMEOUT_SECONDS)

    def _try_others(self) -> None:
        working_ids = list_working(self._records.table)
        failing_ids = self._records.table.failing_by_server
        others = [
            server_id
            for server_id in self._directory.servers_by_id
            if server_id not in failing_ids
        ]
        chosen = dict.fromkeys((*working_ids, *others))
        servers = [
            self._directory.servers_by_id[server_id]
            for server_id in chosen
            if server_id in self._directory.servers_by_id
        ]
        pool = Pool(CHECKED_SERVERS)
        tries = pool.imap_unordered(
            lambda server: self._try(server, CHECK_TIMEOUT_SECONDS),
            servers[:CHECKED_SERVERS],
        )
        # The first server that answers shows that the links work.
        any(tries)

    def _try(self, server: BackendServer, timeout_seconds: float) -> bool:
        try:
            connection = self._open(server, 'probe link', timeout_seconds)
        except ExchangeError:
            return False
        connection.close()
        return True

    def _open(
        self, server: BackendServer, step: str, timeout_seconds: float
    ) -> BackendConnection:
        tried_at = read_clock()
        try:
            connection = self.pool.open(
                server.address, step=step, timeout_seconds=timeout_seconds
            )
        except ExchangeError as error:
            self._records.record_failed(
                server.server_id,
                tried_at=tried_at,
                is_silent=isinstance(error.__cause__, TimeoutError),
                jitter_seconds=random.random() * PROBE_JITTER_SECONDS,  # noqa: S311
            )
            raise
        self._records.record_opened(server.server_id)
        return connection

    def _is_reachable(
        self, server: BackendServer, max_idle_seconds: float
    ) -> bool:
        path = find_path(self._records.table, server.server_id)
        if path is Path.DIRECT or self._has_relay(server):
            return True
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
                server.address, max_idle_seconds, is_tunnel=True
            )
            if tunnel is None:
                return self._relays.open(server, request_id=request_id)
            if self._relays.is_usable(tunnel):
                return tunnel
            self.pool.discard(tunnel)
