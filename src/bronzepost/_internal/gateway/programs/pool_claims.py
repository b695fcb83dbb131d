"""Grants of tokens that most VMs have to agree to.

The store may grant a budget but for its pool (see ``find_provisional_limit``). The
pool is granted by agreement of most VMs, with the store or without it. So a home
needs to know neither what the store has granted nor what other homes have: any two
majorities share a VM, which objects to a grant that exceeds the pool together with
those it knows of.
"""

import enum
from collections.abc import Sequence
from typing import Any, Final

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from bronzepost._internal.core.gateway import budgets as rules
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    AllowanceReplicated,
    ReplicateAllowance,
    ReserveTokens,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Copies that a turn waits for if it gets them, beyond the agreement of most VMs. More
# copies are sent, so that one is left if only one of these VMs is.
REQUIRED_COPIES: Final = 2


class ClaimOutcome(enum.StrEnum):
    """Whether tokens were granted from the pool, and why not."""

    HELD = 'held'
    EXCEEDED = 'more than may be lost'
    CONTRADICTED = 'another VM knows of more grants'
    OUTVOTED = 'fewer than half of the VMs answer'


class PoolClaims:
    """Grant tokens from the pools of the programs of one partition."""

    def __init__(
        self,
        *,
        key: str,
        accounts: Accounts,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
    ) -> None:
        """Change ``accounts``; ``key`` is that of the partition's home."""
        self._key = key
        self._accounts = accounts
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        # One at a time: the limit has to count each earlier claim.
        self._lock = BoundedSemaphore(1)

    def claim(self, request: ReserveTokens) -> ClaimOutcome:
        """Grant this VM what a turn lacks, if most VMs agree."""
        with self._lock:
            return self._claim(request)

    def _claim(self, request: ReserveTokens) -> ClaimOutcome:
        account = self._find_account(request)
        holder = self._accounts.holder
        if not rules.is_loss_assessed(account):
            # The account was handed over while the turn waited for the store.
            return ClaimOutcome.CONTRADICTED
        missing = request.tokens - account.count_available(holder)
        tokens = rules.size_claim(
            account, missing=missing, has_store=self._reports.has_store
        )
        if tokens <= 0:
            # A claim for another turn of the program has sufficed.
            return ClaimOutcome.HELD
        bound = rules.find_provisional_limit(
            account,
            turn_tokens=request.tokens,
            needs_store=request.needs_store,
        )
        claimed = rules.grant_provisionally(
            account, holder=holder, tokens=tokens
        )
        if not rules.is_within_limits(claimed, max_provisional=bound):
            return ClaimOutcome.EXCEEDED
        outcome = self._send_copies(_make_copy(claimed, holder, bound))
        if outcome is ClaimOutcome.HELD and self._accounts.holder != holder:
            # The accounts were handed over meanwhile.
            outcome = ClaimOutcome.CONTRADICTED
        if outcome is ClaimOutcome.HELD:
            # Turns may have been settled while the copies were sent.
            self._accounts.put(
                rules.grant_provisionally(
                    self._find_account(request), holder=holder, tokens=tokens
                )
            )
        emit(
            LogEvent.ALLOWANCE_PROVISIONAL,
            request=request.request_id,
            program=request.program_id,
            tokens=tokens,
            is_held=outcome is ClaimOutcome.HELD,
        )
        return outcome

    def _find_account(self, request: ReserveTokens) -> ProgramAccount:
        return self._accounts.get_or_create(request.program_id, request.budget)

    def _send_copies(self, copy: ReplicateAllowance) -> ClaimOutcome:
        voters = self._reports.voters.list_names(self._key)
        own_name = self._fleet.own_name
        needed = len(voters) // 2 + 1 - voters.count(own_name)
        if not self._reports.has_store:
            # Without the store a VM that is alone would be lost with its claims.
            needed = max(needed, 1)
        serving = self._fleet.list_serving_peers()
        peers = [name for name in voters if name in serving]
        if len(peers) < needed:
            return ClaimOutcome.OUTVOTED
        return self._ask_all(copy, peers, needed)

    def _ask_all(
        self, copy: ReplicateAllowance, peers: Sequence[str], needed: int
    ) -> ClaimOutcome:
        requests = [gevent.spawn(self._ask, name, copy) for name in peers]
        # A home that has not read the store waits for all peers, and one that
        # objects suffices: most others may have started without memory since.
        is_synced = self._accounts.is_synced
        held, objections = _count_votes(
            requests,
            enough=max(needed, REQUIRED_COPIES) if is_synced else len(peers),
            ends_with_objection=not is_synced,
        )
        if held >= needed and (is_synced or not objections):
            return ClaimOutcome.HELD
        if objections:
            return ClaimOutcome.CONTRADICTED
        return ClaimOutcome.OUTVOTED

    def _ask(
        self, name: str, copy: ReplicateAllowance
    ) -> AllowanceReplicated | None:
        answer: AllowanceReplicated | None = self._calls.ask(
            name,
            lambda number: msgspec.structs.replace(copy, call_id=number),
        )
        return answer


def _count_votes(
    requests: Sequence[Any], *, enough: int, ends_with_objection: bool
) -> tuple[int, int]:
    """Return how many peers hold a copy and how many object, of those needed."""
    held = 0
    objections = 0
    for done in gevent.iwait(requests):
        answer: AllowanceReplicated | None = done.value
        if answer is None:
            continue
        held += answer.is_held
        objections += not answer.is_held
        if held == enough or (objections and ends_with_objection):
            break
    return held, objections


def _make_copy(
    account: ProgramAccount, holder: str, bound: int
) -> ReplicateAllowance:
    return ReplicateAllowance(
        call_id=0,
        program_id=account.program_id,
        budget=account.budget,
        holder=holder,
        tokens=account.find_total(holder),
        stored=account.granted_by_holder.get(holder, 0),
        returned=account.returned_by_holder.get(holder, 0),
        pooled=account.pooled_by_holder.get(holder, 0),
        bound=bound,
    )
