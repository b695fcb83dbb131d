"""Copies of turns on peers."""

import dataclasses
import functools
import random
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
from gevent.pool import Pool

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindTurns,
    ReplicateTurn,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import (
    PeerReports,
    partition_of_key,
)
from bronzepost._internal.gateway.programs.turn_store import encode_turn

# The home of a program gets a copy of each turn, and so does the VM that is the
# home while the first one restarts.
COPIES_PER_TURN: Final = 2
# Timeout of a peer that reads a turn and those before it from the store.
PEER_READ_TIMEOUT_SECONDS: Final = 0.5
# Peers that are asked for a turn that neither homes nor the store returned.
MAX_PEERS_ASKED: Final = 24


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TurnCopies:
    """Send copies of turns to peers, and fetch turns from them.

    A copy saves a read of the store; it does not make a turn durable.
    """

    fleet: Fleet
    reports: PeerReports
    calls: PeerCalls
    partitions: int

    def send(self, turn: Turn, program_id: str) -> None:
        """Copy a turn to the VMs that are asked for it first."""
        copy = ReplicateTurn(content=encode_turn(turn))
        for name in self._rank_peers(program_id)[:COPIES_PER_TURN]:
            self.fleet.send(name, copy)

    def fetch_from_home(
        self, turn_ids: Sequence[str], program_id: str, rank: int
    ) -> list[bytes]:
        """Return the contents of the turns that a home of a program has.

        ``rank`` is 0 for the first peer in the order of homes and 1 for the
        second.
        """
        names = self._rank_peers(program_id)[rank : rank + 1]
        return self._fetch(turn_ids, names)

    def fetch_from_peers(self, turn_ids: Sequence[str]) -> list[bytes]:
        """Return the contents of the turns that peers have in memory."""
        return self._fetch(
            turn_ids, self.fleet.list_serving_peers()[:MAX_PEERS_ASKED]
        )

    def fetch_through_peer(self, turn_ids: Sequence[str]) -> list[bytes]:
        """Return contents of turns that a peer has or reads from the store."""
        name = choose_peer_with_store(self.fleet, self.reports)
        request = FindTurns(
            call_id=0, turn_ids=tuple(turn_ids), reads_store=True
        )
        answer = name and self.calls.ask(
            name,
            functools.partial(_set_call_id, request),
            PEER_READ_TIMEOUT_SECONDS,
        )
        return list(answer.contents) if answer else []

    def _rank_peers(self, program_id: str) -> list[str]:
        partition = partition_of_key(program_id, self.partitions)
        ranked = self.reports.rank_homes(f'budgets-{partition}')
        return [name for name in ranked if name != self.fleet.own_name]

    def _fetch(
        self, turn_ids: Sequence[str], names: Iterable[str]
    ) -> list[bytes]:
        request = FindTurns(call_id=0, turn_ids=tuple(turn_ids))
        answers = Pool(MAX_PEERS_ASKED).map(
            lambda name: self.calls.ask(
                name,
                functools.partial(_set_call_id, request),
            ),
            names,
        )
        return [
            content
            for answer in answers
            if answer is not None
            for content in answer.contents
        ]


def _set_call_id(request: FindTurns, call_id: int) -> FindTurns:
    return msgspec.structs.replace(request, call_id=call_id)


def choose_peer_with_store(fleet: Fleet, reports: PeerReports) -> str:
    """Return a random peer that the store answers, an empty text for none."""
    names = [
        name
        for name in fleet.list_serving_peers()
        if not reports.lacks_store(name)
    ]
    return random.choice(names) if names else ''  # noqa: S311
