"""The accounts of one partition of programs, as one VM knows them."""

import dataclasses
from collections.abc import Iterable, Mapping

from bronzepost._internal.core.gateway.budgets import (
    adopt_account,
    confirm_provisional,
    count_returnable,
    grant_allowance,
    merge_stored,
    return_unused,
)
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.node.clock import read_clock


class Accounts:
    """Accounts by program, and the name under which this VM holds allowances.

    ``is_synced`` tells whether they are all that the store has.
    """

    def __init__(self, *, boot: str) -> None:
        """Start empty on the VM that ``boot`` names."""
        self.by_program: dict[str, ProgramAccount] = {}
        self.is_synced = False
        self.holder = boot
        self._boot = boot
        # What was returned here and is not known to be in the store yet.
        self._unwritten: set[str] = set()
        self._handed_over = 0

    def find(self, program_id: str, budget: int) -> ProgramAccount:
        """Return the account of a program, a new one if it is unknown."""
        account = self.by_program.get(program_id)
        if account is None:
            account = ProgramAccount(program_id=program_id, budget=budget)
        return dataclasses.replace(account, touched_at=read_clock())

    def put(self, account: ProgramAccount) -> None:
        """Replace an account."""
        self.by_program[account.program_id] = account

    def put_used(self, account: ProgramAccount) -> None:
        """Replace an account of which a turn has begun or ended."""
        now = read_clock()
        self.put(dataclasses.replace(account, touched_at=now, used_at=now))

    def merge(self, stored: ProgramAccount) -> None:
        """Take in what the store says of a program."""
        known = self.by_program.get(stored.program_id)
        merged = merge_stored(known, stored)
        if merged != known:
            # Another home has used the account since.
            merged = dataclasses.replace(merged, touched_at=read_clock())
        self.put(merged)

    def give_up(self) -> list[ProgramAccount]:
        """Return the accounts that this VM has allowances of, and drop them.

        From then on the VM holds allowances under another name, since it no
        longer knows what is spent of those under this one.
        """
        given = [
            account
            for account in self.by_program.values()
            if account.has_allowance(self.holder)
        ]
        for account in given:
            self.by_program.pop(account.program_id)
            self._unwritten.discard(account.program_id)
        if given:
            self._handed_over += 1
            self.is_synced = False
            self.holder = f'{self._boot}.{self._handed_over}'
        return given

    def adopt(
        self, accounts: Iterable[ProgramAccount], *, former_holder: str
    ) -> None:
        """Take the accounts of a home that this VM replaces."""
        for received in accounts:
            known = self.by_program.get(received.program_id)
            adopted = adopt_account(
                known, received, former_holder=former_holder
            )
            self.put_used(adopted)

    def is_unstored(self, account: ProgramAccount) -> bool:
        """Return whether this VM has an allowance that the store lacks."""
        return account.is_unstored(self.holder)

    def has_unstored(self) -> bool:
        """Return whether any account has an allowance that the store lacks."""
        return any(map(self.is_unstored, self.by_program.values()))

    def has_unwritten(self) -> bool:
        """Return whether the store may lack a return of unused allowances."""
        return bool(self._unwritten)

    def has_unused(self, oldest: float) -> bool:
        """Return whether an account at rest differs from its record.

        It is at rest if no turn has begun or ended since a time; a loop
        without end asks for turns all the while.
        """
        return any(
            self._is_unused(account, oldest)
            for account in self.by_program.values()
        )

    def return_unused(self, oldest: float) -> None:
        """Give up what accounts hold that are at rest since a time.

        It cannot be spent from here on, whether the store takes it or not.
        """
        unused = [
            account
            for account in self.by_program.values()
            if self._is_unused(account, oldest)
        ]
        for account in unused:
            self.put(return_unused(account, holder=self.holder))
            self._unwritten.add(account.program_id)

    def note_written(self, accounts: Iterable[ProgramAccount]) -> None:
        """Take in what the store has accepted."""
        for account in accounts:
            self.merge(account)
            self._unwritten.discard(account.program_id)

    def list_untouched(self, oldest: float) -> list[str]:
        """Return the programs that were not heard of since a time."""
        return [
            account.program_id
            for account in self.by_program.values()
            if account.touched_at < oldest and not self.is_unstored(account)
        ]

    def grant(
        self, wanted_by_program: Mapping[str, int]
    ) -> list[ProgramAccount]:
        """Return the accounts as they are to be stored, where they change.

        Each program gets what it wants as far as its budget goes, and what
        was granted without the store is confirmed. What was returned and is
        not known to be stored is written again.
        """
        changed = []
        for program_id, account in self.by_program.items():
            granted = confirm_provisional(account)
            grantable = max(granted.budget - granted.granted, 0)
            tokens = min(wanted_by_program.get(program_id, 0), grantable)
            if tokens:
                granted = grant_allowance(
                    granted, holder=self.holder, tokens=tokens
                )
            is_unwritten = program_id in self._unwritten
            if tokens or is_unwritten or self.is_unstored(account):
                changed.append(granted)
        return changed

    def _is_unused(self, account: ProgramAccount, oldest: float) -> bool:
        if account.used_at >= oldest or self.is_unstored(account):
            return False
        recorded = account.spent_by_holder.get(self.holder, 0)
        return (
            count_returnable(account, holder=self.holder) > 0
            or recorded < account.spent
        )


class RecentIds:
    """A set of the newest identifiers."""

    def __init__(self, *, most_ids: int) -> None:
        """Remember at most so many; the oldest are forgotten."""
        self._most_ids = most_ids
        self._ids: dict[str, None] = {}

    def add(self, name: str) -> None:
        """Remember an identifier."""
        self._ids[name] = None
        if len(self._ids) > self._most_ids:
            self._ids.pop(next(iter(self._ids)))

    def take(self, name: str) -> bool:
        """Forget an identifier; return whether it was remembered."""
        return self._ids.pop(name, self) is None


class LineIndex:
    """The server that each line of turns ran on last."""

    def __init__(self, *, most_lines: int) -> None:
        """Remember at most so many lines; the oldest are forgotten."""
        self._most_lines = most_lines
        self._server_by_line: dict[str, str] = {}

    def find_server(self, lines: Iterable[str]) -> str:
        """Return the server of the first known line, or an empty text."""
        known = (self._server_by_line.get(line, '') for line in lines)
        return next(filter(None, known), '')

    def note_server(self, line: str, server_id: str) -> None:
        """Remember the server that a line ran on."""
        if not (line and server_id):
            return
        self._server_by_line.pop(line, None)
        self._server_by_line[line] = server_id
        if len(self._server_by_line) > self._most_lines:
            self._server_by_line.pop(next(iter(self._server_by_line)))
