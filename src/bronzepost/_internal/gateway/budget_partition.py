"""The accounts of one partition of the store, and the appends to it."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence, Set
from typing import Final

import gevent
import msgspec
from gevent.event import AsyncResult

from bronzepost._internal.core.gateway import budgets
from bronzepost._internal.core.gateway.budgets import ProgramAccount
from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    LogServiceError,
)
from bronzepost._internal.gateway.keyed_store import (
    AppendConflictError,
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

TOPIC: Final = 'keyed.budgets'
# A conflict means that another VM writes too, or that an answer was lost;
# either is settled by one read.
APPEND_TRIES: Final = 4
# Bounds the memory of a partition to about half a megabyte.
LINES_REMEMBERED: Final = 4096


class StoredAccount(msgspec.Struct, frozen=True, array_like=True):
    """An account as the store keeps it."""

    budget: int
    granted_by_holder: dict[str, int]


class BudgetPartition:
    """Accounts by program, with a group commit of their allowances."""

    def __init__(
        self, *, store: KeyedStore, partition: int, holder: str
    ) -> None:
        """Keep accounts for the VM whose boot is ``holder``."""
        self.accounts_by_program: dict[str, ProgramAccount] = {}
        self.is_synced = False
        self.holder = holder
        self._boot = holder
        self._handed_over = 0
        self._store = store
        self._partition = partition
        self._end_offset: int | None = None
        self._wanted_by_program: dict[str, int] = {}
        self._dropped: set[str] = set()
        self._waiting: collections.deque[AsyncResult] = collections.deque()
        self._is_writing = False
        self._server_by_line: dict[str, str] = {}

    def find_account(self, program_id: str, budget: int) -> ProgramAccount:
        """Return the account of a program, a new one if it is unknown."""
        account = self.accounts_by_program.get(program_id)
        if account is None:
            account = ProgramAccount(program_id=program_id, budget=budget)
        return dataclasses.replace(account, touched_at=read_clock())

    def put_account(self, account: ProgramAccount) -> None:
        """Replace an account."""
        self.accounts_by_program[account.program_id] = account

    def give_up(self) -> list[ProgramAccount]:
        """Return the accounts that this VM has allowances of, and drop them.

        From then on the VM grants under another name, since it no longer
        knows what is spent of the allowances under this one.
        """
        given = [
            account
            for account in self.accounts_by_program.values()
            if account.has_allowance(self.holder)
        ]
        for account in given:
            self.accounts_by_program.pop(account.program_id)
        if given:
            self._handed_over += 1
            # What the store has is no longer known here without a read.
            self._end_offset = None
            self.is_synced = False
            self.holder = f'{self._boot}.{self._handed_over}'
        return given

    def adopt(self, accounts: Iterable[ProgramAccount], *, former: str) -> None:
        """Take the accounts of a home that this VM replaces."""
        for handed in accounts:
            known = self.accounts_by_program.get(handed.program_id)
            adopted = budgets.adopt_account(known, handed, former=former)
            self.put_account(
                dataclasses.replace(adopted, touched_at=read_clock())
            )

    def find_server(self, lines: Sequence[str]) -> str:
        """Return the server that the first known line ran on last."""
        for line in lines:
            server_id = self._server_by_line.get(line)
            if server_id is not None:
                return server_id
        return ''

    def note_server(self, line: str, server_id: str) -> None:
        """Remember the server that a line ran on; the oldest are forgotten."""
        if not (line and server_id):
            return
        self._server_by_line.pop(line, None)
        self._server_by_line[line] = server_id
        if len(self._server_by_line) > LINES_REMEMBERED:
            self._server_by_line.pop(next(iter(self._server_by_line)))

    def grant(self, program_id: str, tokens: int, seconds: float) -> bool:
        """Ask for an allowance; return whether the store took it in time."""
        wanted = self._wanted_by_program.get(program_id, 0)
        self._wanted_by_program[program_id] = wanted + tokens
        return self._write_and_wait(seconds)

    def flush(self) -> None:
        """Bring provisional allowances into the store."""
        if any(map(self._is_unstored, self.accounts_by_program.values())):
            self._write_and_wait(0)

    def drop_untouched(self, oldest: float) -> None:
        """Forget programs that were not heard of since a time."""
        gone = [
            account.program_id
            for account in self.accounts_by_program.values()
            if account.touched_at < oldest and not self._is_unstored(account)
        ]
        if gone and self._end_offset is not None:
            self._dropped.update(gone)
            self._write_and_wait(0)

    def _is_unstored(self, account: ProgramAccount) -> bool:
        names = account.adopted | {self.holder}
        return not names.isdisjoint(account.provisional_by_holder)

    def _write_and_wait(self, seconds: float) -> bool:
        done = AsyncResult()
        self._waiting.append(done)
        if not self._is_writing:
            self._is_writing = True
            gevent.spawn(self._write)
        try:
            return bool(done.get(timeout=seconds))
        except gevent.Timeout:
            return False

    def _write(self) -> None:
        try:
            while self._waiting:
                served = tuple(self._waiting)
                self._waiting.clear()
                is_stored = self._write_batch()
                for done in served:
                    done.set(is_stored)
        finally:
            self._is_writing = False

    def _write_batch(self) -> bool:
        wanted = self._wanted_by_program
        self._wanted_by_program = {}
        try:
            return any(self._try_batch(wanted) for _ in range(APPEND_TRIES))
        except LogServiceError as error:
            self._end_offset = None
            emit(
                LogEvent.ALLOWANCE_NOT_STORED,
                partition=self._partition,
                programs=len(wanted),
                error=error,
            )
        return False

    def _try_batch(self, wanted: Mapping[str, int]) -> bool:
        if self._end_offset is None:
            self._load()
        changed = self._grant_wanted(wanted)
        dropped = self._dropped - changed.keys()
        records = [
            KeyedRecord(key=account.program_id, content=encode_account(account))
            for account in changed.values()
        ]
        records.extend(KeyedRecord(key=key, content=b'') for key in dropped)
        if not records:
            return True
        is_stored = self._append(records, changed)
        if is_stored:
            self._forget(dropped)
        return is_stored

    def _forget(self, dropped: Set[str]) -> None:
        self._dropped.clear()
        for program_id in dropped:
            self.accounts_by_program.pop(program_id, None)

    def _append(
        self,
        records: list[KeyedRecord],
        changed: Mapping[str, ProgramAccount],
    ) -> bool:
        try:
            self._end_offset = self._store.append_keyed(
                TOPIC, self._partition, records, expected_end=self._end_offset
            )
        except (AppendConflictError, AmbiguousAppendError) as error:
            emit(
                LogEvent.ALLOWANCE_REREAD,
                partition=self._partition,
                error=error,
            )
            self._end_offset = None
            return False
        for account in changed.values():
            self._commit(account)
        return True

    def _grant_wanted(
        self, wanted: Mapping[str, int]
    ) -> dict[str, ProgramAccount]:
        changed = {}
        for program_id, account in self.accounts_by_program.items():
            granted = budgets.confirm_provisional(account)
            tokens = wanted.get(program_id, 0)
            grantable = granted.budget - granted.granted
            tokens = min(tokens, max(grantable, 0))
            if tokens:
                granted = budgets.grant_allowance(
                    granted, holder=self.holder, tokens=tokens
                )
            if tokens or self._is_unstored(account):
                changed[program_id] = granted
        return changed

    def _commit(self, stored: ProgramAccount) -> None:
        # Turns may have been reserved or settled while the append ran.
        current = self.find_account(stored.program_id, stored.budget)
        self.put_account(budgets.merge_stored(current, stored))

    def _load(self) -> None:
        found = self._store.read_partition(TOPIC, self._partition)
        for record in found.records:
            stored = decode_account(record, read_clock())
            if stored is not None:
                known = self.accounts_by_program.get(stored.program_id)
                self.put_account(budgets.merge_stored(known, stored))
        self._end_offset = found.end_offset
        self.is_synced = True


def encode_account(account: ProgramAccount) -> bytes:
    """Return the bytes of an account in the store."""
    return msgspec.msgpack.encode(
        StoredAccount(
            budget=account.budget,
            granted_by_holder=dict(account.granted_by_holder),
        )
    )


def decode_account(record: KeyedRecord, at: float) -> ProgramAccount | None:
    """Return a stored account; one that cannot be read is logged."""
    try:
        stored = msgspec.msgpack.decode(record.content, type=StoredAccount)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, key=record.key, error=error)
        return None
    return ProgramAccount(
        program_id=record.key,
        budget=stored.budget,
        granted_by_holder=stored.granted_by_holder,
        touched_at=at,
    )
