"""Choice of a backend server by its estimated cost in seconds."""

import functools
from collections.abc import Iterator

from .actions import Choice
from .policies import LeastOutstanding, Policy, ProgramAware, StickyFcfs
from .speeds import prefill_seconds
from .tables import (
    BackendServer,
    CallRequest,
    SchedulingTables,
    ServiceStatistics,
)

# Weight of evicted prefixes: some would have been evicted before their next use
# anyway.
EVICTION_WEIGHT = 0.3


def list_candidates(
    tables: SchedulingTables,
    call: CallRequest,
) -> list[BackendServer]:
    """Return servers of the call's service and model, except leaving ones."""
    server_ids = tables.backend_server_ids_by_service.get(call.service, ())
    servers = map(tables.backend_servers_by_id.__getitem__, server_ids)
    return [
        server
        for server in servers
        if not server.is_leaving and server.model == call.model
    ]


def count_outstanding(server: BackendServer) -> int:
    """Return the estimated number of calls running or waiting at the server.

    The lagging report is corrected by this node's calls sent and finished
    since it was measured. This node's calls in flight are a lower bound.
    """
    reported = server.running + server.waiting + server.own_calls_since_report
    return max(reported, server.own_calls_in_flight)


@functools.singledispatch
def choose_backend_server(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Choice | None:
    """Return the backend server for a call, or None if there is none.

    A leaving server is never chosen. Callers apply ``CallSent`` before the
    next choice, so that the call counts as in flight. The default policy is
    round-robin.
    """
    candidates = list_candidates(tables, call)
    if not candidates:
        return None
    statistics = tables.statistics_by_service.get(
        call.service, ServiceStatistics()
    )
    server = candidates[statistics.calls_sent % len(candidates)]
    return Choice(backend_server_id=server.backend_server_id, cost_seconds=0)


@choose_backend_server.register
def _(
    policy: LeastOutstanding,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Choice | None:
    candidates = list_candidates(tables, call)
    if not candidates:
        return None
    server = min(candidates, key=count_outstanding)
    return Choice(backend_server_id=server.backend_server_id, cost_seconds=0)


@choose_backend_server.register
def _(
    policy: StickyFcfs,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Choice | None:
    last_server_id = tables.last_server_id_by_session.get(call.program_id)
    for server in list_candidates(tables, call):
        if server.backend_server_id == last_server_id:
            return Choice(backend_server_id=last_server_id, cost_seconds=0)
    return choose_backend_server(LeastOutstanding(), tables, call, at)


@choose_backend_server.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Choice | None:
    costs = estimate_costs(policy, tables, call)
    cheapest = min(costs, key=lambda pair: pair[0], default=None)
    if cheapest is None:
        return None
    return Choice(
        backend_server_id=cheapest[1].backend_server_id,
        cost_seconds=cheapest[0],
    )


def estimate_costs(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
) -> Iterator[tuple[float, BackendServer]]:
    """Yield the cost in seconds and the server, for every candidate."""
    statistics = tables.statistics_by_service.get(
        call.service, ServiceStatistics()
    )
    prefixes = tables.prefixes_by_session.get(call.program_id, {})
    for server in list_candidates(tables, call):
        prefix = prefixes.get(server.backend_server_id)
        cached_tokens = 0 if prefix is None else prefix.tokens
        uncached_tokens = max(call.prompt_tokens - cached_tokens, 0)
        cost = estimate_queue_seconds(server, statistics)
        cost += estimate_memory_seconds(server, statistics, call.prompt_tokens)
        cost += EVICTION_WEIGHT * prefill_seconds(
            count_evicted_tokens(server, uncached_tokens)
        )
        cost += prefill_seconds(uncached_tokens)
        cost += find_zone_latency(tables, call, server)
        yield cost, server


def estimate_queue_seconds(
    server: BackendServer, statistics: ServiceStatistics
) -> float:
    """Return the time until a slot is free, plus the cost of a fuller batch.

    With a free slot no call waits, but a fuller batch is slower, so a part of
    a call's mean time is added.
    """
    slots = max(server.slots, 1)
    outstanding = count_outstanding(server)
    calls_ahead = max(outstanding + 1 - slots, 0)
    return (
        (calls_ahead + outstanding / slots)
        * statistics.mean_call_seconds
        / slots
    )


def estimate_memory_seconds(
    server: BackendServer,
    statistics: ServiceStatistics,
    prompt_tokens: int,
) -> float:
    """Return the time until calls in flight have freed enough memory.

    The engine's memory can be full before its slots are. Calls in flight are
    assumed to free the whole memory within the mean time of a call.
    """
    capacity = server.cache_capacity
    if not capacity:
        return 0
    excess = server.own_prompt_tokens_in_flight + prompt_tokens - capacity
    return max(excess, 0) / capacity * statistics.mean_call_seconds


def count_evicted_tokens(server: BackendServer, uncached_tokens: int) -> int:
    """Return the tokens of idle prefixes that a call would evict."""
    if not server.cache_capacity:
        return 0
    excess = (
        server.estimated_cache_tokens + uncached_tokens - server.cache_capacity
    )
    idle_tokens = (
        server.estimated_cache_tokens - server.own_prompt_tokens_in_flight
    )
    return max(min(excess, idle_tokens, uncached_tokens), 0)


def find_zone_latency(
    tables: SchedulingTables,
    call: CallRequest,
    server: BackendServer,
) -> float:
    """Return the one-way latency to the server's zone in seconds."""
    if server.availability_zone == call.availability_zone:
        return 0
    pair = (call.availability_zone, server.availability_zone)
    return tables.zone_latency_seconds_by_pair.get(pair, 0)
