"""Order of calls: least attained service by program tree, with aging."""

import functools

from .policies import Policy, ProgramAware
from .tables import (
    CallRequest,
    ScheduledProgram,
    SchedulingTables,
    find_parent,
    find_root,
)

# Each second of waiting counts like one second less of attained service. The
# order of two waiting calls then never changes, so an engine can keep the
# priority that came with the call.
AGING_SECONDS_PER_SECOND = 1.0
MILLISECONDS_PER_SECOND = 1000


def effective_importance(tables: SchedulingTables, call: CallRequest) -> int:
    """Return the call's importance, or that of a blocked ancestor if higher.

    This is priority inheritance: an ancestor that waits for a sub-agent must
    not be delayed by the lower importance of the sub-agent.
    """
    importance = call.importance
    program_id = find_parent(call.program_id)
    while program_id:
        parent = tables.programs_by_id.get(program_id)
        if parent is not None and is_blocked(parent):
            importance = max(importance, parent.importance)
        program_id = find_parent(program_id)
    return importance


def is_blocked(program: ScheduledProgram) -> bool:
    """Return whether the program has no call in flight."""
    return program.calls_in_flight == 0


@functools.singledispatch
def order_key(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> float:
    """Return the sort key of a call that arrives at ``at``; lowest goes first.

    The baselines use first come, first served.
    """
    return at


@order_key.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> float:
    root = tables.programs_by_id.get(find_root(call.program_id))
    attained = 0 if root is None else root.attained_seconds
    return (
        attained / effective_importance(tables, call)
        + AGING_SECONDS_PER_SECOND * at
    )


def priority(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> int:
    """Return the ``X-Priority`` of a call: the order key in milliseconds.

    Engines run calls with a lower value first.
    """
    return round(order_key(policy, tables, call, at) * MILLISECONDS_PER_SECOND)
