"""Admission by slots: new programs are held back before half-done ones."""

import functools
import math

from .actions import Admitted, RefusalReason, Refused
from .policies import Policy, ProgramAware
from .routing import list_candidates
from .tables import CallRequest, SchedulingTables, find_root

NO_SERVER_RETRY_SECONDS = 2.0
BASE_RETRY_SECONDS = 5.0
MAX_RETRY_SECONDS = 60.0
# A line as long as the engines' memory takes about half a minute.
RETRY_GROWTH_FACTOR = 6.0
RETRY_GRACE_SECONDS = 5.0
# A program's history grows; its first prompt is about a third of it.
HISTORY_GROWTH_FACTOR = 3
# Most live programs are paused at any time, so their histories together may
# be longer than the memory. Far beyond 2 the engines evict prefixes that are
# needed again, and the p95 latency at peak rises again.
MEMORY_OVERCOMMIT = 2.2
# The prefixes held at this moment must leave room for half-done programs that
# come back from a pause.
MAX_RESIDENT_SHARE = 0.9


@functools.singledispatch
def admit(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Admitted | Refused:
    """Return whether a call may be sent now, or when to come again.

    A baseline admits every call for which a backend server exists.
    """
    if list_candidates(tables, call):
        return Admitted()
    return Refused(
        reason=RefusalReason.NO_BACKEND_SERVER,
        retry_after_seconds=NO_SERVER_RETRY_SECONDS,
    )


def is_in_progress(tables: SchedulingTables, call: CallRequest) -> bool:
    """Return whether the call's program tree has been admitted before."""
    return find_root(call.program_id) in tables.programs_by_id


@admit.register
def _(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Admitted | Refused:
    decision = admit(Policy(), tables, call, at)
    if isinstance(decision, Refused) or is_in_progress(tables, call):
        return decision
    if not call.model:
        return decision
    room = count_available_tokens(policy, tables, call)
    ahead = count_queued_tokens(tables, call, at)
    if ahead + call.prompt_tokens <= room / HISTORY_GROWTH_FACTOR:
        return decision
    return Refused(
        reason=RefusalReason.NO_SLOT,
        retry_after_seconds=estimate_retry_seconds(tables, call, ahead),
    )


def count_available_tokens(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
) -> float:
    """Return the tokens of engine memory that new programs may use.

    Without any live program there is room for whatever comes, so that a
    prompt that is longer than the share is not refused forever.
    """
    held = tables.history_tokens_by_service.get(call.service, 0)
    if not held:
        return math.inf
    servers = list_candidates(tables, call)
    capacity = policy.memory_share * sum(
        server.cache_capacity for server in servers
    )
    resident = sum(server.estimated_cache_tokens for server in servers)
    return min(
        capacity * MEMORY_OVERCOMMIT - held,
        capacity * MAX_RESIDENT_SHARE - resident,
    )


def count_queued_tokens(
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> int:
    """Return the prompt tokens of programs refused before this one.

    Memory that comes free is kept for them, so a long prompt is not overtaken
    by short ones. Programs that did not come again in time do not count.
    """
    ahead = 0
    for program_id, refusal in tables.refusals_by_program.items():
        if program_id == call.program_id:
            break
        is_expected = refusal.expected_at + RETRY_GRACE_SECONDS >= at
        if is_expected and refusal.service == call.service:
            ahead += refusal.prompt_tokens
    return ahead


def estimate_retry_seconds(
    tables: SchedulingTables,
    call: CallRequest,
    ahead: int,
) -> float:
    """Return when a refused program should come again.

    The first in line come often, so that freed memory is not left unused. The
    others come less often the more tokens are ahead of them.
    """
    capacity = sum(
        server.cache_capacity for server in list_candidates(tables, call)
    )
    lines = ahead / max(capacity, 1)
    return min(
        BASE_RETRY_SECONDS * (1 + RETRY_GROWTH_FACTOR * lines),
        MAX_RETRY_SECONDS,
    )
