"""Decide what the owner of a program does with a call.

The functions read the journal's view, submit the records that a call needs,
and return which of them have to be durable before the call is sent.
"""

import dataclasses
from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import Journal, submit_record
from bronzepost._internal.core.ledger.state import ProgramEntry
from bronzepost._internal.exceptions import RunState

# A log whose requests have failed for this long counts as down.
LOG_OUTAGE_SECONDS: Final = 1.0

# Calls of the current size that a granted allowance covers, so that a call
# seldom has to wait for an append.
ALLOWANCE_CALLS: Final = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
    """A call that the owner of its program decides on.

    ``sequence`` is zero if the caller did not number the call.
    ``worst_case`` is the maximum that the call can spend, in units. ``budget``
    applies only if the program starts with this call. ``has_mirror`` is set if
    another node can hold records while the log is down.
    """

    program: str
    sequence: int
    key: str
    organisation: str
    service: str
    worst_case: int
    budget: int
    importance: int = 1
    turn_limit: int = 0
    path: str = ''
    non_idempotent: bool = False
    has_mirror: bool = False

    @property
    def parent(self) -> str:
        """Return the parent of a sub-agent, empty for a root program."""
        return self.program.rpartition('.')[0]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Base class of the decisions on a call."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proceed(Decision):
    """Send the call once every record of ``wait_for`` is settled as valid."""

    sequence: int
    wait_for: tuple[str, ...] = ()
    intent_id: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStored(Decision):
    """The call has finished; its answer is the record at ``offset``."""

    sequence: int
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerUnknown(Decision):
    """The call has an intent but no outcome, so it may have run."""

    sequence: int
    intent_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse(Decision):
    """The call is not sent; ``run`` says whether it ran earlier."""

    code: str
    status: int
    message: str
    retry_after_seconds: float | None = None
    run: RunState = RunState.NOT_RUN


def is_log_down(journal: Journal, at: float) -> bool:
    """Return whether the log has failed for ``LOG_OUTAGE_SECONDS``."""
    failing_since = journal.requests.failing_since
    return failing_since is not None and (
        at - failing_since >= LOG_OUTAGE_SECONDS
    )


def begin_call(journal: Journal, call: CallRequest, at: float) -> Decision:
    """Decide on a call of a program that this node owns.

    No other call of the program may be in progress.
    """
    if not journal.is_owner:
        # The allowance in the view may belong to another node.
        return Refuse(
            code='not_owner',
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            message=f'{journal.state.owner or "nobody"} owns the partition '
            f'of program {call.program}: ask for its endpoints again',
            retry_after_seconds=LOG_OUTAGE_SECONDS,
        )
    program = journal.view.programs_by_id.get(call.program)
    if program is None:
        return _start_program(journal, call, at)
    repeated = _decide_on_repeat(journal, call, program)
    if repeated is not None:
        return repeated
    refusal = _check_program(call, program)
    if refusal is not None:
        return refusal
    return _reserve_allowance(journal, call, program, at)


def _start_program(journal: Journal, call: CallRequest, at: float) -> Decision:
    if call.sequence > 1:
        return Refuse(
            code='unknown_program',
            status=HTTPStatus.CONFLICT,
            message=f'program {call.program} has no call before '
            f'{call.sequence}: start with call 1',
        )
    if call.worst_case > call.budget:
        return _refuse_budget(call.worst_case, call.budget)
    if _requires_log(call) and is_log_down(journal, at):
        return _refuse_outage('a program cannot start')
    record = records.ProgramStarted(
        record_id=journal.next_record_id(),
        epoch=journal.view.epoch,
        node=journal.node,
        program=call.program,
        organisation=call.organisation,
        service=call.service,
        budget=call.budget,
        granted=min(call.budget, call.worst_case * ALLOWANCE_CALLS),
        importance=call.importance,
        parent=call.parent,
    )
    verdict = submit_record(journal, record)
    if not verdict.valid:
        return Refuse(
            code='program_refused',
            status=HTTPStatus.CONFLICT,
            message=verdict.reason,
        )
    return _admit_call(journal, call, 1, (record.record_id,))


def _decide_on_repeat(
    journal: Journal, call: CallRequest, program: ProgramEntry
) -> Decision | None:
    """Return the decision on a repeated call, None if the call is new."""
    sequence = call.sequence
    if call.key:
        by_key = journal.view.find_call_by_key(call.program, call.key)
        sequence = by_key or sequence
    intent = journal.view.find_open_intent(call.program)
    if intent is not None and sequence in {0, intent.sequence}:
        return AnswerUnknown(
            sequence=intent.sequence, intent_id=intent.intent_id
        )
    if not sequence or sequence > program.sequence:
        return None
    return _find_answer(journal, call.program, sequence)


def _find_answer(journal: Journal, program: str, sequence: int) -> Decision:
    # Offsets in the view are only expected; those in the state are final.
    outcome = journal.state.outcomes_by_call.get((program, sequence))
    if outcome is not None:
        return AnswerStored(sequence=sequence, offset=outcome.offset)
    for intent in journal.view.list_intents(program):
        if intent.sequence == sequence and intent.abandoned:
            return AnswerUnknown(sequence=sequence, intent_id=intent.intent_id)
    entry = journal.state.programs_by_id.get(program)
    if entry is None or entry.sequence < sequence:
        return Refuse(
            code='answer_not_durable',
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            message=f'call {sequence} has finished and its answer is being '
            'written to the log',
            retry_after_seconds=LOG_OUTAGE_SECONDS,
            run=RunState.RAN,
        )
    # The state can lag behind the view, so only the view shows the last call.
    is_last = journal.view.programs_by_id[program].sequence == sequence
    if is_last and entry.history_offsets:
        return AnswerStored(sequence=sequence, offset=entry.history_offsets[-1])
    return Refuse(
        code='call_finished',
        status=HTTPStatus.CONFLICT,
        run=RunState.RAN,
        message=f'call {sequence} has finished; only the answer to the last '
        'call can be repeated',
    )


