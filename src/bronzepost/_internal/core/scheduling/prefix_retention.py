"""Retention of the cached prefixes of paused programs."""

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

# While the cached prefixes use less than this share of an engine's memory, none
# is released.
MEMORY_PRESSURE_SHARE = 0.7
# The more wasted cache weighs, the longer prefixes are kept: at weight 1, for
# 1 + this factor times as long as at weight 0.
CACHE_WEIGHT_FACTOR = 3
# A tool's mean pause is used once this many pauses were observed.
MIN_PAUSE_COUNT = 3


@functools.singledispatch
def decide_retention(
    policy: Policy,
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> Retention:
    """Return whether a paused program keeps its cached prefix.

    Callers repeat the decision every few seconds, since the expected length
    of a pause grows with its age. The baselines leave eviction to the engine.
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
    # Keeping h tokens for t seconds costs h * t token-seconds of memory.
    # Prefilling them again at r tokens per second blocks the engine's other
    # work for h / r seconds, which costs capacity * h / r token-seconds. The
    # two costs are equal at t = capacity / r.
    break_even_seconds = prefill_seconds(capacity)
    break_even_seconds *= 1 + CACHE_WEIGHT_FACTOR * policy.cache_weight
    if estimate_pause(tables, pause, at) > break_even_seconds:
        return Retention.RELEASE
    return Retention.KEEP


def find_last_server(
    tables: SchedulingTables,
    program_id: str,
) -> BackendServer | None:
    """Return the backend server of the program's last model call."""
    server_id = tables.last_server_id_by_session.get(program_id, '')
    return tables.backend_servers_by_id.get(server_id)


def estimate_pause(
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> float:
    """Return the expected time in seconds until a pause ends.

    A pause that has lasted t seconds is expected to last another t seconds.
    The tool's mean pause is returned instead if it is longer.
    """
    elapsed = at - pause.paused_at
    statistics = tables.pause_statistics_by_tool.get(
        pause.tool, PauseStatistics()
    )
    if statistics.count < MIN_PAUSE_COUNT:
        return elapsed
    return max(statistics.mean_seconds, elapsed)
