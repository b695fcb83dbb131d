"""The home of programs: decides on their tokens, one partition a table."""

from typing import Any, Final

import gevent
import msgspec
from gevent.lock import BoundedSemaphore
from gevent.pool import Pool

from bronzepost._internal.core.gateway import budgets as rules
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.accounts import Accounts, LineIndex, RecentIds
from bronzepost._internal.gateway.allowance_writer import AllowanceWriter
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.keyed_store import KeyedStore
from bronzepost._internal.gateway.messages import (
    AllowanceReplicated,
    AllowancesFound,
    FindAllowances,
    HandOver,
    ReplicateAllowance,
    ReserveTokens,
    SettleTokens,
)
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

RESERVED: Final = 'reserved'
SPENT: Final = 'spent'
HELD: Final = 'held'
UNSURE: Final = 'unsure'

# An append takes a few milliseconds. Beyond this the store counts as slow
# and the home falls back on a provisional allowance.
GRANT_SECONDS: Final = 0.3
# For this long after the store's return, or after the start, other VMs may
# have allowances that they have not brought into the store yet; they do so
# twice a second, and a slow append takes up to 1.5 s.
UNSETTLED_SECONDS: Final = 3.0
# Copies of a provisional allowance that a turn waits for. More are sent, so
# that any VM that outlives the others has one.
COPIES: Final = 2
# Bounds the messages of a provisional allowance.
MOST_ASKED: Final = 24
# Callers repeat a failed turn within a second, and pauses between the turns of
# a program are a few seconds; so programs from before a loss of all VMs are
# heard of within this time after the first VM is back.
LOSS_SECONDS: Final = 20.0
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
        # Reservations that were settled before they were made.
        self._given_up = RecentIds(most_ids=MOST_LINES)
        self._number = number
        self._key = f'budgets-{number}'
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._first_before = fleet.own_name
        self._provisional_lock = BoundedSemaphore(1)

    def rank(self) -> tuple[str, ...]:
        """Return the members in the order in which they are the home."""
        return self._reports.rank_homes(self._key)

    def reserve(self, question: ReserveTokens) -> str:
        """Decide on a reservation; return its verdict."""
        for _ in range(_ROUNDS):
            account = self.accounts.find(question.program_id, question.budget)
            account = check_loss(account, question, self._fleet.age_seconds)
            decision = decide_reservation(
                account, self.accounts.holder, question
            )
            if isinstance(decision, rules.Reserved):
                if self._given_up.take(question.reservation_id):
                    return UNSURE
                self.accounts.put_used(decision.account)
                return RESERVED
            self.accounts.put(account)
            if isinstance(decision, rules.BudgetSpent):
                return self._refuse_spent(question, is_final=decision.is_final)
            if not self._get_allowance(question, decision.tokens):
                return UNSURE
        return UNSURE

    def settle(self, message: SettleTokens) -> bool:
        """Return what a turn did not use; false for an unknown program."""
        self.lines.note_server(message.line, message.server_id)
        account = self.accounts.by_program.get(message.program_id)
        if account is None or message.reservation_id not in (
            account.reserved_by_id
        ):
            # The decision may still be waiting for the store.
            self._given_up.add(message.reservation_id)
        if account is None:
            return False
        settled = rules.settle_tokens(
            account,
            reservation_id=message.reservation_id,
            tokens=message.tokens,
        )
        self.accounts.put_used(settled)
        return True

    def take_copy(self, copy: ReplicateAllowance) -> AllowanceReplicated:
        """Hold a copy of another VM's provisional allowance.

        It is refused if this VM knows of another one that contradicts it.
        """
        account = self.accounts.find(copy.program_id, copy.budget)
        account = rules.hold_copy(
            account,
            holder=copy.holder,
            tokens=copy.tokens,
            stored=copy.stored,
            returned=copy.returned,
        )
        is_held = rules.is_within(account, bound=copy.bound)
        if is_held:
            self.accounts.put(account)
        return AllowanceReplicated(call_id=copy.call_id, is_held=is_held)

    def list_allowances(self, question: FindAllowances) -> AllowancesFound:
        """Return the allowances of a program that the store may lack."""
        account = self.accounts.by_program.get(question.program_id)
        known = account.claimed_by_holder if account else {}
        return AllowancesFound(
            call_id=question.call_id, tokens_by_holder=dict(known)
        )

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
        first = self._reports.find_home(self._key)
        if is_leaving:
            homes = self._reports.sort_by_store_access(self.rank())
            others = (name for name in homes if name != self._fleet.own_name)
            first = next(others, '')
        first = first or self._fleet.own_name
        # Views differ for a moment when VMs or the store come and go, and
        # accounts that move to and fro are known to nobody meanwhile.
        is_settled = is_leaving or first == self._first_before
        self._first_before = first
        if is_settled and first != self._fleet.own_name:
            self._give_accounts(first)

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

    def _refuse_spent(self, question: ReserveTokens, *, is_final: bool) -> str:
        if is_final:
            self._log_figures(LogEvent.BUDGET_SPENT, question)
            return SPENT
        self._log_figures(
            LogEvent.ALLOWANCE_REFUSED,
            question,
            reason='the rest is reserved, or was when a VM was lost',
        )
        return HELD

    def _get_allowance(self, question: ReserveTokens, tokens: int) -> bool:
        seconds = GRANT_SECONDS if self._reports.has_store else 0
        if self._reports.store_available_seconds < UNSETTLED_SECONDS:
            account = self._ask_allowances(question)
            decision = decide_reservation(
                account, self.accounts.holder, question
            )
            if isinstance(decision, rules.BudgetSpent):
                return True
        if self.writer.grant(question.program_id, tokens, seconds):
            return True
        if not question.may_be_provisional:
            self._log_figures(
                LogEvent.ALLOWANCE_REFUSED,
                question,
                reason='another VM grants without the store',
            )
            return False
        # One at a time, so that the copies add up.
        with self._provisional_lock:
            return self._grant_provisionally(question)

    def _ask_allowances(self, question: ReserveTokens) -> ProgramAccount:
        """Learn what was granted without the store and is not in it yet."""
        others = [name for name in self.rank() if name != self._fleet.own_name]
        message = FindAllowances(call_id=0, program_id=question.program_id)
        answers = Pool(MOST_ASKED).map(
            lambda name: self._ask(name, message), others[:MOST_ASKED]
        )
        account = self.accounts.find(question.program_id, question.budget)
        for answer in filter(None, answers):
            for holder, tokens in answer.tokens_by_holder.items():
                account = rules.hold_copy(account, holder=holder, tokens=tokens)
        self.accounts.put(account)
        return account

    def _grant_provisionally(self, question: ReserveTokens) -> bool:
        account = self.accounts.find(question.program_id, question.budget)
        holder = self.accounts.holder
        # A share of the budget would use up what may be granted this way.
        available = account.count_available(holder)
        tokens = max(question.tokens - available, 0)
        bound = rules.find_provisional_bound(
            account, most=question.tokens, needs_store=question.needs_store
        )
        account = rules.grant_provisionally(
            account, holder=holder, tokens=tokens
        )
        if not rules.is_within(account, bound=bound):
            self._log_figures(
                LogEvent.ALLOWANCE_REFUSED,
                question,
                reason='more than may be lost',
                bound=bound,
            )
            return False
        copy = ReplicateAllowance(
            call_id=0,
            program_id=question.program_id,
            budget=question.budget,
            holder=holder,
            tokens=account.find_total(holder),
            stored=account.granted_by_holder.get(holder, 0),
            returned=account.returned_by_holder.get(holder, 0),
            bound=bound,
        )
        is_held = self._send_copies(copy) and self.accounts.holder == holder
        if is_held:
            # Turns may have been settled while the copies were sent.
            account = self.accounts.find(question.program_id, question.budget)
            self.accounts.put(
                rules.grant_provisionally(account, holder=holder, tokens=tokens)
            )
        emit(
            LogEvent.ALLOWANCE_PROVISIONAL,
            request=question.request_id,
            program=question.program_id,
            tokens=tokens,
            is_held=is_held,
        )
        return is_held

    def _log_figures(
        self, event: LogEvent, question: ReserveTokens, **more: int | str
    ) -> None:
        account = self.accounts.find(question.program_id, question.budget)
        emit(
            event,
            request=question.request_id,
            program=question.program_id,
            tokens=question.tokens,
            budget=question.budget,
            granted=account.granted,
            provisional=account.provisional,
            forgotten=account.find_allowance(rules.FORGOTTEN),
            spent=account.count_spent(self.accounts.holder),
            reserved=sum(account.reserved_by_id.values()),
            available=account.count_available(self.accounts.holder),
            is_synced=self.accounts.is_synced,
            store_seconds=round(self._reports.store_available_seconds, 3),
            **more,
        )

    def _send_copies(self, copy: ReplicateAllowance) -> bool:
        others = [name for name in self.rank() if name != self._fleet.own_name]
        asked = [
            gevent.spawn(self._ask, name, copy) for name in others[:MOST_ASKED]
        ]
        # A home that does not know what the store has waits for all, since
        # any of them may know of allowances that contradict its own.
        needed = COPIES if self.accounts.is_synced else len(asked)
        held = 0
        for done in gevent.iwait(asked):
            answer = done.value
            if answer is not None and not answer.is_held:
                return False
            held += answer is not None
            if held == needed:
                return True
        return held > 0

    def _ask(
        self, name: str, message: ReplicateAllowance | FindAllowances
    ) -> Any:
        return self._calls.ask(
            name,
            lambda number: msgspec.structs.replace(message, call_id=number),
        )


def check_loss(
    account: ProgramAccount, question: ReserveTokens, age_seconds: float
) -> ProgramAccount:
    """Return the account with what a loss of all VMs may have forgotten.

    ``age_seconds`` is for how long the oldest VM has run.
    """
    if rules.is_checked(account):
        return account
    return rules.assume_forgotten(
        account,
        is_after_loss=age_seconds < LOSS_SECONDS and not question.is_first,
        most=question.tokens,
        needs_store=question.needs_store,
    )


def decide_reservation(
    account: ProgramAccount, holder: str, question: ReserveTokens
) -> rules.Decision:
    """Return the decision on a question at the home that is the holder."""
    return rules.reserve_tokens(
        account,
        holder=holder,
        reservation_id=question.reservation_id,
        tokens=question.tokens,
    )
