"""Tests of the rules that decide which records take effect."""

from typing import Any

from testtools import TestCase

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.state import PartitionState
from tests import builders_records


class RuleTestCase(TestCase):
    """Start with one program in a partition that the first writer owns."""

    def setUp(self) -> None:
        """Apply the first writer's claim and the program's start."""
        super().setUp()
        self.state = PartitionState()
        self.first = builders_records.Writer('hall-a-1')
        self.second = builders_records.Writer('hall-b-1', epoch=2)
        self.apply(self.first.build_claim(), self.first.build_start())

    def apply(self, *stream: records.Record) -> list[bool]:
        """Apply records and check budgets; return which took effect."""
        verdicts = builders_records.apply_all(self.state, *stream)
        self.assertEqual(
            [], builders_records.find_budget_violations(self.state)
        )
        return [verdict.valid for verdict in verdicts]

    def get_entry(self, program: str = 'p') -> Any:
        """Return a program's entry."""
        return self.state.programs_by_id[program]


class ClaimRuleTest(RuleTestCase):
    """Guard that the log order determines a single owner."""

    def test_order_first_of_competing_claims_wins(self) -> None:
        """Guard against two owners after two claims of the same epoch."""
        rival = builders_records.Writer('hall-c-1', epoch=2)
        valid = self.apply(self.second.build_claim(), rival.build_claim())
        self.assertEqual([True, False], valid)
        self.assertEqual('hall-b-1', self.state.owner)

    def test_order_claim_cannot_skip_an_epoch(self) -> None:
        """Guard against a claim that is not based on the current epoch."""
        skipping = builders_records.Writer('hall-c-1', epoch=3)
        self.assertEqual([False], self.apply(skipping.build_claim()))

    def test_order_stale_epoch_has_no_effect(self) -> None:
        """Guard against turns of an owner that was replaced."""
        self.apply(self.second.build_claim())
        self.assertEqual([False], self.apply(self.first.build_turn()))
        self.assertEqual(0, self.get_entry().sequence)

    def test_order_released_partition_accepts_no_records(self) -> None:
        """Guard against an owner that writes after its release."""
        released = self.first.build(records.PartitionReleased)
        valid = self.apply(released, self.first.build_turn(), released)
        self.assertEqual([True, False, False], valid)

    def test_order_loser_of_claims_cannot_write_in_the_epoch(self) -> None:
        """Guard against records of a node whose claim of the epoch lost.

        Both nodes claimed the same epoch, so the epoch alone does not identify
        the owner.
        """
        rival = builders_records.Writer('hall-c-1', epoch=2)
        stream = (
            self.second.build_claim(),
            rival.build_claim(),
            rival.build_intent(),
        )
        self.assertEqual([True, False, False], self.apply(*stream))

    def test_frozen_owner_old_records_after_it_owns_again(self) -> None:
        """Guard against a delayed record from an earlier epoch of the owner."""
        late = self.first.build_intent()
        self.apply(self.second.build_claim())
        self.first.epoch = 3
        valid = self.apply(
            self.first.build_claim(), late, self.first.build_intent()
        )
        self.assertEqual([True, False, True], valid)

    def test_order_other_boot_of_owner_cannot_write(self) -> None:
        """Guard against records of another process with the same node name."""
        other = builders_records.Writer('hall-b-1', boot='other', epoch=2)
        stream = (
            self.second.build_claim(),
            other.build_claim(),
            other.build_intent(),
        )
        self.assertEqual([True, False, False], self.apply(*stream))


