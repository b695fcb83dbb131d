"""Builders of records and calls, and a check of budgets."""

from typing import Any

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.calls import CallRequest
from bronzepost._internal.core.ledger.rule_base import Verdict
from bronzepost._internal.core.ledger.state import PartitionState

STREAM = 'programs-07'


class Writer:
    """Builds the records of one boot under one epoch."""

    def __init__(self, node: str, *, boot: str = '', epoch: int = 1) -> None:
        """Start with the record number 1."""
        self.node = node
        self.boot = boot or f'{node}-boot'
        self.epoch = epoch
        self.record_count = 0

    def build(
        self, kind: type[records.Record], **fields: Any
    ) -> records.Record:
        """Return a record with the next identifier."""
        self.record_count += 1
        return kind(
            record_id=f'{self.boot}-{STREAM}-{self.record_count:x}',
            epoch=self.epoch,
            node=self.node,
            **fields,
        )

    def build_claim(self) -> records.Record:
        """Return the claim of this writer's epoch."""
        return self.build(records.Claim)

    def build_start(
        self, program: str = 'p', *, budget: int = 100, granted: int = 40
    ) -> records.Record:
        """Return the record that starts a program or a sub-agent."""
        return self.build(
            records.ProgramStarted,
            program=program,
            organisation='kostiumy',
            service='pass-assistant',
            budget=budget,
            granted=granted,
            parent=program.rpartition('.')[0],
        )

    def build_turn(
        self, program: str = 'p', *, sequence: int = 1, **fields: Any
    ) -> records.Record:
        """Return the record of a finished model call."""
        body = {
            'messages': [{'role': 'user', 'content': f'{program}?{sequence}'}],
            'answer': {'role': 'assistant', 'content': f'{program}!{sequence}'},
            'digest': f'{program}/{sequence}',
            'message_count': 2 * sequence,
            'spent': 0,
        }
        return self.build(
            records.TurnCompleted,
            program=program,
            sequence=sequence,
            **(body | fields),
        )

    def build_intent(
        self, program: str = 'p', *, sequence: int = 1, key: str = 'k'
    ) -> records.Record:
        """Return the intent of a non-idempotent call."""
        return self.build(
            records.Intent,
            program=program,
            sequence=sequence,
            key=key,
            service='pass-registry',
            path='issue',
        )

    def build_for_intent(
        self,
        kind: type[records.Record],
        intent: records.Record,
        **fields: Any,
    ) -> records.Record:
        """Return a record that refers to an intent."""
        assert isinstance(intent, records.Intent)
        body: dict[str, Any] = {
            'program': intent.program,
            'sequence': intent.sequence,
            'intent_id': intent.record_id,
        }
        if kind is records.Outcome:
            body |= {'status': 200, 'body': '{}', 'spent': 0}
            body['key'] = intent.key
        if kind is records.CallAbandoned:
            body['spent'] = 0
        return self.build(kind, **(body | fields))


def apply_all(state: PartitionState, *stream: records.Record) -> list[Verdict]:
    """Apply records in log order and return their verdicts."""
    return [apply_record(state, state.next_offset, record) for record in stream]


def build_call(program: str = 'p', **fields: Any) -> CallRequest:
    """Return a call with a small budget and worst case."""
    body: dict[str, Any] = {
        'sequence': 0,
        'key': '',
        'organisation': 'kostiumy',
        'service': 'pass-assistant',
        'worst_case': 10,
        'budget': 100,
    }
    return CallRequest(program=program, **(body | fields))


def find_budget_violations(state: PartitionState) -> list[str]:
    """Return the programs whose amounts are inconsistent with the budget."""
    return [
        entry.program
        for entry in state.programs_by_id.values()
        if not 0 <= entry.spent <= entry.granted
        or entry.carved < 0
        or entry.granted + entry.carved > entry.budget
    ]
