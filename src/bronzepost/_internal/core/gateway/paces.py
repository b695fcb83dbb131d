"""Learn which servers of a service are slower than others.

Answers servers of different hardware and servers that have turned slow while
their health check is good: both get fewer requests.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.core.gateway.placement import SLOWDOWN_PER_REQUEST

# The weight of a new observation: about ten of them replace what was known.
OBSERVATION_WEIGHT: Final = 0.15
# Bounds on the ratio to the other servers, so that one odd answer does not
# take a server out of use or draw all requests to it.
LEAST_SLOWNESS: Final = 0.7
MOST_SLOWNESS: Final = 4.0
# Events closer together than this arrived in one segment.
LEAST_SECONDS_PER_EVENT: Final = 0.0005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PaceTable:
    """Seconds per event by server, as on a server that runs nothing else."""

    seconds_by_server: Mapping[str, float]


def observe_pace(
    table: PaceTable,
    *,
    server_id: str,
    seconds_per_event: float,
    running: float,
) -> PaceTable:
    """Return the table after a stream of a server that ran ``running`` more."""
    alone = seconds_per_event / (1 + SLOWDOWN_PER_REQUEST * running)
    alone = max(alone, LEAST_SECONDS_PER_EVENT)
    known = table.seconds_by_server.get(server_id, alone)
    learned = known + OBSERVATION_WEIGHT * (alone - known)
    return PaceTable(
        seconds_by_server={**table.seconds_by_server, server_id: learned}
    )


def compare_servers(
    table: PaceTable, server_ids: list[str]
) -> dict[str, float]:
    """Return how much slower each server is than the mean of all.

    Servers that nothing is known of are left out.
    """
    known = {
        server_id: table.seconds_by_server[server_id]
        for server_id in server_ids
        if server_id in table.seconds_by_server
    }
    if not known:
        return {}
    mean = sum(known.values()) / len(known)
    return {
        server_id: min(max(seconds / mean, LEAST_SLOWNESS), MOST_SLOWNESS)
        for server_id, seconds in known.items()
    }


def forget_server(table: PaceTable, server_id: str) -> PaceTable:
    """Return the table without a server that has left."""
    known = dict(table.seconds_by_server)
    known.pop(server_id, None)
    return PaceTable(seconds_by_server=known)
