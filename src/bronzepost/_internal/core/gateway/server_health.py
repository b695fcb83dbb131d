"""Avoid backend servers whose answers have failed, for a limited time.

Some servers fail a part of their requests although their health check passes,
and some go down and come back repeatedly. Each further failure within a few
seconds doubles the time for which a server is avoided.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

# Shorter than most outages, and a server with a single failure is soon used
# again.
INITIAL_AVOID_SECONDS: Final = 1.0
MAX_AVOID_SECONDS: Final = 16.0
# Time constant of the exponential decay by which older failures count less:
# after three times as long, a failure counts for 5%.
DECAY_SECONDS: Final = 5.0
# A successful answer lowers the failure count by this share.
SUCCESS_DISCOUNT: Final = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerHealth:
    """Decayed failure count of one server at ``at``, in monotonic seconds."""

    failures: float
    at: float
    avoided_until: float


HealthTable = Mapping[str, ServerHealth]


def record_failure(
    table: HealthTable, server_id: str, *, at: float
) -> HealthTable:
    """Return the table with a failure of a server added."""
    failures = decay_failures(table.get(server_id), at) + 1
    avoid_seconds = min(
        INITIAL_AVOID_SECONDS * 2 ** (failures - 1), MAX_AVOID_SECONDS
    )
    health = ServerHealth(
        failures=failures, at=at, avoided_until=at + avoid_seconds
    )
    return {**table, server_id: health}


def record_success(
    table: HealthTable, server_id: str, *, at: float
) -> HealthTable:
    """Return the table after a successful answer of a server."""
    previous = table.get(server_id)
    if previous is None:
        return table
    failures = decay_failures(previous, at) * (1 - SUCCESS_DISCOUNT)
    health = dataclasses.replace(previous, failures=failures, at=at)
    return {**table, server_id: health}


def list_avoided(table: HealthTable, *, at: float) -> frozenset[str]:
    """Return the ids of servers to use only if there is no other."""
    return frozenset(
        server_id
        for server_id, health in table.items()
        if at < health.avoided_until
    )


def decay_failures(health: ServerHealth | None, at: float) -> float:
    """Return the failure count of a server, decayed to the time ``at``."""
    if health is None:
        return 0
    return health.failures * math.exp((health.at - at) / DECAY_SECONDS)
