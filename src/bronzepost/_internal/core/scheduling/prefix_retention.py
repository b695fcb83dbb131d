"""Retention of the prefixes of paused programs."""

import functools

from .actions import Retention
from .policies import Policy, ProgramAware
from .speeds import prefill_seconds
from .tables import (
    BackendServer,
    PauseStatistics,
    ProgramPause,
    SchedulingTables,
)

# Below this share of an engine's memory nothing needs to make room.
MEMORY_PRESSURE_SHARE = 0.7
# The more wasted cache weighs, the later prefixes are released.
CACHE_WEIGHT_FACTOR = 3
# A tool is judged by its mean pause once it was seen this often.
MIN_PAUSE_COUNT = 3


@functools.singledispatch
def decide_retention(
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


@decide_retention.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> Retention:
    program = tables.programs_by_id.get(pause.program_id)
    if program is None:
        return Retention.RELEASE
    server = find_last_server(tables, pause.program_id)
    if server is None or not server.cache_capacity:
        return Retention.KEEP
    capacity = server.cache_capacity
    if (
        server.estimated_cache_tokens
        < capacity * policy.memory_share * MEMORY_PRESSURE_SHARE
    ):
        return Retention.KEEP
    # Holding h tokens for t seconds costs h * t token-seconds of memory.
    # Filling them again stops the engine's other work for h / rate seconds,
    # which costs capacity * h / rate. The two are equal at capacity / rate.
    worth_seconds = prefill_seconds(capacity)
    worth_seconds *= 1 + CACHE_WEIGHT_FACTOR * policy.cache_weight
    if estimate_pause(tables, pause, at) > worth_seconds:
        return Retention.RELEASE
    return Retention.KEEP


def find_last_server(
    tables: SchedulingTables,
    program_id: str,
) -> BackendServer | None:
    """Return the server that the program's last call went to."""
    home = tables.last_server_id_by_session.get(program_id, '')
    return tables.backend_servers_by_id.get(home)


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
    seen = tables.pause_statistics_by_tool.get(pause.tool, PauseStatistics())
    if seen.count < MIN_PAUSE_COUNT:
        return elapsed
    return max(seen.mean_seconds, elapsed)
