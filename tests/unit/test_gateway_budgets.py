"""Budgets hold for any order of grants, losses and hand-overs.

Where a test's doc comment is in the past tense, it is the failure that the test
guards against.
"""

from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import IsInstance

from bronzepost._internal.core.gateway import budgets
from bronzepost._internal.core.gateway.lost_tokens import LOST_GRANTS_HOLDER
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.gateway.programs.allowance_writer import (
    TOPIC,
    AllowanceWriter,
)
from tests.builders_gateway import (
    BUDGET,
    MemoryStore,
    make_account,
    make_reservation,
    make_writer,
)

TOKENS = 100
TIMEOUT_SECONDS = 5.0
PROGRAM = 'p-1'


def reserve(account: ProgramAccount, reservation_id: str) -> Any:
    return budgets.reserve_tokens(
        account, holder='x', reservation_id=reservation_id, tokens=TOKENS
    )


class TestRules(testtools.TestCase):
    """Decisions on one account."""

    def test_repeated_request_reserves_once(self) -> None:
        account = make_account(granted_by_holder={'x': TOKENS})
        account = reserve(account, 'q-1').account
        account = reserve(account, 'q-1').account
        self.assertEqual(0, account.count_available('x'))

    def test_allowance_of_lost_holder_counts_as_spent(self) -> None:
        """Unused tokens of a lost VM must not be granted again."""
        account = make_account(granted_by_holder={'dead': BUDGET})
        self.assertThat(
            reserve(account, 'q-1'), IsInstance(budgets.BudgetSpent)
        )

    def test_settlement_frees_unused_tokens(self) -> None:
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

    def test_idle_account_counts_only_spent_tokens(self) -> None:
        """The loss of a VM cost an idle program its unused tokens."""
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

    def test_large_budget_keeps_an_allowance_while_idle(self) -> None:
        """A program had no allowance when an outage began."""
        account = make_account(
            granted_by_holder={'x': 700}, spent=100, most=TOKENS
        )
        account = budgets.return_unused(account, holder='x')
        self.assertEqual(250, account.count_available('x'))

    def test_idle_program_keeps_at_most_half_its_budget(self) -> None:
        """Each loss of a VM cost a program another quarter of its budget."""
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

    def test_returned_tokens_are_not_provisional(self) -> None:
        """A copy was refused because of tokens that were returned."""
        account = budgets.merge_claim(
            make_account(), holder='x', tokens=1300, stored=1200, returned=600
        )
        self.assertEqual(100, account.provisional)
        self.assertIs(
            True, budgets.is_within_limits(account, max_provisional=TOKENS)
        )

    def test_returned_tokens_of_a_replaced_holder_are_free_again(self) -> None:
        """A home that returned only what it took over from another lost it."""
        account = make_account(
            granted_by_holder={'former': BUDGET},
            adopted=frozenset(('former',)),
            most=BUDGET,
        )
        account = budgets.return_unused(account, holder='x')
        self.assertEqual(
            (0, 0), (account.granted, account.count_available('x'))
        )

    def test_spent_tokens_count_once_after_hand_over(self) -> None:
        """They were counted for the former home and for the new one."""
        received = make_account(
            granted_by_holder={'y': 300}, spent_by_holder={'y': 60}, spent=100
        )
        adopted = budgets.adopt_account(None, received, former_holder='y')
        self.assertEqual(100, adopted.count_spent('x'))

    def test_budget_with_running_turns_is_not_spent(self) -> None:
        """A 402 is final, but a running turn may use less than it reserved."""
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
        """A program with a small budget could run no turn in an outage."""
        limit = budgets.find_provisional_limit(
            make_account(budget=150), turn_tokens=TOKENS
        )
        self.assertEqual(TOKENS, limit)

    def test_assumed_loss_covers_provisional_grants(self) -> None:
        """A loss of all VMs in an outage erased the grants of that outage."""
        for budget in (120, 250, BUDGET):
            account = make_account(budget=budget)
            limit = budgets.find_provisional_limit(account, turn_tokens=TOKENS)
            assumed = budgets.assume_lost_grants(
                account, is_after_loss=True, turn_tokens=TOKENS
            )
            remaining = budget - assumed.granted
            self.assertTrue(limit + remaining <= budget + TOKENS)

    def test_hand_over_corrects_an_assumed_loss(self) -> None:
        """A new home still assumed a loss after it had received the account."""
        assumed = budgets.assume_lost_grants(
            make_account(), is_after_loss=True, turn_tokens=TOKENS
        )
        received = budgets.assume_lost_grants(
            make_account(), is_after_loss=False, turn_tokens=TOKENS
        )
        adopted = budgets.adopt_account(assumed, received, former_holder='x')
        self.assertEqual(0, adopted.granted)

    def test_pool_from_before_a_loss_is_not_kept_back(self) -> None:
        """A turn waited for two appends: the first kept back the pool."""
        account = budgets.merge_stored(
            make_account(is_after_loss=True), make_account(pool_tokens=BUDGET)
        )
        self.assertEqual(BUDGET, account.grantable)

    def test_hand_over_of_a_program_without_a_loss_keeps_its_pool(self) -> None:
        """The new home only assumed a loss; the former one knew better."""
        received = make_account(
            claimed_by_holder={LOST_GRANTS_HOLDER: 0},
            pool_tokens=TOKENS,
        )
        adopted = budgets.adopt_account(
            make_account(is_after_loss=True), received, former_holder='y'
        )
        self.assertEqual(BUDGET - TOKENS, adopted.grantable)

    def test_stored_allowance_is_no_longer_provisional(self) -> None:
        account = make_account(claimed_by_holder={'x': 200})
        stored = make_account(granted_by_holder={'x': 200})
        merged = budgets.merge_stored(account, stored)
        self.assertEqual(200, merged.granted)

    def test_adopted_allowance_can_be_spent_once(self) -> None:
        received = make_account(granted_by_holder={'y': 300}, spent=100)
        adopted = budgets.adopt_account(None, received, former_holder='y')
        self.assertEqual(200, adopted.count_available('x'))


