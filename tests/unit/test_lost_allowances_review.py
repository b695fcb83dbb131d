"""Review of budgets after losses of VMs, with turns of several kinds."""

from typing import Any

import gevent
import testtools
from testtools.matchers import LessThan

from bronzepost._internal.gateway.programs.allowance_writer import (
    decode_account,
)
from bronzepost._internal.gateway.programs.home import (
    RESERVED,
    SPENT,
)
from tests.builders_gateway import MemoryStore
from tests.builders_homes import (
    PROGRAM,
    REQUEST_NUMBERS,
    TOKENS,
    Network,
    make_request,
    make_settlement,
)

BUDGET = 600
SMALL_TOKENS = 30
# More requests than the budget has room for.
MANY_TURNS = 40


class ReviewCase(testtools.TestCase):
    """One program on three VMs and a store."""

    def setUp(self) -> None:
        """Start the VMs and the store."""
        super().setUp()
        self.network = Network(store=MemoryStore(), order=('a', 'b', 'c'))
        for name in self.network.order:
            self.network.add(name)
        self.handed_out = 0

    def lose_all_vms(self) -> None:
        """Restart all VMs with empty memory."""
        for name in self.network.order:
            self.network.add(name)
        self.network.age_seconds = 1

    def begin_turn(self, **changes: Any) -> tuple[str, str]:
        """Request a turn of the home; return its number and the verdict."""
        number = f'q-{next(REQUEST_NUMBERS)}'
        request = make_request(
            number,
            **{
                'budget': BUDGET,
                'is_first': False,
                'needs_store': True,
                **changes,
            },
        )
        return number, self.network.homes_by_name['a'].reserve(request)

    def run_turn(self, tokens: int = TOKENS, **changes: Any) -> str:
        """Run a turn that generates all that it reserves."""
        number, verdict = self.begin_turn(tokens=tokens, **changes)
        if verdict == RESERVED:
            self.handed_out += tokens
            self.network.homes_by_name['a'].settle(
                make_settlement(number, tokens)
            )
            gevent.sleep(0)
        return verdict

    def run_turns(self, count: int, tokens: int = TOKENS, **kw: Any) -> None:
        """Run up to a number of turns, those that are not refused."""
        for _ in range(count):
            self.run_turn(tokens, **kw)

    def find_stored(self) -> Any:
        """Return the account in the store."""
        record = self.network.store.find_record('budgets', 0, PROGRAM)
        assert record is not None
        return decode_account(record)


class TestSizes(ReviewCase):
    """Turns of one program that differ in size."""

    def test_larger_turn_after_the_pool_was_claimed(self) -> None:
        """Guards against 503 without end for tokens left, without any fault."""
        self.run_turns(16, SMALL_TOKENS)
        self.assertEqual(480, self.handed_out)
        self.assertEqual(RESERVED, self.run_turn(TOKENS))

    def test_larger_turn_in_an_outage_before_a_loss(self) -> None:
        """Guards against forgiving tokens that a pool unknown to the store has.

        The record has the pool of the small turns, all of it granted.
        """
        self.run_turns(11, SMALL_TOKENS)
        for _ in range(4):
            self.assertEqual(RESERVED, self.begin_turn(tokens=SMALL_TOKENS)[1])
        # Their answers have ended, but their homes are lost before they know.
        self.handed_out += 4 * SMALL_TOKENS
        number, verdict = self.begin_turn(tokens=SMALL_TOKENS)
        self.assertEqual(RESERVED, verdict)
        self.network.store.is_down = True
        self.network.homes_by_name['a'].settle(make_settlement(number, 0))
        self.run_turn(TOKENS)
        self.lose_all_vms()
        self.network.store.is_down = False
        self.run_turns(MANY_TURNS)
        self.assertThat(self.handed_out, LessThan(BUDGET + TOKENS + 1))


