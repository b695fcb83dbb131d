"""Track how fast servers stream, relative to others of their service.

Servers with slower hardware, and servers that became slow although their
health check passes, get fewer requests.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.core.gateway.placement import SLOWDOWN_PER_REQUEST

# Weight of a new sample in the exponential moving average. Ten samples make up
# four fifths of it.
SMOOTHING_FACTOR: Final = 0.15
# Limits of the ratio to the mean of the servers, so that one outlier neither
# takes a server out of use nor attracts all requests to it.
MIN_LATENCY_RATIO: Final = 0.7
MAX_LATENCY_RATIO: Final = 4.0
# Events with a shorter interval arrived in one TCP segment.
MIN_SECONDS_PER_EVENT: Final = 0.0005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LatencyTable:
    """Average seconds per event by server, as if it ran one request only."""

    seconds_by_server: Mapping[str, float]


def record_latency(
    table: LatencyTable,
    *,
    server_id: str,
    seconds_per_event: float,
    running: float,
) -> LatencyTable:
    """Return the table with a sample of one stream added.

    ``running`` is the number of requests in flight at the server.
    """
    unloaded = seconds_per_event / (1 + SLOWDOWN_PER_REQUEST * running)
    unloaded = max(unloaded, MIN_SECONDS_PER_EVENT)
    known = table.seconds_by_server.get(server_id, unloaded)
    updated = known + SMOOTHING_FACTOR * (unloaded - known)
    return LatencyTable(
        seconds_by_server={**table.seconds_by_server, server_id: updated}
    )


def compute_latency_ratios(
    table: LatencyTable, server_ids: list[str]
) -> dict[str, float]:
    """Return the seconds per event of servers, divided by their mean.

    Servers without samples are left out.
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
        server_id: min(
            max(seconds / mean, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO
        )
        for server_id, seconds in known.items()
    }


def remove_server(table: LatencyTable, server_id: str) -> LatencyTable:
    """Return the table without a server that has left."""
    known = dict(table.seconds_by_server)
    known.pop(server_id, None)
    return LatencyTable(seconds_by_server=known)
