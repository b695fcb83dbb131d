"""An in-memory node that runs calls through the ledger, for fault tests.

It follows the rules for users of the ledger: a call is sent only after the
records in ``wait_for`` are settled as valid, a call is never sent after its
withdrawal, and a program has at most one call in progress.
"""

import dataclasses
from collections import Counter
from typing import Any

from bronzepost._internal.core.ledger import calls, records
from bronzepost._internal.core.ledger.journal import withdraw_pending
from bronzepost._internal.exceptions import RunState
from tests import builders_ledger as builders


@dataclasses.dataclass(kw_only=True)
class Observations:
    """Effects of the calls as seen by callers and services."""

    attempts: int = 0
    effects_by_call: Counter[tuple[str, str]] = dataclasses.field(
        default_factory=Counter
    )
    spent_by_program: Counter[str] = dataclasses.field(default_factory=Counter)
    sent_attempts: set[int] = dataclasses.field(default_factory=set)
    not_run_attempts: set[int] = dataclasses.field(default_factory=set)
    # Identifier of the record that finished the call, by program and sequence.
    acknowledged: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
    wrong_answers: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class InFlightCall:
    """A call that a node has accepted and not finished."""

    attempt: int
    call: calls.CallRequest
    begun: calls.Proceed
    epoch: int
    is_model_call: bool
    sent: bool = False
    cost: int = 0


