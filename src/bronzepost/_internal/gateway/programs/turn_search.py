"""Find turns in memory, at peers and in the store."""

import functools
from collections.abc import Iterable

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.core.gateway.histories import (
    Turn,
    list_chain,
    list_missing,
)
from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindTurns,
    ReplicateTurn,
    TurnsFound,
)
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.turn_copies import TurnCopies
from bronzepost._internal.gateway.programs.turn_store import (
    TurnStore,
    decode_turn,
    encode_turn,
)


class TurnSearch:
    """Search for turns, the cheapest way first, and answer those of peers."""

    def __init__(
        self,
        *,
        turns_by_id: dict[str, Turn],
        fleet: Fleet,
        reports: PeerReports,
        copies: TurnCopies,
        store: TurnStore,
    ) -> None:
        """Add the turns that are found to ``turns_by_id``."""
        self._turns_by_id = turns_by_id
        self._fleet = fleet
        self._reports = reports
        self._copies = copies
        self._store = store
        fleet.subscribe(ReplicateTurn, self._receive_copy)
        fleet.subscribe(FindTurns, self._receive_request)

    def load_chain(self, call: CallRequest) -> bool:
        """Load the turns before a call; return whether all were found."""
        searches = (
            functools.partial(self._fetch_from_home, 0),
            functools.partial(self._fetch_from_home, 1),
            self._read_store,
            self._fetch_from_peers,
            self._fetch_through_peer,
        )
        for search in searches:
            if self._list_missing(call.previous_turn):
                search(call)
        return not self._list_missing(call.previous_turn)

    def _list_missing(self, previous: str) -> list[str]:
        turn = self._turns_by_id.get(previous)
        if turn is None:
            return [previous]
        return list_missing(turn.ancestors, self._turns_by_id)

    def _fetch_from_home(self, rank: int, call: CallRequest) -> None:
        missing = self._list_missing(call.previous_turn)
        found = self._copies.fetch_from_home(missing, call.program_id, rank)
        self._add_contents(found)

    def _read_store(self, call: CallRequest) -> None:
        if self._reports.has_store:
            self._read_chain(call.previous_turn)

    def _read_chain(self, turn_id: str) -> None:
        # The first read gives the turn with the ids of its ancestors, the
        # second one the ancestors.
        for _ in range(2):
            missing = self._list_missing(turn_id)
            self._add_contents(self._store.read(missing))

    def _fetch_from_peers(self, call: CallRequest) -> None:
        missing = self._list_missing(call.previous_turn)
        self._add_contents(self._copies.fetch_from_peers(missing))

    def _fetch_through_peer(self, call: CallRequest) -> None:
        if not self._reports.has_store:
            missing = self._list_missing(call.previous_turn)
            self._add_contents(self._copies.fetch_through_peer(missing))

    def _receive_copy(self, _sender: str, copy: ReplicateTurn) -> None:
        self._add_contents((copy.content,))

    def _receive_request(self, sender: str, request: FindTurns) -> None:
        if request.reads_store:
            # The store may be slow, and other messages must not wait for it.
            start_task(lambda: self._answer_from_store(sender, request))
        else:
            self._answer(sender, request)

    def _answer_from_store(self, sender: str, request: FindTurns) -> None:
        for turn_id in request.turn_ids:
            self._read_chain(turn_id)
        self._answer(sender, request)

    def _answer(self, sender: str, request: FindTurns) -> None:
        chains = (
            list_chain(self._turns_by_id[turn_id])
            for turn_id in request.turn_ids
            if turn_id in self._turns_by_id
        )
        wanted = dict.fromkeys(turn_id for chain in chains for turn_id in chain)
        known = filter(None, map(self._turns_by_id.get, wanted))
        answer = TurnsFound(
            call_id=request.call_id, contents=tuple(map(encode_turn, known))
        )
        self._fleet.send(sender, answer)

    def _add_contents(self, contents: Iterable[bytes]) -> None:
        for turn in map(decode_turn, contents):
            if turn is not None:
                self._turns_by_id.setdefault(turn.turn_id, turn)
