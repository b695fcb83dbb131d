"""A node in memory that runs calls through the ledger, for fault tests.

It follows the rules that the design gives the shell around the ledger: it
sends a call only after what the decision waits for is settled as valid, it
never sends a call after its withdrawal, and one call of a program is under
way at a time.
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
    """What the world outside the nodes has seen."""

    attempts: int = 0
    effects_by_call: Counter[tuple[str, str]] = dataclasses.field(
        default_factory=Counter
    )
    spent_by_program: Counter[str] = dataclasses.field(default_factory=Counter)
    sent_attempts: set[int] = dataclasses.field(default_factory=set)
    not_run_attempts: set[int] = dataclasses.field(default_factory=set)
    # The record that finished an acknowledged call, by program and sequence.
    acknowledged: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
    wrong_answers: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class Flight:
    """A call that a node has accepted."""

    attempt: int
    call: calls.CallRequest
    begun: calls.Proceed
    epoch: int
    is_model_call: bool
    sent: bool = False
    cost: int = 0


@dataclasses.dataclass(kw_only=True)
class FaultNode:
    """One boot of a node with the calls that it has under way."""

    member: builders.Member
    seen: Observations
    paused: bool = False
    flights_by_program: dict[str, Flight] = dataclasses.field(
        default_factory=dict
    )
    unacknowledged: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )

    def begin(
        self, call: calls.CallRequest, *, is_model_call: bool
    ) -> calls.Decision | None:
        """Take a caller's attempt, unless a call is under way."""
        if call.program in self.flights_by_program:
            return None
        journal = self.member.journal
        self.seen.attempts += 1
        decision = calls.begin_call(journal, call, self.member.now)
        if isinstance(decision, calls.Proceed):
            self.flights_by_program[call.program] = Flight(
                attempt=self.seen.attempts,
                call=call,
                begun=decision,
                epoch=journal.view.epoch,
                is_model_call=is_model_call,
            )
        elif isinstance(decision, calls.AnswerStored):
            self._check_answer(call, decision)
        elif isinstance(decision, calls.Refuse):
            if decision.run is RunState.NOT_RUN:
                self.seen.not_run_attempts.add(self.seen.attempts)
        return decision

    def send(self, program: str, share: int) -> None:
        """Send a call whose records are settled; the share is in percent."""
        flight = self.flights_by_program.get(program)
        if flight is None or flight.sent:
            return
        settled = self.member.settled_by_id
        known = [
            settled[record_id]
            for record_id in flight.begun.wait_for
            if record_id in settled
        ]
        if not all(action.valid for action in known):
            self.withdraw(program)
        elif len(known) == len(flight.begun.wait_for):
            flight.sent = True
            flight.cost = flight.call.worst_case * share // 100
            self._record_send(flight)

    def finish(self, program: str) -> None:
        """Take the answer to a call and write it to the log."""
        flight = self.flights_by_program.get(program)
        if flight is None or not flight.sent:
            return
        self.flights_by_program.pop(program)
        record = self._build_result(flight)
        if record is None or not self.member.submit(record).valid:
            return
        call = (program, flight.begun.sequence)
        self.unacknowledged[record.record_id] = call
        if self._is_current(flight):
            calls.grant_allowance(
                self.member.journal,
                self.member.journal.view.programs_by_id[program],
                flight.call.worst_case,
            )

    def withdraw(self, program: str) -> None:
        """Give up a call that was not sent and answer `not_run`."""
        flight = self.flights_by_program.get(program)
        if flight is None or flight.sent:
            return
        self.flights_by_program.pop(program)
        intent_id = flight.begun.intent_id
        if intent_id and not withdraw_pending(self.member.journal, intent_id):
            self._submit(
                records.IntentWithdrawn,
                epoch=flight.epoch,
                program=program,
                sequence=flight.begun.sequence,
                intent_id=intent_id,
            )
        self.seen.not_run_attempts.add(flight.attempt)

    def abandon(self, program: str) -> None:
        """Go on without the outcome of an announced call."""
        journal = self.member.journal
        intent = journal.view.find_open_intent(program)
        entry = journal.view.find_live_program(program)
        flight = self.flights_by_program.get(program)
        if intent is None or entry is None or not journal.is_owner:
            return
        is_own = intent.epoch == journal.view.epoch
        if is_own and not (flight and flight.sent):
            return
        worst_case = flight.call.worst_case if is_own and flight else 0
        if flight and intent.intent_id == flight.begun.intent_id:
            self.flights_by_program.pop(program)
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

    def repeat_history(self, program: str) -> None:
        """Write a program's history again before its records age out."""
        entry = self.member.journal.view.find_live_program(program)
        if entry is not None and entry.message_count:
            self._submit(
                records.HistorySnapshot,
                program=program,
                messages=[],
                digest=entry.digest,
            )

    def release(self, *, whole: bool) -> None:
        """Return what is not reserved, and the partition if it is wanted."""
        view = self.member.journal.view
        for program, entry in list(view.programs_by_id.items()):
            if program not in self.flights_by_program:
                self._submit(
                    records.AllowanceReleased,
                    program=program,
                    granted=entry.spent,
                )
        if whole and not self.flights_by_program:
            self._submit(records.PartitionReleased)

    def acknowledge(self) -> None:
        """Give callers the answers whose records are on the log."""
        for record_id, call in list(self.unacknowledged.items()):
            settled = self.member.settled_by_id.get(record_id)
            if settled is not None:
                self.unacknowledged.pop(record_id)
                if settled.valid:
                    self.seen.acknowledged[call] = record_id

    def _is_current(self, flight: Flight) -> bool:
        journal = self.member.journal
        return journal.is_owner and journal.view.epoch == flight.epoch

    def _record_send(self, flight: Flight) -> None:
        self.seen.sent_attempts.add(flight.attempt)
        self.seen.spent_by_program[flight.call.program] += flight.cost
        if flight.call.non_idempotent:
            call = (flight.call.program, flight.call.key)
            self.seen.effects_by_call[call] += 1

    def _build_result(self, flight: Flight) -> records.Record | None:
        program = flight.call.program
        entry = self.member.journal.view.programs_by_id.get(program)
        is_current = self._is_current(flight)
        is_fact = bool(flight.begun.intent_id) and not flight.is_model_call
        if entry is None or not (is_current or is_fact):
            return None
        # The spending of a lost owner is already counted as forfeited.
        spent = entry.spent + flight.cost * is_current
        common: dict[str, Any] = {
            'intent_id': flight.begun.intent_id,
            'key': flight.call.key,
        }
        if flight.is_model_call:
            turn: records.TurnCompleted = builders.build_turn(
                self.member, program, spent=spent
            )
            return dataclasses.replace(turn, **common)
        outcome: records.Record = builders.build_record(
            self.member,
            records.Outcome,
            program=program,
            sequence=flight.begun.sequence,
            status=200,
            body='{}',
            spent=spent,
            **common,
        )
        return dataclasses.replace(outcome, epoch=flight.epoch)

    def _submit(self, kind: type[records.Record], **fields: Any) -> None:
        record = builders.build_record(self.member, kind, **fields)
        self.member.submit(record)

    def _check_answer(
        self, call: calls.CallRequest, decision: calls.AnswerStored
    ) -> None:
        log = self.member.log
        if decision.offset >= log.next_offset:
            self.seen.wrong_answers.append(f'{call} got an absent record')
            return
        body = log.bodies[decision.offset]
        entry = self.member.journal.state.programs_by_id[call.program]
        if body['kind'] == records.HistorySnapshot.__name__:
            # Its last message is the answer to the program's last call.
            found = (body['program'], body['digest'])
            is_right = found == (call.program, entry.digest)
            is_right = is_right and decision.sequence == entry.sequence
        else:
            found = (body.get('program'), body.get('sequence'))
            is_right = found == (call.program, decision.sequence)
            is_right = is_right and call.key in {'', body['key']}
        if not is_right:
            self.seen.wrong_answers.append(f'{call} got {body}')