class TestWriter(testtools.TestCase):
    """Allowances of several VMs in one partition of the store."""

    def setUp(self) -> None:
        """Start with an empty store."""
        super().setUp()
        self.store = MemoryStore()

    def make_vm(self, boot: str) -> tuple[Accounts, AllowanceWriter]:
        accounts = Accounts(boot=boot)
        return accounts, make_writer(self.store, accounts)

    def grant(self, vm: tuple[Accounts, AllowanceWriter], tokens: int) -> int:
        accounts, writer = vm
        accounts.put(accounts.get_or_create(PROGRAM, BUDGET))
        request = make_reservation(program_id=PROGRAM, tokens=tokens)
        writer.grant(request, TIMEOUT_SECONDS)
        account = accounts.by_program[PROGRAM]
        return account.count_available(accounts.holder)

    def test_two_homes_share_one_budget(self) -> None:
        """Both VMs act as the home of the program."""
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
        self.assertEqual(600, self.grant(stored, BUDGET))

    def test_refused_append_grants_nothing(self) -> None:
        vm = self.make_vm('x')
        self.store.is_down = True
        self.assertEqual(0, self.grant(vm, 400))

    def test_home_reads_the_store_after_hand_over(self) -> None:
        """It granted from an empty account and overwrote the stored one."""
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

    def test_late_grant_of_a_handed_over_account_is_not_spent_twice(
        self,
    ) -> None:
        """The VM adopts a grant under its former name and hands it over."""
        first, second = self.make_vm('x'), self.make_vm('y')
        accounts, writer = first
        self.grant(first, 300)
        accounts.put(make_account(program_id='late', budget=BUDGET))
        stored = make_account(
            program_id='late', granted_by_holder={accounts.holder: 600}
        )
        accounts.remove_held_accounts()
        accounts.merge(stored)
        adopted = accounts.by_program['late'].count_available(accounts.holder)
        former_holder = accounts.holder
        second[0].adopt(
            accounts.remove_held_accounts(), former_holder=former_holder
        )
        accounts.merge(stored)
        left = accounts.by_program['late'].count_available(accounts.holder)
        moved = second[0].by_program['late'].count_available('y')
        self.assertEqual((600, 0, 600), (adopted, left, moved))

    def test_untouched_program_is_removed(self) -> None:
        vm = self.make_vm('x')
        self.grant(vm, 400)
        vm[1].drop_untouched(vm[0].by_program[PROGRAM].touched_at + 1)
        other = make_reservation(program_id='other', tokens=0)
        vm[1].grant(other, TIMEOUT_SECONDS)
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
                removed = accounts.remove_held_accounts()
                writer.invalidate_end_offset()
                next_home = vms[(number + 1) % 3][0]
                next_home.adopt(removed, former_holder=former_holder)
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
