"""The program accounts of one partition, as one VM knows them."""

import dataclasses
from collections.abc import Iterable, Mapping, Set

from bronzepost._internal.core.gateway.budgets import (
    adopt_account,
    confirm_provisional,
    count_returnable,
    drop_claims,
    grant_allowance,
    merge_stored,
    record_spent,
    return_tokens,
    return_unused,
    settle_tokens,
    size_allowance,
)
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.node.clock import read_clock


class Accounts:
    """Accounts by program, and the name under which this VM holds allowances.

    ``is_synced`` is true once all accounts in the store were read.
    """

    def __init__(self, *, boot: str) -> None:
        """Start empty; allowances are held under the name ``boot``."""
        self.by_program: dict[str, ProgramAccount] = {}
        self.is_synced = False
        self.holder = boot
        self._boot = boot
        # Programs with returned tokens, or claims of holders that are gone, that
        # may not be in the store yet.
        self.unwritten: set[str] = set()
        self.left_tokens = LeftTokens()
        self._hand_over_count = 0
        # For each former name of this VM, the programs handed over since it was
        # in use.
        self._handed_over_by_holder: dict[str, set[str]] = {}

    def get_or_create(self, program_id: str, budget: int) -> ProgramAccount:
        """Return the account of a program, a new one if it is unknown.

        A new account is kept only once it was passed to ``put``.
        """
        account = self.by_program.get(program_id)
        if account is None:
            account = ProgramAccount(program_id=program_id, budget=budget)
        return dataclasses.replace(account, touched_at=read_clock())

    def put(self, account: ProgramAccount) -> None:
        """Replace an account."""
        self.by_program[account.program_id] = account

    def put_used(self, account: ProgramAccount) -> None:
        """Replace an account after one of its turns has begun or ended."""
        now = read_clock()
        self.put(dataclasses.replace(account, touched_at=now, used_at=now))

    def merge(self, stored: ProgramAccount) -> None:
        """Update an account with the store's record of it."""
        known = self.by_program.get(stored.program_id)
        merged = adopt_former_holders(
            note_stored(
                merge_stored(known, self.drop_own_claims(stored)), stored
            ),
            self._handed_over_by_holder,
        )
        if merged != known:
            # Another home has changed the account in the meantime.
            merged = dataclasses.replace(merged, touched_at=read_clock())
        available = known.count_available(self.holder) if known else 0
        if merged.count_available(self.holder) > available:
            # The turn that needed the tokens may have been refused while the
            # append ran; they are kept for its next try.
            merged = dataclasses.replace(merged, used_at=read_clock())
        self.put(merged)

    def remove_held_accounts(self) -> list[ProgramAccount]:
        """Remove and return the accounts of which this VM holds allowances.

        The VM then holds new allowances under a new name, because it no longer
        knows how much of the removed ones is spent.
        """
        removed = [
            account
            for account in self.by_program.values()
            if account.has_allowance(self.holder)
        ]
        for account in removed:
            self.by_program.pop(account.program_id)
            self.unwritten.discard(account.program_id)
            self.left_tokens.drop(account.program_id)
        if removed:
            self._handed_over_by_holder[self.holder] = set()
            for programs in self._handed_over_by_holder.values():
                programs.update(gone.program_id for gone in removed)
            self._hand_over_count += 1
            self.is_synced = False
            self.holder = f'{self._boot}.{self._hand_over_count}'
        return removed

    def adopt(
        self, accounts: Iterable[ProgramAccount], *, former_holder: str
    ) -> None:
        """Take over the accounts of a home that this VM replaces."""
        for received in map(self.drop_own_claims, accounts):
            known = self.by_program.get(received.program_id)
            adopted = adopt_account(
                known, received, former_holder=former_holder
            )
            self.put_used(adopted)
            # The former home may have returned tokens that are not stored.
            self.unwritten.add(received.program_id)

    def drop_own_claims(self, account: ProgramAccount) -> ProgramAccount:
        """Return what others know of a program, without claims of this VM."""
        known = self.by_program.get(account.program_id)
        adopted = known.adopted if known else frozenset()
        names = {self.holder, *self._handed_over_by_holder, *adopted}
        return drop_claims(account, names)

    def is_unstored(self, account: ProgramAccount) -> bool:
        """Return whether this VM has an allowance that is not in the store."""
        return account.is_unstored(self.holder)

    def has_unstored(self) -> bool:
        """Return whether this VM has any allowance that is not in the store."""
        return any(map(self.is_unstored, self.by_program.values()))

    def has_idle_changes(self, idle_before: float) -> bool:
        """Return whether an idle account has to be written to the store.

        An account is idle if no turn has begun or ended since ``idle_before``.
        Refused turns do not count, because a runaway loop asks for turns all
        the time.
        """
        return any(
            has_idle_changes(
                account, holder=self.holder, idle_before=idle_before
            )
            for account in self.by_program.values()
        )

    def return_unused(self, idle_before: float) -> None:
        """Return unused tokens of ended turns and of accounts that are idle.

        An account is idle since ``idle_before``. The tokens cannot be spent any
        more, even if the store does not accept the return.
        """
        left_by_program = self.left_tokens.pop_all()
        for account in tuple(self.by_program.values()):
            left = left_by_program.get(account.program_id)
            returned = account
            if has_idle_changes(
                account, holder=self.holder, idle_before=idle_before
            ):
                returned = return_unused(account, holder=self.holder)
            elif left is not None:
                returned = return_left(account, holder=self.holder, tokens=left)
            if returned != account:
                self.put(returned)
                self.unwritten.add(account.program_id)

    def mark_written(self, accounts: Iterable[ProgramAccount]) -> None:
        """Record that the store has accepted accounts."""
        for account in accounts:
            self.merge(account)
            self.unwritten.discard(account.program_id)

    def list_untouched(self, touched_before: float) -> list[str]:
        """Return programs whose ``touched_at`` is before ``touched_before``.

        Programs of which an allowance is not in the store are left out.
        """
        return [
            account.program_id
            for account in self.by_program.values()
            if account.touched_at < touched_before
            and not self.is_unstored(account)
        ]

    def grant(
        self, needed_by_program: Mapping[str, int]
    ) -> list[ProgramAccount]:
        """Return the accounts that have to be written, with new allowances.

        Each program gets what it lacks of the tokens that it needs, up to the
        rest of its budget. Repeating a grant that took effect without an answer
        therefore grants nothing more. Provisional allowances are confirmed, and
        returned tokens that may not be in the store are written again.
        """
        changed = []
        for program_id, account in self.by_program.items():
            granted = confirm_provisional(account, holder=self.holder)
            needed = needed_by_program.get(program_id, 0)
            missing = needed - granted.count_available(self.holder)
            tokens = size_allowance(
                granted, holder=self.holder, missing=missing
            )
            if tokens:
                granted = grant_allowance(
                    granted, holder=self.holder, tokens=tokens
                )
            is_unwritten = program_id in self.unwritten
            if tokens or is_unwritten or self.is_unstored(account):
                changed.append(record_spent(granted, holder=self.holder))
        return changed


