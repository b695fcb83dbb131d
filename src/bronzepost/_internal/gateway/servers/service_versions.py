"""The software versions of each service that this VM has seen in service."""

from collections.abc import Iterable, Mapping

from bronzepost._internal.core.gateway import seen_versions as rules
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.node.clock import read_clock


class ServiceVersions:
    """Tell whether the streams under way may have several versions."""

    def __init__(self) -> None:
        """Start without a list of servers."""
        self._seen = rules.SeenVersions()

    def record(self, servers: Iterable[BackendServer]) -> None:
        """Record the servers of a list that has just been read."""
        rules.record_versions(self._seen, servers, at=read_clock())

    def record_read(
        self, versions_by_service: Mapping[str, Iterable[str]] | None
    ) -> None:
        """Record the versions in all entries since the last read of the list."""
        rules.record_read_versions(
            self._seen, versions_by_service, at=read_clock()
        )

    def record_past(
        self, versions_by_service: Mapping[str, Iterable[str]]
    ) -> None:
        """Record the versions in service for as long as streams last."""
        rules.record_past_versions(
            self._seen, versions_by_service, at=read_clock()
        )

    def find_only(self, service: str) -> str | None:
        """Return the version of all streams of a service, None if unsure."""
        return rules.find_only_version(self._seen, service, at=read_clock())

    def find_seen(self, service: str) -> str | None:
        """Return the one version of a service seen lately, None if several."""
        return rules.find_seen_version(self._seen, service, at=read_clock())
