"""The home of programs without the store: what other VMs know counts."""

import dataclasses
import itertools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast
from unittest import mock

import gevent
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway import allowance_writer
from bronzepost._internal.gateway.budget_keeper import (
    RETRY_AFTER_SECONDS,
    BudgetKeeper,
)
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.home import (
    HELD,
    LOSS_SECONDS,
    RESERVED,
    SPENT,
    UNSURE,
    Home,
)
from bronzepost._internal.gateway.messages import (
    FindAllowances,
    HandOver,
    HoldAllowance,
    ReserveTokens,
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import PeerReports
from tests.builders_gateway import MemoryStore, make_turn_call

PROGRAM = 'p-1'
TOKENS = 100
BUDGET = 300
# Several turns of this size fit into what may be granted without the store.
SMALL_TOKENS = 30
# A request that is repeated reserves once, so each has an id of its own.
NUMBERS = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class Network:
    """Homes of one partition on several VMs, and the order of the VMs."""

    store: MemoryStore
    order: tuple[str, ...]
    homes_by_name: dict[str, Home] = dataclasses.field(default_factory=dict)
    age_seconds: float = 60

    def add(self, name: str) -> Home:
        """Start a VM, or start it again without what it knew."""
        vm = Vm(name=name, network=self)
        home = Home(
            number=0,
            store=self.store,
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
        )
        self.homes_by_name[name] = home
        return home


@dataclasses.dataclass(kw_only=True)
class Vm:
    """What a home sees of its own VM and of the others."""

    name: str
    network: Network

    @property
    def own_name(self) -> str:
        """Return the name of the VM."""
        return self.name

    @property
    def own_boot(self) -> str:
        """Return a boot that differs for each start of the VM."""
        return f'{self.name}-{id(self)}'

    @property
    def age_seconds(self) -> float:
        """Return the age that the test has set."""
        return self.network.age_seconds

    @property
    def has_store(self) -> bool:
        """Return whether the store is up."""
        return not self.network.store.is_down

    @property
    def answering_seconds(self) -> float:
        """Return no time: the store has only just come back."""
        return 0

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the order of the VMs that the test has set."""
        return self.network.order

    def find_home(self, _key: str) -> str:
        """Return the first of the VMs in the order that the test has set."""
        return next(iter(self.network.order), '')

    def put_store_first(self, names: tuple[str, ...]) -> list[str]:
        """Return the same order: the store is away for all."""
        return list(names)

    def send(self, name: str, message: Any) -> bool:
        """Hand accounts to another VM."""
        assert isinstance(message, HandOver)
        self.network.homes_by_name[name].take_over(self.name, message)
        return True

    def ask(self, name: str, make_message: Callable[[int], Any]) -> Any:
        """Ask another VM to hold a copy."""
        message = make_message(1)
        home = self.network.homes_by_name.get(name)
        if home is None:
            return None
        if isinstance(message, FindAllowances):
            return home.list_allowances(message)
        assert isinstance(message, HoldAllowance)
        return home.take_copy(message)


def make_question(request_id: str, **changes: Any) -> ReserveTokens:
    """Return the question for the tokens of a turn."""
    fields: dict[str, Any] = {
        'call_id': 1,
        'program_id': PROGRAM,
        'request_id': request_id,
        'reservation_id': request_id,
        'budget': BUDGET,
        'tokens': TOKENS,
        'lines': (),
        'may_be_provisional': True,
        'is_first': True,
    }
    return ReserveTokens(**{**fields, **changes})


def make_settlement(reservation_id: str, tokens: int) -> SettleTokens:
    """Return the message at the end of a turn."""
    return SettleTokens(
        program_id=PROGRAM,
        reservation_id=reservation_id,
        tokens=tokens,
        line='',
        server_id='',
    )


class TestHomes(testtools.TestCase):
    """Loops without end stay within budget plus one turn."""

    def setUp(self) -> None:
        """Start three VMs and a store."""
        super().setUp()
        self.store = MemoryStore()
        self.network = Network(store=self.store, order=('a', 'b', 'c'))
        for name in self.network.order:
            self.network.add(name)

    def count_reserved(self, name: str, turns: int = 10, **changes: Any) -> int:
        home = self.network.homes_by_name[name]
        verdicts = [
            home.reserve(make_question(f'q-{next(NUMBERS)}', **changes))
            for _ in range(turns)
        ]
        return verdicts.count(RESERVED)

    def test_budget_ends_with_the_store_up(self) -> None:
        """More was reserved than the budget, or a spent one was not told."""
        home = self.network.homes_by_name['a']
        verdicts = [home.reserve(make_question(str(turn))) for turn in range(4)]
        self.assertEqual([RESERVED, RESERVED, RESERVED, HELD], verdicts)
        for turn in range(3):
            home.settle(make_settlement(str(turn), TOKENS))
        self.assertEqual(SPENT, home.reserve(make_question('4')))

    def test_refused_copy_is_not_spent(self) -> None:
        """The allowance stayed in the account although others refused it."""
        self.store.is_down = True
        self.count_reserved('a')
        first = self.network.homes_by_name['b']
        self.assertEqual(UNSURE, first.reserve(make_question('q-1')))
        self.assertEqual(UNSURE, first.reserve(make_question('q-2')))

    def test_home_that_knows_nothing_grants_one_turn(self) -> None:
        self.store.is_down = True
        self.assertEqual(1, self.count_reserved('a'))

    def test_only_the_first_in_order_may_grant(self) -> None:
        self.store.is_down = True
        home = self.network.homes_by_name['b']
        question = make_question('q-1', may_be_provisional=False)
        self.assertEqual(UNSURE, home.reserve(question))

    def test_refusal_says_why(self) -> None:
        """On call, nothing told why a budget could not be checked."""
        self.store.is_down = True
        home = self.network.homes_by_name['a']
        home.reserve(make_question('q-1'))
        with capture_logs() as lines:
            home.reserve(make_question('q-2'))
        refusals = [line for line in lines if line['number'] == 8030]
        self.assertEqual('more than may be lost', refusals[0]['reason'])
        self.assertEqual(TOKENS, refusals[0]['provisional'])

    def test_spent_budget_says_from_what(self) -> None:
        """Nothing told a spent budget from one that a loss may have spent."""
        home = self.network.homes_by_name['a']
        with capture_logs() as lines:
            for turn in range(4):
                home.reserve(make_question(str(turn)))
                home.settle(make_settlement(str(turn), TOKENS))
        spent = [line for line in lines if line['number'] == 8031]
        self.assertEqual(BUDGET, spent[0]['spent'])
        self.assertEqual(0, spent[0]['forgotten'])
        self.assertEqual(BUDGET, spent[0]['budget'])

    def test_assumed_loss_says_from_what(self) -> None:
        """Nothing told a spent budget from one that a loss may have spent."""
        self.lose_all()
        with capture_logs() as lines:
            self.count_reserved('a', turns=4, is_first=False)
        self.assertEqual([], [line for line in lines if line['number'] == 8031])
        held = [line for line in lines if line['number'] == 8030]
        self.assertEqual(BUDGET // 2 - TOKENS, held[0]['forgotten'])
        self.assertEqual(BUDGET, held[0]['budget'])

    def test_restarted_home_in_an_outage_asks_the_others(self) -> None:
        """Each VM of a rolling restart granted a turn of its own."""
        self.count_reserved('a', turns=2)
        self.store.is_down = True
        reserved = 2
        for _ in range(4):
            self.network.add('a')
            reserved += self.count_reserved('a')
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def lose_all(self) -> None:
        """Start all VMs again without what they knew."""
        for name in self.network.order:
            self.network.add(name)
        self.network.age_seconds = 1

    def test_loss_of_all_vms_in_an_outage(self) -> None:
        """What they had granted without the store was granted once more."""
        self.store.is_down = True
        reserved = self.count_reserved('a')
        for _ in range(2):
            self.lose_all()
            reserved += self.count_reserved('a', is_first=False)
        self.store.is_down = False
        reserved += self.count_reserved('a', is_first=False)
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def test_program_that_returns_late_after_a_loss(self) -> None:
        """A loop that came back within a minute was granted its budget anew.

        The time in which a loss counts is shorter than the retention of turns.
        """
        self.store.is_down = True
        turns = BUDGET // SMALL_TOKENS
        reserved = self.count_small('a', turns)
        self.lose_all()
        self.store.is_down = False
        self.network.age_seconds = LOSS_SECONDS + 1
        reserved += self.count_small('a', turns)
        self.assertTrue(reserved * SMALL_TOKENS <= BUDGET + SMALL_TOKENS)

    def count_small(self, name: str, turns: int) -> int:
        home = self.network.homes_by_name[name]
        verdicts = [
            home.reserve(
                make_question(
                    f'q-{next(NUMBERS)}', tokens=SMALL_TOKENS, is_first=False
                )
            )
            for _ in range(turns)
        ]
        return verdicts.count(RESERVED)

    def count_over_two_outages(self, *, needs_store: bool) -> int:
        """Return the turns of a program, with a loss in each outage."""
        reserved = 0
        for _ in range(2):
            self.store.is_down = True
            reserved += self.count_reserved(
                'a', is_first=False, needs_store=needs_store
            )
            self.lose_all()
            self.store.is_down = False
            reserved += self.count_reserved(
                'a', turns=1, is_first=False, needs_store=needs_store
            )
        return reserved + self.count_reserved(
            'a', is_first=False, needs_store=needs_store
        )

    def test_two_outages_with_a_loss_of_all_vms(self) -> None:
        """Each outage made one more turn forgotten."""
        reserved = self.count_over_two_outages(needs_store=False)
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def test_two_outages_with_turns_that_need_the_store(self) -> None:
        """Each outage made one more turn forgotten."""
        reserved = self.count_over_two_outages(needs_store=True)
        self.assertEqual(BUDGET + TOKENS, reserved * TOKENS)

    def test_loss_of_what_several_turns_were_granted(self) -> None:
        """What an outage had granted beyond one turn was granted once more."""
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
            self.assertTrue(reserved > 1)
            self.lose_all()
            self.store.is_down = False
            reserved += self.count_reserved('a', turns=15, **changes)
            self.assertTrue(reserved * 30 <= BUDGET + 30, reserved)

    def test_new_program_after_a_loss_has_its_whole_budget(self) -> None:
        self.lose_all()
        self.assertEqual(BUDGET // TOKENS, self.count_reserved('a'))

    def test_program_that_goes_on_after_a_loss_gets_its_turn(self) -> None:
        """A budget of one turn counted as spent, and 402 is final."""
        self.lose_all()
        home = self.network.homes_by_name['a']
        question = make_question('q-1', budget=TOKENS, is_first=False)
        self.assertEqual(RESERVED, home.reserve(question))

    def test_any_vm_that_is_left_knows_what_was_granted(self) -> None:
        """Copies on two VMs were lost with the home and those two."""
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

    def test_store_that_is_back_lacks_what_others_granted(self) -> None:
        """A home that changed at the return granted the budget once more."""
        self.count_reserved('a', turns=1)
        self.store.is_down = True
        reserved = 1 + self.count_reserved('a')
        self.store.is_down = False
        reserved += self.count_reserved('b')
        self.assertTrue(reserved * TOKENS <= BUDGET + TOKENS)

    def test_account_moves_when_the_order_has_settled(self) -> None:
        """Accounts went to and fro while the VMs saw different orders."""
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


# Turns of a loop without end that the bench has played: their most, and what
# most of them generated.
LOOP_TOKENS = 575
LOOP_USED = 100
# Longer than a home keeps what a program does not use.
IDLE_SECONDS = 0.6


class TestSpentIsFinal(testtools.TestCase):
    """Callers end a program on a 402, so the budget has to be spent then."""

    def setUp(self) -> None:
        """Start two VMs and a store that is up all the while."""
        super().setUp()
        self.network = Network(store=MemoryStore(), order=('a', 'b'))
        self.start_all()

    def start_all(self) -> None:
        """Start all VMs without what they knew."""
        for name in self.network.order:
            self.network.add(name)

    def ask(self, request_id: str, **changes: Any) -> str:
        """Ask the first home for a turn of a program that goes on."""
        fields: dict[str, Any] = {'tokens': LOOP_TOKENS, 'is_first': False}
        question = make_question(request_id, **{**fields, **changes})
        return self.network.homes_by_name['a'].reserve(question)

    def settle(self, request_id: str, tokens: int) -> None:
        """End a turn that generated so many tokens."""
        message = make_settlement(request_id, tokens)
        self.assertIs(True, self.network.homes_by_name['a'].settle(message))

    def test_loss_of_all_vms_does_not_spend_what_was_unused(self) -> None:
        """402 after a loss of all VMs with 17% of the budget used."""
        budget = 2 * LOOP_TOKENS
        for request_id in ('q-1', 'q-2'):
            self.ask(request_id, budget=budget, is_first=request_id == 'q-1')
        for request_id in ('q-1', 'q-2'):
            self.settle(request_id, LOOP_USED)
        gevent.sleep(IDLE_SECONDS)
        self.network.homes_by_name['a'].writer.flush()
        self.start_all()
        self.network.age_seconds = 1
        self.assertEqual(RESERVED, self.ask('q-3', budget=budget))

    def test_spent_budget_is_told_after_a_loss(self) -> None:
        """A loop that went on asking got 503 for good after a loss."""
        self.ask('q-1', budget=LOOP_TOKENS, is_first=True)
        self.settle('q-1', LOOP_TOKENS)
        gevent.sleep(IDLE_SECONDS)
        self.assertEqual(SPENT, self.ask('q-2', budget=LOOP_TOKENS))
        self.network.homes_by_name['a'].writer.flush()
        self.start_all()
        self.assertEqual(SPENT, self.ask('q-3', budget=LOOP_TOKENS))

    def test_turns_under_way_do_not_spend_the_budget(self) -> None:
        """Sub-agents got 402 while others ran and then used 9%."""
        budget = 2 * LOOP_TOKENS
        verdicts = [
            self.ask(request_id, budget=budget, is_first=True)
            for request_id in ('q-1', 'q-2', 'q-3')
        ]
        self.assertEqual([RESERVED, RESERVED], verdicts[:2])
        self.assertNotEqual(SPENT, verdicts[2])
        for request_id in ('q-1', 'q-2'):
            self.settle(request_id, LOOP_USED)
        self.assertEqual(RESERVED, self.ask('q-4', budget=budget))

    def test_assumed_loss_does_not_spend_the_budget(self) -> None:
        """402 to a program that had used two turns of three, no outage."""
        self.network.age_seconds = 1
        budget = 3 * LOOP_TOKENS
        for request_id in ('q-1', 'q-2'):
            self.ask(request_id, budget=budget)
            self.settle(request_id, LOOP_TOKENS)
        self.assertNotEqual(SPENT, self.ask('q-3', budget=budget))

    def test_turn_that_needs_the_store_forgets_no_more_than_itself(
        self,
    ) -> None:
        """Half a budget counted as spent, though no turn ended without it."""
        self.network.age_seconds = 1
        budget = 3 * LOOP_TOKENS
        for request_id in ('q-1', 'q-2'):
            self.ask(request_id, budget=budget, needs_store=True)
            self.settle(request_id, LOOP_TOKENS)
        verdict = self.ask('q-3', budget=budget, needs_store=True)
        self.assertEqual(RESERVED, verdict)

    def test_held_turn_is_not_asked_of_another_home(self) -> None:
        """A second home took what the first one held for its turns."""
        vm = AskingVm(name='c', network=self.network)
        keeper = BudgetKeeper(
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
            store=self.network.store,
        )
        calls = [
            make_turn_call(
                request_id=f'q-{number}',
                budget_tokens=LOOP_TOKENS,
                max_output_tokens=LOOP_TOKENS,
            )
            for number in (1, 2)
        ]
        keeper.reserve(calls[0])
        error = self.assertRaises(RefusedError, keeper.reserve, calls[1])
        self.assertEqual('budget_reserved', error.code)
        self.assertEqual(HTTPStatus.SERVICE_UNAVAILABLE, error.status)
        self.assertEqual(RETRY_AFTER_SECONDS, error.retry_after_seconds)
        self.assertEqual(['a', 'a'], vm.asked)


@dataclasses.dataclass(kw_only=True)
class AskingVm(Vm):
    """A VM that is no home and asks the homes."""

    asked: list[str] = dataclasses.field(default_factory=list)

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Take no messages."""

    def ask(self, name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Ask a home for tokens."""
        self.asked.append(name)
        verdict = self.network.homes_by_name[name].reserve(make_message(1))
        return TokensReserved(call_id=1, verdict=verdict)


@dataclasses.dataclass(kw_only=True)
class Turn:
    """A turn under way, and the home that reserved its tokens."""

    reservation_id: str
    home: Home


class Simulation:
    """One program on three VMs, and what it has been handed."""

    def __init__(self, *, most: int, needs_store: bool) -> None:
        """Start the VMs and a store, for turns of ``most`` tokens."""
        self.most = most
        self.needs_store = needs_store
        self.network = Network(store=MemoryStore(), order=('a', 'b', 'c'))
        for name in self.network.order:
            self.network.add(name)
        self.under_way: list[Turn] = []
        self.handed = 0
        self.lost: set[str] = set()

    def apply(self, step: str, name: str, tokens: int) -> None:
        """Apply a step, and let the homes write."""
        getattr(self, step)(name, tokens)
        for home in self.network.homes_by_name.values():
            home.writer.flush(has_store=not self.network.store.is_down)
        gevent.sleep(0)

    def ask(self, name: str, _tokens: int) -> None:
        """Ask for a turn, of the first home or of one that believes so."""
        reservation_id = f'q-{next(NUMBERS)}'
        home = self.network.homes_by_name[name]
        question = make_question(
            reservation_id,
            tokens=self.most,
            is_first=not self.handed,
            needs_store=self.needs_store,
            may_be_provisional=name == self.network.order[0],
        )
        verdict = home.reserve(question)
        if verdict == RESERVED:
            self.under_way.append(
                Turn(reservation_id=reservation_id, home=home)
            )
        if verdict == SPENT:
            assert self.handed + self.most > BUDGET, 'a 402 too early'

    def settle(self, _name: str, tokens: int) -> None:
        """End the oldest turn under way."""
        if self.under_way:
            turn = self.under_way.pop(0)
            tokens = min(tokens, self.most)
            self.handed += tokens
            turn.home.settle(make_settlement(turn.reservation_id, tokens))

    def lose(self, name: str, _tokens: int) -> None:
        """Lose a VM; its turns had been handed whole by then."""
        home = self.network.homes_by_name[name]
        gone = [turn for turn in self.under_way if turn.home is home]
        self.handed += len(gone) * self.most
        self.under_way = [
            turn for turn in self.under_way if turn.home is not home
        ]
        self.network.add(name)
        self.lost.add(name)
        if self.lost.issuperset(self.network.order):
            self.network.age_seconds = 1

    def lose_all(self, _name: str, tokens: int) -> None:
        """Lose all VMs."""
        for name in self.network.order:
            self.lose(name, tokens)

    def turn_store(self, _name: str, _tokens: int) -> None:
        """Start or end an outage."""
        store = self.network.store
        store.is_down = not store.is_down

    def lose_answers(self, _name: str, _tokens: int) -> None:
        """Start or stop to lose the answers of the store."""
        store = self.network.store
        store.loses_answers = not store.loses_answers

    def hand_over(self, name: str, _tokens: int) -> None:
        """Hand the accounts of a home to the next one."""
        home = self.network.homes_by_name[name]
        for turn in self.under_way:
            if turn.home is home:
                others = [
                    other for other in self.network.order if other != name
                ]
                turn.home = self.network.homes_by_name[others[0]]
        home.hand_over(is_leaving=True)


class TestAnyOrder(testtools.TestCase):
    """Budgets of few and of many turns, in any order of faults."""

    @settings(max_examples=300, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from((
                    'ask',
                    'ask',
                    'ask',
                    'settle',
                    'settle',
                    'lose',
                    'lose_all',
                    'turn_store',
                    'lose_answers',
                    'hand_over',
                )),
                st.sampled_from(('a', 'a', 'b', 'c')),
                st.integers(min_value=1, max_value=TOKENS),
            ),
            max_size=40,
        ),
        most=st.sampled_from((TOKENS, 30)),
        needs_store=st.booleans(),
    )
    def test_budget_holds_and_is_not_refused_early(
        self,
        steps: list[tuple[str, str, int]],
        most: int,
        *,
        needs_store: bool,
    ) -> None:
        """More than one turn over the budget, or 402 with room for one."""
        with mock.patch.object(allowance_writer, 'REST_SECONDS', -1):
            simulation = Simulation(most=most, needs_store=needs_store)
            for step in steps:
                simulation.apply(*step)
                under_way = len(simulation.under_way) * most
                handed = simulation.handed + under_way
                self.assertTrue(handed <= BUDGET + most, handed)


@dataclasses.dataclass(kw_only=True)
class SilentHomeVm(Vm):
    """A VM that asks home 'a', which does not answer, and then home 'b'.

    Home 'a' has handed its accounts over, so it forwards settlements to 'b',
    where they arrive late.
    """

    forwarded: list[SettleTokens] = dataclasses.field(default_factory=list)

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Take no messages."""

    def note_silent(self, name: str) -> None:
        """Keep the order as it is."""

    def send(self, name: str, message: Any) -> bool:
        """Keep what is sent to home 'a'."""
        assert name == 'a'
        self.forwarded.append(message)
        return True

    def ask(self, name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Ask home 'b'; home 'a' is silent."""
        message = make_message(1)
        if name != 'b' or not isinstance(message, ReserveTokens):
            return None
        verdict = self.network.homes_by_name['b'].reserve(message)
        return TokensReserved(call_id=1, verdict=verdict)


class TestSilentHome(testtools.TestCase):
    """A home that does not answer in time is settled with no tokens."""

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
        for message in vm.forwarded:
            home.settle(message)
        account = home.accounts.by_program[PROGRAM]
        holder = home.accounts.holder
        self.assertEqual(0, account.count_available(holder))

    def test_settlement_that_overtakes_its_reservation(self) -> None:
        """A home that was slow kept the tokens of a turn that was given up."""
        network = Network(store=MemoryStore(), order=('a',))
        home = network.add('a')
        question = make_question('q-1')
        home.settle(make_settlement('q-1', 0))
        self.assertEqual(UNSURE, home.reserve(question))
        self.assertEqual(RESERVED, home.reserve(make_question('q-2')))
        account = home.accounts.by_program[PROGRAM]
        self.assertEqual({'q-2'}, set(account.reserved_by_id))

    def test_caller_that_leaves_while_the_home_decides(self) -> None:
        """The home kept the tokens, and the program got no turn any more."""
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
        settled = [message.reservation_id for message in vm.forwarded]
        self.assertEqual([f'{call.request_id}/0'], settled)


class SlowHomeVm(SilentHomeVm):
    """A VM whose questions are never answered."""

    def ask(self, name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Wait without end."""
        gevent.sleep(60)
