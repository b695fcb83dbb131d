"""Tell whether a service has had servers of one software version only.

A stream may go on only at a server of the version that began it. While a service
has a single version, and had no other for as long as streams last, this is the
version of every stream.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from bronzepost._internal.core.gateway.entities import BackendServer

# Longer than the deadlines of streams, which are a few seconds.
STREAM_SECONDS: Final = 20.0
# If the list of servers is older, other VMs may know versions that are not in it.
# It is read about twice a second.
MAX_LIST_AGE_SECONDS: Final = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class SeenVersions:
    """The versions of each service, with the time at which each was last seen.

    The list of servers has been read without a gap since ``watched_since``, and
    last at ``read_at``, both in monotonic seconds.
    """

    watched_since: float = 0
    read_at: float = 0
    seen_at_by_service: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )


def record_versions(
    seen: SeenVersions, servers: Iterable[BackendServer], *, at: float
) -> None:
    """Record the servers of a list that was read at a time."""
    if at - seen.read_at > MAX_LIST_AGE_SECONDS:
        seen.watched_since = at
    seen.read_at = at
    for server in servers:
        seen_at = seen.seen_at_by_service.setdefault(server.service, {})
        seen_at[server.version] = at


def record_read_versions(
    seen: SeenVersions,
    versions_by_service: Mapping[str, Iterable[str]] | None,
    *,
    at: float,
) -> None:
    """Record the versions in all entries since the last read of the list.

    Servers may have come and gone between two reads. None if entries in between
    are not known; the list is then watched anew.
    """
    if versions_by_service is None:
        seen.watched_since = at
        return
    for service, versions in versions_by_service.items():
        seen_at = seen.seen_at_by_service.setdefault(service, {})
        seen_at.update(dict.fromkeys(versions, at))


def record_past_versions(
    seen: SeenVersions,
    versions_by_service: Mapping[str, Iterable[str]],
    *,
    at: float,
) -> None:
    """Record what was in service in the ``STREAM_SECONDS`` before a time.

    It counts as if the list had been watched since then. When each version left
    is not known, so all of them count as seen at the end.
    """
    seen.watched_since = min(seen.watched_since, at - STREAM_SECONDS)
    record_read_versions(seen, versions_by_service, at=at)


def find_only_version(
    seen: SeenVersions, service: str, *, at: float
) -> str | None:
    """Return the one version of all streams that may be under way.

    None if there may be streams of several versions, or of one that this VM has
    not seen.
    """
    if at - seen.watched_since < STREAM_SECONDS:
        return None
    return find_seen_version(seen, service, at=at)


def find_seen_version(
    seen: SeenVersions, service: str, *, at: float
) -> str | None:
    """Return the one version that this VM has seen lately, None if several.

    A VM that has just started may have missed others.
    """
    if at - seen.read_at > MAX_LIST_AGE_SECONDS:
        return None
    recent = [
        version
        for version, seen_at in seen.seen_at_by_service.get(service, {}).items()
        if at - seen_at < STREAM_SECONDS
    ]
    return recent[0] if len(recent) == 1 else None
