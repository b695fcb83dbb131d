"""Tests of adopting records of the previous owner that are not on the log."""

from testtools import TestCase

from bronzepost._internal.core.ledger import calls
from bronzepost._internal.core.ledger.adoption import (
    adopt_records,
    list_adoptable_records,
)
from bronzepost._internal.core.ledger.records import (
    ProgramStarted,
    TurnCompleted,
)
from tests import builders_ledger as builders
from tests.builders_records import build_call

PROGRAM = 'p'
SPENT = 10


class AdoptionTest(TestCase):
    """An owner serves calls in an outage and dies; its successor claims."""

    def setUp(self) -> None:
        """Start with an owner, and a log that is down."""
        super().setUp()
        self.log = builders.FakeLog()
        self.owner = builders.build_owner(self.log)
        self.log.is_down = True

    def finish_call(self, program: str = PROGRAM) -> None:
        """Let the owner run one call whose records are not on the log."""
        call = build_call(program, has_mirror=True)
        decision = calls.begin_call(self.owner.journal, call, self.owner.now)
        assert isinstance(decision, calls.Proceed), decision
        entry = self.owner.journal.view.programs_by_id[program]
        turn = builders.build_turn(
            self.owner,
            program,
            spent=entry.spent + SPENT,
        )
        assert self.owner.submit(turn).valid

    def take_over(self) -> builders.Member:
        """End the outage; return a successor that has adopted the records."""
        mirrored = list_adoptable_records(self.owner.journal)
        self.log.is_down = False
        successor = builders.build_owner(self.log, 'hall-b-1')
        adopt_records(successor.journal, mirrored)
        successor.run()
        return successor

    def test_log_outage_keeps_program_started_in_it(self) -> None:
        """Guard against losing a program that is not on the log."""
        self.finish_call()
        successor = self.take_over()
        entry = successor.journal.state.programs_by_id[PROGRAM]
        self.assertEqual(1, entry.sequence)
        self.assertIn(PROGRAM, self.log.replay().programs_by_id)

    def test_budget_counts_what_the_last_owner_may_spend(self) -> None:
        """Guard against spending an adopted allowance a second time."""
        self.finish_call()
        successor = self.take_over()
        entry = successor.journal.state.programs_by_id[PROGRAM]
        self.assertEqual(entry.granted, entry.spent)
        self.assertEqual(entry.granted - SPENT, entry.forfeited)

    def test_late_records_of_the_last_owner_have_no_effect(self) -> None:
        """Guard against counting a turn twice when the old owner returns."""
        self.finish_call()
        successor = self.take_over()
        before = successor.journal.state.programs_by_id[PROGRAM]
        self.owner.run()
        successor.refresh()
        after = successor.journal.state.programs_by_id[PROGRAM]
        self.assertEqual(before, after)
        self.assertFalse(self.owner.journal.is_owner)

    def test_adopting_what_the_log_has_changes_nothing(self) -> None:
        """Guard against a second effect of records that are on the log."""
        self.finish_call()
        mirrored = list_adoptable_records(self.owner.journal)
        self.log.is_down = False
        self.owner.run()
        successor = builders.build_owner(self.log, 'hall-b-1')
        before = successor.journal.state.programs_by_id[PROGRAM]
        adopt_records(successor.journal, mirrored)
        successor.run()
        after = successor.journal.state.programs_by_id[PROGRAM]
        self.assertEqual(before, after)

    def test_intents_are_not_mirrored(self) -> None:
        """Guard against sending a call whose intent only a mirror has."""
        call = build_call(PROGRAM, has_mirror=True, non_idempotent=True)
        self.owner.journal.requests.failing_since = None
        calls.begin_call(self.owner.journal, call, self.owner.now)
        kinds = {
            type(item) for item in list_adoptable_records(self.owner.journal)
        }
        self.assertEqual({ProgramStarted}, kinds - {TurnCompleted})
