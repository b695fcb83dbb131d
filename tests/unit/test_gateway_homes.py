"""Homes of programs keep to budgets through outages and losses of VMs.

Where a test's doc comment is in the past tense, it is the failure that the test
guards against.
"""

import dataclasses
from http import HTTPStatus
from typing import Any, cast
from unittest import mock

import gevent
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    ReserveTokens,
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs import allowance_writer
from bronzepost._internal.gateway.programs.budget_keeper import (
    RETRY_AFTER_SECONDS,
    BudgetKeeper,
)
from bronzepost._internal.gateway.programs.home import (
    HELD,
    LOSS_WINDOW_SECONDS,
    RESERVED,
    SPENT,
    UNSURE,
    Home,
)
from bronzepost._internal.gateway.programs.settlements import SETTLED
from tests.builders_gateway import (
    MemoryStore,
    make_turn_call,
)
from tests.builders_homes import (
    BUDGET,
    LOOP_BUDGET,
    PROGRAM,
    REQUEST_NUMBERS,
    SMALL_TOKENS,
    TOKENS,
    Network,
    Vm,
    make_request,
    make_settlement,
)


class TestHomes(testtools.TestCase):
    """Runaway loops may exceed their budget by at most one turn."""

    def setUp(self) -> None:
        """Start three VMs and a store."""
        super().setUp()
        self.store = MemoryStore()
        self.network = Network(store=self.store, order=('a', 'b', 'c'))
        for name in self.network.order:
            self.network.add(name)

    def count_reserved(self, name: str, turns: int = 10, **changes: Any) -> int:
        """Request turns of a home; return how many were reserved."""
        home = self.network.homes_by_name[name]
        verdicts = [
            home.reserve(make_request(f'q-{next(REQUEST_NUMBERS)}', **changes))
            for _ in range(turns)
        ]
        return verdicts.count(RESERVED)

    def test_budget_ends_with_the_store_up(self) -> None:
        """Guards against reserving more than the budget, or a missing 402."""
        home = self.network.homes_by_name['a']
        verdicts = [home.reserve(make_request(str(turn))) for turn in range(4)]
        self.assertEqual([RESERVED, RESERVED, RESERVED, HELD], verdicts)
        for turn in range(3):
            home.settle(make_settlement(str(turn), TOKENS))
        self.assertEqual(SPENT, home.reserve(make_request('4')))

    def test_refused_copy_is_not_spent(self) -> None:
        """The allowance stayed in the account although peers refused it."""
        self.store.is_down = True
        self.count_reserved('a')
        home = self.network.homes_by_name['b']
        self.assertEqual(UNSURE, home.reserve(make_request('q-1')))
        self.assertEqual(UNSURE, home.reserve(make_request('q-2')))

    def test_home_without_accounts_grants_one_turn(self) -> None:
        self.store.is_down = True
        self.assertEqual(1, self.count_reserved('a'))

    def test_only_the_first_home_may_grant_provisionally(self) -> None:
        self.store.is_down = True
        home = self.network.homes_by_name['b']
        request = make_request('q-1', may_be_provisional=False)
        self.assertEqual(UNSURE, home.reserve(request))

    def test_refusal_logs_its_reason(self) -> None:
        """The log did not show why a budget could not be checked."""
        self.store.is_down = True
        home = self.network.homes_by_name['a']
        home.reserve(make_request('q-1'))
        with capture_logs() as log_lines:
            home.reserve(make_request('q-2'))
        refusals = [
            log_line for log_line in log_lines if log_line['number'] == 8030
        ]
        self.assertEqual('more than may be lost', refusals[0]['reason'])
        self.assertEqual(TOKENS, refusals[0]['provisional'])

    def test_spent_budget_logs_its_figures(self) -> None:
        """Spent budgets and those a loss may have spent looked the same."""
        home = self.network.homes_by_name['a']
        with capture_logs() as log_lines:
            for turn in range(4):
                home.reserve(make_request(str(turn)))
                home.settle(make_settlement(str(turn), TOKENS))
        spent = [
            log_line for log_line in log_lines if log_line['number'] == 8031
        ]
        self.assertEqual(BUDGET, spent[0]['spent'])
        self.assertEqual(0, spent[0]['forgotten'])
        self.assertEqual(BUDGET, spent[0]['budget'])

    def test_assumed_loss_logs_its_figures(self) -> None:
        """Spent budgets and those a loss may have spent looked the same."""
        self.lose_all_vms()
        with capture_logs() as log_lines:
            self.count_reserved('a', turns=4, is_first=False)
        self.assertEqual(
            [],
            [log_line for log_line in log_lines if log_line['number'] == 8031],
        )
        held = [
            log_line for log_line in log_lines if log_line['number'] == 8030
        ]
        self.assertEqual(BUDGET // 2 - TOKENS, held[0]['forgotten'])
        self.assertEqual(BUDGET, held[0]['budget'])

    def test_allowance_of_a_lost_home_is_logged(self) -> None:
        """Guards against logs in which lost and reserved tokens look the same."""
        self.count_reserved('a', turns=2)
        self.network.add('a')
        with capture_logs() as log_lines:
            self.count_reserved('a', turns=2, is_first=False)
        held = next(
            log_line for log_line in log_lines if log_line['number'] == 8030
        )
        self.assertEqual(
            held['granted'], held['held_by_others'] + held['reserved']
        )
        self.assertThat(held['held_by_others'], GreaterThan(2 * TOKENS - 1))

    def test_restarted_home_in_an_outage_asks_its_peers(self) -> None:
        """Each VM of a rolling restart granted a further turn."""
        self.count_reserved('a', turns=2)
        self.store.is_down = True
        reserved = 2
        for _ in range(4):
            self.network.add('a')
            reserved += self.count_reserved('a')
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def lose_all_vms(self) -> None:
        """Restart all VMs with empty memory."""
        for name in self.network.order:
            self.network.add(name)
        self.network.age_seconds = 1

    def test_loss_of_all_vms_in_an_outage(self) -> None:
        """Their provisional grants were granted again."""
        self.store.is_down = True
        reserved = self.count_reserved('a')
        for _ in range(2):
            self.lose_all_vms()
            reserved += self.count_reserved('a', is_first=False)
        self.store.is_down = False
        reserved += self.count_reserved('a', is_first=False)
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def test_program_that_returns_late_after_a_loss(self) -> None:
        """A loop that continued within a minute was granted its budget again.

        The time in which a loss is assumed is shorter than the retention of
        turns.
        """
        self.store.is_down = True
        turns = BUDGET // SMALL_TOKENS
        reserved = self.count_small_reserved('a', turns)
        self.lose_all_vms()
        self.store.is_down = False
        self.network.age_seconds = LOSS_WINDOW_SECONDS + 1
        reserved += self.count_small_reserved('a', turns)
        self.assertTrue(reserved * SMALL_TOKENS <= BUDGET + SMALL_TOKENS)

    def count_small_reserved(self, name: str, turns: int) -> int:
        home = self.network.homes_by_name[name]
        verdicts = [
            home.reserve(
                make_request(
                    f'q-{next(REQUEST_NUMBERS)}',
                    tokens=SMALL_TOKENS,
                    is_first=False,
                )
            )
            for _ in range(turns)
        ]
        return verdicts.count(RESERVED)

    def count_over_two_outages(self, *, needs_store: bool) -> int:
        """Return a program's reserved turns, with a loss in each outage."""
        reserved = 0
        for _ in range(2):
            self.store.is_down = True
            reserved += self.count_reserved(
                'a', is_first=False, needs_store=needs_store
            )
            self.lose_all_vms()
            self.store.is_down = False
            reserved += self.count_reserved(
                'a', turns=1, is_first=False, needs_store=needs_store
            )
        return reserved + self.count_reserved(
            'a', is_first=False, needs_store=needs_store
        )

    def test_two_outages_with_a_loss_of_all_vms(self) -> None:
        """The grants of one more turn were lost in each outage."""
        reserved = self.count_over_two_outages(needs_store=False)
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def test_two_outages_with_turns_that_need_the_store(self) -> None:
        """The grants of one more turn were lost in each outage."""
        reserved = self.count_over_two_outages(needs_store=True)
        self.assertEqual(BUDGET + TOKENS, reserved * TOKENS)

    def test_loss_of_the_grants_of_several_turns(self) -> None:
        """Provisional grants beyond one turn were granted again."""
        for needs_store in (False, True):
            for name in self.network.order:
                self.network.add(name)
            changes: dict[str, Any] = {
                'program_id': f'p-{needs_store}',
                'tokens': 30,
                'is_first': False,
                'needs_store': needs_store,
            }
            self.network.age_seconds = 60
            self.store.is_down = True
            reserved = self.count_reserved('a', turns=15, **changes)
            # A turn that needs the store is the only one in an outage.
            self.assertThat(reserved, GreaterThan(0 if needs_store else 1))
            self.lose_all_vms()
            self.store.is_down = False
            reserved += self.count_reserved('a', turns=15, **changes)
            self.assertTrue(reserved * 30 <= BUDGET + 30, reserved)

    def test_new_program_after_a_loss_has_its_whole_budget(self) -> None:
        self.lose_all_vms()
        self.assertEqual(BUDGET // TOKENS, self.count_reserved('a'))

    def test_program_that_continues_after_a_loss_gets_its_turn(self) -> None:
        """A budget of one turn counted as spent, but a 402 is final."""
        self.lose_all_vms()
        home = self.network.homes_by_name['a']
        request = make_request('q-1', budget=TOKENS, is_first=False)
        self.assertEqual(RESERVED, home.reserve(request))

    def test_any_surviving_vm_knows_the_provisional_grants(self) -> None:
        """The copies on two VMs were lost with the home and these two."""
        self.network.order = ('a', 'b', 'c', 'd', 'e')
        for name in ('d', 'e'):
            self.network.add(name)
        self.count_reserved('a', turns=0)
        self.network.homes_by_name['a'].accounts.is_synced = True
        self.store.is_down = True
        reserved = self.count_reserved('a')
        for name in ('a', 'b', 'c'):
            self.network.add(name)
        reserved += self.count_reserved('a', is_first=False)
        self.assertEqual(1, reserved)

    def test_store_after_an_outage_lacks_provisional_grants(self) -> None:
        """A new home granted the budget again when the store was back."""
        self.count_reserved('a', turns=1)
        self.store.is_down = True
        reserved = 1 + self.count_reserved('a')
        self.store.is_down = False
        reserved += self.count_reserved('b')
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def test_account_moves_when_the_order_is_stable(self) -> None:
        """Accounts moved back and forth while the VMs saw different orders."""
        self.count_reserved('a', turns=1)
        home = self.network.homes_by_name['a']
        self.network.order = ('b', 'c', 'a')
        home.hand_over(is_leaving=False)
        self.assertIn(PROGRAM, home.accounts.by_program)
        home.hand_over(is_leaving=False)
        self.assertNotIn(PROGRAM, home.accounts.by_program)
        self.assertEqual(2, self.count_reserved('b'))

    def test_leaving_home_hands_over_at_once(self) -> None:
        self.count_reserved('a', turns=1)
        self.network.homes_by_name['a'].hand_over(is_leaving=True)
        self.assertEqual(2, self.count_reserved('b'))


# Eight turns at their most fit into the budget, and each generates half of that.
LONG_BUDGET = 800
USED_TOKENS = 50


class TestLosses(testtools.TestCase):
    """Programs whose turns need the store, after losses of all VMs in calm."""

    def setUp(self) -> None:
        """Start three VMs and a store that stays up."""
        super().setUp()
        self.network = Network(store=MemoryStore(), order=('a', 'b', 'c'))
        for name in self.network.order:
            self.network.add(name)
        self.used = 0
        self.is_first = True

    def lose_all_vms(self) -> None:
        """Restart all VMs with empty memory."""
        for name in self.network.order:
            self.network.add(name)
        self.network.age_seconds = 1

    def begin_turn(self, **changes: Any) -> tuple[str, str]:
        """Request a turn; return its number and the verdict."""
        number = f'q-{next(REQUEST_NUMBERS)}'
        request = make_request(
            number,
            **{
                'budget': LONG_BUDGET,
                'is_first': self.is_first,
                'needs_store': True,
                **changes,
            },
        )
        self.is_first = False
        return number, self.network.homes_by_name['a'].reserve(request)

    def run_turns(self, count: int) -> str:
        """Run turns until one is refused; return the last verdict."""
        verdict = RESERVED
        for _ in range(count):
            number, verdict = self.begin_turn()
            if verdict != RESERVED:
                break
            self.used += USED_TOKENS
            home = self.network.homes_by_name['a']
            home.settle(make_settlement(number, USED_TOKENS))
            gevent.sleep(0)
        return verdict

    def test_loss_between_turns_costs_no_tokens(self) -> None:
        """Guards against unused grants of lost homes that count as spent."""
        self.run_turns(4)
        self.lose_all_vms()
        self.run_turns(LONG_BUDGET)
        self.assertThat(self.used, GreaterThan(LONG_BUDGET - TOKENS))

    def test_two_losses_between_turns_cost_no_tokens(self) -> None:
        """Guards against losses that add up."""
        for _ in range(2):
            self.run_turns(4)
            self.lose_all_vms()
        self.run_turns(LONG_BUDGET)
        self.assertThat(self.used, GreaterThan(LONG_BUDGET - TOKENS))

    def test_loss_in_a_late_turn_costs_no_tokens(self) -> None:
        """Guards against a last turn that is refused for a grant never used."""
        self.run_turns(9)
        self.begin_turn()
        self.lose_all_vms()
        self.run_turns(LONG_BUDGET)
        self.assertThat(self.used, GreaterThan(LONG_BUDGET - TOKENS))

    def test_losses_in_turns_do_not_exceed_the_budget(self) -> None:
        """Guards against grants of several losses that are all forgiven."""
        handed_out = 0
        for _ in range(4):
            self.run_turns(4)
            handed_out += TOKENS * (self.begin_turn()[1] == RESERVED)
            self.lose_all_vms()
        self.run_turns(LONG_BUDGET)
        handed_out += self.used
        self.assertThat(handed_out, LessThan(LONG_BUDGET + TOKENS + 1))

    def test_spent_budget_gets_no_turn_after_a_loss(self) -> None:
        """Guards against a turn that runs although a 402 came before."""
        self.assertEqual(SPENT, self.run_turns(LONG_BUDGET))
        self.lose_all_vms()
        self.assertEqual(SPENT, self.begin_turn()[1])

    def test_second_outage_grants_nothing_after_a_loss(self) -> None:
        """Guards against a turn without the store before each of two losses."""
        handed_out = 0
        for _ in range(3):
            self.network.store.is_down = True
            handed_out += TOKENS * (self.begin_turn()[1] == RESERVED)
            self.lose_all_vms()
            self.network.store.is_down = False
            self.run_turns(1)
            # The next homes have run for longer than a loss is assumed.
            self.network.age_seconds = LOSS_WINDOW_SECONDS + 1
            self.network.homes_by_name['a'].hand_over(is_leaving=True)
        self.run_turns(LONG_BUDGET)
        handed_out += self.used
        self.assertThat(handed_out, LessThan(LONG_BUDGET + TOKENS + 1))

    def test_peers_tell_of_a_loss(self) -> None:
        """Guards against a pool that is granted anew by a home that asks peers.

        The peers' entry of forgotten tokens made it take the program for one
        without a loss.
        """
        self.lose_all_vms()
        self.network.store.is_down = True
        self.network.order = ('b', 'c', 'a')
        home = self.network.homes_by_name['b']
        home.reserve(make_request('q-b', is_first=False, needs_store=True))
        self.network.age_seconds = LOSS_WINDOW_SECONDS + 1
        self.network.order = ('a', 'b', 'c')
        home = self.network.homes_by_name['a']
        request = make_request('q-a', is_first=False, needs_store=True)
        home.grants.fetch(request)
        self.assertEqual(UNSURE, home.reserve(request))


# Turns of a runaway loop in a benchmark: the tokens that each reserves, and
# those that most of them generate.
LOOP_TURN_TOKENS = 575
LOOP_TURN_USED_TOKENS = 100
# Longer than the time after which an idle program returns unused tokens.
PAST_IDLE_SECONDS = 0.6


class TestPool(testtools.TestCase):
    """Homes that know nothing of each other's grants keep to the budget."""

    def setUp(self) -> None:
        """Start five VMs and a store."""
        super().setUp()
        self.network = Network(store=MemoryStore(), order=tuple('abcde'))
        for name in self.network.order:
            self.network.add(name)

    def cut(self, order: str, *, has_store: bool) -> None:
        """Cut the members of ``order`` off from the others."""
        self.network.order = tuple(order)
        self.network.lost = tuple(sorted(set('abcde') - set(order)))
        self.network.store.is_down = not has_store

    def spend(self, name: str, **changes: Any) -> int:
        """Request turns of a home; return the tokens of those that ran."""
        return self.network.spend(name, **changes)

    def test_home_is_lost_in_an_outage(self) -> None:
        """The next home had not read the store and granted half once more."""
        spent = self.spend('a')
        self.cut('bcde', has_store=False)
        spent += self.spend('b', is_first=False)
        self.assertThat(spent, LessThan(LOOP_BUDGET + TOKENS + 1))

    def test_next_home_has_an_old_view_of_the_store(self) -> None:
        """A home that had read the store long ago granted half once more."""
        self.spend('b', program_id='p-2')
        self.test_home_is_lost_in_an_outage()

    def test_groups_are_cut_off_at_once(self) -> None:
        """Each group of VMs had a home that granted half of the budget."""
        self.cut('ae', has_store=False)
        spent = self.spend('a')
        self.cut('bd', has_store=False)
        spent += self.spend('b')
        self.cut('c', has_store=True)
        spent += self.spend('c')
        self.assertThat(spent, LessThan(LOOP_BUDGET + TOKENS + 1))

    def test_majority_without_the_store_and_a_home_with_it(self) -> None:
        """Guard against grants on both sides that add up to twice a budget."""
        self.cut('abc', has_store=False)
        spent = self.spend('a')
        self.assertThat(spent, GreaterThan(0))
        self.cut('de', has_store=True)
        spent += self.spend('d', is_first=False)
        self.cut('abcde', has_store=True)
        spent += self.spend('e', is_first=False)
        self.assertThat(spent, LessThan(LOOP_BUDGET + TOKENS + 1))

    def test_copies_of_a_claim_without_agreement(self) -> None:
        """A home learned of its own claim from a peer and spent it."""
        self.cut('ae', has_store=False)
        spent = self.spend('a')
        self.network.order = ('e', 'a')
        spent += self.spend('e')
        self.network.order = ('a', 'e')
        spent += self.spend('a')
        self.assertEqual(0, spent)

    def test_claim_without_agreement_is_not_adopted(self) -> None:
        """A home that replaced another one spent a claim it had a copy of."""
        self.spend('a')
        self.cut('ae', has_store=False)
        spent = self.spend('a') + LOOP_BUDGET
        self.cut('eabcd', has_store=True)
        self.network.homes_by_name['a'].hand_over(is_leaving=True)
        spent += self.spend('e', is_first=False)
        self.assertThat(spent, LessThan(LOOP_BUDGET + TOKENS + 1))

    def test_few_copies_of_a_claim_without_agreement_do_not_object(
        self,
    ) -> None:
        """Guard against a program that is refused for good after a cut."""
        self.cut('ae', has_store=False)
        self.spend('a')
        self.cut('bcdea', has_store=True)
        self.assertEqual(LOOP_BUDGET, self.spend('b'))

    def test_whole_budget_is_granted_while_the_store_answers(self) -> None:
        """Guard against a pool that can never be used."""
        self.assertEqual(LOOP_BUDGET, self.spend('a'))

    def test_pool_is_granted_if_no_append_has_failed(self) -> None:
        """An outage that no append had met yet ended all grants of the pool."""
        spent = self.spend('a', turns=LOOP_BUDGET // TOKENS // 2)
        self.network.store.is_down = True
        self.assertEqual(LOOP_BUDGET, spent + self.spend('a'))

    def test_last_vm_grants_the_whole_budget(self) -> None:
        """Guard against agreements that a VM alone can never reach."""
        self.network.order = ('a',)
        self.assertEqual(LOOP_BUDGET, self.spend('a'))


class TestSpentIsFinal(testtools.TestCase):
    """A program gets a 402 only if its budget is spent: callers end it then."""

    def setUp(self) -> None:
        """Start two VMs and a store that stays up."""
        super().setUp()
        self.network = Network(store=MemoryStore(), order=('a', 'b'))
        self.restart_all_vms()

    def restart_all_vms(self) -> None:
        """Start or restart all VMs with empty memory."""
        for name in self.network.order:
            self.network.add(name)

    def request_turn(self, request_id: str, **changes: Any) -> str:
        """Request a later turn of the program at the home."""
        fields: dict[str, Any] = {'tokens': LOOP_TURN_TOKENS, 'is_first': False}
        request = make_request(request_id, **{**fields, **changes})
        return self.network.homes_by_name['a'].reserve(request)

    def settle(self, request_id: str, tokens: int) -> None:
        """End a turn that generated ``tokens``."""
        message = make_settlement(request_id, tokens)
        self.assertIs(True, self.network.homes_by_name['a'].settle(message))

    def test_loss_of_all_vms_does_not_spend_unused_tokens(self) -> None:
        """A program got a 402 after a loss with 17% of its budget used."""
        budget = 2 * LOOP_TURN_TOKENS
        for request_id in ('q-1', 'q-2'):
            self.request_turn(
                request_id, budget=budget, is_first=request_id == 'q-1'
            )
        for request_id in ('q-1', 'q-2'):
            self.settle(request_id, LOOP_TURN_USED_TOKENS)
        gevent.sleep(PAST_IDLE_SECONDS)
        self.network.homes_by_name['a'].writer.flush()
        self.restart_all_vms()
        self.network.age_seconds = 1
        self.assertEqual(RESERVED, self.request_turn('q-3', budget=budget))

    def test_spent_budget_stays_spent_after_a_loss(self) -> None:
        """A loop that continued after a loss got a 503 every time."""
        self.request_turn('q-1', budget=LOOP_TURN_TOKENS, is_first=True)
        self.settle('q-1', LOOP_TURN_TOKENS)
        gevent.sleep(PAST_IDLE_SECONDS)
        self.assertEqual(
            SPENT, self.request_turn('q-2', budget=LOOP_TURN_TOKENS)
        )
        self.network.homes_by_name['a'].writer.flush()
        self.restart_all_vms()
        self.assertEqual(
            SPENT, self.request_turn('q-3', budget=LOOP_TURN_TOKENS)
        )

    def test_running_turns_do_not_spend_the_budget(self) -> None:
        """Sub-agents got a 402 while others ran that then used only 9%."""
        budget = 2 * LOOP_TURN_TOKENS
        verdicts = [
            self.request_turn(request_id, budget=budget, is_first=True)
            for request_id in ('q-1', 'q-2', 'q-3')
        ]
        self.assertEqual([RESERVED, RESERVED], verdicts[:2])
        self.assertNotEqual(SPENT, verdicts[2])
        for request_id in ('q-1', 'q-2'):
            self.settle(request_id, LOOP_TURN_USED_TOKENS)
        self.assertEqual(RESERVED, self.request_turn('q-4', budget=budget))

    def test_assumed_loss_does_not_spend_the_budget(self) -> None:
        """A program got a 402 after two turns of three, without an outage."""
        self.network.age_seconds = 1
        budget = 3 * LOOP_TURN_TOKENS
        for request_id in ('q-1', 'q-2'):
            self.request_turn(request_id, budget=budget)
            self.settle(request_id, LOOP_TURN_TOKENS)
        self.assertNotEqual(SPENT, self.request_turn('q-3', budget=budget))

    def test_turn_that_needs_the_store_loses_only_its_own_grant(
        self,
    ) -> None:
        """Half the budget seemed spent, but no turn ends without the store."""
        self.network.age_seconds = 1
        budget = 3 * LOOP_TURN_TOKENS
        for request_id in ('q-1', 'q-2'):
            self.request_turn(request_id, budget=budget, needs_store=True)
            self.settle(request_id, LOOP_TURN_TOKENS)
        verdict = self.request_turn('q-3', budget=budget, needs_store=True)
        self.assertEqual(RESERVED, verdict)

    def test_held_turn_is_not_requested_from_another_home(self) -> None:
        """A second home was granted tokens the first held for its turns."""
        vm = RequestingVm(name='c', network=self.network)
        keeper = BudgetKeeper(
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
            store=self.network.store,
        )
        calls = [
            make_turn_call(
                request_id=f'q-{number}',
                budget_tokens=LOOP_TURN_TOKENS,
                max_output_tokens=LOOP_TURN_TOKENS,
            )
            for number in (1, 2)
        ]
        keeper.reserve(calls[0])
        error = self.assertRaises(RefusedError, keeper.reserve, calls[1])
        self.assertEqual('budget_reserved', error.code)
        self.assertEqual(HTTPStatus.SERVICE_UNAVAILABLE, error.status)
        self.assertEqual(RETRY_AFTER_SECONDS, error.retry_after_seconds)
        self.assertEqual(['a', 'a'], vm.asked_homes)


@dataclasses.dataclass(kw_only=True)
class RequestingVm(Vm):
    """A VM that is not the home and sends requests to the homes."""

    asked_homes: list[str] = dataclasses.field(default_factory=list)

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Ignore the receivers: no messages arrive."""

    def ask(self, name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Return the answer of a home to a request for tokens."""
        self.asked_homes.append(name)
        verdict = self.network.homes_by_name[name].reserve(make_message(1))
        return TokensReserved(call_id=1, verdict=verdict)


@dataclasses.dataclass(kw_only=True)
class Turn:
    """A running turn, and the home that reserved its tokens."""

    reservation_id: str
    home: Home


class Simulation:
    """One program on three VMs, and the tokens that its caller received."""

    def __init__(self, *, turn_tokens: int, needs_store: bool) -> None:
        """Start the VMs and a store, for turns of at most ``turn_tokens``."""
        self.turn_tokens = turn_tokens
        self.needs_store = needs_store
        self.network = Network(store=MemoryStore(), order=('a', 'b', 'c'))
        for name in self.network.order:
            self.network.add(name)
        self.running: list[Turn] = []
        self.delivered = 0
        self.lost: set[str] = set()

    def apply(self, step: str, name: str, tokens: int) -> None:
        """Apply a step, and let the homes write to the store."""
        getattr(self, step)(name, tokens)
        for home in self.network.homes_by_name.values():
            home.writer.flush(has_store=not self.network.store.is_down)
        gevent.sleep(0)

    def request_turn(self, name: str, _tokens: int) -> None:
        """Request a turn at the home, or at a VM that is asked as the home."""
        reservation_id = f'q-{next(REQUEST_NUMBERS)}'
        home = self.network.homes_by_name[name]
        request = make_request(
            reservation_id,
            tokens=self.turn_tokens,
            is_first=not self.delivered,
            needs_store=self.needs_store,
            may_be_provisional=name == self.network.order[0],
        )
        verdict = home.reserve(request)
        if verdict == RESERVED:
            self.running.append(Turn(reservation_id=reservation_id, home=home))
        if verdict == SPENT:
            assert self.delivered + self.turn_tokens > BUDGET, '402 too early'

    def settle(self, _name: str, tokens: int) -> None:
        """End the oldest running turn."""
        if self.running:
            turn = self.running.pop(0)
            tokens = min(tokens, self.turn_tokens)
            self.delivered += tokens
            turn.home.settle(make_settlement(turn.reservation_id, tokens))

    def lose_vm(self, name: str, _tokens: int) -> None:
        """Lose a VM, whose running turns were delivered completely."""
        home = self.network.homes_by_name[name]
        ended = [turn for turn in self.running if turn.home is home]
        self.delivered += len(ended) * self.turn_tokens
        self.running = [turn for turn in self.running if turn.home is not home]
        self.network.add(name)
        self.lost.add(name)
        if self.lost.issuperset(self.network.order):
            self.network.age_seconds = 1

    def lose_all_vms(self, _name: str, tokens: int) -> None:
        """Lose all VMs."""
        for name in self.network.order:
            self.lose_vm(name, tokens)

    def toggle_outage(self, _name: str, _tokens: int) -> None:
        """Start or end an outage."""
        store = self.network.store
        store.is_down = not store.is_down

    def toggle_lost_answers(self, _name: str, _tokens: int) -> None:
        """Start or stop losing the answers of the store."""
        store = self.network.store
        store.loses_answers = not store.loses_answers

    def hand_over(self, name: str, _tokens: int) -> None:
        """Hand the accounts of a home over to the next one."""
        home = self.network.homes_by_name[name]
        for turn in self.running:
            if turn.home is home:
                peers = [peer for peer in self.network.order if peer != name]
                turn.home = self.network.homes_by_name[peers[0]]
        home.hand_over(is_leaving=True)


class TestAnyOrder(testtools.TestCase):
    """Budgets of few or many turns, with faults in any order."""

    @settings(max_examples=300, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from((
                    'request_turn',
                    'request_turn',
                    'request_turn',
                    'settle',
                    'settle',
                    'lose_vm',
                    'lose_all_vms',
                    'toggle_outage',
                    'toggle_lost_answers',
                    'hand_over',
                )),
                st.sampled_from(('a', 'a', 'b', 'c')),
                st.integers(min_value=1, max_value=TOKENS),
            ),
            max_size=40,
        ),
        turn_tokens=st.sampled_from((TOKENS, 30)),
        needs_store=st.booleans(),
    )
    def test_budget_holds_and_is_not_refused_early(
        self,
        steps: list[tuple[str, str, int]],
        turn_tokens: int,
        *,
        needs_store: bool,
    ) -> None:
        """At most one turn over the budget, and no 402 while a turn fits."""
        with mock.patch.object(allowance_writer, 'IDLE_SECONDS', -1):
            simulation = Simulation(
                turn_tokens=turn_tokens, needs_store=needs_store
            )
            for step in steps:
                simulation.apply(*step)
                reserved = len(simulation.running) * turn_tokens
                total = simulation.delivered + reserved
                self.assertTrue(total <= BUDGET + turn_tokens, total)


@dataclasses.dataclass(kw_only=True)
class SilentHomeVm(Vm):
    """A VM that asks home 'a', which does not answer, and then home 'b'.

    It keeps its messages to 'a', which has handed its accounts over and would
    forward settlements to 'b'. Tests deliver them to 'b' late.
    """

    sent: list[SettleTokens] = dataclasses.field(default_factory=list)

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Ignore the receivers: no messages arrive."""

    def mark_silent(self, name: str) -> None:
        """Ignore silent VMs; the test sets the order."""

    def send(self, name: str, message: Any) -> bool:
        """Keep a message to home 'a'."""
        assert name == 'a'
        self.sent.append(message)
        return True

    def ask(self, name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Return the answer of home 'b'; home 'a' is silent."""
        message = make_message(1)
        if name != 'b' or not isinstance(message, ReserveTokens):
            return None
        verdict = self.network.homes_by_name['b'].reserve(message)
        return TokensReserved(call_id=1, verdict=verdict)


class TestSilentHome(testtools.TestCase):
    """A reservation without an answer is settled with no tokens."""

    def test_forwarded_settlement_keeps_the_reservation(self) -> None:
        """The settlement for 'a' freed the tokens that 'b' had reserved."""
        network = Network(store=MemoryStore(), order=('a', 'b'))
        home = network.add('b')
        vm = SilentHomeVm(name='c', network=network)
        keeper = BudgetKeeper(
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
            store=network.store,
        )
        keeper.reserve(
            make_turn_call(budget_tokens=BUDGET, max_output_tokens=TOKENS)
        )
        for message in vm.sent:
            home.settle(message)
        account = home.accounts.by_program[PROGRAM]
        holder = home.accounts.holder
        self.assertEqual(0, account.count_available(holder))

    def test_settlement_that_overtakes_its_reservation(self) -> None:
        """A slow home kept the tokens of a turn that was no longer wanted."""
        network = Network(store=MemoryStore(), order=('a',))
        home = network.add('a')
        request = make_request('q-1')
        home.settle(make_settlement('q-1', 0))
        self.assertEqual(UNSURE, home.reserve(request))
        self.assertEqual(RESERVED, home.reserve(make_request('q-2')))
        account = home.accounts.by_program[PROGRAM]
        self.assertEqual({'q-2'}, set(account.reserved_by_id))

    def test_caller_that_leaves_while_the_home_decides(self) -> None:
        """The home kept the tokens, and the program could run no more turns."""
        network = Network(store=MemoryStore(), order=('a',))
        vm = SlowHomeVm(name='c', network=network)
        keeper = BudgetKeeper(
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
            store=network.store,
        )
        call = make_turn_call(budget_tokens=BUDGET, max_output_tokens=TOKENS)
        reserving = gevent.spawn(keeper.reserve, call)
        gevent.sleep(0)
        reserving.kill()
        gevent.sleep(0)
        settled = [message.reservation_id for message in vm.sent]
        self.assertEqual([f'{call.request_id}/0'], settled)


class SlowHomeVm(SilentHomeVm):
    """A VM whose requests are never answered."""

    def ask(self, name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Wait for longer than the test, but confirm settlements."""
        message = make_message(1)
        if isinstance(message, SettleTokens):
            self.sent.append(message)
            return TokensReserved(call_id=1, verdict=SETTLED)
        gevent.sleep(60)
