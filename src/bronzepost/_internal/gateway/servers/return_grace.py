"""Backend servers that stay in use without an entry after an outage."""

import math
from collections.abc import Sequence
from typing import Any, Final

import gevent

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.feed_outages import (
    SERVERS,
    FeedOutages,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Entries that expired while the store was unavailable are registered again
# within two seconds of its return (guaranteed by the platform). A server whose
# entry is removed after the return gets no requests later than two seconds after
# that either.
RETURN_GRACE_SECONDS: Final = 2.0


class ReturnGrace:
    """Keep servers in use whose entries may have expired in an outage.

    A server that is missing from a list stays in use for a time only if reads
    have failed for so long that its entry may have expired meanwhile. The time
    counts from the last list that came from the store, read by this VM or copied
    from another one that reads it. A start is therefore no outage, nor is a read
    that fails once, nor a cut between this VM and the store.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        outages: FeedOutages,
        expiry_seconds: float,
    ) -> None:
        """Put servers into ``directory``.

        No entry of a live server expires in an outage shorter than
        ``expiry_seconds``.
        """
        self.kept_ids: frozenset[str] = frozenset()
        self._directory = directory
        self._outages = outages
        self._expiry_seconds = expiry_seconds
        # When the servers in the directory were last those of the store, None
        # while there are none, in monotonic seconds.
        self._current_at: float | None = None
        # Whether a read has failed since the last one that was answered.
        self._has_failed = False
        self._ends_at = -math.inf
        self._timer: Any = None

    def apply_list(
        self, servers: Sequence[BackendServer], *, read_at: float
    ) -> None:
        """Use the servers of a list, and missing ones during a grace period.

        The read of the list began at ``read_at``, in monotonic seconds.
        """
        if self._may_have_expired(read_at):
            self._begin(read_at)
        self._has_failed = False
        self._current_at = read_at
        kept: list[BackendServer] = []
        if read_clock() < self._ends_at:
            registered = {server.server_id for server in servers}
            kept.extend(
                known
                for known in self._directory.servers_by_id.values()
                if known.server_id not in registered
            )
        self._record_kept(kept)
        self._directory.put_servers((*servers, *kept))

    def record_failure(self) -> None:
        """Record that a read of the list has failed."""
        self._has_failed = True

    def record_copy(self, *, is_current: bool) -> None:
        """Record that the directory has the servers of another VM.

        With ``is_current`` that VM has just read them from the store.
        """
        if is_current:
            self._current_at = read_clock()
        elif self._current_at is None:
            self._current_at = -math.inf

    def _may_have_expired(self, read_at: float) -> bool:
        if self._current_at is None or not self._has_failed:
            return False
        return read_at - self._current_at >= self._expiry_seconds

    def _begin(self, read_at: float) -> None:
        self._ends_at = read_at + RETURN_GRACE_SECONDS
        if self._timer is not None:
            self._timer.kill()
        # The next read may come later, or hang.
        self._timer = gevent.spawn_later(
            self._ends_at - read_clock(), self._finish
        )

    def _finish(self) -> None:
        """Drop the servers that have not registered again.

        While reads fail, the store may be away again, and nothing newer is known.
        """
        if self.kept_ids and not self._outages.is_lost(SERVERS):
            servers = self._directory.servers_by_id.values()
            self._directory.put_servers([
                server
                for server in servers
                if server.server_id not in self.kept_ids
            ])
        self.kept_ids = frozenset()

    def _record_kept(self, servers: Sequence[BackendServer]) -> None:
        for server in servers:
            if server.server_id not in self.kept_ids:
                emit(
                    LogEvent.SERVER_KEPT,
                    server=server.server_id,
                    service=server.service,
                    seconds_left=round(self._ends_at - read_clock(), 3),
                )
        self.kept_ids = frozenset(kept.server_id for kept in servers)
