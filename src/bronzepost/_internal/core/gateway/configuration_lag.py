"""Whether other VMs have a newer configuration than this one.

A VM may be the only one that the store refuses, or to which it says nothing. It
then learns from the reports of its peers that there is a newer configuration.
"""

import dataclasses
from typing import Final

# The store tells all VMs of a new version within a round trip, and within 0.25 s
# while it is slow. A VM that is behind its peers for longer asks one of them.
PATIENCE_SECONDS: Final = 0.3


@dataclasses.dataclass(kw_only=True, slots=True)
class NewerVersions:
    """The peers that have reported a newer version than this VM's.

    ``own_version`` is that of this VM when the first of them did, at the time
    ``since``, in monotonic seconds.
    """

    version_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    own_version: int = 0
    since: float = 0


def record_version(
    newer: NewerVersions,
    name: str,
    version: int,
    *,
    own_version: int,
    at: float,
) -> None:
    """Record the version that a peer has reported."""
    forget_reached(newer, own_version)
    if version <= own_version:
        newer.version_by_name.pop(name, None)
        return
    if not newer.version_by_name or newer.own_version != own_version:
        newer.own_version = own_version
        newer.since = at
    newer.version_by_name[name] = version


def forget_reached(newer: NewerVersions, own_version: int) -> None:
    """Forget the versions that this VM has reached."""
    reached = [
        name
        for name, version in newer.version_by_name.items()
        if version <= own_version
    ]
    for name in reached:
        newer.version_by_name.pop(name)


def list_newer(newer: NewerVersions, own_version: int) -> list[str]:
    """Return the peers with newer versions than this VM's, the newest first."""
    forget_reached(newer, own_version)
    return sorted(
        newer.version_by_name,
        key=lambda name: (-newer.version_by_name[name], name),
    )


def is_overdue(newer: NewerVersions, own_version: int, *, at: float) -> bool:
    """Return whether this VM has been behind its peers for too long."""
    return bool(list_newer(newer, own_version)) and (
        at >= newer.since + PATIENCE_SECONDS
    )


def may_lag(
    newer: NewerVersions, own_version: int, *, is_feed_current: bool
) -> bool:
    """Return whether a newer configuration than this VM's may be in force.

    ``is_feed_current`` tells that the store has lately answered that there is
    none. What this VM's configuration does not allow may then not be refused
    for good.
    """
    return not is_feed_current or bool(list_newer(newer, own_version))