class CallRuleTest(RuleTestCase):
    """Guard the order of calls and the rules for intents."""

    def test_order_turns_are_a_chain(self) -> None:
        """Guard against gaps and repetitions in the history."""
        turn = self.first.build_turn(digest='one')
        valid = self.apply(turn, turn, self.first.build_turn(sequence=3))
        self.assertEqual([True, False, False], valid)
        self.assertEqual((2,), self.get_entry().history_offsets)
        self.assertEqual('one', self.get_entry().digest)

    def test_order_open_intent_blocks_the_next_call(self) -> None:
        """Guard against a call that overtakes one with unknown outcome."""
        later = (self.first.build_turn(), self.first.build_intent())
        self.apply(self.first.build_intent(), self.second.build_claim())
        self.second.record_count = 9
        self.assertEqual([False, False], self.apply(*later))
        again = (self.second.build_turn(spent=40), self.second.build_intent())
        self.assertEqual([False, False], self.apply(*again))

    def test_frozen_owner_outcome_is_accepted_from_an_old_epoch(self) -> None:
        """Guard against losing the outcome of a call that ran."""
        intent = self.first.build_intent()
        outcome = self.first.build_for_intent(records.Outcome, intent, spent=7)
        valid = self.apply(intent, self.second.build_claim(), outcome, outcome)
        self.assertEqual([True, True, True, False], valid)
        self.assertEqual(
            (1, 40), (self.get_entry().sequence, self.get_entry().spent)
        )

    def test_frozen_owner_outcome_after_abandonment(self) -> None:
        """Guard against a late outcome that resets the program's sequence."""
        intent = self.first.build_intent()
        abandoned = self.second.build_for_intent(
            records.CallAbandoned, intent, spent=40
        )
        outcome = self.first.build_for_intent(records.Outcome, intent)
        turn = self.second.build_turn(sequence=2, spent=40)
        self.apply(intent, self.second.build_claim())
        valid = self.apply(abandoned, turn, outcome)
        self.assertEqual([True, True, True], valid)
        self.assertEqual(2, self.get_entry().sequence)
        self.assertIn(('p', 1), self.state.outcomes_by_call)

    def test_order_withdrawal_is_final_and_frees_the_key(self) -> None:
        """Guard against a withdrawn intent that takes effect again."""
        intent = self.first.build_intent()
        withdrawn = self.first.build_for_intent(records.IntentWithdrawn, intent)
        outcome = self.first.build_for_intent(records.Outcome, intent)
        again = self.first.build_intent()
        valid = self.apply(intent, withdrawn, intent, outcome, again)
        self.assertEqual([True, True, False, False, True], valid)

    def test_frozen_owner_intent_cannot_be_withdrawn_by_the_successor(
        self,
    ) -> None:
        """Guard against `not_run` for a call that another owner sent."""
        intent = self.first.build_intent()
        withdrawn = self.second.build_for_intent(
            records.IntentWithdrawn, intent
        )
        valid = self.apply(intent, self.second.build_claim(), withdrawn)
        self.assertEqual([True, True, False], valid)

    def test_order_outcome_names_the_call_of_its_intent(self) -> None:
        """Guard against an answer that is stored for another program."""
        intent = self.first.build_intent()
        other = self.first.build_for_intent(
            records.Outcome, intent, program='q'
        )
        later = self.first.build_for_intent(records.Outcome, intent, sequence=2)
        self.apply(self.first.build_start('q', budget=9, granted=1), intent)
        self.assertEqual([False, False], self.apply(other, later))

    def test_order_late_outcome_names_the_call_of_its_intent(self) -> None:
        """Guard against a late answer that is stored for another program."""
        intent = self.first.build_intent()
        self.apply(
            self.first.build_start('q', budget=9, granted=1),
            intent,
            self.first.build_for_intent(records.CallAbandoned, intent),
        )
        other = self.first.build_for_intent(
            records.Outcome, intent, program='q'
        )
        later = self.first.build_for_intent(records.Outcome, intent, sequence=2)
        self.assertEqual([False, False], self.apply(other, later))

    def test_order_key_is_found_after_a_withdrawn_use(self) -> None:
        """Guard against a second run of a call whose key was reused."""
        first = self.first.build_intent()
        again = self.first.build_intent(sequence=2)
        self.apply(
            first,
            self.first.build_for_intent(records.IntentWithdrawn, first),
            self.first.build_turn(),
            again,
            self.first.build_for_intent(records.Outcome, again),
            self.first.build_turn(sequence=3),
        )
        self.assertEqual(2, self.state.find_call_by_key('p', 'k'))

    def test_order_key_before_an_abandoned_call(self) -> None:
        """Guard against returning another call's answer for a key."""
        intent = self.first.build_intent(sequence=2, key='second')
        self.apply(
            self.first.build_turn(key='first'),
            intent,
            self.first.build_for_intent(records.CallAbandoned, intent),
        )
        self.assertIsNone(self.state.find_call_by_key('p', 'first'))
        self.assertEqual(2, self.state.find_call_by_key('p', 'second'))


class BudgetRuleTest(RuleTestCase):
    """Guard the budget of a whole program tree."""

    def test_budget_claim_forfeits_the_allowance(self) -> None:
        """Guard against two owners spending the same units."""
        self.apply(self.first.build_turn(spent=10), self.second.build_claim())
        entry = self.get_entry()
        self.assertEqual(
            (40, 40, 30), (entry.spent, entry.granted, entry.forfeited)
        )

    def test_budget_spending_stays_within_the_allowance(self) -> None:
        """Guard against a turn that spends what was not granted."""
        over = self.first.build_turn(spent=41)
        back = self.first.build_turn(sequence=2, spent=9)
        valid = self.apply(over, self.first.build_turn(spent=10), back)
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
            self.first.build_start('p.a', budget=50, granted=20),
            self.first.build_start('p.a.x', budget=30, granted=30),
            self.first.build_start('p.b', budget=11, granted=1),
            self.first.build_start('p.a.y', budget=1, granted=1),
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
            self.first.build_start('p.a', budget=50, granted=20),
            self.first.build_start('p.a.x', budget=30, granted=5),
        )
        self.assertEqual([True, False], self.apply(ended, ended))
        entry = self.get_entry()
        self.assertEqual(
            (25, 65, 0), (entry.spent, entry.granted, entry.carved)
        )

    def test_budget_copy_of_a_release_has_no_effect(self) -> None:
        """Guard against a delayed release of units that are in use."""
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
            self.first.build_start('p.a', budget=20, granted=10),
            self.first.build_turn('p.a', spent=4),
            self.first.build_turn(spent=3),
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
