"""Find out which links to backend servers work."""

import contextlib
import random
from typing import Any, Final

import gevent
from gevent.pool import Pool

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.server_links import (
    list_due,
    list_working,
    needs_check,
)
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.links.backend_connections import (
    CONNECT_TIMEOUT_SECONDS,
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.loops import start_loop, start_task
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock

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


class LinkProbes:
    """Open connections over the links of this VM, and record which ones fail."""

    def __init__(self, *, directory: Directory, pool: ConnectionPool) -> None:
        """Record links in ``directory``, which has the servers."""
        self._directory = directory
        self._records = directory.links
        self._pool = pool
        self._check: Any = None
        self._probed_ids: set[str] = set()

    def start(self) -> None:
        """Start to probe links that fail."""
        start_loop(self.probe_due, PROBE_INTERVAL_SECONDS)

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
        if needs_check(self._records.table):
            self.try_others()

    def try_others(self) -> None:
        """Connect to some servers whose links do not fail, and record how it ends.

        A call waits for the tries that are under way, if there are any.
        """
        if self._check is None or self._check.ready():
            self._check = gevent.spawn(self._try_others)
        self._check.join()

    def probe_due(self) -> None:
        """Probe links that fail, some at a time."""
        limit = MAX_PROBES
        if self._records.is_cut_off:
            limit = MAX_PROBES_CUT_OFF
            # One of the servers that were not tried may still be reached.
            start_task(self.try_others)
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
            if not self._try(server, CONNECT_TIMEOUT_SECONDS):
                self.check()

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
        if not any(tries):
            self._records.record_cut_off()

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
            connection = self._pool.open(
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
