"""Write a turn until the store has it, from this VM or through a peer."""

import contextlib
import math
import random
from collections.abc import Sequence
from typing import Final

import gevent
import msgspec

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.core.gateway.store_pace import needs_peer
from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import StoreTurn, TurnStored
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.store_lane import StoreLane
from bronzepost._internal.gateway.programs.store_queue import (
    QueuedTurn,
    StoreQueue,
)
from bronzepost._internal.gateway.programs.turn_store import (
    TurnStore,
    decode_turn,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Interval of reads that check whether the store has a turn, since an append
# without an answer may have taken effect. A slow store answers in about 250 ms
# (documentation of the platform).
STORE_CHECK_SECONDS: Final = 0.3
# Pause after peers were asked and turns are left.
RETRY_SECONDS: Final = 0.1
# A peer that did not store a turn is not asked again for this long, with a random
# part of it more. Other peers are asked meanwhile.
PEER_PAUSE_SECONDS: Final = 0.5
# Timeout of a peer that writes turns, after which another one is asked.
PEER_WRITE_TIMEOUT_SECONDS: Final = 0.5
# A peer answers this long before it is given up, with what it has stored by then.
_ANSWER_MARGIN_SECONDS: Final = 0.05
# Turns in one message to a peer, as many as the peer writes within its timeout
# at the rate of one of a hundred VMs.
MAX_TURNS_PER_MESSAGE: Final = 8
# Bounds a message. Larger turns are sent alone.
MAX_MESSAGE_BYTES: Final = 1_000_000


class TurnWriter:
    """Write turns to the store from any VM that it answers."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        store: TurnStore,
        queue: StoreQueue,
        lane: StoreLane,
    ) -> None:
        """Write through ``queue``, also for other members of ``fleet``.

        ``store`` is read to find turns whose write had no answer. ``lane`` is that
        of the writes of this VM.
        """
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._store = store
        self._queue = queue
        self._lane = lane
        self._is_asking = False
        # When each peer that did not store a turn may be asked again.
        self._next_at_by_peer: dict[str, float] = {}
        lane.subscribe(self._ask_peers_if_stuck)
        fleet.subscribe(StoreTurn, self._receive_request)

    def write(self, *turns: Turn, deadline_at: float = math.inf) -> None:
        """Return once the store has all turns; the caller sets the timeout.

        Turns with the earliest ``deadline_at``, in monotonic seconds, go first.
        """
        with contextlib.ExitStack() as stack:
            waiting = [self._begin(turn, deadline_at, stack) for turn in turns]
            self._ask_peers_if_stuck()
            for queued in waiting:
                queued.ended.wait()

    def _begin(
        self, turn: Turn, deadline_at: float, stack: contextlib.ExitStack
    ) -> QueuedTurn:
        """Begin to write a turn; ``stack`` ends it."""
        queued = self._queue.add(turn, deadline_at=deadline_at)
        checks = gevent.spawn_later(
            STORE_CHECK_SECONDS, self._check_store, queued
        )
        stack.callback(_log_unstored, queued)
        stack.callback(self._queue.remove, queued)
        stack.callback(checks.kill, block=False)
        return queued

    def _check_store(self, queued: QueuedTurn) -> None:
        while not queued.is_stored:
            # A refused attempt has stored nothing, so it is not looked for.
            may_have = queued.under_way or queued.is_unanswered
            if may_have and self._reports.has_store and self._is_found(queued):
                self._queue.mark_stored(queued)
            gevent.sleep(STORE_CHECK_SECONDS)

    def _is_found(self, queued: QueuedTurn) -> bool:
        # A renewed turn has an older record, which must not be taken for this one.
        found = map(decode_turn, self._store.read((queued.turn_id,)))
        return any(turn and turn.ends_at >= queued.ends_at for turn in found)

    def _ask_peers_if_stuck(self) -> None:
        if not self._is_asking and self._list_stuck():
            self._is_asking = True
            start_task(self._ask_peers)

    def _list_stuck(self) -> list[QueuedTurn]:
        """Return the turns that a peer may store and this VM cannot."""
        access = self._lane.access
        is_lost = not self._reports.has_store
        stuck = [
            queued
            for queued in self._queue.turns_by_key.values()
            if not queued.is_foreign
            and (is_lost or needs_peer(access, queued.write))
        ]
        return sorted(stuck, key=lambda queued: queued.write.deadline_at)

    def _ask_peers(self) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, self, '_is_asking', False)
            stuck = self._list_stuck()
            while stuck:
                name = self._choose_peer()
                if not (name and self._ask_peer(name, stuck)):
                    gevent.sleep(RETRY_SECONDS)
                stuck = self._list_stuck()

    def _choose_peer(self) -> str:
        now = read_clock()
        names = [
            name
            for name in self._fleet.list_serving_peers()
            if not self._reports.lacks_store(name)
            and self._next_at_by_peer.get(name, 0) <= now
        ]
        return random.choice(names) if names else ''  # noqa: S311

    def _ask_peer(self, name: str, stuck: Sequence[QueuedTurn]) -> bool:
        """Return whether a peer has stored some of the turns."""
        asked = _fit_message(stuck)
        first, *more = (queued.record.content for queued in asked)
        request = StoreTurn(call_id=0, content=first, more=tuple(more))
        answer = self._calls.ask(
            name,
            lambda call_id: msgspec.structs.replace(request, call_id=call_id),
            PEER_WRITE_TIMEOUT_SECONDS,
        )
        stored = _list_stored(asked, answer)
        for queued in stored:
            self._queue.mark_stored(queued)
        if stored:
            self._next_at_by_peer.pop(name, None)
        else:
            pause = PEER_PAUSE_SECONDS * (1 + random.random())  # noqa: S311
            self._next_at_by_peer[name] = read_clock() + pause
        return bool(stored)

    def _receive_request(self, sender: str, request: StoreTurn) -> None:
        # The store may be slow, and other messages must not wait for it.
        start_task(lambda: self._answer(sender, request))

    def _answer(self, sender: str, request: StoreTurn) -> None:
        first = decode_turn(request.content)
        more = map(decode_turn, request.more)
        stored = self._store_for_peer([turn for turn in (first, *more) if turn])
        self._fleet.send(
            sender,
            TurnStored(
                call_id=request.call_id,
                is_stored=first is not None and first.turn_id in stored,
                stored_ids=tuple(stored),
            ),
        )

    def _store_for_peer(self, turns: Sequence[Turn]) -> list[str]:
        seconds = PEER_WRITE_TIMEOUT_SECONDS - _ANSWER_MARGIN_SECONDS
        deadline_at = read_clock() + seconds
        with contextlib.ExitStack() as stack:
            asked = [
                self._queue.add(turn, deadline_at=deadline_at, is_foreign=True)
                for turn in turns
            ]
            for queued in asked:
                stack.callback(self._queue.remove, queued)
            gevent.wait([turn.ended for turn in asked], timeout=seconds)
        return [turn.turn_id for turn in asked if turn.is_stored]


def _log_unstored(queued: QueuedTurn) -> None:
    # Not stored: the deadline of the request has passed or its caller has left.
    if not queued.is_stored:
        emit(LogEvent.TURN_NOT_DURABLE, turn=queued.turn_id)


def _fit_message(stuck: Sequence[QueuedTurn]) -> list[QueuedTurn]:
    fitting: list[QueuedTurn] = []
    free = MAX_MESSAGE_BYTES
    for queued in stuck[:MAX_TURNS_PER_MESSAGE]:
        if queued.write.size <= free or not fitting:
            fitting.append(queued)
            free -= queued.write.size
    return fitting


def _list_stored(
    asked: Sequence[QueuedTurn], answer: TurnStored | None
) -> list[QueuedTurn]:
    if answer is None:
        return []
    stored_ids = set(answer.stored_ids)
    if answer.is_stored:
        stored_ids.add(asked[0].turn_id)
    return [queued for queued in asked if queued.turn_id in stored_ids]
