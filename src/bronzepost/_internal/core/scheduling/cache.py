"""Retention of the prefixes of paused programs."""

import functools

from .actions import Retention
from .policies import Policy, ProgramAware
from .speeds import prefill_seconds
from .tables import PausesSeen, ProgramPause, SchedulingTables

# Below this share of the engines' memory nothing needs to make room.
PRESSURE_SHARE = 1.0
# The more wasted cache weighs, the later prefixes are released.
RELEASE_WEIGHT_FACTOR = 3
# A tool is judged by its mean pause once it was seen this often.
PAUSES_NEEDED = 3


@functools.singledispatch
def retention(
    policy: Policy,
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> Retention:
    """Return whether a paused program keeps its cached prefix.

    Ask when the pause begins and every few seconds after that, since a pause
    that goes on says more about its end. The baselines leave the cache to the
    engine.
    """
    return Retention.KEEP


@retention.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> Retention:
    program = tables.programs_by_id.get(pause.program_id)
    if program is None:
        return Retention.RELEASE
    capacity, servers = sum_capacity(tables, program.service)
    held = tables.held_tokens_by_service.get(program.service, 0)
    if not servers or held < capacity * policy.memory_share * PRESSURE_SHARE:
        return Retention.KEEP
    # Holding h tokens for t seconds costs h * t token-seconds of memory.
    # Filling them again stops the engine's other work for h / rate seconds,
    # which costs capacity * h / rate. The two are equal at capacity / rate.
    worth_seconds = prefill_seconds(capacity / servers)
    worth_seconds *= 1 + RELEASE_WEIGHT_FACTOR * policy.cache_weight
    if estimate_pause(tables, pause, at) > worth_seconds:
        return Retention.RELEASE
    return Retention.KEEP


def sum_capacity(tables: SchedulingTables, service: str) -> tuple[int, int]:
    """Return the cache tokens of a service's staying servers, and their count."""
    identifiers = tables.backend_server_ids_by_service.get(service, ())
    servers = [tables.backend_servers_by_id[each] for each in identifiers]
    capacities = [
        server.cache_capacity for server in servers if not server.is_leaving
    ]
    return sum(capacities), len(capacities)


def estimate_pause(
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> float:
    """Return the expected whole length of a pause in seconds.

    A pause that has lasted t seconds is expected to last as long again, as
    long as the tool's mean does not say more.
    """
    elapsed = at - pause.paused_at
    seen = tables.pauses_by_tool.get(pause.tool, PausesSeen())
    if seen.count < PAUSES_NEEDED:
        return elapsed
    return max(seen.mean_seconds, elapsed)
