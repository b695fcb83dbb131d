"""Tests of the journal: appends, outages and ownership."""

from testtools import TestCase

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.calls import is_log_down
from bronzepost._internal.core.ledger.journal import withdraw_pending
from tests import builders_ledger as builders
from tests.builders_ledger import Delivery


def start_program(
    member: builders.Member, program: str = 'p'
) -> records.ProgramStarted:
    """Submit the start of a program; return its record."""
    record: records.ProgramStarted = builders.build_record(
        member,
        records.ProgramStarted,
        program=program,
        organisation='kostiumy',
        service='pass-assistant',
        budget=100,
        granted=40,
    )
    member.submit(record)
    return record


def build_outcome(
    member: builders.Member, intent: records.Intent
) -> records.Outcome:
    """Return the outcome of the call that an intent announced."""
    outcome: records.Outcome = builders.build_record(
        member,
        records.Outcome,
        program=intent.program,
        sequence=intent.sequence,
        intent_id=intent.record_id,
        status=200,
        body='{}',
        spent=5,
    )
    return outcome


class LostAnswerTest(TestCase):
    """Guard appends that are refused or not answered."""

    def setUp(self) -> None:
        """Start with an owner that has an append in flight."""
        super().setUp()
        self.log = builders.FakeLog()
        self.owner = builders.build_owner(self.log)
        self.record = start_program(self.owner)
        self.owner.tick()

    def check_one_effect(self, copies: int) -> None:
        """Expect one effect of a valid record, ``copies`` times on the log."""
        self.owner.run()
        settled = self.owner.settled_by_id[self.record.record_id]
        self.assertTrue(settled.valid)
        stored = [
            offset
            for offset, body in enumerate(self.log.bodies)
            if body['record_id'] == self.record.record_id
        ]
        self.assertEqual(copies, len(stored))
        self.assertEqual(stored[0], settled.offset)
        self.assertEqual(self.log.replay(), self.owner.journal.state)

    def test_lost_append_answer_is_read_back(self) -> None:
        """Guard against appending a stored record again."""
        self.owner.deliver(Delivery.LOST_ANSWER)
        self.check_one_effect(1)

    def test_lost_append_answer_of_a_lost_append(self) -> None:
        """Guard against a record that never reaches the log."""
        self.owner.deliver(Delivery.LOST_REQUEST)
        self.check_one_effect(1)

    def test_lost_append_answer_then_delayed_copy(self) -> None:
        """Guard against a second effect when the first append comes late."""
        self.owner.deliver(Delivery.DELAYED)
        self.owner.run()
        self.log.store_delayed()
        self.owner.refresh()
        self.check_one_effect(2)

    def test_lost_append_answer_copy_before_the_retry(self) -> None:
        """Guard against a wrong offset when the late copy comes first."""
        self.owner.deliver(Delivery.DELAYED)
        self.owner.deliver()
        self.owner.tick()
        self.log.store_delayed()
        self.owner.deliver()
        self.check_one_effect(2)

    def test_lost_append_answer_record_cannot_be_withdrawn(self) -> None:
        """Guard against withdrawing a record that may still be stored."""
        self.owner.deliver(Delivery.DELAYED)
        self.owner.deliver()
        self.owner.tick()
        self.owner.deliver(Delivery.REFUSED)
        journal = self.owner.journal
        self.assertFalse(withdraw_pending(journal, self.record.record_id))

    def test_order_refused_append_can_be_withdrawn(self) -> None:
        """Guard against a record that reaches the log after its withdrawal."""
        self.owner.deliver(Delivery.REFUSED)
        journal = self.owner.journal
        self.assertTrue(withdraw_pending(journal, self.record.record_id))
        self.owner.run()
        self.assertNotIn('p', self.log.replay().programs_by_id)
        self.assertNotIn('p', journal.view.programs_by_id)

    def test_log_outage_keeps_the_order_of_records(self) -> None:
        """Guard against records that are reordered in an outage."""
        self.log.is_down = True
        self.owner.deliver()
        turns = []
        for spent in (5, 9):
            turns.append(builders.build_turn(self.owner, 'p', spent=spent))
            self.owner.submit(turns[-1])
            self.owner.tick()
            self.owner.deliver()
        self.log.is_down = False
        self.owner.run()
        self.assertTrue(
            all(self.owner.is_settled_valid(turn.record_id) for turn in turns)
        )
        self.assertEqual(2, self.log.replay().programs_by_id['p'].sequence)


class OutageTest(TestCase):
    """Guard the detection of outages and of their end."""

    def setUp(self) -> None:
        """Start with an owner and a pending record."""
        super().setUp()
        self.log = builders.FakeLog()
        self.owner = builders.build_owner(self.log)
        self.record = start_program(self.owner)

    def is_down(self) -> bool:
        """Return whether the owner considers the log to be down."""
        return is_log_down(self.owner.journal, self.owner.now)

    def test_log_outage_ends_without_records_to_append(self) -> None:
        """Guard against refusals that continue after an outage."""
        self.log.is_down = True
        self.owner.tick()
        self.owner.deliver()
        withdraw_pending(self.owner.journal, self.record.record_id)
        self.owner.tick()
        self.owner.deliver()
        self.owner.tick()
        self.assertTrue(self.is_down())
        self.log.is_down = False
        self.owner.run()
        self.assertFalse(self.is_down())

    def test_log_outage_of_appends_alone(self) -> None:
        """Guard against missing an outage in which reads still work."""
        for _ in range(4):
            self.owner.tick()
            self.owner.deliver(Delivery.LOST_REQUEST)
            self.owner.deliver()
        self.owner.tick()
        self.assertTrue(self.is_down())
        self.owner.run()
        self.assertFalse(self.is_down())


