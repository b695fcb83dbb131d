"""Checks for requests and programs that the gateways lose."""

import collections
from collections.abc import Iterator, Sequence
from typing import Final

from tests.platform.builders_platform import TOKENS_PER_EVENT
from tests.soak.connection_ends import ConnectionEnd
from tests.soak.observations import Attempt, Observations, is_served

# By rule, an unplanned fault excuses requests that are sent up to this much later.
CONTACT_SECONDS: Final = 3.0
# By rule, a request counts as read if its connection ends later than this after
# its last byte was sent.
LOSS_SLACK_SECONDS: Final = 0.2
# The timeouts of the routes of a soak; the deadline of requests is no shorter.
TIMEOUT_SECONDS: Final = 2.0
STREAM_TIMEOUT_SECONDS: Final = 3.0
STREAM_KINDS: Final = frozenset(('turn', 'stream'))
# By rule, so many tries of a turn in a row that reach no server break it.
MAX_REFUSALS: Final = 5
# A program goes on at the latest so long after a loss of all VMs or the return of
# the store.
GO_ON_SECONDS: Final = 8.0
# The share of first turns that has to reach a server at the time. Otherwise all
# programs are refused, for instance while no server is listed.
MIN_REACHING_SHARE: Final = 0.9


def find_lost_requests(observations: Observations) -> Iterator[str]:
    """Yield the requests that ended without a whole answer in calm times.

    Counted are those that a server got and those that were open for a while, so
    that a process has read them. With the deadlines of a soak no answer lasts
    until the last sixth of the grace period after SIGTERM, for which the rules
    have an exception.
    """
    for attempt in observations.attempts:
        is_ended = attempt.end not in {
            ConnectionEnd.UNFINISHED,
            ConnectionEnd.WHOLE,
        }
        if is_ended and _is_lost(observations, attempt):
            runs = observations.runs_by_id.get(attempt.request_id, [])
            yield (
                f'no whole answer: {attempt.request_id} ({attempt.kind}) at'
                f' {attempt.boot}, connection {attempt.end} after'
                f' {attempt.ended_at - attempt.sent_at:.3f} s, sent at'
                f' {attempt.sent_at:.3f}, status {attempt.status}, runs at'
                f' {[run.server_id for run in runs]}'
            )


def find_halted_programs(observations: Observations) -> Iterator[str]:
    """Yield the programs that do not go on after a loss of all VMs."""
    attempts_by_program: dict[str, list[Attempt]] = collections.defaultdict(
        list
    )
    for attempt in sorted(observations.attempts, key=_get_sent_at):
        if attempt.kind == 'turn':
            attempts_by_program[attempt.program_id].append(attempt)
    first_turns = [attempts[0] for attempts in attempts_by_program.values()]
    for program_id, attempts in attempts_by_program.items():
        refused = find_refusals(observations, attempts)
        if refused and _are_programs_served(observations, first_turns, refused):
            statuses = [attempt.status for attempt in refused]
            yield (
                f'program {program_id} does not go on after a loss of all VMs:'
                f' {refused[0].request_id} to {refused[-1].request_id} at'
                f' {[attempt.boot for attempt in refused]} are answered'
                f' {statuses}, {refused[-1].body!r}, from'
                f' {refused[0].sent_at:.3f} on'
            )


def find_refusals(
    observations: Observations, attempts: Sequence[Attempt]
) -> list[Attempt]:
    """Return the first tries of a program that break the rule, if any do.

    ``attempts`` are those of one program in the order of time. A try beside an
    unplanned fault neither counts nor ends a row of refusals.
    """
    first_sent_at, most_tokens = attempts[0].sent_at, 0
    refused: list[Attempt] = []
    for attempt in attempts:
        budget = observations.budgets_by_program[attempt.program_id]
        has_budget = most_tokens + observations.turn_tokens <= budget
        most_tokens += _count_most_tokens(observations, attempt)
        if attempt.request_id in observations.runs_by_id:
            refused = []
        elif has_budget and _is_late_refusal(
            observations, attempt, first_sent_at
        ):
            refused.append(attempt)
        if len(refused) == MAX_REFUSALS:
            return refused
    return []


def _is_lost(observations: Observations, attempt: Attempt) -> bool:
    is_read = attempt.request_id in observations.runs_by_id or (
        attempt.written_at > 0
        and attempt.end is not ConnectionEnd.REFUSED
        and _count_open_seconds(observations, attempt) > LOSS_SLACK_SECONDS
    )
    timeout_seconds = TIMEOUT_SECONDS
    if attempt.kind in STREAM_KINDS:
        timeout_seconds = STREAM_TIMEOUT_SECONDS
    is_in_time = attempt.ended_at - attempt.sent_at < timeout_seconds
    return (
        is_read
        and is_in_time
        and attempt.request_id not in observations.broken_off_ids
        and _is_calm(observations, attempt)
    )


def _count_open_seconds(observations: Observations, attempt: Attempt) -> float:
    """Return for how long a request was open while the soak itself ran."""
    stalled_seconds = sum(
        max(0, min(end, attempt.ended_at) - max(start, attempt.written_at))
        for start, end in observations.stalls
    )
    return attempt.ended_at - attempt.written_at - stalled_seconds


def _is_late_refusal(
    observations: Observations, attempt: Attempt, first_sent_at: float
) -> bool:
    """Return whether a try is refused too late after a loss of all VMs."""
    lost_at = observations.find_return(first_sent_at, attempt.sent_at)
    return (
        attempt.end is ConnectionEnd.WHOLE
        and lost_at is not None
        and attempt.sent_at > lost_at + GO_ON_SECONDS
        and _is_calm(observations, attempt)
    )


def _count_most_tokens(observations: Observations, attempt: Attempt) -> int:
    """Return how many tokens a turn may have used for all that VMs can know.

    A turn without a whole answer may have reached a server before all VMs were
    lost, unless no process got it.
    """
    if is_served(attempt):
        return attempt.events * TOKENS_PER_EVENT
    is_known = attempt.end in {ConnectionEnd.WHOLE, ConnectionEnd.REFUSED}
    if is_known and attempt.request_id not in observations.runs_by_id:
        return 0
    return observations.turn_tokens


def _are_programs_served(
    observations: Observations,
    first_turns: list[Attempt],
    refused: list[Attempt],
) -> bool:
    """Return whether servers get the first turns of programs meanwhile."""
    reached = [
        attempt.request_id in observations.runs_by_id
        for attempt in first_turns
        if refused[0].sent_at <= attempt.sent_at <= refused[-1].ended_at
    ]
    return sum(reached) >= MIN_REACHING_SHARE * len(reached)


def _is_calm(observations: Observations, attempt: Attempt) -> bool:
    return observations.disturbances.is_calm(
        attempt.sent_at - CONTACT_SECONDS, attempt.ended_at
    )


def _get_sent_at(attempt: Attempt) -> float:
    return attempt.sent_at
