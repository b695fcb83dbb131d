"""Reserve the tokens of turns at the home of each program."""

import contextlib
import dataclasses
import functools
import math
from http import HTTPStatus
from typing import Final

import gevent

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.loops import start_loop, start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindAllowances,
    GatewayMessage,
    HandOver,
    ReplicateAllowance,
    ReserveTokens,
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import (
    PeerReports,
    partition_of_key,
)
from bronzepost._internal.gateway.programs.home import (
    ADMITTED,
    HELD,
    SPENT,
    UNSURE,
    Home,
)
from bronzepost._internal.gateway.programs.keyed_store import KeyedStore
from bronzepost._internal.gateway.programs.settlements import Settlements
from bronzepost._internal.gateway.programs.voter_memory import (
    restore_memories,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Longer than the time that a home waits for the store and for one copy.
RESERVE_TIMEOUT_SECONDS: Final = 0.6
# A home waits this long for grants to a turn at another VM, which would take it
# for silent after the timeout above.
DECISION_SECONDS: Final = 0.5
# VMs that are asked one after another, in the order of homes, before a turn is
# refused.
MAX_HOMES_ASKED: Final = 3
# An account is removed this long after its last use. Programs continue within
# the retention time of their turns, which is a minute.
ACCOUNT_RETENTION_SECONDS: Final = 90.0
FLUSH_INTERVAL_SECONDS: Final = 0.5
CLEANUP_INTERVAL_SECONDS: Final = 10.0
RETRY_AFTER_SECONDS: Final = 0.3
# A turn that has begun to answer waits this long for its grant, rather than end
# without one: a slow store takes up to 1.5 s.
BEGIN_SECONDS: Final = 2.0
BEGIN_PAUSE_SECONDS: Final = 0.1
# What may still run after the deadline of a turn, as while its answer is stored.
EXPIRY_MARGIN_SECONDS: Final = 1.0
# Callers try a turn a few times only, and an outage of the store lasts seconds.
OUTAGE_RETRY_AFTER_SECONDS: Final = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Tokens of one turn that a home has reserved.

    Each home that is asked gets a different ``reservation_id``, so that
    settling an unused reservation cannot settle the one in use. ``server_id``
    is the backend server that the turn's ``branch`` ran on last. Unless the tokens
    are ``is_granted``, the turn must hand none out before ``BudgetKeeper.begin``.
    """

    program_id: str
    reservation_id: str
    home: str
    branch: str = ''
    server_id: str = ''
    is_granted: bool = True


class BudgetKeeper:
    """Reserve and settle tokens, on this VM or at the home of the program."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        store: KeyedStore,
    ) -> None:
        """Keep accounts in ``store``, with one ``Home`` for each partition."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._is_leaving = False
        # The last time that another VM was the home, by partition.
        self._last_not_home_at: dict[int, float] = {}
        self._homes = [
            Home(
                number=number,
                store=store,
                fleet=fleet,
                reports=reports,
                calls=calls,
            )
            for number in range(store.partitions)
        ]
        fleet.subscribe(ReserveTokens, self._handle_reserve)
        self._settlements = Settlements(
            fleet=fleet, calls=calls, find_home=self._find_home
        )
        fleet.subscribe(ReplicateAllowance, self._handle_allowance_message)
        fleet.subscribe(FindAllowances, self._handle_allowance_message)
        fleet.subscribe(
            HandOver,
            lambda sender, message: self._homes[
                message.partition
            ].accept_hand_over(sender, message),
        )

    def start(self) -> None:
        """Start writing accounts and removing unused ones, periodically."""
        start_loop(self._maintain_accounts, FLUSH_INTERVAL_SECONDS)
        start_loop(self._drop_untouched, CLEANUP_INTERVAL_SECONDS)
        memories = [home.memory for home in self._homes]
        start_loop(lambda: restore_memories(memories), FLUSH_INTERVAL_SECONDS)

    def count_programs(self) -> int:
        """Return the number of programs of which this VM has an account."""
        return sum(len(home.accounts.by_program) for home in self._homes)

    def leave(self) -> None:
        """Hand all accounts over to the next homes and refuse reservations."""
        self._is_leaving = True
        for home in self._homes:
            home.hand_over(is_leaving=True)

    def reserve(
        self, call: CallRequest, *, needs_store: bool = False
    ) -> Reservation:
        """Reserve the maximum number of tokens that a turn can generate.

        ``needs_store`` is true if the answer cannot end without the store. The
        tokens may then be granted only when the turn begins to hand them out, so
        that a turn which is lost before costs its program nothing.

        Raises:
            RefusedError: if the budget is spent or reserved, or if no home can
                decide.
        """
        terms = Terms(needs_store=needs_store, begins=not needs_store)
        return self._reserve(call, terms)

    def begin(self, reservation: Reservation, call: CallRequest) -> Reservation:
        """Have the tokens granted of a turn whose first event has come.

        Raises:
            RefusedError: if they are not granted. The turn may have run, and must
                hand nothing out.
        """
        if reservation.is_granted:
            return reservation
        terms = Terms(needs_store=True, begins=True)
        ends_at = read_clock() + BEGIN_SECONDS
        attempt = reservation
        answer = self._ask_home(attempt, call, terms)
        while answer.verdict == UNSURE and read_clock() < ends_at:
            self.settle(attempt, 0, '')
            homes = self._find_home(call.program_id).rank()
            if homes[:1] != (reservation.home,):
                # Another home knows nothing of the turn yet.
                return self._reserve(call, terms)
            gevent.sleep(BEGIN_PAUSE_SECONDS)
            # The settlement above may arrive late, so its id is not used again.
            attempt = dataclasses.replace(
                reservation, reservation_id=f'{attempt.reservation_id}+'
            )
            answer = self._ask_home(attempt, call, terms)
        return accept_answer(attempt, answer)

    def settle(
        self, reservation: Reservation, tokens: int, server_id: str
    ) -> None:
        """Report the ``tokens`` that a turn generated and free the rest."""
        message = SettleTokens(
            program_id=reservation.program_id,
            reservation_id=reservation.reservation_id,
            tokens=tokens,
            line=reservation.branch,
            server_id=server_id,
        )
        self._settlements.send(reservation.home, message)

    def _reserve(self, call: CallRequest, terms: 'Terms') -> Reservation:
        ranked = self._find_home(call.program_id).rank()
        homes = self._reports.sort_by_store_access(ranked)[:MAX_HOMES_ASKED]
        # Only the first VM may grant without the store; otherwise each VM would
        # grant a part of its own. There is none while all VMs stop.
        first = ranked[:1]
        step = 'begin' if terms.needs_store and terms.begins else ''
        for number, name in enumerate((*homes, *first)):
            reservation = Reservation(
                program_id=call.program_id,
                reservation_id=f'{call.request_id}/{step}{number}',
                home=name,
                branch=call.branch_ids[0] if call.branch_ids else '',
            )
            answer = self._ask_home(reservation, call, terms)
            if answer.verdict != UNSURE:
                return accept_answer(reservation, answer)
        raise refuse_unsure(has_store=self._reports.has_store)

    def _find_home(self, program_id: str) -> Home:
        return self._homes[partition_of_key(program_id, len(self._homes))]

    def _ask_home(
        self, reservation: Reservation, call: CallRequest, terms: 'Terms'
    ) -> TokensReserved:
        ranked = self._find_home(call.program_id).rank()
        seconds = call.deadline_seconds or ACCOUNT_RETENTION_SECONDS
        make_request = functools.partial(
            ReserveTokens,
            program_id=call.program_id,
            request_id=call.request_id,
            reservation_id=reservation.reservation_id,
            budget=call.budget_tokens or 0,
            tokens=call.max_output_tokens,
            lines=call.branch_ids,
            may_be_provisional=ranked[:1] == (reservation.home,),
            is_first=call.is_first_turn,
            needs_store=terms.needs_store,
            begins=terms.begins,
            owner=self._fleet.own_boot,
            expires_seconds=seconds + EXPIRY_MARGIN_SECONDS,
        )
        if reservation.home == self._fleet.own_name:
            return self._decide(make_request(call_id=0))
        with contextlib.ExitStack() as stack:
            # The caller may disconnect, or the deadline pass, while the home
            # decides.
            stack.callback(self.settle, reservation, 0, '')
            answer: TokensReserved | None = self._calls.ask(
                reservation.home,
                lambda number: make_request(call_id=number),
                RESERVE_TIMEOUT_SECONDS,
            )
            stack.pop_all()
        if answer is None:
            self._handle_silent_home(reservation, call)
            return TokensReserved(call_id=0, verdict=UNSURE)
        return answer

    def _handle_silent_home(
        self, unused: Reservation, call: CallRequest
    ) -> None:
        emit(LogEvent.HOME_SILENT, request=call.request_id, peer=unused.home)
        self._reports.mark_silent(unused.home)
        # The home may have reserved the tokens although no answer came.
        self.settle(unused, 0, '')

    def _decide(
        self, request: ReserveTokens, seconds: float = math.inf
    ) -> TokensReserved:
        if self._is_leaving:
            return TokensReserved(call_id=request.call_id, verdict=UNSURE)
        home = self._find_home(request.program_id)
        return TokensReserved(
            call_id=request.call_id,
            verdict=home.reserve(request, seconds=seconds),
            server_id=home.branches.find_server(request.lines),
        )

    def _handle_reserve(self, sender: str, request: ReserveTokens) -> None:
        # A decision may wait for the store, which must not delay other
        # messages.
        start_task(
            lambda: self._fleet.send(
                sender, self._decide(request, DECISION_SECONDS)
            )
        )

    def _handle_allowance_message(
        self, sender: str, message: ReplicateAllowance | FindAllowances
    ) -> None:
        home = self._find_home(message.program_id)
        answer: GatewayMessage
        if isinstance(message, FindAllowances):
            answer = home.list_allowances(message)
        else:
            answer = home.hold_copy(message)
        self._fleet.send(sender, answer)

    def _maintain_accounts(self) -> None:
        for home in self._homes:
            home.maintain(is_leaving=self._is_leaving)

    def _drop_untouched(self) -> None:
        # Only a VM that was the home for the whole retention time knows that a
        # program had no turns. Other VMs may have read the account once, but
        # they receive no requests of later turns.
        now = read_clock()
        retained_since = now - ACCOUNT_RETENTION_SECONDS
        for number, home in enumerate(self._homes):
            if home.rank()[:1] != (self._fleet.own_name,):
                self._last_not_home_at[number] = now
            elif self._last_not_home_at.get(number, -math.inf) < retained_since:
                home.writer.drop_untouched(retained_since)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """Whether a turn ``needs_store`` to end, and ``begins`` to hand tokens out."""

    needs_store: bool
    begins: bool


def accept_answer(
    reservation: Reservation, answer: TokensReserved
) -> Reservation:
    """Return the reservation as a home has answered to it.

    Raises:
        RefusedError: if the home refuses the turn.
    """
    if answer.verdict == SPENT:
        raise refuse_spent(reservation.home)
    if answer.verdict == HELD:
        raise refuse_held(reservation.home)
    if answer.verdict == UNSURE:
        raise refuse_unsure(has_store=True)
    return dataclasses.replace(
        reservation,
        server_id=answer.server_id,
        is_granted=answer.verdict != ADMITTED,
    )


def refuse_spent(home: str) -> RefusedError:
    """Return the refusal of a turn that exceeds the budget for good."""
    return RefusedError(
        'the token budget of the program is spent',
        code='budget_spent',
        status=HTTPStatus.PAYMENT_REQUIRED,
        step='reserve tokens',
        peer=home,
    )


def refuse_held(home: str) -> RefusedError:
    """Return the refusal of a turn that may fit when other turns have ended."""
    return RefusedError(
        'the token budget is reserved by other turns of the program',
        code='budget_reserved',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='reserve tokens',
        peer=home,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_unsure(*, has_store: bool) -> RefusedError:
    """Return the refusal of a turn whose budget no VM can check now.

    While the store does not answer, the caller is told to come back later.
    """
    seconds = RETRY_AFTER_SECONDS if has_store else OUTAGE_RETRY_AFTER_SECONDS
    return RefusedError(
        'the token budget cannot be checked now',
        code='budget_unsure',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='reserve tokens',
        retry_after_seconds=seconds,
    )
