"""Avoid backend servers that have failed, judged by their own answers.

Answers servers that fail a part of their requests while their health check is
good, and servers that go down and come back by turns: each further failure
within some seconds doubles the time in which others are preferred.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

# Most outages of one server last longer than this, and one that was unlucky
# comes back soon.
AVOID_SECONDS: Final = 1.0
MOST_AVOID_SECONDS: Final = 16.0
# Failures count less as they age; after three such times they count for 5%.
MEMORY_SECONDS: Final = 5.0
# A good answer takes this part of what has been counted.
FORGIVEN_SHARE: Final = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerHealth:
    """Failures of one server, weighed by age at ``at`` (monotonic seconds)."""

    failures: float
    at: float
    avoided_until: float


HealthTable = Mapping[str, ServerHealth]


def note_failure(
    table: HealthTable, server_id: str, *, at: float
) -> HealthTable:
    """Return the table after a failure of a server."""
    failures = count_failures(table.get(server_id), at) + 1
    seconds = min(AVOID_SECONDS * 2 ** (failures - 1), MOST_AVOID_SECONDS)
    health = ServerHealth(failures=failures, at=at, avoided_until=at + seconds)
    return {**table, server_id: health}


def note_success(
    table: HealthTable, server_id: str, *, at: float
) -> HealthTable:
    """Return the table after a good answer of a server."""
    known = table.get(server_id)
    if known is None:
        return table
    failures = count_failures(known, at) * (1 - FORGIVEN_SHARE)
    health = dataclasses.replace(known, failures=failures, at=at)
    return {**table, server_id: health}


def list_avoided(table: HealthTable, *, at: float) -> frozenset[str]:
    """Return the servers that are used only if there is no other."""
    return frozenset(
        server_id
        for server_id, health in table.items()
        if at < health.avoided_until
    )


def count_failures(health: ServerHealth | None, at: float) -> float:
    """Return the failures of a server, weighed by their age."""
    if health is None:
        return 0
    return health.failures * math.exp((health.at - at) / MEMORY_SECONDS)
