"""Reserve tokens for turns, at the home of each program."""

import dataclasses
import functools
from http import HTTPStatus
from typing import Final

import gevent

from bronzepost._internal.core.gateway import budgets
from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.budget_partition import BudgetPartition
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.homes import PeerReports, partition_of_key
from bronzepost._internal.gateway.keyed_store import KeyedStore
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.messages import (
    Held,
    HoldAllowance,
    ReserveTokens,
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

RESERVED: Final = 'reserved'
SPENT: Final = 'spent'
UNSURE: Final = 'unsure'

# An append takes a few milliseconds. Beyond this the store counts as slow
# and the home falls back on a provisional allowance.
GRANT_SECONDS: Final = 0.3
# Longer than the home's wait for the store and for one copy.
RESERVE_SECONDS: Final = 0.6
# Homes that are asked in turn before a turn is refused.
HOMES_TRIED: Final = 3
# Other VMs that hold a copy of a provisional allowance.
COPIES: Final = 2
# A program is remembered this long after its last turn; programs come back
# within the time that routes keep their turns, a minute.
REMEMBERED_SECONDS: Final = 90.0
FLUSH_SECONDS: Final = 0.5
DROP_SECONDS: Final = 10.0
RETRY_AFTER_SECONDS: Final = 0.3
# Grants, a provisional one, and a second look at what a reload brought.
_ROUNDS: Final = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Tokens of one turn that a home has reserved.

    ``server_id`` is the server that the turn's ``line`` ran on last.
    """

    program_id: str
    request_id: str
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
        """Keep accounts in ``store``, one partition of programs at a time."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._partitions = [
            BudgetPartition(
                store=store, partition=number, holder=fleet.own_boot
            )
            for number in range(store.partitions)
        ]
        fleet.subscribe(ReserveTokens, self._take_question)
        fleet.subscribe(SettleTokens, self._take_settlement)
        fleet.subscribe(HoldAllowance, self._take_copy)

    def start(self) -> None:
        """Start the upkeep of the accounts."""
        gevent.spawn(self._keep_up)

    def reserve(self, call: CallRequest) -> Reservation:
        """Reserve the most that a turn can generate.

        Raises:
            RefusedError: if the budget is spent, or if no home can tell.
        """
        ranked = self._rank(call.program_id)
        homes = self._reports.put_store_first(ranked)[:HOMES_TRIED]
        # Only one VM may grant without the store, or each would grant a part.
        for home in (*homes, ranked[0]):
            answer = self._ask_home(home, call, is_first=home == ranked[0])
            if answer.verdict == RESERVED:
                return Reservation(
                    program_id=call.program_id,
                    request_id=call.request_id,
                    home=home,
                    line=call.lines[0] if call.lines else '',
                    server_id=answer.server_id,
                )
            if answer.verdict == SPENT:
                raise refuse_spent(home)
        raise refuse_unsure()

    def settle(
        self, reservation: Reservation, tokens: int, server_id: str
    ) -> None:
        """Return what a turn did not use of its reservation."""
        message = SettleTokens(
            program_id=reservation.program_id,
            request_id=reservation.request_id,
            tokens=tokens,
            line=reservation.line,
            server_id=server_id,
        )
        if reservation.home == self._fleet.own_name:
            self._take_settlement(reservation.home, message)
        else:
            self._fleet.send(reservation.home, message)

    def _rank(self, program_id: str) -> tuple[str, ...]:
        number = partition_of_key(program_id, len(self._partitions))
        return self._reports.rank_homes(f'budgets-{number}')

    def _find_partition(self, program_id: str) -> BudgetPartition:
        number = partition_of_key(program_id, len(self._partitions))
        return self._partitions[number]

    def _ask_home(
        self, home: str, call: CallRequest, *, is_first: bool
    ) -> TokensReserved:
        budget = call.budget_tokens or 0
        question = functools.partial(
            ReserveTokens,
            program_id=call.program_id,
            request_id=call.request_id,
            budget=budget,
            tokens=call.output_tokens,
            lines=call.lines,
            may_be_provisional=is_first,
        )
        if home == self._fleet.own_name:
            return self._decide(question(call_id=0))
        answer: TokensReserved | None = self._calls.ask(
            home, lambda number: question(call_id=number), RESERVE_SECONDS
        )
        if answer is not None:
            return answer
        emit(LogEvent.HOME_SILENT, request=call.request_id, peer=home)
        self._reports.note_silent(home)
        # The home may have reserved the tokens all the same.
        unused = Reservation(
            program_id=call.program_id, request_id=call.request_id, home=home
        )
        self.settle(unused, 0, '')
        return TokensReserved(call_id=0, verdict=UNSURE)

    def _decide(self, question: ReserveTokens) -> TokensReserved:
        partition = self._find_partition(question.program_id)
        return TokensReserved(
            call_id=question.call_id,
            verdict=self._reserve_here(question),
            server_id=partition.find_server(question.lines),
        )

    def _reserve_here(self, question: ReserveTokens) -> str:
        partition = self._find_partition(question.program_id)
        for _ in range(_ROUNDS):
            account = partition.find_account(
                question.program_id, question.budget
            )
            decision = budgets.reserve_tokens(
                account,
                holder=self._fleet.own_boot,
                request_id=question.request_id,
                tokens=question.tokens,
            )
            if isinstance(decision, budgets.Reserved):
                partition.put_account(decision.account)
                return RESERVED
            partition.put_account(account)
            if isinstance(decision, budgets.BudgetSpent):
                return SPENT
            is_granted = partition.grant(
                question.program_id,
                decision.tokens,
                GRANT_SECONDS if self._reports.has_store else 0,
            ) or self._grant_provisionally(partition, question)
            if not is_granted:
                return UNSURE
        return UNSURE

    def _grant_provisionally(
        self, partition: BudgetPartition, question: ReserveTokens
    ) -> bool:
        if not question.may_be_provisional:
            return False
        account = partition.find_account(question.program_id, question.budget)
        # A share of the budget would use up what may be granted this way.
        available = account.count_available(self._fleet.own_boot)
        tokens = max(question.tokens - available, 0)
        holder = self._fleet.own_boot
        account = budgets.grant_provisionally(
            account, holder=holder, tokens=tokens
        )
        if not budgets.is_provisional_bounded(account, most=question.tokens):
            return False
        partition.put_account(account)
        total = account.provisional_by_holder[holder]
        is_held = self._send_copies(question, total)
        emit(
            LogEvent.ALLOWANCE_PROVISIONAL,
            request=question.request_id,
            program=question.program_id,
            tokens=tokens,
            is_held=is_held,
        )
        return is_held

    def _send_copies(self, question: ReserveTokens, total: int) -> bool:
        others = [
            name
            for name in self._rank(question.program_id)
            if name != self._fleet.own_name
        ]
        make_message = functools.partial(
            HoldAllowance,
            program_id=question.program_id,
            budget=question.budget,
            holder=self._fleet.own_boot,
            tokens=total,
            most=question.tokens,
        )
        asked = [
            gevent.spawn(
                self._calls.ask,
                name,
                lambda number: make_message(call_id=number),
            )
            for name in others[:COPIES]
        ]
        gevent.joinall(asked)
        answers = [done.value for done in asked if done.value is not None]
        return bool(answers) and all(answer.is_held for answer in answers)

    def _take_question(self, sender: str, question: ReserveTokens) -> None:
        gevent.spawn(self._answer_question, sender, question)

    def _answer_question(self, sender: str, question: ReserveTokens) -> None:
        self._fleet.send(sender, self._decide(question))

    def _take_settlement(self, _sender: str, message: SettleTokens) -> None:
        partition = self._find_partition(message.program_id)
        partition.note_server(message.line, message.server_id)
        account = partition.accounts_by_program.get(message.program_id)
        if account is not None:
            partition.put_account(
                budgets.settle_tokens(
                    account,
                    request_id=message.request_id,
                    tokens=message.tokens,
                )
            )

    def _take_copy(self, sender: str, copy: HoldAllowance) -> None:
        partition = self._find_partition(copy.program_id)
        account = partition.find_account(copy.program_id, copy.budget)
        account = budgets.hold_copy(
            account, holder=copy.holder, tokens=copy.tokens
        )
        # Refused if this VM knows of another one's provisional allowance.
        is_held = budgets.is_provisional_bounded(account, most=copy.most)
        if is_held:
            partition.put_account(account)
        held = Held(call_id=copy.call_id, is_held=is_held)
        self._fleet.send(sender, held)

    def _keep_up(self) -> None:
        next_drop = read_clock() + DROP_SECONDS
        while True:
            gevent.sleep(FLUSH_SECONDS)
            now = read_clock()
            for partition in self._partitions:
                partition.flush()
                if now >= next_drop:
                    partition.drop_untouched(now - REMEMBERED_SECONDS)
            if now >= next_drop:
                next_drop = now + DROP_SECONDS


def refuse_spent(home: str) -> RefusedError:
    """Return the refusal of a turn that the program cannot pay for."""
    return RefusedError(
        'the token budget of the program is spent',
        code='budget_spent',
        status=HTTPStatus.PAYMENT_REQUIRED,
        step='reserve tokens',
        peer=home,
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
