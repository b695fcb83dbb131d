"""Choose the backend server of a request.

Answers uneven load: servers of one service differ in speed and in what their
caches hold, so a request goes where queueing, reading the prompt and the way
together take least.
"""

import dataclasses
from collections.abc import Iterable, Mapping

import xxhash

from bronzepost._internal.core.gateway.entities import BackendServer

# A server in another availability zone is chosen for a shorter queue, not
# for an equal one: this is the part of a slot that the way is worth.
ZONE_WEIGHT = 0.02
# A server that has this line's earlier turns in its cache saves reading them
# again, which is worth this part of its slots.
LINE_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementView:
    """What a choice goes by.

    ``in_flight`` counts requests by server id, ``home`` is the server that
    the line's last turn ran on, and servers in ``avoided`` are used only if
    there is no other. ``salt`` spreads equal costs over the servers.
    """

    availability_zone: str
    in_flight: Mapping[str, float]
    home: str = ''
    salt: int = 0
    avoided: frozenset[str] = frozenset()


def choose_server(
    servers: Iterable[BackendServer], view: PlacementView
) -> BackendServer | None:
    """Return the server with the lowest cost, or None without servers."""
    return min(
        servers, key=lambda server: rate_server(server, view), default=None
    )


def rate_server(
    server: BackendServer, view: PlacementView
) -> tuple[bool, float, int]:
    """Return the cost of a server, for comparison with others."""
    slots = max(server.slots, 1)
    cost = view.in_flight.get(server.server_id, 0) / slots
    if server.availability_zone != view.availability_zone:
        cost += ZONE_WEIGHT
    if server.server_id == view.home:
        cost -= LINE_WEIGHT
    tie = xxhash.xxh64_intdigest(server.server_id.encode(), seed=view.salt)
    return server.server_id in view.avoided, cost, tie
