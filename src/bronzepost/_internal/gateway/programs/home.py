"""The home of one partition of programs, which decides on their tokens."""

import math
from typing import Final

import msgspec

from bronzepost._internal.core.gateway import budgets as rules
from bronzepost._internal.core.gateway.lost_tokens import find_lost
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    AllowanceReplicated,
    AllowancesFound,
    FindAllowances,
    HandOver,
    ReplicateAllowance,
    ReserveTokens,
    SettleTokens,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.accounts import (
    Accounts,
    BranchIndex,
    EarlySettlements,
)
from bronzepost._internal.gateway.programs.admitted_turns import (
    AdmittedTurns,
)
from bronzepost._internal.gateway.programs.allowance_writer import (
    AllowanceWriter,
)
from bronzepost._internal.gateway.programs.grants import (
    Grants,
    confirm_spent,
    decide_reservation,
    find_grant_timeout,
)
from bronzepost._internal.gateway.programs.keyed_store import KeyedStore
from bronzepost._internal.gateway.programs.voter_memory import (
    STORE_RECOVERY_SECONDS,
    VoterMemory,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Verdicts on a reservation. ``ADMITTED`` means that the turn may run, but has to
# be granted its tokens before its first event. ``SPENT`` means that no later turn of this size
# fits into the budget, ``HELD`` that the rest of the budget is reserved or was
# when a VM was lost, and ``UNSURE`` that this VM cannot decide now.
RESERVED: Final = 'reserved'
ADMITTED: Final = 'admitted'
SPENT: Final = 'spent'
HELD: Final = 'held'
UNSURE: Final = 'unsure'

# Time after the start of the first VM in which a program with earlier turns may
# have lost grants. Callers repeat a failed turn within a second and pause a few
# seconds between turns, so programs from before a loss of all VMs usually ask
# for a turn within this time. One that pauses for longer may exceed its budget
# (see KNOWN-RED.txt).
LOSS_WINDOW_SECONDS: Final = 20.0
# Limits the memory for the branches of a partition to about half a megabyte.
MAX_BRANCHES: Final = 4096
# A reservation may need a stored grant, a provisional one, and a further
# decision after the partition was read again.
_MAX_ROUNDS: Final = 4


class Home:
    """The accounts of one partition on this VM.

    Decides on reservations where this VM is the home, and holds copies of the
    provisional allowances of other VMs.
    """

    def __init__(
        self,
        *,
        number: int,
        store: KeyedStore,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
    ) -> None:
        """Keep the accounts of partition ``number`` in ``store``."""
        self.accounts = Accounts(boot=fleet.own_boot)
        self.branches = BranchIndex(max_branches=MAX_BRANCHES)
        self.writer = AllowanceWriter(
            store=store,
            partition=number,
            accounts=self.accounts,
            is_running=fleet.boots.is_running,
        )
        self._admitted = AdmittedTurns()
        self.memory = VoterMemory(reports=reports, writer=self.writer)
        # Reservations whose settlement arrived before they were decided.
        self._settled_early = EarlySettlements(max_count=MAX_BRANCHES)
        self._number = number
        self._key = f'budgets-{number}'
        self._fleet = fleet
        self._reports = reports
        self._previous_home = fleet.own_name
        self.grants = Grants(
            key=self._key,
            accounts=self.accounts,
            writer=self.writer,
            memory=self.memory,
            fleet=fleet,
            reports=reports,
            calls=calls,
        )

    def rank(self) -> tuple[str, ...]:
        """Return the members in rendezvous order, silent ones last.

        The first is the home; only it may grant tokens without the store.
        """
        return self._reports.rank_homes(self._key)

    def reserve(
        self, request: ReserveTokens, *, seconds: float = math.inf
    ) -> str:
        """Decide on a reservation; return the verdict.

        It may wait for the store and for peers. It waits for no further grant
        once ``seconds`` have passed.
        """
        ends_at = read_clock() + seconds
        if not request.begins and not self.accounts.is_synced:
            # What the store has granted is known before a turn is admitted.
            self.writer.write(find_grant_timeout(ends_at))
        for _ in range(_MAX_ROUNDS):
            account = self._prepare_account(request)
            decision = decide_reservation(
                account, self.accounts.holder, request
            )
            self.accounts.put(account)
            if isinstance(decision, rules.Reserved):
                return self._reserve(decision.account, request)
            if isinstance(decision, rules.BudgetSpent):
                return self._refuse_spent(request, is_final=decision.is_final)
            if self._may_admit(request):
                return self._admit(request)
            if read_clock() >= ends_at:
                return UNSURE
            if not self.grants.obtain(request, ends_at):
                return UNSURE
        return UNSURE

    def settle(self, message: SettleTokens) -> bool:
        """Settle a turn's reservation; return whether this VM has it."""
        self.branches.set_server(message.line, message.server_id)
        if self._admitted.remove(message.program_id, message.reservation_id):
            return True
        account = self.accounts.by_program.get(message.program_id)
        if account is None or message.reservation_id not in (
            account.reserved_by_id
        ):
            # The decision may still wait for the store, or the accounts may have
            # been handed over.
            self._settled_early.add(message.reservation_id, message.tokens)
            return False
        settled = rules.settle_tokens(
            account,
            reservation_id=message.reservation_id,
            tokens=message.tokens,
        )
        self.accounts.put_used(settled)
        if account.needs_store and self._reports.has_store:
            holder = self.accounts.holder
            self.accounts.left_tokens.add(
                account.program_id,
                settled.count_available(holder)
                - account.count_available(holder),
            )
            self.writer.write_returns()
        return True

    def hold_copy(self, copy: ReplicateAllowance) -> AllowanceReplicated:
        """Hold a copy of another VM's provisional allowance.

        The copy is refused if it exceeds the limits together with the
        allowances that this VM knows of, or if this VM knows of a loss of all VMs
        after which nothing is granted provisionally.
        """
        account = self.accounts.get_or_create(copy.program_id, copy.budget)
        account = rules.merge_claim(
            account,
            holder=copy.holder,
            tokens=copy.tokens,
            stored=copy.stored,
            returned=copy.returned,
            pooled=copy.pooled,
        )
        is_held = not account.may_have_lost_grants and rules.is_within_limits(
            account, max_provisional=copy.bound
        )
        if is_held:
            self.accounts.put(account)
        return AllowanceReplicated(
            call_id=copy.call_id,
            is_held=is_held,
            has_memory=self.memory.is_whole,
            voters=self._count_voters(),
        )

    def list_allowances(self, request: FindAllowances) -> AllowancesFound:
        """Return the allowances of a program that may not be in the store."""
        account = self.accounts.get_or_create(request.program_id, 0)
        return AllowancesFound(
            call_id=request.call_id,
            tokens_by_holder=dict(account.claimed_by_holder),
            pooled_by_holder=dict(account.pooled_by_holder),
            is_after_loss=account.may_have_lost_grants,
            has_memory=self.memory.is_whole,
            voters=self._count_voters(),
        )

    def accept_hand_over(self, sender: str, message: HandOver) -> None:
        """Take over the accounts of a home that this VM replaces."""
        accounts = decode_accounts(message.content)
        if accounts is None:
            return
        self.accounts.adopt(accounts, former_holder=message.former)
        for received in accounts:
            adopted = self.accounts.by_program[received.program_id]
            self.accounts.put_used(self._settled_early.settle(adopted))
        if message.is_synced:
            self.accounts.is_synced = True
        emit(
            LogEvent.ACCOUNTS_ADOPTED,
            partition=self._number,
            peer=sender,
            programs=len(accounts),
            is_synced=message.is_synced,
        )

    def maintain(self, *, is_leaving: bool) -> None:
        """Free the tokens of lost VMs, hand accounts over, and write the rest."""
        dropped = self._admitted.drop_gone(
            self._fleet.boots.is_running, at=read_clock()
        )
        if dropped:
            emit(LogEvent.TURNS_LOST, partition=self._number, turns=dropped)
        self.hand_over(is_leaving=is_leaving)
        self.writer.flush(has_store=self._reports.has_store)

    def hand_over(self, *, is_leaving: bool) -> None:
        """Hand the accounts over if another VM is their home now.

        A VM that is leaving hands them over at once, otherwise the same home
        has to be found in two successive calls.
        """
        home = self._reports.find_home(self._key)
        if is_leaving:
            homes = self._reports.sort_by_store_access(self.rank())
            peers = (name for name in homes if name != self._fleet.own_name)
            home = next(peers, '')
        home = home or self._fleet.own_name
        # The VMs disagree on the home for a moment when VMs or the store come
        # and go, and no VM knows an account while it is being sent.
        is_stable = is_leaving or home == self._previous_home
        self._previous_home = home
        if is_stable and home != self._fleet.own_name:
            self._send_accounts(home)

    def _send_accounts(self, home: str) -> None:
        former_holder = self.accounts.holder
        is_synced = self.accounts.is_synced
        accounts = self.accounts.remove_held_accounts()
        if not accounts:
            return
        self.writer.invalidate_end_offset()
        message = HandOver(
            partition=self._number,
            former=former_holder,
            is_synced=is_synced,
            content=msgspec.msgpack.encode(accounts),
        )
        emit(
            LogEvent.ACCOUNTS_HANDED_OVER,
            partition=self._number,
            peer=home,
            programs=len(accounts),
            is_sent=self._fleet.send(home, message),
        )

    def _count_voters(self) -> int:
        return len(self._reports.voters.list_names(self._key))

    def _prepare_account(self, request: ReserveTokens) -> ProgramAccount:
        account = self.accounts.get_or_create(
            request.program_id, request.budget
        )
        account = assess_loss(account, request, self._fleet.age_seconds)
        account = rules.keep_pool(
            account,
            turn_tokens=request.tokens,
            needs_store=request.needs_store,
        )
        return find_lost(account, is_running=self._fleet.boots.is_running)

    def _reserve(self, account: ProgramAccount, request: ReserveTokens) -> str:
        self._admitted.remove(request.program_id, request.reservation_id)
        if self._settled_early.remove(request.reservation_id):
            return UNSURE
        self.accounts.put_used(account)
        return RESERVED

    def _may_admit(self, request: ReserveTokens) -> bool:
        """Return whether a turn needs no tokens before it begins.

        This VM has to know what the store has granted. Without the store, tokens
        are claimed from the pool before a turn runs, if they can be.
        """
        return (
            not request.begins
            and request.needs_store
            and self.accounts.is_synced
            and self._reports.has_store
        )

    def _admit(self, request: ReserveTokens) -> str:
        """Admit a turn that is granted its tokens before its first event.

        Nothing is lost with this VM, or with the one that serves it, before that.
        """
        if self._reports.store_available_seconds < STORE_RECOVERY_SECONDS:
            self.grants.fetch(request)
        account = self._prepare_account(request)
        others = self._admitted.count_others(request)
        for tokens in (request.tokens, request.tokens + others):
            decision = decide_reservation(
                account,
                self.accounts.holder,
                msgspec.structs.replace(request, tokens=tokens),
            )
            if isinstance(decision, rules.BudgetSpent):
                is_final = decision.is_final and tokens == request.tokens
                return self._refuse_spent(request, is_final=is_final)
        if self._settled_early.remove(request.reservation_id):
            return UNSURE
        self._admitted.add(request, at=read_clock())
        return ADMITTED

    def _refuse_spent(self, request: ReserveTokens, *, is_final: bool) -> str:
        if not is_final and self._reports.has_store:
            is_final = confirm_spent(self.accounts, self.writer, request)
        if is_final:
            self.grants.log_refusal(LogEvent.BUDGET_SPENT, request)
            return SPENT
        self.grants.log_refusal(
            LogEvent.ALLOWANCE_REFUSED,
            request,
            reason='the rest is reserved, or was when a VM was lost',
        )
        return HELD


def assess_loss(
    account: ProgramAccount, request: ReserveTokens, age_seconds: float
) -> ProgramAccount:
    """Return the account with grants that a loss of all VMs may have erased.

    ``age_seconds`` is the uptime of the oldest running VM.
    """
    if rules.is_loss_assessed(account):
        return account
    return rules.assume_lost_grants(
        account,
        is_after_loss=age_seconds < LOSS_WINDOW_SECONDS
        and not request.is_first,
        turn_tokens=request.tokens,
        needs_store=request.needs_store,
    )


def decode_accounts(content: bytes) -> list[ProgramAccount] | None:
    """Return the accounts of a hand-over, or None if they are unreadable.

    The store then has what it was granted of each budget.
    """
    try:
        return msgspec.msgpack.decode(content, type=list[ProgramAccount])
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, key='hand_over', error=error)
        return None
