"""Follow the published routes and the registered backend servers."""

import math
from collections.abc import Callable, Mapping, Sequence, Set
from typing import Final, Protocol

import gevent
from gevent.lock import BoundedSemaphore

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    GatewayConfiguration,
)
from bronzepost._internal.core.gateway.seen_versions import STREAM_SECONDS
from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.feed_outages import (
    CONFIGURATION,
    SERVERS,
    FeedOutages,
)
from bronzepost._internal.gateway.servers.return_grace import ReturnGrace
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A read of the routes waits at the store this long for a new version. If the
# connection goes silent, the timeout of the call ends the read soon after.
WAIT_SECONDS: Final = 1.0
# Servers register about once a second, and may be used for two seconds after
# they announce that they leave.
SERVERS_POLL_SECONDS: Final = 0.4
# The store answers a waiting read after its wait at the latest, and a slow one some
# 0.25 s later. If none has come for so long, a newer configuration may be in force.
CURRENT_SECONDS: Final = 2.0
# Pause after a failed read; short, so that the return of the store is detected
# soon. With the timeout of a read (1.5 s) it stays below the two seconds in which
# a removal has to take effect.
RETRY_SECONDS: Final = 0.3


class Registry(Protocol):
    """Where routes are published and backend servers register."""

    @property
    def expiry_seconds(self) -> float:
        """Return the shortest outage in which entries of live servers expire.

        0 if that is not known.
        """

    def wait_for_configuration(
        self, timeout_seconds: float
    ) -> GatewayConfiguration | None:
        """Return the newest configuration, or None if none appears in time.

        Raises:
            LogServiceError: if the registry does not answer.
        """

    def read_servers(self) -> Sequence[BackendServer]:
        """Return the backend servers that are registered now.

        Raises:
            LogServiceError: if the registry does not answer.
        """

    def pop_versions(self) -> Mapping[str, Set[str]] | None:
        """Return the versions of each service in all entries since the last call.

        Those of servers that have come and gone meanwhile are among them. None
        if some entries were deleted before they were read.
        """

    def read_past_versions(
        self, seconds: float
    ) -> Mapping[str, Set[str]] | None:
        """Return the versions of each service that were in use in a time.

        It ends now. None if the registry does not keep entries for so long.

        Raises:
            LogServiceError: if the registry does not answer.
        """


class RegistryFollower:
    """Keep a directory up to date, and track outages of the registry.

    The configuration and the servers are separate feeds; each may fail alone.
    """

    def __init__(self, *, registry: Registry, directory: Directory) -> None:
        """Copy what ``registry`` publishes to ``directory``."""
        self._registry = registry
        self._directory = directory
        self._outages = FeedOutages()
        # When the last read of the servers that has an answer began.
        self.servers_read_at: float = 0
        self.grace = ReturnGrace(
            directory=directory,
            outages=self._outages,
            expiry_seconds=registry.expiry_seconds,
        )
        self._servers_lock = BoundedSemaphore()
        self._configuration_read_at = -math.inf

    @property
    def is_store_lost(self) -> bool:
        """Return whether reads of all feeds fail."""
        return self._outages.is_store_lost

    @property
    def store_available_seconds(self) -> float:
        """Return for how long the store has answered, 0 while it does not."""
        if self._outages.is_store_lost:
            return 0
        return read_clock() - self._outages.regained_at

    @property
    def store_lost_seconds(self) -> float:
        """Return for how long the store has not answered, 0 while it does."""
        return self._outages.lost_seconds

    @property
    def needs_snapshot(self) -> bool:
        """Return whether a peer may have newer routes or servers."""
        has_routes = self._directory.configuration is not None
        return self._outages.is_any_lost or not has_routes

    @property
    def is_configuration_current(self) -> bool:
        """Return whether the store has lately told the newest configuration."""
        oldest = read_clock() - CURRENT_SECONDS
        is_lost = self._outages.is_lost(CONFIGURATION)
        return not is_lost and self._configuration_read_at >= oldest

    @property
    def has_current_servers(self) -> bool:
        """Return whether the servers in use are those of the store's list."""
        return not (self._outages.is_lost(SERVERS) or self.grace.kept_ids)

    def start(self) -> None:
        """Start the greenlets that read the feeds."""
        start_loop(self._follow_configuration, 0)
        start_loop(self._follow_servers, RETRY_SECONDS)

    def refresh_servers(self) -> None:
        """Read the servers, unless a read begins while this call waits for one.

        ``servers_read_at`` is at or after the call if the read has an answer.
        """
        asked_at = read_clock()
        with self._servers_lock:
            if self.servers_read_at >= asked_at:
                return
            try:
                self._read_servers()
            except LogServiceError as error:
                self._outages.mark_lost(SERVERS, error)

    def read_past_versions(self) -> None:
        """Read which versions were in service for as long as streams last."""
        started_at = read_clock()
        versions = None
        error: LogServiceError | None = None
        try:
            versions = self._registry.read_past_versions(STREAM_SECONDS)
        except LogServiceError as failure:
            error = failure
        if versions is not None:
            self._directory.versions.record_past(versions)
        emit(
            LogEvent.SERVER_HISTORY_READ,
            is_known=versions is not None,
            versions={
                name: sorted(found) for name, found in (versions or {}).items()
            },
            seconds=round(read_clock() - started_at, 3),
            error=error,
        )

    def _follow_configuration(self) -> None:
        if not self._follow(CONFIGURATION, self._read_configuration):
            gevent.sleep(RETRY_SECONDS)

    def _follow_servers(self) -> None:
        # The loop pauses as long as after a failed read.
        if self._follow(SERVERS, self._read_servers_alone):
            gevent.sleep(SERVERS_POLL_SECONDS - RETRY_SECONDS)

    def _follow(self, feed: str, read: Callable[[], None]) -> bool:
        """Read a feed; return whether it has answered."""
        try:
            read()
        except LogServiceError as error:
            self._outages.mark_lost(feed, error)
            return False
        self._outages.mark_available(feed)
        return True

    def _read_configuration(self) -> None:
        configuration = self._registry.wait_for_configuration(WAIT_SECONDS)
        if configuration is not None:
            self._directory.put_configuration(configuration)
        self._configuration_read_at = read_clock()

    def _read_servers_alone(self) -> None:
        with self._servers_lock:
            self._read_servers()

    def _read_servers(self) -> None:
        started_at = read_clock()
        try:
            servers = self._registry.read_servers()
        except LogServiceError:
            self.grace.record_failure()
            raise
        self._outages.mark_available(SERVERS)
        self.grace.apply_list(servers, read_at=started_at)
        self._directory.versions.record_read(self._registry.pop_versions())
        self.servers_read_at = started_at
