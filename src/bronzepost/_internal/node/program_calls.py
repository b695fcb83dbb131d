"""Calls of the programs that this node owns: one at a time, in order."""

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
from bronzepost._internal.node.answer_stream import AnswerStream
from bronzepost._internal.node.answers import AnswerStore
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.mirroring import Mirroring
from bronzepost._internal.node.refusals import (
    DEADLINE_CODE,
    refuse_broken_call,
    refuse_deadline,
    refuse_decision,
    refuse_no_owner,
    refuse_not_durable,
    refuse_unknown,
)
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# An answer waits this long for its record before it is given as not durable.
DURABLE_SECONDS: Final = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnedCall:
    """A call of an owned program that may be sent.

    ``lost_units`` were spent by earlier runs that left no record, and count
    when this call is settled. ``epoch`` is the one in which the call began:
    what it spent belongs to that epoch's allowance, even if this node has
    lost the partition and claimed it again meanwhile.
    """

    journal: Journal
    call: calls.CallRequest
    proceed: calls.Proceed
    stream: AnswerStream
    deadline_at: float
    epoch: int
    lost_units: int = 0

    @property
    def seconds_left(self) -> float:
        """Return the time to the deadline, never below zero."""
        return max(0, self.deadline_at - read_clock())

    @property
    def call_id(self) -> str:
        """Return a name of this attempt that no other attempt has."""
        return f'{self.call.program}:{self.proceed.sequence}:{self.epoch}'

    def record_fields(self) -> dict[str, str | int]:
        """Return the fields that every record of the call has."""
        return {
            'record_id': self.journal.next_record_id(),
            'epoch': self.epoch,
            'node': self.journal.node,
            'program': self.call.program,
            'sequence': self.proceed.sequence,
        }


Work = Callable[[OwnedCall], None]


