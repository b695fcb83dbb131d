"""Grants of tokens that most VMs have to agree to.

The store may grant a budget but for its pool (see ``find_provisional_limit``). The
pool is granted by agreement of most VMs, with the store or without it. So a home
needs to know neither what the store has granted nor what other homes have: any two
majorities share a VM, which objects to a grant that exceeds the pool together with
those it knows of.

That holds only if each VM that agrees remembers what it has agreed to. A VM that has
started does not, until all earlier grants are in the store and it has read them. Its
agreement does not count until then, while most of all VMs are needed nevertheless.
If no VM remembers anything, all were lost, and what that may have erased is assumed
elsewhere (see ``assume_lost_grants``).
"""

import enum
from collections.abc import Iterator, Sequence
from typing import Any, Final

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from bronzepost._internal.core.gateway import budgets as rules
from bronzepost._internal.core.gateway.pool_votes import PoolVotes, add_vote
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindAllowances,
    ReplicateAllowance,
    ReserveTokens,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.gateway.programs.voter_memory import VoterMemory
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
        memory: VoterMemory,
    ) -> None:
        """Change ``accounts``; ``key`` is that of the partition's home.

        ``memory`` tells whether this VM knows all that it has agreed to.
        """
        self._key = key
        self._memory = memory
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
        serving = self._fleet.list_serving_peers()
        peers = [name for name in voters if name in serving]
        votes = PoolVotes(
            peers=len(peers),
            voters=len(voters),
            own_votes=voters.count(self._fleet.own_name),
            remembers=self._memory.is_whole,
        )
        # Without the store a VM that is alone would be lost with its claims.
        needs_peer = not self._reports.has_store
        if not votes.can_reach_majority or (needs_peer and not peers):
            return ClaimOutcome.OUTVOTED
        if not self._may_succeed(copy, peers, votes):
            return ClaimOutcome.OUTVOTED
        votes = self._ask_all(copy, peers, votes)
        is_held = votes.has_majority or votes.has_all_without_memory
        if votes.objections and not (is_held and self._accounts.is_synced):
            return ClaimOutcome.CONTRADICTED
        if is_held and (votes.held or not needs_peer):
            return ClaimOutcome.HELD
        return ClaimOutcome.OUTVOTED

    def _may_succeed(
        self, copy: ReplicateAllowance, peers: Sequence[str], votes: PoolVotes
    ) -> bool:
        """Return whether enough peers are likely to agree.

        Copies of a claim that fails stay at the peers, and count against later
        claims of other homes. So where VMs may have forgotten what they agreed to,
        or may not have met, they are asked first.
        """
        if self._reports.has_store and votes.remembers:
            return True
        message = FindAllowances(call_id=0, program_id=copy.program_id)
        for answer in self._ask_peers(peers, message):
            votes = add_vote(
                votes,
                is_held=True,
                has_memory=answer.has_memory,
                voters=answer.voters,
            )
        return votes.has_majority or votes.has_all_without_memory

    def _ask_all(
        self, copy: ReplicateAllowance, peers: Sequence[str], votes: PoolVotes
    ) -> PoolVotes:
        for answer in self._ask_peers(peers, copy):
            votes = add_vote(
                votes,
                is_held=answer.is_held,
                has_memory=answer.has_memory,
                voters=answer.voters,
            )
            if is_decided(votes, is_synced=self._accounts.is_synced):
                break
        return votes

    def _ask_peers(
        self,
        peers: Sequence[str],
        message: ReplicateAllowance | FindAllowances,
    ) -> Iterator[Any]:
        requests = [gevent.spawn(self._ask, name, message) for name in peers]
        for done in gevent.iwait(requests):
            if done.value is not None:
                yield done.value

    def _ask(
        self, name: str, message: ReplicateAllowance | FindAllowances
    ) -> Any:
        return self._calls.ask(
            name,
            lambda number: msgspec.structs.replace(message, call_id=number),
        )


def is_decided(votes: PoolVotes, *, is_synced: bool) -> bool:
    """Return whether further answers cannot change the outcome of a claim.

    A home that has not read the store waits for all peers, and one that objects
    suffices: it knows least of what was granted.
    """
    if not is_synced:
        return votes.objections > 0
    return votes.has_majority and votes.held_in_memory >= REQUIRED_COPIES


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
