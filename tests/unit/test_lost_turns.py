"""Turns that end with a VM cost their program what they may have handed out.

Where a test's doc comment is in the past tense, it is the failure that the test
guards against.
"""

from http import HTTPStatus
from typing import Any, cast
from unittest import mock

import gevent
import testtools
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.budget_keeper import (
    BudgetKeeper,
    refuse_held,
    refuse_spent,
    refuse_unsure,
)
from bronzepost._internal.gateway.programs.home import (
    ADMITTED,
    HELD,
    RESERVED,
    SPENT,
    UNSURE,
    Home,
)
from bronzepost._internal.gateway.programs.program_state import (
    OpenTurn,
    ProgramState,
)
from bronzepost._internal.gateway.programs.settlements import (
    SETTLED,
    Settlements,
)
from bronzepost._internal.gateway.programs.turn_keeper import TurnKeeper
from bronzepost._internal.node.clock import read_clock
from tests.builders_gateway import MemoryStore, make_turn_call
from tests.builders_homes import (
    PROGRAM,
    REQUEST_NUMBERS,
    TOKENS,
    Network,
    make_request,
    make_settlement,
)

TURNS = 8
BUDGET = TURNS * TOKENS
NAMES = tuple('abc')


class LostTurnCase(testtools.TestCase):
    """One program whose home is the first VM, and whose turns others serve."""

    def setUp(self) -> None:
        """Start three VMs and a store that has answered for a minute."""
        super().setUp()
        self.network = Network(
            store=MemoryStore(), order=NAMES, store_available_seconds=60
        )
        for name in NAMES:
            self.network.add(name)
        self.handed_out = 0
        self.is_first = True
        self.run_turns(1)

    def ask(self, number: str, vm: str, *, begins: bool, **changes: Any) -> str:
        """Ask the home for a turn that a VM serves; return the verdict."""
        home = self.network.homes_by_name[self.network.order[0]]
        request = make_request(
            number,
            **{
                'budget': BUDGET,
                'needs_store': True,
                'is_first': self.is_first,
                'begins': begins,
                'owner': self.network.homes_by_name[vm].accounts.holder,
                'expires_seconds': 4,
                **changes,
            },
        )
        self.is_first = False
        return home.reserve(request)

    def admit(self, vm: str) -> str:
        """Open a turn at a VM; return its number."""
        number = f'q-{next(REQUEST_NUMBERS)}'
        self.assertEqual(ADMITTED, self.ask(number, vm, begins=False))
        return number

    def begin(self, vm: str) -> str:
        """Open a turn at a VM whose first event comes; return its number."""
        number = self.admit(vm)
        self.assertEqual(RESERVED, self.ask(number, vm, begins=True))
        return number

    def run_turns(self, count: int, *, vm: str = 'b') -> int:
        """Run whole turns until one is refused; return how many have run."""
        home = self.network.homes_by_name[self.network.order[0]]
        for served in range(count):
            number = f'q-{next(REQUEST_NUMBERS)}'
            if self.ask(number, vm, begins=False) not in {ADMITTED, RESERVED}:
                return served
            if self.ask(number, vm, begins=True) != RESERVED:
                return served
            self.handed_out += TOKENS
            home.settle(make_settlement(number, TOKENS))
            gevent.sleep(0)
        return count

    def kill(self, *names: str) -> None:
        """Restart VMs; all notice, and these read what was granted."""
        for name in names:
            self.network.add(name)
        for home in self.network.homes_by_name.values():
            home.memory.restore()
            home.maintain(is_leaving=False)
        gevent.sleep(0)


