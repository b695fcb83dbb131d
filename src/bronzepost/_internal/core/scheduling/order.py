"""Order of calls: least attained service of the program tree, with aging."""

import functools

from .policies import Policy, ProgramAware
from .tables import (
    CallRequest,
    ScheduledProgram,
    SchedulingTables,
    find_parent,
    find_root,
)

# A call gains one second of attained service for each second that it waits.
# The order of two waiting calls is then the same at all times, so that an
# engine can keep the number it was given.
AGING_SECONDS_PER_SECOND = 1.0
MILLISECONDS = 1000


def effective_importance(tables: SchedulingTables, call: CallRequest) -> int:
    """Return the importance, inherited from blocked ancestors if higher."""
    importance = call.importance
    program_id = find_parent(call.program_id)
    while program_id:
        parent = tables.programs_by_id.get(program_id)
        if parent is not None and is_blocked(parent):
            importance = max(importance, parent.importance)
        program_id = find_parent(program_id)
    return importance


def is_blocked(program: ScheduledProgram) -> bool:
    """Return whether the program waits for something other than a call."""
    return program.calls_in_flight == 0


@functools.singledispatch
def order_key(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> float:
    """Return the key of a call that arrives at ``at``; lower is sooner.

    The baselines serve calls first come, first served.
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
    """Return the ``X-Priority`` of a call: the order key in milliseconds."""
    return round(order_key(policy, tables, call, at) * MILLISECONDS)
