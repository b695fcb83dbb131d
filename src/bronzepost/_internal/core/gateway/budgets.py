"""Keep each program within its token budget.

One VM, the home of the program, reserves the tokens of all its turns. It spends
only from allowances, which are parts of the budget that the store has granted
to it. A grant is an append that fails if another VM has written in between, so
all allowances together stay within the budget even if several VMs act as the
home. The unused part of an idle program's allowance is returned with an append
too, because an allowance that a lost VM did not return counts as spent.

The store alone does not grant the last part of a budget, the pool. Most VMs have
to agree to each claim on it. During an outage of the store, a home may grant itself
provisional allowances from the pool, of which only other VMs hold copies. A home
that is replaced hands its accounts over to the next home. If all VMs are lost
during an outage, the VMs that start afterwards assume that each program has spent
all that may have been granted provisionally, except for one turn.

A turn whose answer ends only once the store has it needs the store anyway. Its
program is granted what the turn lacks, and returns what the turn did not use when
it ends. So a loss of VMs costs it the turns under way, and no more.
"""

import dataclasses
from collections.abc import Mapping, Set
from typing import Final

from bronzepost._internal.core.gateway.lost_tokens import (
    LOST_GRANTS_HOLDER,
    count_forgiven,
)
from bronzepost._internal.core.gateway.program_account import ProgramAccount

