"""Connections of this VM to backend servers."""

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.backend_connections import (
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.node.clock import read_clock


class ServerLinks:
    """Open connections to backend servers, and record which links fail."""

    def __init__(self, *, directory: Directory, pool: ConnectionPool) -> None:
        """Record links in ``directory``; ``pool`` has the connections."""
        self._records = directory.links
        self._pool = pool

    def acquire(
        self, server: BackendServer, *, step: str, max_idle_seconds: float
    ) -> BackendConnection:
        """Return an idle connection to a server, or open a new one.

        Raises:
            ExchangeError: if no connection can be opened; nothing was sent.
        """
        connection = self._pool.find_idle(server.address, max_idle_seconds)
        return connection or self._open(server, step)

    def _open(self, server: BackendServer, step: str) -> BackendConnection:
        tried_at = read_clock()
        try:
            connection = self._pool.open(server.address, step=step)
        except ExchangeError as error:
            self._records.record_failed(
                server.server_id,
                tried_at=tried_at,
                is_silent=isinstance(error.__cause__, TimeoutError),
            )
            raise
        self._records.record_opened(server.server_id)
        return connection
