"""Store the turns of programs, and find those that a turn continues from."""

import dataclasses
import math
import time
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

import gevent

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.core.gateway.histories import Turn, list_chain
from bronzepost._internal.core.gateway.store_pace import Priority
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.keyed_store import KeyedStore
from bronzepost._internal.gateway.programs.store_pace import StorePace
from bronzepost._internal.gateway.programs.store_queue import StoreQueue
from bronzepost._internal.gateway.programs.turn_copies import TurnCopies
from bronzepost._internal.gateway.programs.turn_search import TurnSearch
from bronzepost._internal.gateway.programs.turn_store import TurnStore
from bronzepost._internal.gateway.programs.turn_writer import TurnWriter
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

EXPIRY_INTERVAL_SECONDS: Final = 1.0
# Expired turns stay in the store for up to this long.
SWEEP_INTERVAL_SECONDS: Final = 60.0
# A turn may be continued from until its retention ends. For callers it begins
# with the end of the answer, which waits for the store for a few seconds, and
# the clocks of VMs differ.
RETENTION_MARGIN_SECONDS: Final = 10.0
# Turns are stored for this long beyond their retention. A turn that is continued
# from within this time of its last write outlasts the retention of the next turn,
# so it is not written again with each turn of a long chain.
RENEWAL_INTERVAL_SECONDS: Final = 30.0
RETRY_AFTER_SECONDS: Final = 0.3
# The size of a turn in memory beyond its content, and of each id of an ancestor.
TURN_OVERHEAD_BYTES: Final = 400
ANCESTOR_BYTES: Final = 80


class TurnKeeper:
    """Keep turns in memory, on peers and in the store."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        store: KeyedStore,
        pace: StorePace | None = None,
    ) -> None:
        """Keep turns in ``store``, with copies on members of ``fleet``.

        ``pace`` is that of all calls of this VM to the store, None if nothing else
        calls it.
        """
        self.turns_by_id: dict[str, Turn] = {}
        self._fleet = fleet
        self._reports = reports
        pace = pace or StorePace(fleet=fleet, reports=reports)
        turns = TurnStore(store=pace.open_store(store, Priority.TURN))
        self._swept = TurnStore(store=pace.open_store(store, Priority.SWEEP))
        self.queue = StoreQueue(store=store, pace=pace)
        self._copies = TurnCopies(
            fleet=fleet,
            reports=reports,
            calls=calls,
            partitions=store.partitions,
        )
        self._writer = TurnWriter(
            fleet=fleet,
            reports=reports,
            calls=calls,
            store=turns,
            queue=self.queue,
            lane=pace.writes,
        )
        self._search = TurnSearch(
            turns_by_id=self.turns_by_id,
            fleet=fleet,
            reports=reports,
            copies=self._copies,
            store=turns,
        )
        self._partitions = store.partitions

    def start(self) -> None:
        """Start to remove expired turns from memory and from the store."""
        start_loop(self._drop_expired, EXPIRY_INTERVAL_SECONDS)
        gevent.spawn_later(
            SWEEP_INTERVAL_SECONDS,
            start_loop,
            self._sweep,
            SWEEP_INTERVAL_SECONDS,
        )

    def find_chain(self, call: CallRequest) -> tuple[str, ...]:
        """Return the ids of the turns before a call, all now in memory.

        Raises:
            RefusedError: if one of them was not found.
        """
        if not call.previous_turn:
            return ()
        if not self._search.load_chain(call):
            emit(
                LogEvent.TURN_NOT_FOUND,
                request=call.request_id,
                program=call.program_id,
                turn=call.previous_turn,
                has_store=self._reports.has_store,
            )
            raise refuse_unknown_turn()
        return list_chain(self.turns_by_id[call.previous_turn])

    def list_turns(self, turn_ids: Iterable[str]) -> tuple[Turn, ...]:
        """Return turns that are in memory.

        Raises:
            KeyError: if one of them is not.
        """
        return tuple(self.turns_by_id[turn_id] for turn_id in turn_ids)

    def keep(
        self,
        turn: Turn,
        program_id: str,
        *,
        chain: Iterable[Turn] = (),
        deadline_at: float = math.inf,
    ) -> None:
        """Return once the store has a turn; the caller sets the timeout.

        Turns of ``chain``, those before the turn, that would be removed before
        its retention ends are written again beside it. A renewal after the
        answer could be lost with this VM.

        Copies on peers are not enough: all VMs may lose power at once. Of turns
        that wait, those with the earliest ``deadline_at`` are written first.
        """
        newest = (self.turns_by_id.get(old.turn_id, old) for old in chain)
        expiring = [old for old in newest if old.ends_at < turn.ends_at]
        stored_until = turn.ends_at + RENEWAL_INTERVAL_SECONDS
        turn, *renewed = (
            dataclasses.replace(kept, ends_at=stored_until)
            for kept in (turn, *expiring)
        )
        self._writer.write(turn, *renewed, deadline_at=deadline_at)
        for kept in (turn, *renewed):
            self.turns_by_id[kept.turn_id] = kept
        # With a copy the home of the program finds the turn without the store.
        # It is sent after the write, so that peers have no copy of a turn whose
        # answer broke off.
        self._copies.send(turn, program_id)

    def count_bytes(self) -> int:
        """Return the memory that the turns take on this VM."""
        return sum(
            len(turn.prompt)
            + len(turn.answer)
            + ANCESTOR_BYTES * len(turn.ancestors)
            + TURN_OVERHEAD_BYTES
            for turn in self.turns_by_id.values()
        )

    def _drop_expired(self) -> None:
        # The store alone keeps turns beyond their retention, which would take half
        # as much memory again here.
        oldest = (
            time.time() - RETENTION_MARGIN_SECONDS + RENEWAL_INTERVAL_SECONDS
        )
        expired = [
            turn.turn_id
            for turn in self.turns_by_id.values()
            if turn.ends_at < oldest
        ]
        for turn_id in expired:
            self.turns_by_id.pop(turn_id)

    def _sweep(self) -> None:
        oldest = time.time() - RETENTION_MARGIN_SECONDS
        for partition in range(self._partitions):
            homes = self._reports.rank_homes(f'budgets-{partition}')[:1]
            if self._reports.has_store and homes == (self._fleet.own_name,):
                self._swept.sweep(partition, oldest=oldest)


def refuse_unknown_turn() -> RefusedError:
    """Return the refusal of a turn that continues from an unknown one.

    The status is 503 and asks for a retry, since a VM that does not answer now
    may have the turn.
    """
    return RefusedError(
        'the turn to continue from is not at hand',
        code='turn_unknown',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find history',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