class OwnershipTest(TestCase):
    """Guard the change of owners."""

    def setUp(self) -> None:
        """Start with two nodes that have read the same log."""
        super().setUp()
        self.log = builders.FakeLog()
        self.first = builders.build_member(self.log, 'hall-a-1')
        self.second = builders.build_member(self.log, 'hall-b-1')
        self.first.run()
        self.second.run()

    def announce_and_replace(self) -> records.Intent:
        """Let the first node announce a call and the second take over."""
        self.first.claim()
        start_program(self.first)
        intent: records.Intent = builders.build_record(
            self.first,
            records.Intent,
            program='p',
            sequence=1,
            key='k',
            service='pass-registry',
            path='issue',
        )
        self.first.submit(intent)
        self.first.run()
        self.second.claim()
        return intent

    def test_order_competing_claims_have_one_winner(self) -> None:
        """Guard against two owners when two nodes claim at once."""
        for member in (self.first, self.second):
            member.feed(events.OwnershipWanted(at=member.now))
        self.second.deliver()
        self.first.deliver()
        self.first.run()
        self.assertTrue(self.second.journal.is_owner)
        self.assertFalse(self.first.journal.is_owner)

    def test_order_records_behind_a_lost_claim_are_dropped(self) -> None:
        """Guard against records that a node wrote under a claim that lost."""
        self.first.feed(events.OwnershipWanted(at=0))
        record = start_program(self.first)
        self.second.claim()
        self.first.deliver(Delivery.LOST_REQUEST)
        self.first.run()
        self.assertFalse(self.first.settled_by_id[record.record_id].valid)
        self.assertTrue(self.first.journal.is_settled)
        self.assertEqual({}, self.log.replay().programs_by_id)

    def test_frozen_owner_learns_that_it_was_replaced(self) -> None:
        """Guard against accepting a paused owner's turn after a takeover."""
        self.first.claim()
        start_program(self.first)
        self.first.run()
        turn = builders.build_turn(self.first, 'p', spent=5)
        self.first.submit(turn)
        self.second.claim()
        self.first.run()
        self.assertFalse(self.first.settled_by_id[turn.record_id].valid)
        self.assertIsInstance(self.first.notices[-1], events.OwnershipLost)
        self.assertTrue(self.second.journal.is_owner)
        self.assertEqual(0, self.log.replay().programs_by_id['p'].sequence)

    def test_frozen_owner_outcome_is_accepted(self) -> None:
        """Guard against the loss of the outcome of a call that ran."""
        intent = self.announce_and_replace()
        outcome = build_outcome(self.first, intent)
        self.first.submit(outcome)
        self.first.run()
        self.assertTrue(self.first.is_settled_valid(outcome.record_id))
        self.second.refresh()
        state = self.second.journal.state
        self.assertIn(('p', 1), state.outcomes_by_call)

    def test_frozen_owner_keeps_the_outcome_when_it_drops_the_rest(
        self,
    ) -> None:
        """Guard against an outcome that is dropped with the ownership."""
        intent = self.announce_and_replace()
        outcome = build_outcome(self.first, intent)
        other = start_program(self.first, 'q')
        self.first.submit(outcome)
        self.first.refresh()
        self.assertTrue(self.first.is_settled_valid(outcome.record_id))
        self.assertFalse(self.first.settled_by_id[other.record_id].valid)

    def test_frozen_owner_outcome_reaches_a_busy_successor(self) -> None:
        """Guard against a view without an outcome that another node wrote.

        A busy owner always has unsettled records, so its view is not replaced
        by the state.
        """
        intent = self.announce_and_replace()
        outcome = build_outcome(self.first, intent)
        self.first.submit(outcome)
        self.first.run()
        start_program(self.second, 'q')
        self.second.tick()
        start_program(self.second, 'r')
        self.second.deliver()
        self.second.deliver()
        self.assertFalse(self.second.journal.is_settled)
        view = self.second.journal.view
        self.assertIn(('p', 1), view.outcomes_by_call)
        self.assertIn('r', view.programs_by_id)

    def test_frozen_owner_delayed_append_after_takeover(self) -> None:
        """Guard against an old append that is stored after the takeover."""
        self.first.claim()
        record = start_program(self.first)
        self.first.tick()
        self.first.deliver(Delivery.DELAYED)
        self.second.claim()
        self.log.store_delayed()
        self.second.refresh()
        self.first.run()
        self.assertFalse(self.first.settled_by_id[record.record_id].valid)
        self.assertEqual({}, self.second.journal.state.programs_by_id)
