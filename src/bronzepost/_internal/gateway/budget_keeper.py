"""Reserve tokens for turns, at the home of each program."""

import dataclasses
import functools
from http import HTTPStatus
from typing import Any, Final

import gevent
import msgspec

from bronzepost._internal.core.gateway import budgets
from bronzepost._internal.core.gateway.budgets import ProgramAccount
from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.budget_partition import BudgetPartition
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.homes import PeerReports, partition_of_key
from bronzepost._internal.gateway.keyed_store import KeyedStore
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.messages import (
    HandOver,
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
        self._is_leaving = False
        self._partitions = [
            BudgetPartition(
                store=store, partition=number, holder=fleet.own_boot
            )
            for number in range(store.partitions)
        ]
        fleet.subscribe(ReserveTokens, self._take_question)
        fleet.subscribe(SettleTokens, self._take_settlement)
        fleet.subscribe(HoldAllowance, self._take_copy)
        fleet.subscribe(HandOver, self._take_accounts)

    def start(self) -> None:
        """Start the upkeep of the accounts."""
        start_loop(self._keep_up, FLUSH_SECONDS)
        start_loop(self._drop_untouched, DROP_SECONDS)

    def leave(self) -> None:
        """Hand all accounts to the VMs that are their homes from now on."""
        self._is_leaving = True
        self._hand_over()

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
        if self._is_leaving:
            return TokensReserved(call_id=question.call_id, verdict=UNSURE)
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
                holder=partition.holder,
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
        holder = partition.holder
        available = account.count_available(holder)
        tokens = max(question.tokens - available, 0)
        bound = budgets.find_provisional_bound(
            account, most=question.tokens, is_synced=partition.is_synced
        )
        account = budgets.grant_provisionally(
            account, holder=holder, tokens=tokens
        )
        if sum(account.provisional_by_holder.values()) > bound:
            return False
        partition.put_account(account)
        copy = HoldAllowance(
            call_id=0,
            program_id=question.program_id,
            budget=question.budget,
            holder=holder,
            tokens=account.provisional_by_holder[holder],
            bound=bound,
        )
        is_held = self._send_copies(copy)
        emit(
            LogEvent.ALLOWANCE_PROVISIONAL,
            request=question.request_id,
            program=question.program_id,
            tokens=tokens,
            is_held=is_held,
        )
        return is_held

    def _send_copies(self, copy: HoldAllowance) -> bool:
        others = [
            name
            for name in self._rank(copy.program_id)
            if name != self._fleet.own_name
        ]
        asked = [
            gevent.spawn(self._send_copy, name, copy)
            for name in others[:COPIES]
        ]
        gevent.joinall(asked)
        answers = [done.value for done in asked if done.value is not None]
        return bool(answers) and all(answer.is_held for answer in answers)

    def _send_copy(self, name: str, copy: HoldAllowance) -> Any:
        return self._calls.ask(
            name,
            lambda number: msgspec.structs.replace(copy, call_id=number),
        )

    def _take_question(self, sender: str, question: ReserveTokens) -> None:
        gevent.spawn(self._answer_question, sender, question)

    def _answer_question(self, sender: str, question: ReserveTokens) -> None:
        self._fleet.send(sender, self._decide(question))

    def _take_accounts(self, sender: str, message: HandOver) -> None:
        partition = self._partitions[message.partition]
        accounts = msgspec.msgpack.decode(
            message.content, type=list[ProgramAccount]
        )
        partition.adopt(accounts, former=message.former)
        partition.is_synced = partition.is_synced or message.is_synced
        emit(
            LogEvent.ACCOUNTS_ADOPTED,
            partition=message.partition,
            peer=sender,
            programs=len(accounts),
            is_synced=message.is_synced,
        )

    def _hand_over(self) -> None:
        for number, partition in enumerate(self._partitions):
            ranked = self._reports.rank_homes(f'budgets-{number}')
            homes = self._reports.put_store_first(ranked)
            if self._is_leaving:
                homes = [name for name in homes if name != self._fleet.own_name]
            if homes and homes[0] != self._fleet.own_name:
                self._give_accounts(number, partition, homes[0])

    def _give_accounts(
        self, number: int, partition: BudgetPartition, home: str
    ) -> None:
        former = partition.holder
        is_synced = partition.is_synced
        accounts = partition.give_up()
        if not accounts:
            return
        message = HandOver(
            partition=number,
            former=former,
            is_synced=is_synced,
            content=msgspec.msgpack.encode(accounts),
        )
        is_sent = self._fleet.send(home, message)
        emit(
            LogEvent.ACCOUNTS_HANDED_OVER,
            partition=number,
            peer=home,
            programs=len(accounts),
            is_sent=is_sent,
        )

    def _take_settlement(self, sender: str, message: SettleTokens) -> None:
        partition = self._find_partition(message.program_id)
        partition.note_server(message.line, message.server_id)
        account = partition.accounts_by_program.get(message.program_id)
        if account is None:
            self._forward_settlement(sender, message)
        else:
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
        held_tokens = sum(account.provisional_by_holder.values())
        is_held = held_tokens <= copy.bound
        if is_held:
            partition.put_account(account)
        held = Held(call_id=copy.call_id, is_held=is_held)
        self._fleet.send(sender, held)

    def _forward_settlement(self, sender: str, message: SettleTokens) -> None:
        # Forwarded once: a message from another home is not sent back.
        home = self._rank(message.program_id)[:1]
        if home and home[0] not in {sender, self._fleet.own_name}:
            self._fleet.send(home[0], message)

    def _keep_up(self) -> None:
        self._hand_over()
        for partition in self._partitions:
            partition.flush()

    def _drop_untouched(self) -> None:
        oldest = read_clock() - REMEMBERED_SECONDS
        for partition in self._partitions:
            partition.drop_untouched(oldest)


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