@dataclasses.dataclass(kw_only=True)
class FaultNode:
    """One boot of a node, with its calls in progress."""

    member: builders.Member
    observations: Observations
    paused: bool = False
    in_flight_calls_by_program: dict[str, InFlightCall] = dataclasses.field(
        default_factory=dict
    )
    unacknowledged_calls: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )

    def begin(
        self, call: calls.CallRequest, *, is_model_call: bool
    ) -> calls.Decision | None:
        """Begin a call, unless the program has one in progress."""
        if call.program in self.in_flight_calls_by_program:
            return None
        journal = self.member.journal
        self.observations.attempts += 1
        decision = calls.begin_call(journal, call, self.member.now)
        if isinstance(decision, calls.Proceed):
            self.in_flight_calls_by_program[call.program] = InFlightCall(
                attempt=self.observations.attempts,
                call=call,
                begun=decision,
                epoch=journal.view.epoch,
                is_model_call=is_model_call,
            )
        elif isinstance(decision, calls.AnswerStored):
            self._check_answer(call, decision)
        elif isinstance(decision, calls.Refuse):
            if decision.run is RunState.NOT_RUN:
                self.observations.not_run_attempts.add(
                    self.observations.attempts
                )
        return decision

    def send(self, program: str, share: int) -> None:
        """Send a call whose records are settled as valid.

        ``share`` is the percentage of the worst case that the call spends.
        """
        in_flight = self.in_flight_calls_by_program.get(program)
        if in_flight is None or in_flight.sent:
            return
        settled = self.member.settled_by_id
        known = [
            settled[record_id]
            for record_id in in_flight.begun.wait_for
            if record_id in settled
        ]
        if not all(action.valid for action in known):
            self.withdraw(program)
        elif len(known) == len(in_flight.begun.wait_for):
            in_flight.sent = True
            in_flight.cost = in_flight.call.worst_case * share // 100
            self._record_send(in_flight)

    def finish(self, program: str) -> None:
        """Submit the record of the answer to a call that was sent."""
        in_flight = self.in_flight_calls_by_program.get(program)
        if in_flight is None or not in_flight.sent:
            return
        self.in_flight_calls_by_program.pop(program)
        record = self._build_result(in_flight)
        if record is None or not self.member.submit(record).valid:
            return
        call = (program, in_flight.begun.sequence)
        self.unacknowledged_calls[record.record_id] = call
        if self._is_current(in_flight):
            calls.grant_allowance(
                self.member.journal,
                self.member.journal.view.programs_by_id[program],
                in_flight.call.worst_case,
            )

    def withdraw(self, program: str) -> None:
        """Withdraw a call that was not sent and answer `not_run`."""
        in_flight = self.in_flight_calls_by_program.get(program)
        if in_flight is None or in_flight.sent:
            return
        self.in_flight_calls_by_program.pop(program)
        intent_id = in_flight.begun.intent_id
        if intent_id and not withdraw_pending(self.member.journal, intent_id):
            self._submit(
                records.IntentWithdrawn,
                epoch=in_flight.epoch,
                program=program,
                sequence=in_flight.begun.sequence,
                intent_id=intent_id,
            )
        self.observations.not_run_attempts.add(in_flight.attempt)

    def abandon(self, program: str) -> None:
        """Abandon a call that has an open intent but no outcome."""
        journal = self.member.journal
        intent = journal.view.find_open_intent(program)
        entry = journal.view.find_live_program(program)
        in_flight = self.in_flight_calls_by_program.get(program)
        if intent is None or entry is None or not journal.is_owner:
            return
        is_own = intent.epoch == journal.view.epoch
        if is_own and not (in_flight and in_flight.sent):
            return
        worst_case = in_flight.call.worst_case if is_own and in_flight else 0
        if in_flight and intent.intent_id == in_flight.begun.intent_id:
            self.in_flight_calls_by_program.pop(program)
        self._submit(
            records.CallAbandoned,
            program=program,
            sequence=intent.sequence,
            intent_id=intent.intent_id,
            spent=entry.spent + worst_case,
        )

    def end(self, program: str) -> None:
        """End a program and its sub-agents."""
        self._submit(records.ProgramEnded, program=program, reason='done')

    def store_history_again(self, program: str) -> None:
        """Submit a snapshot of a program's history."""
        entry = self.member.journal.view.find_live_program(program)
        if entry is not None and entry.message_count:
            self._submit(
                records.HistorySnapshot,
                program=program,
                messages=[],
                digest=entry.digest,
            )

    def release(self, *, releases_partition: bool) -> None:
        """Return unused allowances and optionally release the partition."""
        view = self.member.journal.view
        for program, entry in list(view.programs_by_id.items()):
            if program not in self.in_flight_calls_by_program:
                self._submit(
                    records.AllowanceReleased,
                    program=program,
                    granted=entry.spent,
                )
        if releases_partition and not self.in_flight_calls_by_program:
            self._submit(records.PartitionReleased)

    def acknowledge(self) -> None:
        """Acknowledge the calls whose records are on the log."""
        for record_id, call in list(self.unacknowledged_calls.items()):
            settled = self.member.settled_by_id.get(record_id)
            if settled is not None:
                self.unacknowledged_calls.pop(record_id)
                if settled.valid:
                    self.observations.acknowledged[call] = record_id

    def _is_current(self, in_flight: InFlightCall) -> bool:
        journal = self.member.journal
        return journal.is_owner and journal.view.epoch == in_flight.epoch

    def _record_send(self, in_flight: InFlightCall) -> None:
        self.observations.sent_attempts.add(in_flight.attempt)
        self.observations.spent_by_program[in_flight.call.program] += (
            in_flight.cost
        )
        if in_flight.call.non_idempotent:
            call = (in_flight.call.program, in_flight.call.key)
            self.observations.effects_by_call[call] += 1

    def _build_result(self, in_flight: InFlightCall) -> records.Record | None:
        program = in_flight.call.program
        entry = self.member.journal.view.programs_by_id.get(program)
        is_current = self._is_current(in_flight)
        is_epoch_independent = (
            bool(in_flight.begun.intent_id) and not in_flight.is_model_call
        )
        if entry is None or not (is_current or is_epoch_independent):
            return None
        # The claim already counted the previous owner's allowance as spent.
        spent = entry.spent + in_flight.cost * is_current
        common: dict[str, Any] = {
            'intent_id': in_flight.begun.intent_id,
            'key': in_flight.call.key,
        }
        if in_flight.is_model_call:
            turn: records.TurnCompleted = builders.build_turn(
                self.member, program, spent=spent
            )
            return dataclasses.replace(turn, **common)
        outcome: records.Record = builders.build_record(
            self.member,
            records.Outcome,
            program=program,
            sequence=in_flight.begun.sequence,
            status=200,
            body='{}',
            spent=spent,
            **common,
        )
        return dataclasses.replace(outcome, epoch=in_flight.epoch)

    def _submit(self, kind: type[records.Record], **fields: Any) -> None:
        record = builders.build_record(self.member, kind, **fields)
        self.member.submit(record)

    def _check_answer(
        self, call: calls.CallRequest, decision: calls.AnswerStored
    ) -> None:
        log = self.member.log
        if decision.offset >= log.next_offset:
            self.observations.wrong_answers.append(
                f'{call} got an absent record'
            )
            return
        body = log.bodies[decision.offset]
        entry = self.member.journal.state.programs_by_id[call.program]
        if body['kind'] == records.HistorySnapshot.__name__:
            # The last message of a snapshot is the answer to the last call.
            found = (body['program'], body['digest'])
            is_right = found == (call.program, entry.digest)
            is_right = is_right and decision.sequence == entry.sequence
        else:
            found = (body.get('program'), body.get('sequence'))
            is_right = found == (call.program, decision.sequence)
            is_right = is_right and call.key in {'', body['key']}
        if not is_right:
            self.observations.wrong_answers.append(f'{call} got {body}')