def has_idle_changes(
    account: ProgramAccount, *, holder: str, idle_before: float
) -> bool:
    """Return whether an account idle since a time has to be written."""
    if account.used_at >= idle_before or account.is_unstored(holder):
        return False
    recorded = account.spent_by_holder.get(holder, 0)
    return (
        count_returnable(account, holder=holder) > 0 or recorded < account.spent
    )


def note_stored(
    account: ProgramAccount, stored: ProgramAccount
) -> ProgramAccount:
    """Return the account with the totals that the store's record has."""
    spent = sum(stored.spent_by_holder.values())
    return dataclasses.replace(
        account,
        stored_spent=max(account.stored_spent, spent),
        stored_pooled=max(account.stored_pooled, stored.pooled),
    )


def return_left(
    account: ProgramAccount, *, holder: str, tokens: int
) -> ProgramAccount:
    """Return the account after a holder has returned what turns have left.

    Other turns may have used some of the ``tokens`` since.
    """
    available = max(account.count_available(holder), 0)
    return return_tokens(account, holder=holder, tokens=min(tokens, available))


def adopt_former_holders(
    account: ProgramAccount,
    handed_over_by_holder: Mapping[str, Set[str]],
) -> ProgramAccount:
    """Return the account with what a VM holds under its former names.

    An append may take effect after the VM has handed accounts over and changed
    its name. Nobody else holds what it granted to a program that was not handed
    over since.
    """
    own = {
        holder
        for holder, programs in handed_over_by_holder.items()
        if holder in account.granted_by_holder
        and account.program_id not in programs
    }
    if own <= account.adopted:
        return account
    return dataclasses.replace(account, adopted=account.adopted | own)


