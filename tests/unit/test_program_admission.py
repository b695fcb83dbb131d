"""Tests of admission of programs taken over from another owner."""

from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ledger.state import ProgramEntry
from bronzepost._internal.core.scheduling.policies import ProgramAware
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.call_settings import CallSettings
from bronzepost._internal.node.callers.caller_request import CallerFields
from bronzepost._internal.node.callers.chat_calls import ChatCall, ChatCalls
from bronzepost._internal.node.callers.chat_request import ChatRequest
from bronzepost._internal.node.pauses import Pauses
from tests.builders_scheduling import MODEL, SERVICE, build_server, build_tables
from tests.builders_telemetry import build_telemetry


def build_chat(program: str) -> ChatCall:
    """Return the second call of a program."""
    messages = [{'role': 'user', 'content': 'Go on.'}]
    return ChatCall(
        chat=ChatRequest(
            body={},
            model=MODEL,
            messages=messages,
            is_streaming=False,
            wants_usage=False,
            max_output_tokens=16,
        ),
        fields=CallerFields(program=program, sequence=2),
        settings=CallSettings(
            organisation='kostiumy',
            service=SERVICE,
            budget=1000,
            importance=5,
            turn_limit=9,
            deadline_seconds=9,
            call_price=0,
            bytes_per_token=1,
            non_idempotent=False,
            policy=ProgramAware(),
        ),
        arrived_at=0,
        span=build_telemetry().tracer.start_span('test'),
    )


def build_journal(**fields: Any) -> Journal:
    """Return a journal that has read one program from the log."""
    journal = Journal(stream='programs-07', node='node-b', boot='boot')
    journal.view.programs_by_id['trip'] = ProgramEntry(
        program='trip',
        organisation='kostiumy',
        service=SERVICE,
        budget=1000,
        granted=100,
        sequence=1,
        **fields,
    )
    return journal


class ProgramAdmissionTest(TestCase):
    """Guard programs in progress when the engines' memory is full."""

    def setUp(self) -> None:
        """Build calls of a node that has never scheduled the program."""
        super().setUp()
        tables = build_tables(build_server('full', cache_capacity=0))
        # Other live programs fill the engine's memory.
        tables.history_tokens_by_service[SERVICE] = 100
        program_calls: Any = SimpleNamespace(
            running_by_program={}, begin=lambda *args, **kw: AnswerStream()
        )
        directory: Any = SimpleNamespace(tables=tables)
        unused: Any = None
        self.chat_calls = ChatCalls(
            program_calls=program_calls,
            model_call_runner=unused,
            directory=directory,
            engine_memory=unused,
            pauses=Pauses(tables=tables, engine_memory=unused),
            find_memory_share=lambda: 1,
            availability_zone='zone-a',
        )

    def begin(self, journal: Journal, program: str) -> AnswerStream:
        """Begin the second call of a program."""
        return self.chat_calls.begin_owned(journal, build_chat(program))

    def test_program_from_another_owner_is_in_progress(self) -> None:
        """Guard against "no slot" for programs in progress after a takeover."""
        self.assertIsNotNone(self.begin(build_journal(), 'trip'))

    def test_sub_agent_of_a_program_in_progress_is_admitted(self) -> None:
        """Guard against a parent blocked by the refusal of its sub-agent."""
        self.assertIsNotNone(self.begin(build_journal(), 'trip.child'))

    def test_new_and_ended_programs_are_refused(self) -> None:
        """Guard the engines' memory against programs that can wait."""
        ended = build_journal(ended='turn_limit')
        for journal, program in ((build_journal(), 'new'), (ended, 'trip')):
            refusal = self.assertRaises(
                RefusedError, self.begin, journal, program
            )
            self.assertEqual('no_slot', refusal.code)
