"""Where the home of a program gets the tokens that a turn lacks."""

import dataclasses
from typing import Any, Final

import msgspec
from gevent.pool import Pool

from bronzepost._internal.core.gateway import budgets as rules
from bronzepost._internal.core.gateway.lost_tokens import (
    LOST_GRANTS_HOLDER,
    count_uncertain,
)
from bronzepost._internal.core.gateway.pool_need import (
    PoolNeed,
    find_pool_need,
)
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindAllowances,
    ReserveTokens,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.gateway.programs.allowance_writer import (
    AllowanceWriter,
)
from bronzepost._internal.gateway.programs.pool_claims import (
    ClaimOutcome,
    PoolClaims,
)
from bronzepost._internal.gateway.programs.voter_memory import (
    STORE_RECOVERY_SECONDS,
    VoterMemory,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# An append takes a few milliseconds. After this time the store counts as slow,
# and the home falls back to a provisional allowance.
GRANT_TIMEOUT_SECONDS: Final = 0.3
# Limits the number of peers that are asked for what they know of a program.
MAX_PEERS_ASKED: Final = 24


class Grants:
    """Grants of one partition, from the store or by agreement of most VMs."""

    def __init__(
        self,
        *,
        key: str,
        accounts: Accounts,
        writer: AllowanceWriter,
        memory: VoterMemory,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
    ) -> None:
        """Change ``accounts``; ``key`` is that of the partition's home."""
        self._key = key
        self._accounts = accounts
        self._writer = writer
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._claims = PoolClaims(
            key=key,
            accounts=accounts,
            memory=memory,
            fleet=fleet,
            reports=reports,
            calls=calls,
        )

    def obtain(self, request: ReserveTokens, ends_at: float) -> bool:
        """Obtain what a turn lacks by a time; return whether to decide again."""
        if self._reports.store_available_seconds < STORE_RECOVERY_SECONDS:
            account = self.fetch(request)
            decision = decide_reservation(
                account, self._accounts.holder, request
            )
            if isinstance(decision, rules.BudgetSpent):
                return True
        has_store = self._reports.has_store
        seconds = find_grant_timeout(ends_at) if has_store else 0
        need = self._find_pool_need(request)
        if has_store and need is not PoolNeed.NONE:
            is_held = self._claim(request)
            if is_held:
                # Most VMs hold the claim, so the turn may run although a slow
                # store does not have it yet.
                self._writer.grant(request, seconds)
            if is_held or need is PoolNeed.REQUIRED:
                return is_held
        is_stored = self._writer.grant(request, seconds)
        # What only the pool has is not granted by the store, whose part of the
        # budget may be written already.
        if is_stored and need is not PoolNeed.REQUIRED:
            return True
        return self._grant_provisionally(request)

    def fetch(self, request: ReserveTokens) -> ProgramAccount:
        """Merge the provisional allowances that peers know into the account."""
        peers = [
            name
            for name in self._reports.rank_homes(self._key)
            if name != self._fleet.own_name
        ]
        message = FindAllowances(call_id=0, program_id=request.program_id)
        answers = Pool(MAX_PEERS_ASKED).map(
            lambda name: self._ask(name, message), peers[:MAX_PEERS_ASKED]
        )
        account = self._accounts.get_or_create(
            request.program_id, request.budget
        )
        for answer in filter(None, answers):
            found = self._accounts.drop_own_claims(
                ProgramAccount(
                    program_id=request.program_id,
                    budget=request.budget,
                    claimed_by_holder=answer.tokens_by_holder,
                    pooled_by_holder=answer.pooled_by_holder,
                )
            )
            account = rules.merge_stored(account, found)
            if answer.is_after_loss:
                account = dataclasses.replace(account, is_after_loss=True)
        self._accounts.put(account)
        return account

    def log_refusal(
        self, event: LogEvent, request: ReserveTokens, **fields: int | str
    ) -> None:
        """Log why a turn is refused, with the figures of its program."""
        account = self._accounts.get_or_create(
            request.program_id, request.budget
        )
        emit(
            event,
            request=request.request_id,
            program=request.program_id,
            tokens=request.tokens,
            budget=request.budget,
            granted=account.granted,
            provisional=account.provisional,
            forgotten=account.find_allowance(LOST_GRANTS_HOLDER),
            spent=account.count_spent(self._accounts.holder),
            reserved=sum(account.reserved_by_id.values()),
            available=account.count_available(self._accounts.holder),
            held_by_others=account.count_held(
                account.list_others(self._accounts.holder)
            ),
            uncertain=count_uncertain(account, self._accounts.holder),
            pool=account.pool_left,
            is_synced=self._accounts.is_synced,
            store_seconds=round(self._reports.store_available_seconds, 3),
            **fields,
        )

    def _grant_provisionally(self, request: ReserveTokens) -> bool:
        if request.may_be_provisional:
            return self._claim(request)
        self.log_refusal(
            LogEvent.ALLOWANCE_REFUSED,
            request,
            reason='another VM is the home and may grant without the store',
        )
        return False

    def _find_pool_need(self, request: ReserveTokens) -> PoolNeed:
        if not self._accounts.is_synced:
            # The store may know that the pool is spent.
            return PoolNeed.NONE
        account = self._accounts.get_or_create(
            request.program_id, request.budget
        )
        available = account.count_available(self._accounts.holder)
        return find_pool_need(
            account,
            missing=request.tokens - available,
            holder=self._accounts.holder,
        )

    def _claim(self, request: ReserveTokens) -> bool:
        outcome = self._claims.claim(request)
        if outcome is ClaimOutcome.CONTRADICTED:
            # The next attempt of the caller is decided with what peers know.
            self.fetch(request)
        if outcome is ClaimOutcome.HELD:
            return True
        self.log_refusal(
            LogEvent.ALLOWANCE_REFUSED,
            request,
            reason=str(outcome),
            bound=rules.find_provisional_limit(
                self._accounts.get_or_create(
                    request.program_id, request.budget
                ),
                turn_tokens=request.tokens,
                needs_store=request.needs_store,
            ),
        )
        return False

    def _ask(self, name: str, message: FindAllowances) -> Any:
        return self._calls.ask(
            name,
            lambda number: msgspec.structs.replace(message, call_id=number),
        )


def confirm_spent(
    accounts: Accounts, writer: AllowanceWriter, request: ReserveTokens
) -> bool:
    """Record what turns have spent; return whether too little is left for good.

    A turn that needs the store is refused for good only once the store has that.
    """
    account = accounts.get_or_create(request.program_id, request.budget)
    spent = account.count_spent(accounts.holder)
    if not account.needs_store or spent + request.tokens <= account.budget:
        return False
    accounts.left_tokens.add(request.program_id, 0)
    if not writer.write(GRANT_TIMEOUT_SECONDS):
        return False
    account = accounts.get_or_create(request.program_id, request.budget)
    certain = account.count_certain(accounts.holder)
    return certain + request.tokens > account.budget


def find_grant_timeout(ends_at: float) -> float:
    """Return the seconds to wait for a grant to a decision due at a time."""
    return max(min(GRANT_TIMEOUT_SECONDS, ends_at - read_clock()), 0)


def decide_reservation(
    account: ProgramAccount, holder: str, request: ReserveTokens
) -> rules.Decision:
    """Return the decision of the home ``holder`` on a request."""
    return rules.reserve_tokens(
        account,
        holder=holder,
        reservation_id=request.reservation_id,
        tokens=request.tokens,
        owner=request.owner,
    )
