"""Admission: programs in progress take precedence over new ones."""

import functools
import math

from .actions import Admitted, RefusalReason, Refused
from .policies import Policy, ProgramAware
from .routing import list_candidates
from .tables import CallRequest, SchedulingTables, find_root

NO_CANDIDATE_RETRY_SECONDS = 2.0
BASE_RETRY_SECONDS = 5.0
MAX_RETRY_SECONDS = 60.0
# It takes about half a minute to admit refused programs whose prompts together
# are as long as the engines' memory.
RETRY_GROWTH_FACTOR = 6.0
RETRY_GRACE_SECONDS = 5.0
# A program's history grows to about this multiple of its first prompt.
HISTORY_GROWTH_FACTOR = 3
# Most live programs are paused at any time, so their histories together may
# be longer than the memory. Far beyond 2 the engines evict prefixes that are
# needed again, and the p95 latency at peak load rises.
MEMORY_OVERCOMMIT = 2.2
# The prefixes in memory must leave room for programs in progress that resume
# after a pause.
MAX_RESIDENT_SHARE = 0.9


@functools.singledispatch
def admit(
    policy: Policy,
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> Admitted | Refused:
    """Return whether a call may be sent now, or when to retry it.

    The baselines admit every call for which a backend server exists.
    """
    if list_candidates(tables, call):
        return Admitted()
    return Refused(
        reason=RefusalReason.NO_BACKEND_SERVER,
        retry_after_seconds=NO_CANDIDATE_RETRY_SECONDS,
    )


def is_in_progress(tables: SchedulingTables, call: CallRequest) -> bool:
    """Return whether the call's root program was admitted and has not ended."""
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
    available_tokens = count_available_tokens(policy, tables, call)
    queued_tokens = count_queued_tokens(tables, call, at)
    if (
        queued_tokens + call.prompt_tokens
        <= available_tokens / HISTORY_GROWTH_FACTOR
    ):
        return decision
    return Refused(
        reason=RefusalReason.NO_SLOT,
        retry_after_seconds=estimate_retry_seconds(tables, call, queued_tokens),
    )


def count_available_tokens(
    policy: ProgramAware,
    tables: SchedulingTables,
    call: CallRequest,
) -> float:
    """Return the tokens of engine memory that new programs may use.

    Without live programs there is no limit, so that a prompt longer than the
    node's share of the memory is not refused forever.
    """
    history_tokens = tables.history_tokens_by_service.get(call.service, 0)
    if not history_tokens:
        return math.inf
    servers = list_candidates(tables, call)
    capacity = policy.memory_share * sum(
        server.cache_capacity for server in servers
    )
    resident_tokens = sum(server.estimated_cache_tokens for server in servers)
    return min(
        capacity * MEMORY_OVERCOMMIT - history_tokens,
        capacity * MAX_RESIDENT_SHARE - resident_tokens,
    )


def count_queued_tokens(
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> int:
    """Return the prompt tokens of programs refused before this one.

    Freed memory is reserved for them, so that short prompts do not overtake
    a long one. Programs that did not retry in time do not count.
    """
    queued_tokens = 0
    for program_id, refusal in tables.refusals_by_program.items():
        if program_id == call.program_id:
            break
        is_expected = refusal.expected_at + RETRY_GRACE_SECONDS >= at
        if is_expected and refusal.service == call.service:
            queued_tokens += refusal.prompt_tokens
    return queued_tokens


def estimate_retry_seconds(
    tables: SchedulingTables,
    call: CallRequest,
    queued_tokens: int,
) -> float:
    """Return the time after which a refused program should retry.

    The first in the queue retry often, so that freed memory does not stay
    unused. The others retry less often the more tokens are queued before them.
    """
    capacity = sum(
        server.cache_capacity for server in list_candidates(tables, call)
    )
    memory_multiples = queued_tokens / max(capacity, 1)
    return min(
        BASE_RETRY_SECONDS * (1 + RETRY_GROWTH_FACTOR * memory_multiples),
        MAX_RETRY_SECONDS,
    )
