"""Reserve tokens for turns, at the home of each program."""

import contextlib
import dataclasses
import functools
import math
from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.home import (
    HELD,
    RESERVED,
    SPENT,
    UNSURE,
    Home,
)
from bronzepost._internal.gateway.keyed_store import KeyedStore
from bronzepost._internal.gateway.loops import start_loop, start_once
from bronzepost._internal.gateway.messages import (
    FindAllowances,
    GatewayMessage,
    HandOver,
    HoldAllowance,
    ReserveTokens,
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import (
    PeerReports,
    partition_of_key,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Longer than the home's wait for the store and for one copy.
RESERVE_SECONDS: Final = 0.6
# Homes that are asked in turn before a turn is refused.
HOMES_TRIED: Final = 3
# A program is remembered this long after its last turn; programs come back
# within the time that routes keep their turns, a minute.
REMEMBERED_SECONDS: Final = 90.0
FLUSH_SECONDS: Final = 0.5
DROP_SECONDS: Final = 10.0
RETRY_AFTER_SECONDS: Final = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Tokens of one turn that a home has reserved.

    ``reservation_id`` differs for each home that was asked, so that what
    settles an unused reservation cannot settle the one that is used.
    ``server_id`` is the server that the turn's ``line`` ran on last.
    """

    program_id: str
    reservation_id: str
    home: str
    line: str = ''
    server_id: str = ''


class BudgetKeeper:
    """Reserve and settle tokens, here or at the VM that keeps the program."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        store: KeyedStore,
    ) -> None:
        """Keep accounts in ``store``, one home a partition of programs."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._is_leaving = False
        # When another VM was the home of a partition last.
        self._other_home_at: dict[int, float] = {}
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
        fleet.subscribe(ReserveTokens, self._take_question)
        fleet.subscribe(SettleTokens, self._take_settlement)
        fleet.subscribe(HoldAllowance, self._take_copy)
        fleet.subscribe(FindAllowances, self._take_copy)
        fleet.subscribe(HandOver, self._take_accounts)

    def start(self) -> None:
        """Start the upkeep of the accounts."""
        start_loop(self._keep_up, FLUSH_SECONDS)
        start_loop(self._drop_untouched, DROP_SECONDS)

    def count_programs(self) -> int:
        """Return the programs that this VM keeps accounts of."""
        return sum(len(home.accounts.by_program) for home in self._homes)

    def leave(self) -> None:
        """Hand all accounts to the VMs that are their homes from now on."""
        self._is_leaving = True
        for home in self._homes:
            home.hand_over(is_leaving=True)

    def reserve(
        self, call: CallRequest, *, needs_store: bool = False
    ) -> Reservation:
        """Reserve the most that a turn can generate.

        ``needs_store`` tells that its answer cannot end without the store.

        Raises:
            RefusedError: if the budget is spent, or if no home can tell.
        """
        ranked = self._find_home(call.program_id).rank()
        homes = self._reports.put_store_first(ranked)[:HOMES_TRIED]
        # Only one VM may grant without the store, or each would grant a part.
        for number, name in enumerate((*homes, ranked[0])):
            reservation = Reservation(
                program_id=call.program_id,
                reservation_id=f'{call.request_id}/{number}',
                home=name,
                line=call.branch_ids[0] if call.branch_ids else '',
            )
            answer = self._ask_home(
                reservation,
                call,
                may_be_provisional=name == ranked[0],
                needs_store=needs_store,
            )
            if answer.verdict == RESERVED:
                return dataclasses.replace(
                    reservation, server_id=answer.server_id
                )
            if answer.verdict == SPENT:
                raise refuse_spent(name)
            if answer.verdict == HELD:
                raise refuse_held(name)
        raise refuse_unsure()

    def settle(
        self, reservation: Reservation, tokens: int, server_id: str
    ) -> None:
        """Return what a turn did not use of its reservation."""
        message = SettleTokens(
            program_id=reservation.program_id,
            reservation_id=reservation.reservation_id,
            tokens=tokens,
            line=reservation.line,
            server_id=server_id,
        )
        if reservation.home == self._fleet.own_name:
            self._take_settlement(reservation.home, message)
        else:
            self._fleet.send(reservation.home, message)

    def _find_home(self, program_id: str) -> Home:
        return self._homes[partition_of_key(program_id, len(self._homes))]

    def _ask_home(
        self,
        reservation: Reservation,
        call: CallRequest,
        *,
        may_be_provisional: bool,
        needs_store: bool,
    ) -> TokensReserved:
        make_question = functools.partial(
            ReserveTokens,
            program_id=call.program_id,
            request_id=call.request_id,
            reservation_id=reservation.reservation_id,
            budget=call.budget_tokens or 0,
            tokens=call.max_output_tokens,
            lines=call.branch_ids,
            may_be_provisional=may_be_provisional,
            is_first=call.is_first_turn,
            needs_store=needs_store,
        )
        if reservation.home == self._fleet.own_name:
            return self._decide(make_question(call_id=0))
        with contextlib.ExitStack() as stack:
            # The caller may leave, or its time end, while the home decides.
            stack.callback(self.settle, reservation, 0, '')
            answer: TokensReserved | None = self._calls.ask(
                reservation.home,
                lambda number: make_question(call_id=number),
                RESERVE_SECONDS,
            )
            stack.pop_all()
        if answer is None:
            self._note_silent(reservation, call)
            return TokensReserved(call_id=0, verdict=UNSURE)
        return answer

    def _note_silent(self, unused: Reservation, call: CallRequest) -> None:
        emit(LogEvent.HOME_SILENT, request=call.request_id, peer=unused.home)
        self._reports.note_silent(unused.home)
        # The home may have reserved the tokens all the same.
        self.settle(unused, 0, '')

    def _decide(self, question: ReserveTokens) -> TokensReserved:
        if self._is_leaving:
            return TokensReserved(call_id=question.call_id, verdict=UNSURE)
        home = self._find_home(question.program_id)
        return TokensReserved(
            call_id=question.call_id,
            verdict=home.reserve(question),
            server_id=home.lines.find_server(question.lines),
        )

    def _take_question(self, sender: str, question: ReserveTokens) -> None:
        # A decision may wait for the store, and other messages must not.
        start_once(lambda: self._fleet.send(sender, self._decide(question)))

    def _take_settlement(self, sender: str, message: SettleTokens) -> None:
        home = self._find_home(message.program_id)
        if home.settle(message):
            return
        # The accounts were handed over. Forwarded once: a message from the
        # home itself is not sent back.
        names = home.rank()[:1]
        if names and names[0] not in {sender, self._fleet.own_name}:
            self._fleet.send(names[0], message)

    def _take_copy(
        self, sender: str, message: HoldAllowance | FindAllowances
    ) -> None:
        home = self._find_home(message.program_id)
        answer: GatewayMessage
        if isinstance(message, FindAllowances):
            answer = home.list_allowances(message)
        else:
            answer = home.take_copy(message)
        self._fleet.send(sender, answer)

    def _take_accounts(self, sender: str, message: HandOver) -> None:
        self._homes[message.partition].take_over(sender, message)

    def _keep_up(self) -> None:
        for home in self._homes:
            home.hand_over(is_leaving=self._is_leaving)
            home.writer.flush(has_store=self._reports.has_store)

    def _drop_untouched(self) -> None:
        # Only a VM that has been the home all the while can tell that a program
        # was not heard of: another one has read the accounts once and does not
        # hear of later turns.
        now = read_clock()
        oldest = now - REMEMBERED_SECONDS
        for number, home in enumerate(self._homes):
            if home.rank()[:1] != (self._fleet.own_name,):
                self._other_home_at[number] = now
            elif self._other_home_at.get(number, -math.inf) < oldest:
                home.writer.drop_untouched(oldest)


def refuse_spent(home: str) -> RefusedError:
    """Return the refusal of a turn that the program cannot pay for."""
    return RefusedError(
        'the token budget of the program is spent',
        code='budget_spent',
        status=HTTPStatus.PAYMENT_REQUIRED,
        step='reserve tokens',
        peer=home,
    )


def refuse_held(home: str) -> RefusedError:
    """Return the refusal of a turn that may fit once others have ended."""
    return RefusedError(
        'the token budget is reserved by other turns of the program',
        code='budget_reserved',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='reserve tokens',
        peer=home,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_unsure() -> RefusedError:
    """Return the refusal of a turn whose budget no VM can vouch for."""
    return RefusedError(
        'the token budget cannot be checked now',
        code='budget_unsure',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='reserve tokens',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
