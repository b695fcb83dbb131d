"""Run the calls of programs that this node owns, one at a time and in order."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

import gevent

from bronzepost._internal.core.ledger import calls, records
from bronzepost._internal.core.ledger.journal import (
    Journal,
    submit_record,
    withdraw_pending,
)
from bronzepost._internal.core.rendezvous import partition_of
from bronzepost._internal.exceptions import (
    BronzepostError,
    RefusedError,
    RunState,
)
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.answers import AnswerStore
from bronzepost._internal.node.callers.refusals import (
    DEADLINE_CODE,
    refuse_by_ledger,
    refuse_deadline_passed,
    refuse_failed_call,
    refuse_no_owner,
    refuse_not_durable,
    refuse_unknown_outcome,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.ledger.mirroring import Mirroring
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# How long a call waits for its records to be settled. After that it is not
# sent, or its answer is returned and marked as not durable.
DURABLE_TIMEOUT_SECONDS: Final = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnedCall:
    """A call of an owned program that may be sent.

    ``unrecorded_units`` may have been spent by earlier runs that left no
    record; they are added to what this call has spent when it is settled.
    ``epoch`` is the epoch in which the call began: its spending counts
    against the allowance of that epoch, even if this node has since lost the
    partition and claimed it again.
    """

    journal: Journal
    call: calls.CallRequest
    proceed: calls.Proceed
    stream: AnswerStream
    deadline_at: float
    epoch: int
    unrecorded_units: int = 0

    @property
    def seconds_left(self) -> float:
        """Return the time until the deadline, at least zero."""
        return max(0, self.deadline_at - read_clock())

    @property
    def call_id(self) -> str:
        """Return the identifier of the call, which differs in each epoch."""
        return f'{self.call.program}:{self.proceed.sequence}:{self.epoch}'

    def record_fields(self) -> dict[str, str | int]:
        """Return the fields that all records of the call share."""
        return {
            'record_id': self.journal.next_record_id(),
            'epoch': self.epoch,
            'node': self.journal.node,
            'program': self.call.program,
            'sequence': self.proceed.sequence,
        }


RunCall = Callable[[OwnedCall], None]


class ProgramCalls:
    """Starts and settles the calls of owned programs, in order."""

    def __init__(
        self,
        *,
        journal_keeper: JournalKeeper,
        answers: AnswerStore,
        mirroring: Mirroring,
    ) -> None:
        """Start with no running call."""
        self._mirroring = mirroring
        self.running_by_program: dict[str, OwnedCall] = {}
        self.started_at_by_program: dict[str, float] = {}
        self.journal_keeper = journal_keeper
        self.answers = answers
        self._unrecorded_units_by_program: dict[str, int] = {}

    def begin(
        self,
        journal: Journal,
        call: calls.CallRequest,
        *,
        deadline_at: float,
        run_call: RunCall,
    ) -> AnswerStream:
        """Start a call, or return the answer of the same call made earlier.

        Waits first until the program's running call has ended. ``run_call``
        then runs in its own greenlet, so the call continues if the caller's
        connection breaks.

        Raises:
            RefusedError: if the call is not run or its outcome is unknown.
        """
        running = self._wait_for_running_call(call, deadline_at)
        if running is not None:
            return running.stream
        if self.journal_keeper.waiting.is_full:
            emit(
                LogEvent.PENDING_FULL,
                bytes=self.journal_keeper.waiting.size_bytes,
            )
            raise refuse_not_durable('too much waits', RunState.NOT_RUN)
        unrecorded_units = self._unrecorded_units_by_program.get(
            call.program, 0
        )
        ledger_request = dataclasses.replace(
            call,
            worst_case=call.worst_case + unrecorded_units,
            has_mirror=self._mirroring.has_mirror(journal),
        )
        decision = calls.begin_call(journal, ledger_request, read_clock())
        if not isinstance(decision, calls.Proceed):
            if isinstance(decision, calls.Refuse):
                self.check_owner(journal, call.program)
            return find_answer(decision, self, journal, call)
        owned = OwnedCall(
            journal=journal,
            call=call,
            proceed=decision,
            stream=AnswerStream(),
            deadline_at=deadline_at,
            epoch=journal.view.epoch,
            unrecorded_units=unrecorded_units,
        )
        owned.stream.sequence = decision.sequence
        if decision.sequence == 1:
            emit(LogEvent.PROGRAM_STARTED, program=call.program)
            self.started_at_by_program[call.program] = read_clock()
        self.running_by_program[call.program] = owned
        self.answers.add(call.program, decision.sequence, owned.stream)
        self.journal_keeper.settlements.expect(decision.wait_for)
        self._mirroring.settle_acked(journal, decision.wait_for)
        gevent.spawn(self._run, owned, run_call)
        self.journal_keeper.send_pending(journal)
        return owned.stream

    def check_owner(self, journal: Journal, program: str) -> None:
        """Refuse the call if another node has claimed the program's partition.

        Raises:
            RefusedError: if so; the request may be sent again.
        """
        if not self.journal_keeper.confirm_owner(journal):
            raise refuse_no_owner(
                partition_of(program), 'another node has claimed it'
            )

    def wait_until_durable(self, owned: OwnedCall) -> None:
        """Wait for the records that must be durable before the call is sent.

        Raises:
            RefusedError: if one is invalid or not settled in time; the call
                was not run.
        """
        wait_for = owned.proceed.wait_for
        timeout = min(DURABLE_TIMEOUT_SECONDS, owned.seconds_left)
        settled = self.journal_keeper.settlements.wait(wait_for, timeout)
        if len(settled) == len(wait_for):
            invalid = [item.reason for item in settled if not item.valid]
            if not invalid:
                return
            raise refuse_not_durable(invalid[0], RunState.NOT_RUN)
        self.withdraw(owned)
        raise refuse_not_durable('no answer in time', RunState.NOT_RUN)

    def withdraw(self, owned: OwnedCall) -> None:
        """Record that the call was not sent and never will be."""
        intent_id = owned.proceed.intent_id
        if not intent_id or withdraw_pending(owned.journal, intent_id):
            return
        emit(LogEvent.INTENT_WITHDRAWN, program=owned.call.program)
        self.submit(
            owned,
            records.IntentWithdrawn(
                **owned.record_fields(),  # type: ignore[arg-type]
                intent_id=intent_id,
            ),
        )

    def abandon(self, owned: OwnedCall) -> None:
        """Record that it is unknown whether a call with an intent ran."""
        program = owned.journal.view.programs_by_id[owned.call.program]
        emit(LogEvent.INTENT_UNKNOWN, program=owned.call.program)
        self.submit(
            owned,
            records.CallAbandoned(
                **owned.record_fields(),  # type: ignore[arg-type]
                intent_id=owned.proceed.intent_id,
                spent=min(
                    program.granted, program.spent + owned.call.worst_case
                ),
            ),
        )

    def submit(self, owned: OwnedCall, *submitted: records.Record) -> bool:
        """Submit and send records of a call; return whether all are valid."""
        verdicts = [
            submit_record(owned.journal, record) for record in submitted
        ]
        self.journal_keeper.settlements.expect([
            record.record_id for record in submitted
        ])
        self.journal_keeper.send_pending(owned.journal)
        return all(verdict.valid for verdict in verdicts)

    def settle(self, owned: OwnedCall, record: records.Record) -> None:
        """Append the record of a finished call to the log and wait for it.

        Raises:
            RefusedError: if another node owns the partition now; the call
                ran, and its answer is not part of the history.
        """
        journal = owned.journal
        verdict = submit_record(journal, record)
        if not verdict.valid:
            raise refuse_not_durable(verdict.reason, RunState.RAN)
        self._unrecorded_units_by_program.pop(owned.call.program, None)
        program = journal.view.programs_by_id[owned.call.program]
        calls.grant_allowance(journal, program, owned.call.worst_case)
        self.journal_keeper.settlements.expect([record.record_id])
        self.journal_keeper.send_pending(journal)
        timeout = DURABLE_TIMEOUT_SECONDS
        is_down = calls.is_log_down(journal, read_clock())
        if is_down and not self._mirroring.has_mirror(journal):
            timeout = 0
        settled = self.journal_keeper.settlements.wait(
            [record.record_id], timeout
        )
        if not settled or settled[0].offset < 0:
            self.journal_keeper.waiting.add(record)
        if not settled:
            emit(LogEvent.ANSWER_NOT_DURABLE, program=owned.call.program)
            owned.stream.is_durable = False
        elif not settled[0].valid:
            raise refuse_not_durable(settled[0].reason, RunState.RAN)

    def record_failure(self, owned: OwnedCall, refusal: RefusedError) -> None:
        """Record what is known about a call without an answer."""
        if refusal.run is RunState.NOT_RUN:
            self.withdraw(owned)
            return
        self._add_unrecorded_units(owned)
        if owned.proceed.intent_id:
            self.abandon(owned)

    def _add_unrecorded_units(self, owned: OwnedCall) -> None:
        """Count the units that a run without a record may have spent."""
        program = owned.call.program
        units = self._unrecorded_units_by_program.get(program, 0)
        self._unrecorded_units_by_program[program] = (
            units + owned.call.worst_case
        )

    def _wait_for_running_call(
        self, call: calls.CallRequest, deadline_at: float
    ) -> OwnedCall | None:
        """Wait until the running call ends; return it if it is the same one."""
        while True:
            running = self.running_by_program.get(call.program)
            if running is None:
                return None
            if _is_same_call(running, call):
                return running
            timeout = deadline_at - read_clock()
            if timeout <= 0 or not running.stream.wait_finished(timeout):
                raise refuse_deadline_passed('wait for call', RunState.NOT_RUN)
            # The greenlet of the running call removes it when it ends.
            gevent.sleep(0)

    def _run(self, owned: OwnedCall, run_call: RunCall) -> None:
        try:
            run_call(owned)
        except RefusedError as refusal:
            owned.stream.fail(refusal)
        except BronzepostError as error:
            emit(LogEvent.GREENLET_FAILED, error=error)
            owned.stream.fail(refuse_failed_call(error, RunState.UNKNOWN))
        self.running_by_program.pop(owned.call.program, None)
        if owned.stream.error is None:
            self.journal_keeper.metrics.count(Metric.CALLS_ANSWERED)
            emit(LogEvent.CALL_ANSWERED, program=owned.call.program)
            return
        if owned.stream.error.code == DEADLINE_CODE:
            emit(LogEvent.DEADLINE_PASSED, program=owned.call.program)
        self.answers.remove(owned.call.program, owned.proceed.sequence)


def _is_same_call(running: OwnedCall, call: calls.CallRequest) -> bool:
    if call.key and running.call.key == call.key:
        return True
    return bool(call.sequence) and call.sequence == running.proceed.sequence


@functools.singledispatch
def find_answer(
    decision: calls.Decision,
    program_calls: ProgramCalls,
    journal: Journal,
    call: calls.CallRequest,
) -> AnswerStream:
    """Return the earlier answer of a call that is not run, or refuse it."""
    raise NotImplementedError(type(decision).__name__)


@find_answer.register
def _(
    decision: calls.Refuse,
    program_calls: ProgramCalls,
    journal: Journal,
    call: calls.CallRequest,
) -> AnswerStream:
    raise refuse_by_ledger(decision)


@find_answer.register
def _(
    decision: calls.AnswerStored,
    program_calls: ProgramCalls,
    journal: Journal,
    call: calls.CallRequest,
) -> AnswerStream:
    return program_calls.answers.find(
        call.program, decision.sequence, journal.stream, decision.offset
    )


@find_answer.register
def _(
    decision: calls.AnswerUnknown,
    program_calls: ProgramCalls,
    journal: Journal,
    call: calls.CallRequest,
) -> AnswerStream:
    intent = journal.view.find_open_intent(call.program)
    if intent is not None and intent.intent_id == decision.intent_id:
        owned = OwnedCall(
            journal=journal,
            call=call,
            proceed=calls.Proceed(
                sequence=decision.sequence, intent_id=decision.intent_id
            ),
            stream=AnswerStream(),
            deadline_at=0,
            epoch=journal.view.epoch,
        )
        program_calls.abandon(owned)
    raise refuse_unknown_outcome(call.program, decision.sequence)
