"""Choose the backend server of a request.

Answers uneven load: servers of one service differ in speed and in what their
caches hold, so a request goes where queueing, reading the prompt and the way
together take least. Costs are in units of the time that one request takes on
an idle server.
"""

import dataclasses
from collections.abc import Iterable, Mapping

import xxhash

from bronzepost._internal.core.gateway.entities import BackendServer

# A batch that runs one more request makes each step 3% longer, for itself and
# for those that it holds (step times of the engines of both sites).
SLOWDOWN_PER_REQUEST = 0.03
# Reading 1,000 tokens of a prompt takes 2% of a turn's time on an idle engine
# (4 to 6 of 190 to 310 ms on both sites) and holds up the whole batch.
READ_COST_PER_THOUSAND = 0.02
# A server in another availability zone is a millisecond or two further away.
ZONE_COST = 0.01
# A turn brings new input, so this part of its own prompt is what the server of
# the turn before has read.
KNOWN_SHARE = 0.8
_THOUSAND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementView:
    """What a choice goes by.

    ``in_flight`` counts requests by server id. ``home`` is the server that the
    line's last turn ran on, and ``own_tokens`` the part of the prompt that no
    other line shares. ``slowness_by_id`` is above 1 for servers that take
    longer than others. Servers in ``avoided`` are used only if there is no
    other, and ``salt`` spreads equal costs over the servers. ``shared_tokens``
    are those of the prompt that other programs share, which the servers in
    ``holders`` are expected to have read.
    """

    availability_zone: str
    in_flight: Mapping[str, float]
    home: str = ''
    unshared_tokens: int = 0
    shared_tokens: int = 0
    holders: frozenset[str] = frozenset()
    slowness_by_id: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
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
    slowness = view.slowness_by_id.get(server.server_id, 1)
    cost = slowness * estimate_time(server, view)
    if server.availability_zone != view.availability_zone:
        cost += ZONE_COST
    tie = xxhash.xxh64_intdigest(server.server_id.encode(), seed=view.salt)
    return server.server_id in view.avoided, cost, tie


def estimate_time(server: BackendServer, view: PlacementView) -> float:
    """Return what a request costs a server of common speed.

    The batch gets slower for the request and, by as much, for those that run
    beside it. A request beyond the slots waits until one of them ends.
    """
    slots = max(server.slots, 1)
    running = view.in_flight.get(server.server_id, 0)
    beyond = max(running + 1 - slots, 0)
    batch = min(running, slots)
    unread = count_unread(server, view) / _THOUSAND
    reading = READ_COST_PER_THOUSAND * unread * (1 + batch)
    slowdown = 2 * SLOWDOWN_PER_REQUEST * batch
    waiting = beyond / slots * (1 + SLOWDOWN_PER_REQUEST * slots)
    return 1 + slowdown + waiting + reading


def count_unread(server: BackendServer, view: PlacementView) -> float:
    """Return the tokens of a prompt that a server is expected to read."""
    if server.server_id == view.home:
        return view.unshared_tokens * (1 - KNOWN_SHARE)
    if server.server_id in view.holders:
        return view.unshared_tokens
    return view.unshared_tokens + view.shared_tokens
