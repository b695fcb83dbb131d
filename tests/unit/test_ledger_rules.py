"""Tests of the rules by which records take effect in log order."""

from typing import Any

from testtools import TestCase

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.state import PartitionState
from tests import builders_records


class RuleTestCase(TestCase):
    """Start with a partition that one writer owns and one program."""

    def setUp(self) -> None:
        """Apply the first writer's claim and the program's start."""
        super().setUp()
        self.state = PartitionState()
        self.first = builders_records.Writer('hall-a-1')
        self.second = builders_records.Writer('hall-b-1', epoch=2)
        self.apply(self.first.claim(), self.first.started())

    def apply(self, *stream: records.Record) -> list[bool]:
        """Apply records; return which had an effect, and check budgets."""
        verdicts = builders_records.apply_all(self.state, *stream)
        self.assertEqual([], builders_records.find_broken_budget(self.state))
        return [verdict.valid for verdict in verdicts]

    def entry(self, program: str = 'p') -> Any:
        """Return a program's entry."""
        return self.state.programs_by_id[program]


class ClaimRuleTest(RuleTestCase):
    """Guard the choice of one owner by log order."""

    def test_order_first_of_competing_claims_wins(self) -> None:
        """Guard against two owners after two claims of one epoch."""
        rival = builders_records.Writer('hall-c-1', epoch=2)
        valid = self.apply(self.second.claim(), rival.claim())
        self.assertEqual([True, False], valid)
        self.assertEqual('hall-b-1', self.state.owner)

    def test_order_claim_cannot_skip_an_epoch(self) -> None:
        """Guard against a claim that was based on another history."""
        skipping = builders_records.Writer('hall-c-1', epoch=3)
        self.assertEqual([False], self.apply(skipping.claim()))

    def test_order_stale_epoch_has_no_effect(self) -> None:
        """Guard against turns of an owner that was replaced."""
        self.apply(self.second.claim())
        self.assertEqual([False], self.apply(self.first.turn()))
        self.assertEqual(0, self.entry().sequence)

    def test_order_released_partition_takes_no_records(self) -> None:
        """Guard against an owner that goes on after it has handed over."""
        released = self.first.build(records.PartitionReleased)
        valid = self.apply(released, self.first.turn(), released)
        self.assertEqual([True, False, False], valid)

    def test_order_loser_of_claims_cannot_write_in_the_epoch(self) -> None:
        """Guard against records of a node whose claim of the epoch lost.

        Both nodes numbered their claims alike, so the epoch alone does not
        tell the owner's records from those of the other node.
        """
        rival = builders_records.Writer('hall-c-1', epoch=2)
        stream = (self.second.claim(), rival.claim(), rival.intent())
        self.assertEqual([True, False, False], self.apply(*stream))

    def test_frozen_owner_old_records_after_it_owns_again(self) -> None:
        """Guard against a delayed record of an epoch that the writer lost."""
        late = self.first.intent()
        self.apply(self.second.claim())
        self.first.epoch = 3
        valid = self.apply(self.first.claim(), late, self.first.intent())
        self.assertEqual([True, False, True], valid)

    def test_order_other_boot_of_owner_cannot_write(self) -> None:
        """Guard against a frozen process whose node name was used again."""
        other = builders_records.Writer('hall-b-1', boot='other', epoch=2)
        stream = (self.second.claim(), other.claim(), other.intent())
        self.assertEqual([True, False, False], self.apply(*stream))