class ProgramCalls:
    """Begin, order and settle the calls of owned programs."""

    def __init__(
        self,
        *,
        keeper: JournalKeeper,
        answers: AnswerStore,
        mirroring: Mirroring,
    ) -> None:
        """Start with no call under way."""
        self._mirroring = mirroring
        self.running_by_program: dict[str, OwnedCall] = {}
        self.started_at_by_program: dict[str, float] = {}
        self.keeper = keeper
        self.answers = answers
        self._lost_units_by_program: dict[str, int] = {}

    def begin(
        self,
        journal: Journal,
        call: calls.CallRequest,
        *,
        deadline_at: float,
        work: Work,
    ) -> AnswerStream:
        """Start a call, or find the answer if it was made before.

        ``work`` runs in a greenlet of its own, so the call goes on when the
        caller's connection breaks. It waits for the program's call that is
        under way.

        Raises:
            RefusedError: if the call is not run or its outcome is unknown.
        """
        running = self._wait_for_turn(call, deadline_at)
        if running is not None:
            return running.stream
        if self.keeper.waiting.is_full:
            emit(LogEvent.PENDING_FULL, bytes=self.keeper.waiting.size_bytes)
            raise refuse_not_durable('too much waits', RunState.NOT_RUN)
        lost_units = self._lost_units_by_program.get(call.program, 0)
        reserved = dataclasses.replace(
            call,
            worst_case=call.worst_case + lost_units,
            has_mirror=self._mirroring.has_mirror(journal),
        )
        decision = calls.begin_call(journal, reserved, read_clock())
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
            lost_units=lost_units,
        )
        owned.stream.sequence = decision.sequence
        if decision.sequence == 1:
            emit(LogEvent.PROGRAM_STARTED, program=call.program)
            self.started_at_by_program[call.program] = read_clock()
        self.running_by_program[call.program] = owned
        self.answers.keep(call.program, decision.sequence, owned.stream)
        self.keeper.settlements.expect(decision.wait_for)
        self._mirroring.settle_acked(journal, decision.wait_for)
        gevent.spawn(self._run, owned, work)
        self.keeper.send_pending(journal)
        return owned.stream

    def check_owner(self, journal: Journal, program: str) -> None:
        """Refuse if the program has moved to another node meanwhile.

        Raises:
            RefusedError: if it has; the request may be sent again.
        """
        if not self.keeper.confirm_owner(journal):
            raise refuse_no_owner(
                partition_of(program), 'another node has claimed it'
            )

    def wait_durable(self, owned: OwnedCall) -> None:
        """Wait for the records that have to be on the log before the send.

        Raises:
            RefusedError: if they are not; the call was not run.
        """
        wait_for = owned.proceed.wait_for
        seconds = min(DURABLE_SECONDS, owned.seconds_left)
        settled = self.keeper.settlements.wait(wait_for, seconds)
        if len(settled) == len(wait_for):
            invalid = [item.reason for item in settled if not item.valid]
            if not invalid:
                return
            raise refuse_not_durable(invalid[0], RunState.NOT_RUN)
        self.withdraw(owned)
        raise refuse_not_durable('no answer in time', RunState.NOT_RUN)

    def withdraw(self, owned: OwnedCall) -> None:
        """State that the call was not sent and never will be."""
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
        """State that nobody knows whether the announced call ran."""
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
        """Queue records of a call and send them; return if all are valid."""
        verdicts = [
            submit_record(owned.journal, record) for record in submitted
        ]
        self.keeper.settlements.expect([
            record.record_id for record in submitted
        ])
        self.keeper.send_pending(owned.journal)
        return all(verdict.valid for verdict in verdicts)

    def settle(self, owned: OwnedCall, record: records.Record) -> None:
        """Put the record of a finished call on the log and wait for it.

        Raises:
            RefusedError: if another node owns the partition now; the call
                ran, and its answer is not part of the history.
        """
        journal = owned.journal
        verdict = submit_record(journal, record)
        if not verdict.valid:
            raise refuse_not_durable(verdict.reason, RunState.RAN)
        self._lost_units_by_program.pop(owned.call.program, None)
        program = journal.view.programs_by_id[owned.call.program]
        calls.grant_allowance(journal, program, owned.call.worst_case)
        self.keeper.settlements.expect([record.record_id])
        self.keeper.send_pending(journal)
        seconds = DURABLE_SECONDS
        is_down = calls.is_log_down(journal, read_clock())
        if is_down and not self._mirroring.has_mirror(journal):
            seconds = 0
        settled = self.keeper.settlements.wait([record.record_id], seconds)
        if not settled or settled[0].offset < 0:
            self.keeper.waiting.add(record)
        if not settled:
            emit(LogEvent.ANSWER_NOT_DURABLE, program=owned.call.program)
            owned.stream.is_durable = False
        elif not settled[0].valid:
            raise refuse_not_durable(settled[0].reason, RunState.RAN)

    def give_up(self, owned: OwnedCall, refusal: RefusedError) -> None:
        """Record what is known of a call that has no answer."""
        if refusal.run is RunState.NOT_RUN:
            self.withdraw(owned)
            return
        self._lose_units(owned)
        if owned.proceed.intent_id:
            self.abandon(owned)

    def _lose_units(self, owned: OwnedCall) -> None:
        """Count units that a run without a record may have spent."""
        program = owned.call.program
        lost = self._lost_units_by_program.get(program, 0)
        self._lost_units_by_program[program] = lost + owned.call.worst_case

    def _wait_for_turn(
        self, call: calls.CallRequest, deadline_at: float
    ) -> OwnedCall | None:
        """Wait for the call under way; return it if it is the same call."""
        while True:
            running = self.running_by_program.get(call.program)
            if running is None:
                return None
            if _is_same_call(running, call):
                return running
            seconds = deadline_at - read_clock()
            if seconds <= 0 or not running.stream.wait_finished(seconds):
                raise refuse_deadline('wait for call', RunState.NOT_RUN)
            # The greenlet of the call removes it once it has ended.
            gevent.sleep(0)

    def _run(self, owned: OwnedCall, work: Work) -> None:
        try:
            work(owned)
        except RefusedError as refusal:
            owned.stream.fail(refusal)
        except BronzepostError as error:
            emit(LogEvent.GREENLET_FAILED, error=error)
            owned.stream.fail(refuse_broken_call(error, RunState.UNKNOWN))
        self.running_by_program.pop(owned.call.program, None)
        if owned.stream.error is None:
            self.keeper.metrics.count(Metric.CALLS_ANSWERED)
            emit(LogEvent.CALL_ANSWERED, program=owned.call.program)
            return
        if owned.stream.error.code == DEADLINE_CODE:
            emit(LogEvent.DEADLINE_PASSED, program=owned.call.program)
        self.answers.drop(owned.call.program, owned.proceed.sequence)


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
    """Return the answer of a call that does not run now, or refuse it."""
    raise NotImplementedError(type(decision).__name__)


@find_answer.register
def _(
    decision: calls.Refuse,
    program_calls: ProgramCalls,
    journal: Journal,
    call: calls.CallRequest,
) -> AnswerStream:
    raise refuse_decision(decision)


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
    raise refuse_unknown(call.program, decision.sequence)
