"""Choice of a backend server by one cost in seconds."""

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

# Not every displaced prefix is used again before it would have been evicted
# anyway.
EVICTION_WEIGHT = 0.3


def list_candidates(
    tables: SchedulingTables,
    call: CallRequest,
) -> list[BackendServer]:
    """Return the servers of the call's service and model that are staying."""
    identifiers = tables.backend_server_ids_by_service.get(call.service, ())
    servers = map(tables.backend_servers_by_id.__getitem__, identifiers)
    return [
        server
        for server in servers
        if not server.is_leaving and server.model == call.model
    ]


def count_outstanding(server: BackendServer) -> int:
    """Return the calls believed to run or wait at the server.

    The lagging report is corrected by our own calls sent and finished since
    it was measured, and our own calls in flight are a lower bound.
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
    """Return the backend server for a call, or None if none can take it.

    A leaving server is never chosen. Send the call and apply ``CallSent``
    before the next choice, so that the choice counts as in flight. The
    default takes the servers in turn.
    """
    candidates = list_candidates(tables, call)
    if not candidates:
        return None
    rate = tables.statistics_by_service.get(call.service, ServiceStatistics())
    server = candidates[rate.calls_sent % len(candidates)]
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
    home = tables.last_server_id_by_session.get(call.program_id)
    for server in list_candidates(tables, call):
        if server.backend_server_id == home:
            return Choice(backend_server_id=home, cost_seconds=0)
    return choose_backend_server(LeastOutstanding(), tables, call, at)


@choose_backend_server.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Choice | None:
    costs = estimate_costs(policy, tables, call)
    best = min(costs, key=lambda pair: pair[0], default=None)
    if best is None:
        return None
    return Choice(
        backend_server_id=best[1].backend_server_id, cost_seconds=best[0]
    )


def estimate_costs(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
) -> Iterator[tuple[float, BackendServer]]:
    """Yield the cost in seconds and the server for every candidate."""
    rate = tables.statistics_by_service.get(call.service, ServiceStatistics())
    prefixes = tables.prefixes_by_session.get(call.program_id, {})
    for server in list_candidates(tables, call):
        prefix = prefixes.get(server.backend_server_id)
        cached = 0 if prefix is None else prefix.tokens
        missing = max(call.prompt_tokens - cached, 0)
        cost = estimate_queue_seconds(server, rate)
        cost += estimate_memory_seconds(server, rate, call.prompt_tokens)
        cost += EVICTION_WEIGHT * prefill_seconds(
            count_evicted_tokens(server, missing)
        )
        cost += prefill_seconds(missing)
        cost += find_zone_latency(tables, call, server)
        yield cost, server


def estimate_queue_seconds(
    server: BackendServer, rate: ServiceStatistics
) -> float:
    """Return the time until a slot is free, plus the load of the batch.

    Below the number of slots nothing waits, but a fuller batch is slower, so
    a share of one call's time is counted.
    """
    slots = max(server.slots, 1)
    outstanding = count_outstanding(server)
    ahead = max(outstanding + 1 - slots, 0)
    return (ahead + outstanding / slots) * rate.call_seconds / slots


def estimate_memory_seconds(
    server: BackendServer,
    rate: ServiceStatistics,
    prompt_tokens: int,
) -> float:
    """Return the time until calls in flight have freed enough memory.

    A batch can be limited by the engine's memory before its slots are used.
    Calls in flight free the whole memory once in a call's time.
    """
    capacity = server.cache_capacity
    if not capacity:
        return 0
    excess = server.own_prompt_tokens_in_flight + prompt_tokens - capacity
    return max(excess, 0) / capacity * rate.call_seconds


def count_evicted_tokens(server: BackendServer, missing: int) -> int:
    """Return the tokens of idle prefixes that a call would evict."""
    if not server.cache_capacity:
        return 0
    excess = server.estimated_cache_tokens + missing - server.cache_capacity
    idle = server.estimated_cache_tokens - server.own_prompt_tokens_in_flight
    return max(min(excess, idle, missing), 0)


def find_zone_latency(
    tables: SchedulingTables,
    call: CallRequest,
    server: BackendServer,
) -> float:
    """Return the one-way distance to the server's zone in seconds."""
    if server.availability_zone == call.availability_zone:
        return 0
    pair = (call.availability_zone, server.availability_zone)
    return tables.zone_latency_seconds_by_pair.get(pair, 0)
