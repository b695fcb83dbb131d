"""Write a turn until the store has it, from this VM or through a peer."""

import contextlib
from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event
from gevent.pool import Group

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import StoreTurn, TurnStored
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.turn_copies import (
    choose_peer_with_store,
)
from bronzepost._internal.gateway.programs.turn_store import (
    TurnStore,
    decode_turn,
    encode_turn,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# An append takes 4 ms, and about 250 ms while the store is slow
# (documentation of the platform). After this delay its answer may be lost, so a
# peer writes the turn as well; the same record under the same key does no harm.
PEER_WRITE_DELAY_SECONDS: Final = 0.6
# Interval of reads that check whether the store has the turn, since an append
# without an answer may have taken effect. A slow store answers in about 250 ms
# (documentation of the platform).
STORE_CHECK_SECONDS: Final = 0.3
# Pause after a refusal, which also bounds how late the end of an outage is
# detected. A waiting turn makes ten appends a second to its two partitions; a
# hundred waiting turns stay below the 1,500 appends a second that the store of
# the larger deployments accepts.
RETRY_SECONDS: Final = 0.2
# Timeout of a peer that writes a turn, after which another one is asked.
PEER_WRITE_TIMEOUT_SECONDS: Final = 0.5


class TurnWriter:
    """Write turns to the store from any VM that it answers."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        store: TurnStore,
    ) -> None:
        """Write to ``store``, also for other members of ``fleet``."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._store = store
        fleet.subscribe(StoreTurn, self._receive_request)

    def write(self, turn: Turn) -> None:
        """Return once the store has a turn; the caller sets the timeout."""
        stored = Event()
        refused = Event()
        if not self._reports.has_store:
            refused.set()
        attempts = Group()
        attempts.spawn(self._write_locally, turn, stored, refused)
        attempts.spawn(self._write_through_peer, turn, stored, refused)
        attempts.spawn(self._check_store, turn, stored)
        with contextlib.ExitStack() as stack:
            stack.callback(_log_unstored, turn, stored)
            stack.callback(attempts.kill, block=False)
            stored.wait()

    def _write_locally(self, turn: Turn, stored: Event, refused: Event) -> None:
        while not self._store.write(turn):
            refused.set()
            gevent.sleep(RETRY_SECONDS)
        stored.set()

    def _write_through_peer(
        self, turn: Turn, stored: Event, refused: Event
    ) -> None:
        refused.wait(timeout=PEER_WRITE_DELAY_SECONDS)
        make_request = _prepare_request(turn)
        while not self._ask_peer(make_request):
            gevent.sleep(RETRY_SECONDS)
        stored.set()

    def _check_store(self, turn: Turn, stored: Event) -> None:
        is_found = False
        while not is_found:
            gevent.sleep(STORE_CHECK_SECONDS)
            if self._reports.has_store:
                is_found = bool(self._store.read((turn.turn_id,)))
        stored.set()

    def _ask_peer(self, make_request: Callable[[int], StoreTurn]) -> bool:
        name = choose_peer_with_store(self._fleet, self._reports)
        if not name:
            return False
        answer = self._calls.ask(name, make_request, PEER_WRITE_TIMEOUT_SECONDS)
        return answer is not None and answer.is_stored

    def _receive_request(self, sender: str, request: StoreTurn) -> None:
        # The store may be slow, and other messages must not wait for it.
        start_task(lambda: self._answer(sender, request))

    def _answer(self, sender: str, request: StoreTurn) -> None:
        turn = decode_turn(request.content)
        is_stored = turn is not None and self._store.write(turn)
        self._fleet.send(
            sender, TurnStored(call_id=request.call_id, is_stored=is_stored)
        )


def _log_unstored(turn: Turn, stored: Event) -> None:
    # Not stored: the deadline of the request has passed or its caller has left.
    if not stored.is_set():
        emit(LogEvent.TURN_NOT_DURABLE, turn=turn.turn_id)


def _prepare_request(turn: Turn) -> Callable[[int], Any]:
    request = StoreTurn(call_id=0, content=encode_turn(turn))
    return lambda call_id: msgspec.structs.replace(request, call_id=call_id)
