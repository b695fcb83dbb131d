"""Choose the backend server of a request.

Servers of one service differ in speed and in the prompts that they have
cached. A request goes to the server with the lowest estimated cost of queueing,
prefill and network distance. The unit of cost is the time that one request
takes on an idle server.
"""

import dataclasses
from collections.abc import Iterable, Mapping

import xxhash

from bronzepost._internal.core.gateway.answer_lengths import DEFAULT_TOKENS
from bronzepost._internal.core.gateway.entities import BackendServer

# Each further request in a batch makes the engine's steps 3% longer.
SLOWDOWN_PER_REQUEST = 0.03
# Prefill of 1,000 tokens takes as long as this number of decoding steps, of which
# there is one for each token of an answer. It delays the whole batch.
PREFILL_STEPS_PER_THOUSAND_TOKENS = 4.5
# A request to another availability zone takes 1 to 2 ms longer.
CROSS_ZONE_COST = 0.01
# A new connection takes a round trip and a millisecond of the server.
NEW_CONNECTION_COST = 0.02
# A relay adds a hop and takes processor time of two VMs.
RELAY_COST = 0.03
# A branch moves only if it gains more than this, in times of one request, for each
# second that reports may be old. They still count requests that have ended, its
# own ones among them.
MOVE_MARGIN_PER_SECOND = 0.7
MAX_MOVE_MARGIN = 1.5
# A prompt that is read a second time at another engine takes memory there too,
# and the prompts that it evicts are read again.
REREAD_FACTOR = 2
# The share of the unshared prompt that the server of the previous turn has
# cached; the rest is new input.
CACHED_SHARE = 0.8
_THOUSAND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementContext:
    """The request and the state of the servers when a server is chosen.

    ``in_flight`` counts requests by server id; it is up to
    ``report_age_seconds`` old. ``previous_server_id`` is the server of the
    previous turn of the same branch. The prompt consists of ``shared_tokens``
    that other programs have in common with it, which the servers in
    ``holder_ids`` are expected to have cached, and of ``unshared_tokens``.
    ``answer_tokens`` is the mean length of answers of the service.
    ``latency_ratio_by_id`` is above 1 for servers that are slower than the mean.
    ``slots_by_id`` has the requests that servers with a limit can run at a time.
    To servers in ``connected_ids`` there is an idle connection, and those in
    ``relayed_ids`` are reached through another VM. Servers in
    ``avoided_ids`` are used only if there is no other. ``salt`` varies the
    choice among servers of equal cost.
    """

    availability_zone: str
    in_flight: Mapping[str, float]
    previous_server_id: str = ''
    unshared_tokens: int = 0
    shared_tokens: int = 0
    answer_tokens: float = DEFAULT_TOKENS
    holder_ids: frozenset[str] = frozenset()
    latency_ratio_by_id: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    slots_by_id: Mapping[str, float] = dataclasses.field(default_factory=dict)
    salt: int = 0
    avoided_ids: frozenset[str] = frozenset()
    connected_ids: frozenset[str] = frozenset()
    relayed_ids: frozenset[str] = frozenset()
    report_age_seconds: float = 0


def choose_server(
    servers: Iterable[BackendServer], context: PlacementContext
) -> BackendServer | None:
    """Return the server with the lowest cost, or None without servers."""
    return min(
        servers,
        key=lambda server: build_sort_key(server, context),
        default=None,
    )


def build_sort_key(
    server: BackendServer, context: PlacementContext
) -> tuple[bool, float, int]:
    """Return the key by which servers are ordered, the best one first."""
    latency_ratio = context.latency_ratio_by_id.get(server.server_id, 1)
    cost = latency_ratio * estimate_cost(server, context)
    if server.availability_zone != context.availability_zone:
        cost += CROSS_ZONE_COST
    if server.server_id not in context.connected_ids:
        cost += NEW_CONNECTION_COST
    if server.server_id in context.relayed_ids:
        cost += RELAY_COST
    if server.server_id != context.previous_server_id:
        cost += find_move_margin(context)
    tie_break = xxhash.xxh64_intdigest(
        server.server_id.encode(), seed=context.salt
    )
    return server.server_id in context.avoided_ids, cost, tie_break


def find_move_margin(context: PlacementContext) -> float:
    """Return what a branch has to gain to move to another server."""
    margin = MOVE_MARGIN_PER_SECOND * context.report_age_seconds
    return min(margin, MAX_MOVE_MARGIN)


def estimate_cost(server: BackendServer, context: PlacementContext) -> float:
    """Return the cost of a request at a server of average speed.

    Each running request slows the new one down and is slowed down by it, so it
    counts twice. A request without a free slot waits for another one to end.
    """
    slots = max(context.slots_by_id.get(server.server_id, server.slots), 1)
    running = context.in_flight.get(server.server_id, 0)
    excess = max(running + 1 - slots, 0)
    batch = min(running, slots)
    slowdown = 2 * SLOWDOWN_PER_REQUEST * batch
    queueing = excess / slots * (1 + SLOWDOWN_PER_REQUEST * slots)
    prefill = estimate_prefill(server, context) * (1 + batch)
    return 1 + slowdown + queueing + prefill


def estimate_prefill(server: BackendServer, context: PlacementContext) -> float:
    """Return the prefill time of a request, in times of an average answer."""
    uncached = count_uncached_tokens(server, context)
    new = context.unshared_tokens * (1 - CACHED_SHARE)
    thousands = (new + REREAD_FACTOR * (uncached - new)) / _THOUSAND
    return PREFILL_STEPS_PER_THOUSAND_TOKENS * thousands / context.answer_tokens


def count_uncached_tokens(
    server: BackendServer, context: PlacementContext
) -> float:
    """Return the prompt tokens that a server is not expected to have cached."""
    if server.server_id == context.previous_server_id:
        return context.unshared_tokens * (1 - CACHED_SHARE)
    if server.server_id in context.holder_ids:
        return context.unshared_tokens
    return context.unshared_tokens + context.shared_tokens