class TestKinds(ReviewCase):
    """Turns of one program with and without a need of the store."""

    def test_loss_after_turns_that_did_not_need_the_store(self) -> None:
        """Guards against assuming a pool of one turn where it was larger."""
        self.run_turn(needs_store=False)
        self.network.store.is_down = True
        self.run_turns(MANY_TURNS, needs_store=False)
        self.lose_all_vms()
        self.network.store.is_down = False
        self.run_turns(MANY_TURNS, needs_store=True)
        self.assertThat(self.handed_out, LessThan(BUDGET + TOKENS + 1))


class TestFinal(ReviewCase):
    """A 402 is final."""

    def spend_all(self) -> str:
        """Run turns up to the budget; leave the last one running."""
        for _ in range(BUDGET // TOKENS - 1):
            self.run_turn()
        number, verdict = self.begin_turn()
        self.assertEqual(RESERVED, verdict)
        return number

    def test_spent_tokens_whose_append_failed(self) -> None:
        """Guards against a 402 for what no record has as spent."""
        number = self.spend_all()
        # The VM has not noticed yet that the store refuses appends.
        self.network.store.down_partitions = {0}
        home = self.network.homes_by_name['a']
        home.settle(make_settlement(number, TOKENS))
        gevent.sleep(0)
        refused = self.begin_turn()[1]
        self.lose_all_vms()
        self.network.store.down_partitions = set()
        served = [self.begin_turn()[1] for _ in range(3)]
        if refused == SPENT:
            self.assertNotIn(RESERVED, served)

    def test_spent_tokens_that_were_handed_over(self) -> None:
        """Guards against a 402 for spent tokens that only a hand-over told of."""
        number = self.spend_all()
        self.network.store.is_down = True
        home = self.network.homes_by_name['a']
        home.settle(make_settlement(number, TOKENS))
        self.network.order = ('b', 'c', 'a')
        home.hand_over(is_leaving=True)
        request = make_request(
            'q-refused', budget=BUDGET, is_first=False, needs_store=True
        )
        refused = self.network.homes_by_name['b'].reserve(request)
        self.network.order = ('a', 'b', 'c')
        self.lose_all_vms()
        self.network.store.is_down = False
        served = [self.begin_turn()[1] for _ in range(3)]
        if refused == SPENT:
            self.assertNotIn(RESERVED, served)


class TestHandOver(ReviewCase):
    """Turns that end while their account moves."""

    def test_settlement_at_a_former_home_that_holds_a_copy(self) -> None:
        """Guards against a reservation that stays at the new home for good."""
        number, verdict = self.begin_turn()
        self.assertEqual(RESERVED, verdict)
        former = self.network.homes_by_name['a']
        former.hand_over(is_leaving=True)
        # The former home reads the partition for another program.
        self.network.order = ('b', 'c', 'a')
        other = make_request('q-other', program_id='p-2', needs_store=True)
        former.reserve(other)
        is_known = former.settle(make_settlement(number, 1))
        if not is_known:
            self.network.homes_by_name['b'].settle(make_settlement(number, 1))
        accounts = self.network.homes_by_name['b'].accounts
        reserved = accounts.by_program[PROGRAM].reserved_by_id
        self.assertEqual({}, dict(reserved))

    def test_queued_return_is_stored_by_the_next_home(self) -> None:
        """Guards against returns that a hand-over takes out of the queue."""
        number, _ = self.begin_turn()
        former = self.network.homes_by_name['a']
        self.network.store.down_partitions = {0}
        former.settle(make_settlement(number, 1))
        gevent.sleep(0)
        self.network.store.down_partitions = set()
        former.hand_over(is_leaving=True)
        self.network.order = ('b', 'c', 'a')
        home = self.network.homes_by_name['b']
        for _ in range(3):
            home.writer.flush()
            gevent.sleep(0.6)
        self.assertEqual(1, self.find_stored().granted)

    def test_turn_that_ends_after_a_hand_over(self) -> None:
        """Guards against a home that returns nothing before its first grant."""
        number, _ = self.begin_turn()
        self.network.homes_by_name['a'].hand_over(is_leaving=True)
        self.network.order = ('b', 'c', 'a')
        home = self.network.homes_by_name['b']
        home.settle(make_settlement(number, 1))
        for _ in range(3):
            home.writer.flush()
            gevent.sleep(0.6)
        self.assertEqual(1, self.find_stored().granted)


class TestSeveralHomes(ReviewCase):
    """VMs that act as homes one after another or at once, none of them lost."""

    def begin_at(self, name: str, budget: int) -> tuple[str, str]:
        """Request a turn of a VM; return its number and the verdict."""
        number = f'q-{next(REQUEST_NUMBERS)}'
        request = make_request(
            number, budget=budget, is_first=False, needs_store=True
        )
        return number, self.network.homes_by_name[name].reserve(request)

    def settle_at(self, name: str, number: str, tokens: int) -> None:
        """End a turn at its home, or at the next one that knows it."""
        message = make_settlement(number, tokens)
        if not self.network.homes_by_name[name].settle(message):
            first = self.network.order[0]
            self.network.homes_by_name[first].settle(message)
        self.handed_out += tokens
        gevent.sleep(0)

    def hand_over(self) -> None:
        """Hand the accounts of the first VM over to the second."""
        first, *others = self.network.order
        self.network.order = (*others, first)
        self.network.homes_by_name[first].hand_over(is_leaving=True)

    def test_pool_after_hand_overs_in_a_circle(self) -> None:
        """Guards against forgiving tokens though the pool is granted twice."""
        budget = 3 * TOKENS
        number_c, _ = self.begin_at('c', budget)
        # The store refuses appends, so the turn is granted from the pool.
        self.network.store.down_partitions = {0}
        number_a, verdict = self.begin_at('a', budget)
        self.assertEqual(RESERVED, verdict)
        self.settle_at('c', number_c, TOKENS)
        self.settle_at('a', number_a, TOKENS)
        for _ in self.network.order:
            self.hand_over()
        self.network.store.down_partitions = set()
        for name in ('b', 'b', 'c', 'a', 'b', 'c'):
            _, verdict = self.begin_at(name, budget)
            self.handed_out += TOKENS * (verdict == RESERVED)
        self.assertThat(self.handed_out, LessThan(budget + TOKENS + 1))

    def test_spent_at_one_home_and_granted_at_another(self) -> None:
        """Guards against a turn that runs after a 402, though no VM was lost."""
        budget = 3 * TOKENS
        number_c, _ = self.begin_at('c', budget)
        self.settle_at('c', number_c, TOKENS)
        number_a, _ = self.begin_at('a', budget)
        self.hand_over()
        self.settle_at('a', number_a, TOKENS // 2)
        number_c, _ = self.begin_at('c', budget)
        number_b, _ = self.begin_at('b', budget)
        self.settle_at('c', number_c, TOKENS)
        self.settle_at('b', number_b, 1)
        refused = self.begin_at('b', budget)[1]
        served = [self.begin_at(name, budget)[1] for name in 'cab']
        if refused == SPENT:
            self.assertNotIn(RESERVED, served)

    def test_recorded_end_of_a_budget_after_a_hand_over(self) -> None:
        """Guards against forgiving tokens that the next home has returned."""
        budget = 3 * TOKENS
        number, _ = self.begin_at('a', budget)
        self.hand_over()
        self.settle_at('a', number, TOKENS // 2)
        for _ in range(2):
            number, verdict = self.begin_at('b', budget)
            self.assertEqual(RESERVED, verdict)
            self.settle_at('b', number, TOKENS)
        self.assertEqual(SPENT, self.begin_at('b', budget)[1])
        recorded = self.find_stored().spent_by_holder
        self.assertEqual(self.handed_out, sum(recorded.values()))
        self.network.order = ('a', 'b', 'c')
        self.lose_all_vms()
        self.assertEqual(SPENT, self.begin_at('a', budget)[1])