# Share of a budget that one append grants to a program whose turns do not need
# the store. A program uses a quarter of its budget on average, so most programs
# need one append, and the loss of a VM costs a program at most this share.
ALLOWANCE_SHARE: Final = 0.25
# An idle program keeps an allowance only up to this share of its budget in all,
# spent and lost tokens included. A program that has used little then has tokens
# for an outage, and allowances lost with VMs cost it no more than this share.
MAX_IDLE_SHARE: Final = 0.5
# Share of a budget that may be granted provisionally, in all. Programs that end
# by themselves use 22% of their budgets in the median and 64% at most (of 572
# programs), so most end within this share, and within the rest of the budget
# after the loss of all VMs.
MAX_PROVISIONAL_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The tokens are reserved in the new ``account``."""

    account: ProgramAccount


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BudgetSpent:
    """The part of the budget that is not granted yet is too small.

    If ``is_final``, every later request for as many tokens is refused too.
    Otherwise turns that are running, or ran when a VM was lost, may use less
    than they reserved.
    """

    is_final: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AllowanceNeeded:
    """The home needs a further allowance of ``tokens`` first."""

    tokens: int


Decision = Reserved | BudgetSpent | AllowanceNeeded


def reserve_tokens(
    account: ProgramAccount,
    *,
    holder: str,
    reservation_id: str,
    tokens: int,
    owner: str = '',
) -> Decision:
    """Reserve the maximum number of tokens that one turn can generate.

    A repeated ``reservation_id`` reserves nothing more. The turn is served by the
    process with the boot ``owner``.

    >>> account = ProgramAccount(program_id='a', budget=100)
    >>> reserve_tokens(account, holder='x', reservation_id='1', tokens=40)
    AllowanceNeeded(tokens=40)
    """
    if reservation_id in account.reserved_by_id:
        return Reserved(account=account)
    available = account.count_available(holder)
    if available >= tokens:
        reserved = {**account.reserved_by_id, reservation_id: tokens}
        return Reserved(
            account=dataclasses.replace(
                account,
                reserved_by_id=reserved,
                owner_by_id={**account.owner_by_id, reservation_id: owner},
                most=max(account.most, tokens),
            )
        )
    missing = tokens - available
    grantable = account.budget - account.granted
    is_final = account.count_certain(holder) + tokens > account.budget
    if not is_final:
        grantable += count_forgiven(account, holder)
    if missing > grantable:
        return BudgetSpent(is_final=is_final)
    return AllowanceNeeded(
        tokens=size_allowance(account, holder=holder, missing=missing)
    )


def size_allowance(
    account: ProgramAccount, *, holder: str, missing: int
) -> int:
    """Return the tokens of a grant to a holder that lacks ``missing`` tokens.

    It is 0 if nothing is missing, and at most what the store may grant. A program
    whose turns need the store gets no more than it lacks: a larger grant is lost
    with its holder, and lets no turn end that the store cannot record.
    """
    if missing <= 0:
        return 0
    share = 0 if account.needs_store else int(account.budget * ALLOWANCE_SHARE)
    grantable = account.grantable + count_forgiven(account, holder)
    return min(max(missing, share), max(grantable, 0))


def grant_allowance(
    account: ProgramAccount, *, holder: str, tokens: int
) -> ProgramAccount:
    """Return the account with a further allowance, which is being stored."""
    granted = account.granted_by_holder.get(holder, 0) + tokens
    return dataclasses.replace(
        account,
        granted_by_holder={**account.granted_by_holder, holder: granted},
    )


def count_returnable(account: ProgramAccount, *, holder: str) -> int:
    """Return the tokens that a holder should return for an idle program.

    All unused tokens are returned if turns need the store, which grants them
    again, or if the share of one grant is smaller than a turn: losing them with
    the VM would cost the program a whole turn.
    """
    available = max(account.count_available(holder), 0)
    share = int(account.budget * ALLOWANCE_SHARE)
    if account.needs_store or share < account.most:
        return available
    room = int(account.budget * MAX_IDLE_SHARE) - account.granted + available
    return max(available - max(min(share, room), 0), 0)


def return_unused(account: ProgramAccount, *, holder: str) -> ProgramAccount:
    """Return the account of an idle program, as it is to be stored.

    The holder's unused tokens are returned and its spent tokens recorded, so
    that a loss of the VM costs the program as little as possible.
    """
    unused = count_returnable(account, holder=holder)
    return return_tokens(account, holder=holder, tokens=unused)


def return_tokens(
    account: ProgramAccount, *, holder: str, tokens: int
) -> ProgramAccount:
    """Return the account after a holder has returned ``tokens``.

    The holder cannot spend them any more. What it has spent is recorded too. A
    holder returns no more than it was granted, and the rest for the holders that
    it replaced: otherwise what it is granted later would count as returned.
    """
    returned_by_holder = dict(account.returned_by_holder)
    for name in (holder, *sorted(account.adopted - {holder})):
        share = min(max(account.find_allowance(name), 0), tokens)
        returned_by_holder[name] = returned_by_holder.get(name, 0) + share
        tokens -= share
    return record_spent(
        dataclasses.replace(account, returned_by_holder=returned_by_holder),
        holder=holder,
    )


def record_spent(account: ProgramAccount, *, holder: str) -> ProgramAccount:
    """Return the account with what a holder has spent, as it is to be stored."""
    return dataclasses.replace(
        account,
        spent_by_holder=merge_totals(
            account.spent_by_holder, {holder: account.spent}
        ),
    )


def find_provisional_limit(
    account: ProgramAccount, *, turn_tokens: int, needs_store: bool = False
) -> int:
    """Return the tokens that all VMs together may grant provisionally.

    All of them are lost if the VMs that hold copies lose power during the
    outage. The limit allows at least one turn of ``turn_tokens``. It is that
    turn alone if the answer of a turn ``needs_store``: the next turn waits for
    the store anyway, and a budget may be exceeded by one turn, so a loss of all
    VMs costs the program nothing. After such a loss nothing more may be granted,
    because a second loss would erase that as well.
    """
    if account.may_have_lost_grants:
        return account.find_unstored(LOST_GRANTS_HOLDER)
    if needs_store:
        return turn_tokens
    return max(int(account.budget * MAX_PROVISIONAL_SHARE), turn_tokens)


def is_loss_assessed(account: ProgramAccount) -> bool:
    """Return whether ``assume_lost_grants`` was applied to an account."""
    return LOST_GRANTS_HOLDER in account.claimed_by_holder


def assume_lost_grants(
    account: ProgramAccount,
    *,
    is_after_loss: bool,
    turn_tokens: int,
    needs_store: bool = False,
) -> ProgramAccount:
    """Return the account with grants that a loss of all VMs may have erased.

    They count as granted and spent, except for one turn of ``turn_tokens``. A
    budget may be exceeded by one turn. A new program that continues from a turn
    before the loss looks like an old program, and its first turn has to run.
    """
    tokens = 0
    if is_after_loss:
        limit = find_provisional_limit(
            account, turn_tokens=turn_tokens, needs_store=needs_store
        )
        grantable = max(account.budget - account.granted, 0)
        tokens = min(max(limit - turn_tokens, 0), grantable)
    return dataclasses.replace(
        merge_claim(account, holder=LOST_GRANTS_HOLDER, tokens=tokens),
        is_after_loss=is_after_loss,
    )


def keep_pool(
    account: ProgramAccount, *, turn_tokens: int, needs_store: bool
) -> ProgramAccount:
    """Return the account with the pool from which turns are granted provisionally.

    After a loss of all VMs nothing is granted provisionally.
    """
    pool = account.pool_tokens
    if not account.may_have_lost_grants:
        limit = find_provisional_limit(
            account, turn_tokens=turn_tokens, needs_store=needs_store
        )
        pool = max(pool, min(limit, account.budget))
    return dataclasses.replace(
        account,
        pool_tokens=pool,
        needs_store=needs_store,
        most=max(account.most, turn_tokens),
    )


def size_claim(
    account: ProgramAccount, *, missing: int, has_store: bool
) -> int:
    """Return the tokens to claim from the pool for a holder that lacks ``missing``.

    Without the store only what is missing: a share of the budget would use up
    the pool. With it, the part that the store may not grant, and as much as one
    append grants, so that not each turn needs the agreement of other VMs. A pool
    of one turn is claimed as a whole: VMs that agree to parts of it may not know
    all of them.
    """
    left = min(account.pool_left, account.budget - account.granted)
    lacking = missing
    if has_store:
        lacking -= max(account.grantable, 0)
    if account.needs_store:
        return max(lacking, left)
    if not has_store:
        return missing
    share = int(account.budget * ALLOWANCE_SHARE)
    return max(lacking, min(share, left))


def is_within_limits(account: ProgramAccount, *, max_provisional: int) -> bool:
    """Return whether an account keeps to its budget and a provisional limit."""
    provisional = max(account.provisional, account.pooled)
    return provisional <= max_provisional and account.granted <= account.budget


def grant_provisionally(
    account: ProgramAccount, *, holder: str, tokens: int
) -> ProgramAccount:
    """Return the account with a further allowance from the pool."""
    claimed = account.find_total(holder) + tokens
    pooled = account.pooled_by_holder.get(holder, 0) + tokens
    return merge_claim(account, holder=holder, tokens=claimed, pooled=pooled)


def confirm_provisional(
    account: ProgramAccount, *, holder: str
) -> ProgramAccount:
    """Return the account with a holder's provisional allowances as stored ones.

    Those of other holders stay claims: most VMs may not have agreed to them, and
    their holders would take a stored allowance for one that they may spend.
    """
    own = account.adopted | {holder, LOST_GRANTS_HOLDER}
    confirmed = {
        name: account.find_total(name)
        for name in own & account.claimed_by_holder.keys()
    }
    return dataclasses.replace(
        account, granted_by_holder={**account.granted_by_holder, **confirmed}
    )


def drop_claims(account: ProgramAccount, holders: Set[str]) -> ProgramAccount:
    """Return the account without the claims of holders.

    Peers keep copies of claims that most VMs did not agree to. A holder that
    learned of its own from them would spend it.
    """
    claimed, pooled = (
        {
            holder: tokens
            for holder, tokens in tokens_by_holder.items()
            if holder not in holders
        }
        for tokens_by_holder in (
            account.claimed_by_holder,
            account.pooled_by_holder,
        )
    )
    return dataclasses.replace(
        account, claimed_by_holder=claimed, pooled_by_holder=pooled
    )


def settle_tokens(
    account: ProgramAccount, *, reservation_id: str, tokens: int
) -> ProgramAccount:
    """Return the account after a turn that generated ``tokens``.

    An unknown reservation changes nothing, so a message may arrive twice.
    """
    if reservation_id not in account.reserved_by_id:
        return account
    reserved = dict(account.reserved_by_id)
    reserved.pop(reservation_id)
    owners = dict(account.owner_by_id)
    owners.pop(reservation_id, None)
    return dataclasses.replace(
        account,
        reserved_by_id=reserved,
        owner_by_id=owners,
        spent=account.spent + tokens,
    )


def merge_stored(
    account: ProgramAccount | None, stored: ProgramAccount
) -> ProgramAccount:
    """Return the account that a VM knows, updated with the store's record."""
    if account is None:
        return stored
    return dataclasses.replace(
        account,
        pool_tokens=max(account.pool_tokens, stored.pool_tokens),
        stored_spent=max(account.stored_spent, stored.stored_spent),
        stored_pooled=max(account.stored_pooled, stored.stored_pooled),
        is_loss_stored=account.is_loss_stored or stored.is_loss_stored,
        pooled_by_holder=merge_totals(
            account.pooled_by_holder, stored.pooled_by_holder
        ),
        claimed_by_holder=merge_totals(
            account.claimed_by_holder, stored.claimed_by_holder
        ),
        granted_by_holder=merge_totals(
            account.granted_by_holder, stored.granted_by_holder
        ),
        returned_by_holder=merge_totals(
            account.returned_by_holder, stored.returned_by_holder
        ),
        spent_by_holder=merge_totals(
            account.spent_by_holder, stored.spent_by_holder
        ),
    )


