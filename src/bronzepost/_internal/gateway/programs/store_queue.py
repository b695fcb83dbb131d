"""The turns of a VM that wait for the store, in one queue."""

import contextlib
import dataclasses
import itertools
import math
from typing import Any, Final

import gevent
from gevent.event import Event

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.core.gateway.store_pace import (
    Batch,
    WaitingWrite,
    choose_batch,
    end_pace,
    find_next_time,
    needs_peer,
)
from bronzepost._internal.exceptions import (
    LogRefusedError,
    LogServiceError,
)
from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.gateway.programs.store_lane import StoreAttempt
from bronzepost._internal.gateway.programs.store_pace import StorePace
from bronzepost._internal.gateway.programs.turn_store import (
    encode_turn,
    list_locations,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# While turns are held, the VM looks this often whether the store answers its other
# reads again.
RETURN_CHECK_SECONDS: Final = 0.05
# An attempt under way may hold back one that is due; its end is told, so this only
# bounds how often the queue looks at it.
MIN_TIMER_SECONDS: Final = 0.02


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class QueuedTurn:
    """A turn that waits for the store; ``ended`` is set with the end of the wait.

    ``under_way`` counts its attempts that are not silent yet. It ``is_unanswered``
    if the store may have it although no attempt was answered. It ``is_foreign`` if
    another VM asked for it; such a turn is given up when the store refuses it here.
    ``ends_at`` is that of the turn, which tells a renewal from earlier records.
    """

    turn_id: str
    ends_at: float
    write: WaitingWrite
    record: KeyedRecord
    since: float
    is_foreign: bool = False
    ended: Event = dataclasses.field(default_factory=Event)
    is_stored: bool = False
    under_way: int = 0
    is_unanswered: bool = False


class StoreQueue:
    """Write turns to the store as its state allows, several in one append."""

    def __init__(self, *, store: KeyedStore, pace: StorePace) -> None:
        """Append to ``store`` at the ``pace`` of all writes of this VM."""
        self.turns_by_key: dict[str, QueuedTurn] = {}
        self._store = store
        self._pace = pace
        self._lane = pace.writes
        self._numbers = itertools.count()
        self._is_held = False
        self._timer: Any = None
        pace.writes.subscribe(self._dispatch)

    @property
    def oldest_seconds(self) -> float:
        """Return for how long the oldest turn has waited, 0 if none waits."""
        now = read_clock()
        ages = (now - queued.since for queued in self.turns_by_key.values())
        return max(ages, default=0)

    def add(
        self,
        turn: Turn,
        *,
        deadline_at: float = math.inf,
        is_foreign: bool = False,
    ) -> QueuedTurn:
        """Begin to write a turn, at once if the store answers."""
        now = read_clock()
        if not self.turns_by_key:
            self._lane.access = end_pace(self._lane.access, at=now)
        key = str(next(self._numbers))
        record = KeyedRecord(key=turn.turn_id, content=encode_turn(turn))
        queued = QueuedTurn(
            turn_id=turn.turn_id,
            ends_at=turn.ends_at,
            write=WaitingWrite(
                key=key,
                locations=list_locations(turn.turn_id, self._store.partitions),
                deadline_at=deadline_at,
                size=len(record.content),
            ),
            record=record,
            since=now,
            is_foreign=is_foreign,
        )
        self.turns_by_key[key] = queued
        self._dispatch()
        return queued

    def remove(self, queued: QueuedTurn) -> None:
        """Make no further attempt for a turn."""
        self.turns_by_key.pop(queued.write.key, None)
        self._log_change()

    def mark_stored(self, queued: QueuedTurn) -> None:
        """End the wait for a turn that the store has."""
        queued.is_stored = True
        queued.ended.set()
        self.remove(queued)

    def _dispatch(self) -> None:
        self._pace.note_return()
        self._give_up_foreign()
        batch = self._choose()
        while batch is not None:
            self._begin(batch)
            batch = self._choose()
        self._log_change()
        self._set_timer()

    def _give_up_foreign(self) -> None:
        # The VM that asked may find another one.
        given_up = [
            queued
            for queued in self.turns_by_key.values()
            if queued.is_foreign
            and not queued.under_way
            and needs_peer(self._lane.access, queued.write)
        ]
        for queued in given_up:
            queued.ended.set()
            self.remove(queued)

    def _choose(self) -> Batch | None:
        return choose_batch(
            self._lane.access,
            self._list_idle(),
            self._lane.busy,
            at=read_clock(),
        )

    def _list_idle(self) -> list[WaitingWrite]:
        return [
            queued.write
            for queued in self.turns_by_key.values()
            if not queued.under_way
        ]

    def _begin(self, batch: Batch) -> None:
        appended = _AppendedTurns(
            turns=[self.turns_by_key[key] for key in batch.keys]
        )
        attempt = self._lane.begin(batch.location, appended.mark_unanswered)
        start_task(lambda: self._run(batch, appended, attempt))

    def _run(
        self, batch: Batch, appended: '_AppendedTurns', attempt: StoreAttempt
    ) -> None:
        try:
            attempt.run(lambda: self._append(batch, appended))
        except LogServiceError as error:
            emit(
                LogEvent.TURN_NOT_STORED,
                turns=[turn.turn_id for turn in appended.turns],
                error=error,
            )

    def _append(self, batch: Batch, appended: '_AppendedTurns') -> None:
        topic, partition = batch.location
        records = [turn.record for turn in appended.turns]
        with contextlib.ExitStack() as stack:
            stack.callback(appended.close)
            try:
                self._store.append_keyed(topic, partition, records)
            except LogRefusedError:
                raise
            except LogServiceError:
                appended.mark_unanswered()
                raise
        for turn in appended.turns:
            self.mark_stored(turn)

    def _log_change(self) -> None:
        access = self._lane.access
        waiting = len(self.turns_by_key)
        if access.is_held and waiting and not self._is_held:
            self._is_held = True
            emit(LogEvent.STORE_WRITES_HELD, waiting=waiting)
        if self._is_held and not (access.is_held or waiting):
            self._is_held = False
            emit(LogEvent.STORE_WRITES_CAUGHT_UP)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.kill(block=False)
            self._timer = None
        access = self._lane.access
        next_at = find_next_time(access, self._list_idle())
        if next_at == math.inf:
            return
        seconds = next_at - read_clock()
        seconds = max(seconds, MIN_TIMER_SECONDS)
        if access.is_held:
            seconds = min(seconds, RETURN_CHECK_SECONDS)
        self._timer = gevent.spawn_later(seconds, self._wake)

    def _wake(self) -> None:
        # The timer has fired, so it must not be ended from within.
        self._timer = None
        self._dispatch()


class _AppendedTurns:
    """The turns of one append, whose outcome may be open."""

    def __init__(self, *, turns: list[QueuedTurn]) -> None:
        self.turns = turns
        self._is_open = True
        for turn in turns:
            turn.under_way += 1

    def mark_unanswered(self) -> None:
        """Allow other attempts for turns that the store may have."""
        for turn in self.turns:
            turn.is_unanswered = True
        self.close()

    def close(self) -> None:
        """End the attempt."""
        if self._is_open:
            self._is_open = False
            for turn in self.turns:
                turn.under_way -= 1
