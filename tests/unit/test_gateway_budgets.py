"""Budgets: no order of grants, losses and handovers overspends one."""

from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import IsInstance

from bronzepost._internal.core.gateway import budgets
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.accounts import Accounts
from bronzepost._internal.gateway.allowance_writer import (
    TOPIC,
    AllowanceWriter,
)
from tests.builders_gateway import BUDGET, MemoryStore, make_account

TOKENS = 100
WAIT_SECONDS = 5.0
PROGRAM = 'p-1'


def reserve(account: ProgramAccount, request_id: str) -> Any:
    return budgets.reserve_tokens(
        account, holder='x', reservation_id=request_id, tokens=TOKENS
    )


class TestRules(testtools.TestCase):
    """The decisions on one account."""

    def test_repeated_request_reserves_once(self) -> None:
        account = make_account(granted_by_holder={'x': TOKENS})
        account = reserve(account, 'q-1').account
        account = reserve(account, 'q-1').account
        self.assertEqual(0, account.count_available('x'))

    def test_lost_holder_counts_as_spent(self) -> None:
        """What a VM that died had not used must not be granted again."""
        account = make_account(granted_by_holder={'dead': BUDGET})
        self.assertThat(
            reserve(account, 'q-1'), IsInstance(budgets.BudgetSpent)
        )

    def test_unused_part_is_returned(self) -> None:
        account = make_account(granted_by_holder={'x': TOKENS})
        account = reserve(account, 'q-1').account
        account = budgets.settle_tokens(
            account, reservation_id='q-1', tokens=30
        )
        self.assertEqual(70, account.count_available('x'))

    def test_second_settlement_changes_nothing(self) -> None:
        account = make_account(granted_by_holder={'x': TOKENS})
        account = reserve(account, 'q-1').account
        account = budgets.settle_tokens(
            account, reservation_id='q-1', tokens=30
        )
        again = budgets.settle_tokens(account, reservation_id='q-1', tokens=30)
        self.assertEqual(account, again)

    def test_account_at_rest_counts_what_is_spent(self) -> None:
        """A loss of the VM cost a program what it had not used."""
        account = make_account(
            granted_by_holder={'x': 400},
            reserved_by_id={'q-1': 50},
            spent=100,
            most=BUDGET,
        )
        account = budgets.return_unused(account, holder='x')
        self.assertEqual(
            (150, 0), (account.granted, account.count_available('x'))
        )
        self.assertEqual(100, account.count_spent('y') - account.spent)

    def test_large_budget_keeps_an_allowance_at_rest(self) -> None:
        """In an outage a program had nothing of its budget at hand."""
        account = make_account(
            granted_by_holder={'x': 700}, spent=100, most=TOKENS
        )
        account = budgets.return_unused(account, holder='x')
        self.assertEqual(250, account.count_available('x'))

    def test_no_more_than_half_a_budget_is_kept(self) -> None:
        """Each loss of a VM cost a program a quarter of its budget."""
        account = make_account(
            granted_by_holder={'dead': 250, 'x': 400}, spent=150, most=TOKENS
        )
        account = budgets.return_unused(account, holder='x')
        self.assertEqual(BUDGET // 2, account.granted)
        self.assertEqual(100, account.count_available('x'))
        account = make_account(
            granted_by_holder={'dead': 500, 'x': 400}, spent=150, most=TOKENS
        )
        account = budgets.return_unused(account, holder='x')
        self.assertEqual(0, account.count_available('x'))

    def test_returned_part_is_no_provisional_one(self) -> None:
        """A copy was refused for what the program had given back."""
        account = budgets.merge_claim(
            make_account(), holder='x', tokens=1300, stored=1200, returned=600
        )
        self.assertEqual(100, account.provisional)
        self.assertIs(
            True, budgets.is_within_limits(account, max_provisional=TOKENS)
        )

    def test_handed_over_tokens_are_spent_once(self) -> None:
        """They counted for the former home and for the new one."""
        handed = make_account(
            granted_by_holder={'y': 300}, spent_by_holder={'y': 60}, spent=100
        )
        adopted = budgets.adopt_account(None, handed, former_holder='y')
        self.assertEqual(100, adopted.count_spent('x'))

    def test_budget_with_turns_under_way_is_not_spent(self) -> None:
        """402 is final, and a turn may use less than it reserved."""
        account = make_account(
            granted_by_holder={'x': BUDGET}, reserved_by_id={'q-0': BUDGET}
        )
        decision = reserve(account, 'q-1')
        self.assertEqual(budgets.BudgetSpent(is_final=False), decision)
        account = budgets.settle_tokens(
            account, reservation_id='q-0', tokens=BUDGET
        )
        decision = reserve(account, 'q-1')
        self.assertEqual(budgets.BudgetSpent(is_final=True), decision)

    def test_small_budget_gets_one_turn_without_the_store(self) -> None:
        """A program with a small budget could run nothing in an outage."""
        bound = budgets.find_provisional_limit(
            make_account(budget=150), turn_tokens=TOKENS
        )
        self.assertEqual(TOKENS, bound)

    def test_assumed_loss_covers_what_was_granted(self) -> None:
        """A loss of all VMs in an outage forgot what was granted in it."""
        for budget in (120, 250, BUDGET):
            account = make_account(budget=budget)
            bound = budgets.find_provisional_limit(account, turn_tokens=TOKENS)
            known = budgets.assume_lost_grants(
                account, is_after_loss=True, turn_tokens=TOKENS
            )
            left = budget - known.granted
            self.assertTrue(bound + left <= budget + TOKENS)

    def test_former_home_knows_that_nothing_was_lost(self) -> None:
        """A new home kept its assumption after it had got the account."""
        assumed = budgets.assume_lost_grants(
            make_account(), is_after_loss=True, turn_tokens=TOKENS
        )
        handed = budgets.assume_lost_grants(
            make_account(), is_after_loss=False, turn_tokens=TOKENS
        )
        adopted = budgets.adopt_account(assumed, handed, former_holder='x')
        self.assertEqual(0, adopted.granted)

    def test_stored_allowance_is_no_longer_provisional(self) -> None:
        account = make_account(claimed_by_holder={'x': 200})
        stored = make_account(granted_by_holder={'x': 200})
        merged = budgets.merge_stored(account, stored)
        self.assertEqual(200, merged.granted)

    def test_adopted_allowance_can_be_spent_once(self) -> None:
        handed = make_account(granted_by_holder={'y': 300}, spent=100)
        adopted = budgets.adopt_account(None, handed, former_holder='y')
        self.assertEqual(200, adopted.count_available('x'))


class TestWriter(testtools.TestCase):
    """Allowances of several VMs in one partition of the store."""

    def setUp(self) -> None:
        """Start with an empty store."""
        super().setUp()
        self.store = MemoryStore()

    def make_vm(self, boot: str) -> tuple[Accounts, AllowanceWriter]:
        accounts = Accounts(boot=boot)
        writer = AllowanceWriter(
            store=self.store, partition=0, accounts=accounts
        )
        return accounts, writer

    def grant(self, vm: tuple[Accounts, AllowanceWriter], tokens: int) -> int:
        accounts, writer = vm
        accounts.put(accounts.get_or_create(PROGRAM, BUDGET))
        writer.grant(PROGRAM, tokens, WAIT_SECONDS)
        account = accounts.by_program[PROGRAM]
        return account.count_available(accounts.holder)

    def test_two_homes_share_one_budget(self) -> None:
        """Both take themselves for the home of the program."""
        first, second = self.make_vm('x'), self.make_vm('y')
        granted = [
            self.grant(first, 700),
            self.grant(second, 700),
            self.grant(first, 700),
        ]
        self.assertEqual([700, 300, 700], granted)

    def test_lost_answer_does_not_lose_the_allowance(self) -> None:
        """The append took effect, but its answer was lost."""
        vm = self.make_vm('x')
        self.store.loses_answers = True
        self.grant(vm, 400)
        self.store.loses_answers = False
        stored = self.make_vm('y')
        self.assertIs(True, self.grant(stored, BUDGET) <= 600)

    def test_refused_append_grants_nothing(self) -> None:
        vm = self.make_vm('x')
        self.store.is_down = True
        self.assertEqual(0, self.grant(vm, 400))

    def test_home_that_handed_over_reads_again(self) -> None:
        """It granted from an empty account and overwrote the store's."""
        accounts, writer = self.make_vm('x')
        self.grant((accounts, writer), 800)
        accounts.remove_held_accounts()
        writer.invalidate_end_offset()
        self.assertEqual(200, self.grant((accounts, writer), 800))

    def test_handed_over_account_is_not_spent_twice(self) -> None:
        first, second = self.make_vm('x'), self.make_vm('y')
        self.grant(first, 600)
        former_holder = first[0].holder
        second[0].adopt(
            first[0].remove_held_accounts(), former_holder=former_holder
        )
        first[1].invalidate_end_offset()
        self.assertEqual(400, self.grant(first, BUDGET))
        self.assertEqual(600, self.grant(second, BUDGET))

    def test_untouched_program_is_removed(self) -> None:
        vm = self.make_vm('x')
        self.grant(vm, 400)
        vm[1].drop_untouched(vm[0].by_program[PROGRAM].touched_at + 1)
        vm[1].grant('other', 0, WAIT_SECONDS)
        self.assertEqual(set(), self.store.list_keys(TOPIC))

    @settings(max_examples=60, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(('grant', 'lose', 'restart', 'hand over')),
                st.sampled_from((0, 1, 2)),
                st.integers(min_value=1, max_value=700),
            ),
            max_size=14,
        )
    )
    def test_allowances_stay_within_the_budget(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        """VMs grant, lose answers, restart and hand over in any order."""
        self.store = MemoryStore()
        vms = [self.make_vm(f'vm{number}') for number in range(3)]
        boots = 3
        for step, number, tokens in steps:
            accounts, writer = vms[number]
            if step == 'restart':
                vms[number] = self.make_vm(f'vm{boots}')
                boots += 1
            elif step == 'hand over':
                former_holder = accounts.holder
                given_up = accounts.remove_held_accounts()
                writer.invalidate_end_offset()
                heir = vms[(number + 1) % 3][0]
                heir.adopt(given_up, former_holder=former_holder)
            else:
                self.store.loses_answers = step == 'lose'
                self.grant((accounts, writer), tokens)
                self.store.loses_answers = False
        available = sum(
            account.count_available(accounts.holder)
            for accounts, _ in vms
            for account in accounts.by_program.values()
        )
        self.assertIs(True, available <= BUDGET)