def merge_claim(
    account: ProgramAccount,
    *,
    holder: str,
    tokens: int,
    stored: int = 0,
    returned: int = 0,
    pooled: int = 0,
) -> ProgramAccount:
    """Return the account, updated with the totals that a holder reports.

    ``tokens`` is all that the holder was granted, ``stored`` the part of it
    that the store has, ``pooled`` the part from the pool, and ``returned`` the
    part that the holder has returned.
    """
    pooled_by_holder = account.pooled_by_holder
    if pooled:
        pooled_by_holder = merge_totals(pooled_by_holder, {holder: pooled})
    granted_by_holder = account.granted_by_holder
    if stored:
        granted_by_holder = merge_totals(granted_by_holder, {holder: stored})
    returned_by_holder = account.returned_by_holder
    if returned:
        returned_by_holder = merge_totals(
            returned_by_holder, {holder: returned}
        )
    return dataclasses.replace(
        account,
        granted_by_holder=granted_by_holder,
        returned_by_holder=returned_by_holder,
        pooled_by_holder=pooled_by_holder,
        claimed_by_holder=merge_totals(
            account.claimed_by_holder, {holder: tokens}
        ),
    )


def merge_totals(
    known: Mapping[str, int], other: Mapping[str, int]
) -> dict[str, int]:
    """Return the larger of two totals for each holder.

    Totals only grow, so the larger one is newer.
    """
    return {
        holder: max(known.get(holder, 0), other.get(holder, 0))
        for holder in known.keys() | other.keys()
    }