def _check_program(call: CallRequest, program: ProgramEntry) -> Refuse | None:
    if program.ended:
        return Refuse(
            code='program_ended',
            status=HTTPStatus.CONFLICT,
            message=f'program {call.program} has ended: {program.ended}',
        )
    if call.sequence and call.sequence != program.sequence + 1:
        return Refuse(
            code='wrong_sequence',
            status=HTTPStatus.CONFLICT,
            message=f'call {program.sequence + 1} of program {call.program} '
            f'is next, not {call.sequence}',
        )
    if call.turn_limit and program.sequence >= call.turn_limit:
        return Refuse(
            code='turn_limit',
            status=HTTPStatus.CONFLICT,
            message=f'program {call.program} has made {program.sequence} '
            'calls, which is its limit',
        )
    return None


def _reserve_allowance(
    journal: Journal, call: CallRequest, program: ProgramEntry, at: float
) -> Decision:
    remaining = program.allowance + program.ungranted
    if call.worst_case > remaining:
        return _refuse_budget(call.worst_case, remaining)
    sequence = program.sequence + 1
    if call.worst_case <= program.allowance:
        durable = journal.state.programs_by_id.get(call.program)
        # A grant that is not durable yet may still become invalid.
        is_durable = durable is not None and (
            durable.granted >= program.spent + call.worst_case
        )
        if is_durable:
            return _admit_if_log_is_up(journal, call, sequence, at)
    if _requires_log(call) and is_log_down(journal, at):
        return _refuse_outage('the allowance of the program is used up')
    record_id = grant_allowance(journal, program, call.worst_case)
    if not record_id and call.worst_case > program.allowance:
        return Refuse(
            code='grant_refused',
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            message='the allowance of the program cannot be raised: too many '
            'records wait for the log',
            retry_after_seconds=LOG_OUTAGE_SECONDS,
        )
    wait_for = (record_id,) if record_id else _list_submitted_ids(journal)
    return _admit_call(journal, call, sequence, wait_for)


def _requires_log(call: CallRequest) -> bool:
    """Return whether a mirror cannot replace the log for this call."""
    return call.non_idempotent or not call.has_mirror


def _list_submitted_ids(journal: Journal) -> tuple[str, ...]:
    return (
        *journal.in_flight_by_id,
        *(record.record_id for record in journal.pending),
    )


def grant_allowance(
    journal: Journal, program: ProgramEntry, worst_case: int
) -> str:
    """Raise the allowance to ``ALLOWANCE_CALLS`` calls; return the record's id.

    Returns an empty string if no more can be granted or the record is invalid.
    """
    wanted = program.spent + worst_case * ALLOWANCE_CALLS
    granted = min(program.budget - program.carved, wanted)
    if granted <= program.granted:
        return ''
    record = records.AllowanceGranted(
        record_id=journal.next_record_id(),
        epoch=journal.view.epoch,
        node=journal.node,
        program=program.program,
        granted=granted,
    )
    is_valid = submit_record(journal, record).valid
    return record.record_id if is_valid else ''


def _admit_if_log_is_up(
    journal: Journal, call: CallRequest, sequence: int, at: float
) -> Decision:
    if call.non_idempotent and is_log_down(journal, at):
        return _refuse_outage('a non-idempotent call cannot be announced')
    return _admit_call(journal, call, sequence, ())


def _admit_call(
    journal: Journal,
    call: CallRequest,
    sequence: int,
    wait_for: tuple[str, ...],
) -> Decision:
    if not call.non_idempotent:
        return Proceed(sequence=sequence, wait_for=wait_for)
    intent = records.Intent(
        record_id=journal.next_record_id(),
        epoch=journal.view.epoch,
        node=journal.node,
        program=call.program,
        sequence=sequence,
        key=call.key,
        service=call.service,
        path=call.path,
    )
    verdict = submit_record(journal, intent)
    if not verdict.valid:
        return Refuse(
            code='call_refused',
            status=HTTPStatus.CONFLICT,
            message=verdict.reason,
        )
    return Proceed(
        sequence=sequence,
        wait_for=(*wait_for, intent.record_id),
        intent_id=intent.record_id,
    )


def _refuse_budget(worst_case: int, remaining: int) -> Refuse:
    return Refuse(
        code='budget',
        status=HTTPStatus.PAYMENT_REQUIRED,
        message=f'the call can spend {worst_case} units and the budget has '
        f'{remaining} left: lower max_tokens or raise the budget',
    )


def _refuse_outage(consequence: str) -> Refuse:
    return Refuse(
        code='log_unavailable',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        message=f'the log service does not answer: {consequence}',
        retry_after_seconds=LOG_OUTAGE_SECONDS,
    )


def find_call(journal: Journal, program: str, sequence: int) -> Decision:
    """Return the state of a call without starting it."""
    entry = journal.view.programs_by_id.get(program)
    intent = journal.view.find_open_intent(program)
    if intent is not None and intent.sequence == sequence:
        return AnswerUnknown(sequence=sequence, intent_id=intent.intent_id)
    if entry is None or sequence > entry.sequence:
        return Refuse(
            code='call_not_found',
            status=HTTPStatus.NOT_FOUND,
            message=f'call {sequence} of program {program} has no answer '
            'here: repeat the call with the same sequence',
        )
    return _find_answer(journal, program, sequence)