class CallRuleTest(RuleTestCase):
    """Guard the order of calls and what an intent means."""

    def test_order_turns_are_a_chain(self) -> None:
        """Guard against a gap, a repetition or a copy in the history."""
        turn = self.first.turn(digest='one')
        valid = self.apply(turn, turn, self.first.turn(sequence=3))
        self.assertEqual([True, False, False], valid)
        self.assertEqual((2,), self.entry().history_offsets)
        self.assertEqual('one', self.entry().digest)

    def test_order_open_intent_holds_the_next_call(self) -> None:
        """Guard against a call that overtakes one with unknown outcome."""
        later = (self.first.turn(), self.first.intent())
        self.apply(self.first.intent(), self.second.claim())
        self.second.count = 9
        self.assertEqual([False, False], self.apply(*later))
        again = (self.second.turn(spent=40), self.second.intent())
        self.assertEqual([False, False], self.apply(*again))

    def test_frozen_owner_outcome_is_accepted_from_an_old_epoch(self) -> None:
        """Guard against the loss of a fact about a call that ran."""
        intent = self.first.intent()
        outcome = self.first.about(records.Outcome, intent, spent=7)
        valid = self.apply(intent, self.second.claim(), outcome, outcome)
        self.assertEqual([True, True, True, False], valid)
        self.assertEqual((1, 40), (self.entry().sequence, self.entry().spent))

    def test_frozen_owner_outcome_after_abandonment(self) -> None:
        """Guard against a late outcome that moves the program back."""
        intent = self.first.intent()
        abandoned = self.second.about(records.CallAbandoned, intent, spent=40)
        outcome = self.first.about(records.Outcome, intent)
        turn = self.second.turn(sequence=2, spent=40)
        self.apply(intent, self.second.claim())
        valid = self.apply(abandoned, turn, outcome)
        self.assertEqual([True, True, True], valid)
        self.assertEqual(2, self.entry().sequence)
        self.assertIn(('p', 1), self.state.outcomes_by_call)

    def test_order_withdrawal_is_final_and_frees_the_key(self) -> None:
        """Guard against a withdrawn call that comes back."""
        intent = self.first.intent()
        withdrawn = self.first.about(records.IntentWithdrawn, intent)
        outcome = self.first.about(records.Outcome, intent)
        again = self.first.intent()
        valid = self.apply(intent, withdrawn, intent, outcome, again)
        self.assertEqual([True, True, False, False, True], valid)

    def test_frozen_owner_intent_cannot_be_withdrawn_by_others(self) -> None:
        """Guard against `not_run` for a call that another owner sent."""
        intent = self.first.intent()
        withdrawn = self.second.about(records.IntentWithdrawn, intent)
        valid = self.apply(intent, self.second.claim(), withdrawn)
        self.assertEqual([True, True, False], valid)

    def test_order_outcome_names_the_call_of_its_intent(self) -> None:
        """Guard against an answer that is stored for another program."""
        intent = self.first.intent()
        other = self.first.about(records.Outcome, intent, program='q')
        later = self.first.about(records.Outcome, intent, sequence=2)
        self.apply(self.first.started('q', budget=9, granted=1), intent)
        self.assertEqual([False, False], self.apply(other, later))

    def test_order_late_outcome_names_the_call_of_its_intent(self) -> None:
        """Guard against a late answer that is stored for another program."""
        intent = self.first.intent()
        self.apply(
            self.first.started('q', budget=9, granted=1),
            intent,
            self.first.about(records.CallAbandoned, intent),
        )
        other = self.first.about(records.Outcome, intent, program='q')
        later = self.first.about(records.Outcome, intent, sequence=2)
        self.assertEqual([False, False], self.apply(other, later))

    def test_order_key_is_found_after_a_withdrawn_use(self) -> None:
        """Guard against a second run of a call whose key was used twice."""
        first = self.first.intent()
        again = self.first.intent(sequence=2)
        self.apply(
            first,
            self.first.about(records.IntentWithdrawn, first),
            self.first.turn(),
            again,
            self.first.about(records.Outcome, again),
            self.first.turn(sequence=3),
        )
        self.assertEqual(2, self.state.find_call_by_key('p', 'k'))

    def test_order_key_before_an_abandoned_call(self) -> None:
        """Guard against the answer of another call for a repeated key."""
        intent = self.first.intent(sequence=2, key='second')
        self.apply(
            self.first.turn(key='first'),
            intent,
            self.first.about(records.CallAbandoned, intent),
        )
        self.assertIsNone(self.state.find_call_by_key('p', 'first'))
        self.assertEqual(2, self.state.find_call_by_key('p', 'second'))


class BudgetRuleTest(RuleTestCase):
    """Guard the budget of a whole program tree."""

    def test_budget_claim_forfeits_the_allowance(self) -> None:
        """Guard against two owners that spend the same units."""
        self.apply(self.first.turn(spent=10), self.second.claim())
        entry = self.entry()
        self.assertEqual(
            (40, 40, 30), (entry.spent, entry.granted, entry.forfeited)
        )

    def test_budget_spending_stays_within_the_allowance(self) -> None:
        """Guard against a turn that spends what was not granted."""
        over = self.first.turn(spent=41)
        back = self.first.turn(sequence=2, spent=9)
        valid = self.apply(over, self.first.turn(spent=10), back)
        self.assertEqual([False, True, False], valid)

    def test_budget_grants_stay_within_the_budget(self) -> None:
        """Guard against a grant above the budget or a repeated one."""
        grants = [
            self.first.build(
                records.AllowanceGranted, program='p', granted=granted
            )
            for granted in (101, 40, 100, 100)
        ]
        self.assertEqual([False, False, True, False], self.apply(*grants))

    def test_budget_sub_agents_share_their_parents_budget(self) -> None:
        """Guard against a tree that spends more than its root has."""
        valid = self.apply(
            self.first.started('p.a', budget=50, granted=20),
            self.first.started('p.a.x', budget=30, granted=30),
            self.first.started('p.b', budget=11, granted=1),
            self.first.started('p.a.y', budget=1, granted=1),
        )
        self.assertEqual([True, True, False, False], valid)
        grant = self.first.build(
            records.AllowanceGranted, program='p', granted=51
        )
        self.assertEqual([False], self.apply(grant))

    def test_budget_ended_sub_agents_return_the_rest(self) -> None:
        """Guard against units that are lost or doubled when a tree ends."""
        ended = self.first.build(
            records.ProgramEnded, program='p.a', reason='done'
        )
        self.apply(
            self.first.started('p.a', budget=50, granted=20),
            self.first.started('p.a.x', budget=30, granted=5),
        )
        self.assertEqual([True, False], self.apply(ended, ended))
        entry = self.entry()
        self.assertEqual(
            (25, 65, 0), (entry.spent, entry.granted, entry.carved)
        )

    def test_budget_copy_of_a_release_has_no_effect(self) -> None:
        """Guard against a delayed release that frees units in use."""
        release = self.first.build(
            records.AllowanceReleased, program='p', granted=10
        )
        grant = self.first.build(
            records.AllowanceGranted, program='p', granted=90
        )
        valid = self.apply(release, grant, release)
        self.assertEqual([True, True, False], valid)

    def test_budget_second_copies_change_nothing(self) -> None:
        """Guard against records that count twice when they are stored twice."""
        stream = (
            self.first.started('p.a', budget=20, granted=10),
            self.first.turn('p.a', spent=4),
            self.first.turn(spent=3),
            self.first.build(records.AllowanceGranted, program='p', granted=60),
            self.first.build(
                records.ProgramEnded, program='p.a', reason='done'
            ),
        )
        self.apply(*stream)
        epoch = self.state.epoch
        programs = dict(self.state.programs_by_id)
        self.assertNotIn(True, self.apply(*stream))
        self.assertEqual(programs, self.state.programs_by_id)
        self.assertEqual(epoch, self.state.epoch)
