"""Group commit of allowances to one partition of the store.

Allowances that are requested while an append runs go into the next append.
"""

import collections
from collections.abc import Callable
from typing import Final

import gevent
import msgspec
from gevent.event import AsyncResult

from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    LogHeldError,
    LogServiceError,
)
from bronzepost._internal.gateway.peers.messages import ReserveTokens
from bronzepost._internal.gateway.programs.accounts import Accounts
from bronzepost._internal.gateway.programs.keyed_store import (
    AppendConflictError,
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.gateway.programs.orphaned_claims import (
    OrphanedClaims,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

TOPIC: Final = 'budgets'
# A conflict means that another VM writes too or that an answer was lost. In
# both cases reading the partition once resolves it.
MAX_APPEND_ATTEMPTS: Final = 4
# A program returns its unused tokens when no turn has begun or ended for this
# long. Turns in quick succession then need no append each, and the loss of a VM
# costs a program only the allowance of about the last second.
IDLE_SECONDS: Final = 0.5


class StoredAccount(msgspec.Struct, frozen=True, array_like=True):
    """An account as it is stored; totals of tokens by holder."""

    budget: int
    granted_by_holder: dict[str, int]
    returned_by_holder: dict[str, int] = {}
    spent_by_holder: dict[str, int] = {}
    pooled_by_holder: dict[str, int] = {}
    pool_tokens: int = 0
    claimed_by_holder: dict[str, int] = {}
    is_after_loss: bool = False


class AllowanceWriter:
    """Write the allowances of a partition, for several programs at a time.

    Each append names the end offset up to which this VM has read the partition,
    so it fails if another VM has written in the meantime.
    """

    def __init__(
        self,
        *,
        store: KeyedStore,
        partition: int,
        accounts: Accounts,
        is_running: Callable[[str], bool],
    ) -> None:
        """Write the changes of ``accounts`` to ``partition``.

        ``is_running`` tells whether the VM of a holder still runs.
        """
        self._store = store
        self._orphans = OrphanedClaims(is_running=is_running)
        self._partition = partition
        self._accounts = accounts
        self._end_offset: int | None = None
        # Tokens of the turns that wait for a grant, by program and branch. The
        # retry of a turn has the same branch and counts once.
        self._needed_by_program: dict[str, dict[str, int]] = {}
        self._has_unanswered_append = False
        self._untouched_before: float = 0
        self._idle_before: float = 0
        self._waiters: collections.deque[AsyncResult] = collections.deque()
        self._is_writing = False

    def grant(self, request: ReserveTokens, seconds: float) -> bool:
        """Request the tokens of a turn; return whether they are stored in time.

        An append that takes longer than ``seconds`` continues in the
        background.
        """
        needed = self._needed_by_program.setdefault(request.program_id, {})
        branch = request.lines[0] if request.lines else request.reservation_id
        needed[branch] = request.tokens
        return self._write_and_wait(seconds)

    def flush(self, *, has_store: bool = True) -> None:
        """Write provisional allowances and unwritten returns to the store.

        While the store answers, unused tokens of idle programs are returned
        too.
        """
        # A failed append may be the start of an outage, in which programs need
        # the allowances that they have.
        if has_store and self._end_offset is not None:
            self._idle_before = read_clock() - IDLE_SECONDS
        accounts = self._accounts
        if has_store:
            accounts.unwritten.update(
                self._orphans.list_programs(
                    accounts.by_program.values(), holder=accounts.holder
                )
            )
        if (
            self._has_unanswered_append
            or accounts.has_unstored()
            or accounts.unwritten
            or accounts.has_idle_changes(self._idle_before)
        ):
            self._write_and_wait(0)

    def read_claims(self) -> None:
        """Read the accounts with claims, of which this VM may lack copies.

        Raises:
            LogServiceError: if the store does not answer.
        """
        found = self._store.read_partition(TOPIC, self._partition)
        for stored in filter(None, map(decode_account, found.records)):
            if stored.pooled or stored.claimed_by_holder:
                self._accounts.merge(stored)

    def write_returns(self) -> None:
        """Write what ended turns have left, if this VM knows the partition."""
        if self._end_offset is not None:
            self._write_and_wait(0)

    def write(self, seconds: float) -> bool:
        """Write what has changed; return whether it is stored in time."""
        return self._write_and_wait(seconds)

    def drop_untouched(self, touched_before: float) -> None:
        """Remove programs whose ``touched_at`` is before ``touched_before``."""
        self._untouched_before = touched_before
        if self._end_offset is not None:
            self._write_and_wait(0)

    def invalidate_end_offset(self) -> None:
        """Make the next append read the partition first."""
        self._end_offset = None

    def _write_and_wait(self, seconds: float) -> bool:
        done = AsyncResult()
        self._waiters.append(done)
        if not self._is_writing:
            self._is_writing = True
            gevent.spawn(self._write_batches)
        try:
            return bool(done.get(timeout=seconds))
        except gevent.Timeout:
            return False

    def _write_batches(self) -> None:
        while self._waiters:
            waiters = tuple(self._waiters)
            self._waiters.clear()
            is_stored = self._write_batch()
            for done in waiters:
                done.set(is_stored)
        self._is_writing = False

    def _write_batch(self) -> bool:
        needed = {
            program_id: sum(tokens_by_id.values())
            for program_id, tokens_by_id in self._needed_by_program.items()
        }
        self._needed_by_program = {}
        try:
            return any(
                self._try_batch(needed) for _ in range(MAX_APPEND_ATTEMPTS)
            )
        except LogHeldError:
            # Nothing was sent, so what this VM knows of the partition holds. The
            # refusals before it are logged.
            return False
        except LogServiceError as error:
            self._end_offset = None
            emit(
                LogEvent.ALLOWANCE_NOT_STORED,
                partition=self._partition,
                programs=len(needed),
                error=error,
            )
        return False

    def _try_batch(self, needed: dict[str, int]) -> bool:
        if self._end_offset is None:
            self._load()
        self._accounts.return_unused(self._idle_before)
        self._idle_before = 0
        changed = self._accounts.grant(needed)
        records = [encode_account(account) for account in changed]
        dropped = set(self._accounts.list_untouched(self._untouched_before))
        dropped.difference_update(account.program_id for account in changed)
        records.extend(KeyedRecord(key=key, content=b'') for key in dropped)
        return not records or self._append(records, changed)

    def _append(
        self, records: list[KeyedRecord], changed: list[ProgramAccount]
    ) -> bool:
        holder = self._accounts.holder
        try:
            end_offset = self._store.append_keyed(
                TOPIC, self._partition, records, expected_end=self._end_offset
            )
        except (AppendConflictError, AmbiguousAppendError) as error:
            emit(
                LogEvent.ALLOWANCE_REREAD,
                partition=self._partition,
                error=error,
            )
            self._end_offset = None
            # What the append granted is found only in the store.
            self._has_unanswered_append = True
            return False
        if self._accounts.holder != holder:
            # The accounts were handed over while the append ran.
            self._end_offset = None
            self._has_unanswered_append = True
            return True
        self._end_offset = end_offset
        self._commit(changed)
        return True

    def _commit(self, changed: list[ProgramAccount]) -> None:
        # Merged, not replaced: turns may have been reserved or settled while
        # the append ran.
        self._accounts.mark_written(changed)
        self._orphans.note_stored(changed)
        for program_id in self._accounts.list_untouched(self._untouched_before):
            self._accounts.by_program.pop(program_id)

    def _load(self) -> None:
        found = self._store.read_partition(TOPIC, self._partition)
        for record in found.records:
            stored = decode_account(record)
            if stored is not None:
                self._accounts.merge(stored)
                self._orphans.note_stored((stored,))
        self._end_offset = found.end_offset
        self._has_unanswered_append = False
        self._accounts.is_synced = True


def encode_account(account: ProgramAccount) -> KeyedRecord:
    """Return the record of an account."""
    stored = StoredAccount(
        budget=account.budget,
        granted_by_holder=dict(account.granted_by_holder),
        returned_by_holder=dict(account.returned_by_holder),
        spent_by_holder=dict(account.spent_by_holder),
        pooled_by_holder=dict(account.pooled_by_holder),
        pool_tokens=account.pool_tokens,
        claimed_by_holder={
            holder: tokens
            for holder, tokens in account.claimed_by_holder.items()
            if account.find_unstored(holder)
        },
        is_after_loss=account.may_have_lost_grants,
    )
    return KeyedRecord(
        key=account.program_id, content=msgspec.msgpack.encode(stored)
    )


def decode_account(record: KeyedRecord) -> ProgramAccount | None:
    """Return a stored account, or None if it cannot be decoded."""
    try:
        stored = msgspec.msgpack.decode(record.content, type=StoredAccount)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, key=record.key, error=error)
        return None
    return ProgramAccount(
        program_id=record.key,
        budget=stored.budget,
        granted_by_holder=stored.granted_by_holder,
        returned_by_holder=stored.returned_by_holder,
        spent_by_holder=stored.spent_by_holder,
        pooled_by_holder=stored.pooled_by_holder,
        pool_tokens=stored.pool_tokens,
        claimed_by_holder=stored.claimed_by_holder,
        is_loss_stored=stored.is_after_loss,
        touched_at=read_clock(),
    )