class LeftTokens:
    """What ended turns have left of their grants, until it is returned."""

    def __init__(self) -> None:
        """Start without tokens."""
        self._tokens_by_program: dict[str, int] = {}

    def add(self, program_id: str, tokens: int) -> None:
        """Add what a turn of a program has left."""
        left = self._tokens_by_program.get(program_id, 0)
        self._tokens_by_program[program_id] = left + tokens

    def drop(self, program_id: str) -> None:
        """Forget a program whose account was handed over."""
        self._tokens_by_program.pop(program_id, None)

    def pop_all(self) -> dict[str, int]:
        """Remove and return the tokens of all programs."""
        tokens_by_program = self._tokens_by_program
        self._tokens_by_program = {}
        return tokens_by_program


class EarlySettlements:
    """Settlements of unknown reservations; the oldest are dropped.

    The decision on a reservation may still wait for the store, or its account may
    be handed over later, as by a VM that was paused.
    """

    def __init__(self, *, max_count: int) -> None:
        """Start empty, with room for ``max_count`` settlements."""
        self._max_count = max_count
        self._tokens_by_id: dict[str, int] = {}

    def add(self, reservation_id: str, tokens: int) -> None:
        """Keep what the turn of a reservation has generated."""
        self._tokens_by_id[reservation_id] = tokens
        if len(self._tokens_by_id) > self._max_count:
            self._tokens_by_id.pop(next(iter(self._tokens_by_id)))

    def remove(self, reservation_id: str) -> bool:
        """Remove a settlement; return whether there was one."""
        return self._tokens_by_id.pop(reservation_id, None) is not None

    def settle(self, account: ProgramAccount) -> ProgramAccount:
        """Return the account with its reservations settled, and remove these."""
        known = account.reserved_by_id.keys() & self._tokens_by_id.keys()
        for reservation_id in known:
            account = settle_tokens(
                account,
                reservation_id=reservation_id,
                tokens=self._tokens_by_id.pop(reservation_id),
            )
        return account


class BranchIndex:
    """The backend server that each branch of turns ran on last."""

    def __init__(self, *, max_branches: int) -> None:
        """Start empty, with room for ``max_branches`` branches."""
        self._max_branches = max_branches
        self._server_by_branch: dict[str, str] = {}

    def find_server(self, branches: Iterable[str]) -> str:
        """Return the server of the first known branch, or an empty string."""
        known = (self._server_by_branch.get(branch, '') for branch in branches)
        return next(filter(None, known), '')

    def set_server(self, branch: str, server_id: str) -> None:
        """Record the server that a branch ran on; empty names are ignored.

        The branch that was recorded longest ago is dropped if there are too
        many.
        """
        if not (branch and server_id):
            return
        self._server_by_branch.pop(branch, None)
        self._server_by_branch[branch] = server_id
        if len(self._server_by_branch) > self._max_branches:
            self._server_by_branch.pop(next(iter(self._server_by_branch)))
