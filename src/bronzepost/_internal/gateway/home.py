"""The home of programs: decides on their tokens, one partition a table."""

from typing import Any, Final

import gevent
import msgspec

from bronzepost._internal.core.gateway import budgets as rules
from bronzepost._internal.core.gateway.budgets import ProgramAccount
from bronzepost._internal.gateway.accounts import Accounts, LineIndex
from bronzepost._internal.gateway.allowance_writer import AllowanceWriter
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.keyed_store import KeyedStore
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.node.messages import (
    HandOver,
    Held,
    HoldAllowance,
    ReserveTokens,
    SettleTokens,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

RESERVED: Final = 'reserved'
SPENT: Final = 'spent'
UNSURE: Final = 'unsure'

# An append takes a few milliseconds. Beyond this the store counts as slow
# and the home falls back on a provisional allowance.
GRANT_SECONDS: Final = 0.3
# Other VMs that hold a copy of a provisional allowance.
COPIES: Final = 2
# Bounds the memory of a partition's lines to about half a megabyte.
MOST_LINES: Final = 4096
# Grants, a provisional one, and a second look at what a reload brought.
_ROUNDS: Final = 4


class Home:
    """The accounts of one partition of programs, and who else has copies."""

    def __init__(
        self,
        *,
        number: int,
        store: KeyedStore,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
    ) -> None:
        """Keep the partition of this number in ``store``."""
        self.accounts = Accounts(boot=fleet.own_boot)
        self.lines = LineIndex(most_lines=MOST_LINES)
        self.writer = AllowanceWriter(
            store=store, partition=number, accounts=self.accounts
        )
        self._number = number
        self._fleet = fleet
        self._reports = reports
        self._calls = calls

    def rank(self) -> tuple[str, ...]:
        """Return the members in the order in which they are the home."""
        return self._reports.rank_homes(f'budgets-{self._number}')

    def reserve(self, question: ReserveTokens) -> str:
        """Decide on a reservation; return its verdict."""
        for _ in range(_ROUNDS):
            account = self.accounts.find(question.program_id, question.budget)
            decision = rules.reserve_tokens(
                account,
                holder=self.accounts.holder,
                request_id=question.request_id,
                tokens=question.tokens,
            )
            if isinstance(decision, rules.Reserved):
                self.accounts.put(decision.account)
                return RESERVED
            self.accounts.put(account)
            if isinstance(decision, rules.BudgetSpent):
                return SPENT
            if not self._get_allowance(question, decision.tokens):
                return UNSURE
        return UNSURE

    def settle(self, message: SettleTokens) -> bool:
        """Return what a turn did not use; false for an unknown program."""
        self.lines.note_server(message.line, message.server_id)
        account = self.accounts.by_program.get(message.program_id)
        if account is None:
            return False
        settled = rules.settle_tokens(
            account, request_id=message.request_id, tokens=message.tokens
        )
        self.accounts.put(settled)
        return True

    def take_copy(self, copy: HoldAllowance) -> Held:
        """Hold a copy of another VM's provisional allowance.

        It is refused if this VM knows of another one that contradicts it.
        """
        account = self.accounts.find(copy.program_id, copy.budget)
        account = rules.hold_copy(
            account, holder=copy.holder, tokens=copy.tokens
        )
        held_tokens = sum(account.provisional_by_holder.values())
        is_held = held_tokens <= copy.bound
        if is_held:
            self.accounts.put(account)
        return Held(call_id=copy.call_id, is_held=is_held)

    def take_over(self, sender: str, message: HandOver) -> None:
        """Take the accounts of a home that this VM replaces."""
        accounts = msgspec.msgpack.decode(
            message.content, type=list[ProgramAccount]
        )
        self.accounts.adopt(accounts, former=message.former)
        if message.is_synced:
            self.accounts.is_synced = True
        emit(
            LogEvent.ACCOUNTS_ADOPTED,
            partition=self._number,
            peer=sender,
            programs=len(accounts),
            is_synced=message.is_synced,
        )

    def hand_over(self, *, is_leaving: bool) -> None:
        """Hand the accounts to the VM that is their home now, if another."""
        homes = self._reports.put_store_first(self.rank())
        if is_leaving:
            homes = [name for name in homes if name != self._fleet.own_name]
        if homes and homes[0] != self._fleet.own_name:
            self._give_accounts(homes[0])

    def _give_accounts(self, home: str) -> None:
        former = self.accounts.holder
        is_synced = self.accounts.is_synced
        given = self.accounts.give_up()
        if not given:
            return
        self.writer.forget_end()
        message = HandOver(
            partition=self._number,
            former=former,
            is_synced=is_synced,
            content=msgspec.msgpack.encode(given),
        )
        emit(
            LogEvent.ACCOUNTS_HANDED_OVER,
            partition=self._number,
            peer=home,
            programs=len(given),
            is_sent=self._fleet.send(home, message),
        )

    def _get_allowance(self, question: ReserveTokens, tokens: int) -> bool:
        seconds = GRANT_SECONDS if self._reports.has_store else 0
        if self.writer.grant(question.program_id, tokens, seconds):
            return True
        return question.may_be_provisional and self._grant_provisionally(
            question
        )

    def _grant_provisionally(self, question: ReserveTokens) -> bool:
        account = self.accounts.find(question.program_id, question.budget)
        holder = self.accounts.holder
        # A share of the budget would use up what may be granted this way.
        available = account.count_available(holder)
        tokens = max(question.tokens - available, 0)
        bound = rules.find_provisional_bound(
            account,
            most=question.tokens,
            is_synced=self.accounts.is_synced,
        )
        account = rules.grant_provisionally(
            account, holder=holder, tokens=tokens
        )
        if sum(account.provisional_by_holder.values()) > bound:
            return False
        self.accounts.put(account)
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
        others = [name for name in self.rank() if name != self._fleet.own_name]
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