class TestLostTurns(LostTurnCase):
    """Guards against programs that stop for good, and those beyond budget."""

    def test_vm_is_lost_before_the_first_event(self) -> None:
        """The home kept the reservation of the lost VM for ever."""
        self.admit('c')
        self.kill('c')
        self.assertEqual(TURNS - 1, self.run_turns(TURNS))

    def test_two_vms_are_lost_before_the_first_event(self) -> None:
        """Each lost VM cost the program a turn."""
        for name in 'bc':
            self.admit(name)
            self.kill(name)
        self.assertEqual(TURNS - 1, self.run_turns(TURNS))

    def test_home_is_lost_before_the_first_event(self) -> None:
        """The grant of a lost home to a turn without an event stayed spent."""
        number = self.admit('c')
        self.network.order = ('b', 'c', 'a')
        self.kill('a')
        self.assertEqual(RESERVED, self.ask(f'{number}b', 'c', begins=True))
        self.network.homes_by_name['b'].settle(
            make_settlement(f'{number}b', TOKENS)
        )
        self.assertEqual(TURNS - 2, self.run_turns(TURNS, vm='c'))

    def test_all_vms_are_lost_twice_before_the_first_event(self) -> None:
        """Each loss of all VMs cost the program a turn."""
        for _ in range(2):
            self.admit('c')
            self.network.age_seconds = 1
            self.kill(*NAMES)
            self.run_turns(1)
        self.assertEqual(TURNS - 3, self.run_turns(TURNS))

    def test_vms_are_lost_after_the_first_event(self) -> None:
        """Half turns of two lost VMs counted as whole, so 800 tokens were left."""
        for name in 'bc':
            self.begin(name)
            self.handed_out += TOKENS // 2
            self.kill(name)
        self.run_turns(TURNS)
        self.assertThat(self.handed_out, GreaterThan(BUDGET - TOKENS))
        self.assertThat(self.handed_out, LessThan(BUDGET + TOKENS + 1))

    def test_half_turns_at_two_losses_of_all_vms(self) -> None:
        """Guard against two lost turns that nothing is forgiven of."""
        for _ in range(2):
            self.begin('c')
            self.handed_out += TOKENS // 2
            self.network.age_seconds = 1
            self.kill(*NAMES)
        self.run_turns(TURNS)
        self.assertThat(self.handed_out, GreaterThan(BUDGET - TOKENS))

    def test_many_lost_turns_stay_within_the_budget(self) -> None:
        """Guard against a turn that is forgiven more than once."""
        for _ in range(TURNS // 2):
            self.begin('c')
            self.handed_out += TOKENS
            self.kill('c')
        self.run_turns(TURNS)
        self.assertThat(self.handed_out, LessThan(BUDGET + TOKENS + 1))

    def test_homes_lost_after_the_first_event_stay_within_budget(self) -> None:
        """Guard against each next home forgiving a turn of its own."""
        for _ in range(TURNS // 2):
            self.begin('c')
            self.handed_out += TOKENS
            self.network.order = (
                *self.network.order[1:],
                self.network.order[0],
            )
            self.kill(self.network.order[-1])
            self.run_turns(1)
        self.run_turns(TURNS)
        self.assertThat(self.handed_out, LessThan(BUDGET + TOKENS + 1))

    def test_vm_that_was_paused_goes_on(self) -> None:
        """Guard against a paused VM whose turn is granted to others too."""
        number = self.admit('c')
        self.network.paused.add('c')
        self.kill()
        self.assertEqual(TURNS - 1, self.run_turns(TURNS))
        self.network.paused.discard('c')
        verdict = self.ask(number, 'c', begins=True)
        self.assertIn(verdict, {HELD, SPENT})

    def test_settlement_of_a_vm_that_was_paused(self) -> None:
        """Guard against tokens of a finished turn that stay uncertain."""
        number = self.begin('c')
        self.network.paused.add('c')
        self.kill()
        self.network.paused.discard('c')
        home = self.network.homes_by_name['a']
        home.settle(make_settlement(number, 0))
        gevent.sleep(0)
        self.assertEqual(TURNS - 1, self.run_turns(TURNS))

    def test_admitted_turns_count_together(self) -> None:
        """Guard against turns that run and then have to be broken off."""
        for _ in range(TURNS - 1):
            self.admit('b')
        self.assertEqual(HELD, self.ask('q-last', 'b', begins=False))

    def test_admitted_turn_expires(self) -> None:
        """Guard against a turn that nobody ends."""
        self.admit('b')
        clock = mock.patch(
            'bronzepost._internal.gateway.programs.home.read_clock',
            return_value=read_clock() + 60,
        )
        with clock:
            self.kill()
        self.assertEqual(TURNS - 1, self.run_turns(TURNS))


class StubKeeper:
    """Reservations that a home grants or refuses when a turn begins."""

    def __init__(self, error: RefusedError) -> None:
        """Refuse each turn with an error."""
        self._error = error

    def begin(self, _reservation: Any, _call: Any) -> Any:
        """Raise the error."""
        raise self._error


class TestBegunTurns(testtools.TestCase):
    """Guards against false promises about turns that have run."""

    def test_refusal_does_not_say_that_the_turn_did_not_run(self) -> None:
        """A 402 or 503 promises that the turn has not run, and never will."""
        errors = (
            refuse_spent('a'),
            refuse_held('a'),
            refuse_unsure(has_store=True),
        )
        for error in errors:
            programs = ProgramState(
                budgets=cast(BudgetKeeper, StubKeeper(error)),
                turns=cast(TurnKeeper, None),
            )
            turn = mock.Mock(spec=OpenTurn)
            refusal = self.assertRaises(
                RefusedError, programs.begin_turn, cast(OpenTurn, turn)
            )
            self.assertEqual(HTTPStatus.BAD_GATEWAY, refusal.status)


class LateHome:
    """A home that answers the first requests too late, and settlements later."""

    def __init__(self, home: Home, *, silent: int) -> None:
        """Leave ``silent`` requests to begin without an answer."""
        self.late: list[SettleTokens] = []
        self._home = home
        self._silent = silent

    def ask(self, _name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Pass a request to the home; keep settlements back."""
        message = make_message(1)
        if isinstance(message, SettleTokens):
            self.late.append(message)
            return TokensReserved(call_id=1, verdict=SETTLED)
        verdict = self._home.reserve(message)
        self._silent -= message.begins
        if message.begins and self._silent >= 0:
            return None
        return TokensReserved(call_id=1, verdict=verdict)


class TestLateSettlements(LostTurnCase):
    """Guards against a turn in use that a late message settles."""

    def test_settlement_of_an_earlier_attempt_comes_late(self) -> None:
        """An attempt that had failed was settled when a later one was in use."""
        home = self.network.homes_by_name['a']
        calls = LateHome(home, silent=1)
        vm = mock.Mock(own_name='c', own_boot=home.accounts.holder)
        vm.rank_homes.return_value = ('a',)
        vm.sort_by_store_access.side_effect = list
        keeper = BudgetKeeper(
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, calls),
            store=self.network.store,
        )
        call = make_turn_call(
            program_id=PROGRAM, budget_tokens=BUDGET, max_output_tokens=TOKENS
        )
        reservation = keeper.reserve(call, needs_store=True)
        self.assertIs(False, reservation.is_granted)
        reservation = keeper.begin(reservation, call)
        gevent.sleep(0)
        for message in calls.late:
            home.settle(message)
        account = home.accounts.by_program[PROGRAM]
        self.assertIn(reservation.reservation_id, account.reserved_by_id)


class SilentCalls:
    """Calls to peers of which the first ones get no answer."""

    def __init__(self, *, silent: int) -> None:
        """Answer after ``silent`` calls."""
        self.messages: list[SettleTokens] = []
        self._silent = silent

    def ask(self, _name: str, make_message: Any, _seconds: float = 0) -> Any:
        """Keep a message; confirm it after the silent calls."""
        self.messages.append(make_message(1))
        if len(self.messages) <= self._silent:
            return None
        return TokensReserved(call_id=1, verdict=SETTLED)


class TestSettlements(testtools.TestCase):
    """Guards against a settlement that is lost with a connection."""

    def setUp(self) -> None:
        """Start a VM whose peers are the homes."""
        super().setUp()
        self.network = Network(store=MemoryStore(), order=NAMES)
        for name in NAMES:
            self.network.add(name)
        pauses = mock.patch(
            'bronzepost._internal.gateway.programs.settlements'
            '.SETTLEMENT_PAUSES_SECONDS',
            (0, 0, 0),
        )
        pauses.start()
        self.addCleanup(pauses.stop)

    def settle(self, calls: SilentCalls) -> list[SettleTokens]:
        """Settle a turn at another VM; return the messages that were sent."""
        fleet = mock.Mock(spec=Fleet)
        fleet.own_name = 'c'
        sender = Settlements(
            fleet=cast(Fleet, fleet),
            calls=cast(PeerCalls, calls),
            find_home=lambda _program: self.network.homes_by_name['c'],
        )
        sender.send('a', make_settlement('q-1', TOKENS))
        gevent.sleep(0.01)
        return calls.messages

    def test_settlement_is_repeated_until_it_is_confirmed(self) -> None:
        """A lost message kept the tokens of a turn reserved for good."""
        self.assertEqual(3, len(self.settle(SilentCalls(silent=2))))

    def test_confirmed_settlement_is_sent_once(self) -> None:
        """Guard against a message for each retry of all turns."""
        self.assertEqual(1, len(self.settle(SilentCalls(silent=0))))

    def test_settlement_that_comes_before_the_account(self) -> None:
        """Tokens stayed reserved where the account came from a paused home."""
        number = 'q-1'
        first = self.network.homes_by_name['a']
        request = make_request(number, needs_store=True, is_first=True)
        self.assertEqual(RESERVED, first.reserve(request))
        self.network.homes_by_name['b'].settle(make_settlement(number, 0))
        self.network.order = ('b', 'c', 'a')
        first.hand_over(is_leaving=True)
        accounts = self.network.homes_by_name['b'].accounts
        account = accounts.by_program[PROGRAM]
        self.assertEqual({}, dict(account.reserved_by_id))
        self.assertNotEqual(UNSURE, first.reserve(request))