def adopt_account(
    account: ProgramAccount | None,
    received: ProgramAccount,
    *,
    former_holder: str,
) -> ProgramAccount:
    """Return the account of a home that replaces ``former_holder``.

    ``account`` is what the new home knows of the program, ``received`` what the
    former holder has handed over.
    """
    adopted = received.adopted | {former_holder}
    received = dataclasses.replace(
        received,
        spent_by_holder=merge_totals(
            received.spent_by_holder, {former_holder: received.spent}
        ),
        spent=0,
    )
    if account is None:
        return dataclasses.replace(received, adopted=adopted)
    is_after_loss = account.is_after_loss
    # The former home knows which of its own claims most VMs have agreed to.
    account = drop_claims(account, adopted)
    merged = merge_stored(account, received)
    claimed = dict(merged.claimed_by_holder)
    if is_loss_assessed(received):
        # The former home knew the program. This VM may only have assumed a
        # loss.
        claimed[LOST_GRANTS_HOLDER] = received.claimed_by_holder[
            LOST_GRANTS_HOLDER
        ]
        is_after_loss = received.is_after_loss
    reserved = {**account.reserved_by_id, **received.reserved_by_id}
    return dataclasses.replace(
        merged,
        claimed_by_holder=claimed,
        reserved_by_id=reserved,
        owner_by_id={**account.owner_by_id, **received.owner_by_id},
        adopted=account.adopted | adopted,
        is_after_loss=is_after_loss,
    )
