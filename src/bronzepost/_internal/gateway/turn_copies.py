"""Copies of turns on other VMs."""

import dataclasses
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

import gevent
import msgspec
from gevent.pool import Pool

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.messages import (
    FindTurns,
    HoldTurn,
)
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import (
    PeerReports,
    partition_of_key,
)
from bronzepost._internal.gateway.turn_store import encode_turn

# Other VMs that hold a copy of each turn.
COPIES: Final = 1
COPIES_WITHOUT_STORE: Final = 2
# Other VMs that are asked for a turn while the store is away.
MOST_ASKED: Final = 24


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TurnCopies:
    """Send copies of turns to other VMs, and ask them for turns."""

    fleet: Fleet
    reports: PeerReports
    calls: PeerCalls
    partitions: int

    def send(self, turn: Turn, program_id: str, *, is_stored: bool) -> bool:
        """Copy a turn to the program's home; return whether one VM has it.

        A VM that gets a copy of a turn that the store lacks writes it there.
        """
        copies = COPIES if is_stored else COPIES_WITHOUT_STORE
        content = encode_turn(turn)
        asked = [
            gevent.spawn(
                self._send_one,
                name,
                HoldTurn(
                    call_id=0,
                    turn_id=turn.turn_id,
                    content=content,
                    is_stored=is_stored,
                ),
            )
            for name in self._rank_others(program_id)[:copies]
        ]
        # One copy is enough for the answer; the others still arrive.
        return any(done.value for done in gevent.iwait(asked))

    def ask_home(self, turn_ids: Sequence[str], program_id: str) -> list[bytes]:
        """Return what the home of a program has of the turns."""
        return self._ask(turn_ids, self._rank_others(program_id)[:1])

    def ask_all(self, turn_ids: Sequence[str]) -> list[bytes]:
        """Return what other VMs have of the turns."""
        return self._ask(turn_ids, self.fleet.list_others()[:MOST_ASKED])

    def _rank_others(self, program_id: str) -> list[str]:
        number = partition_of_key(program_id, self.partitions)
        ranked = self.reports.rank_homes(f'budgets-{number}')
        return [name for name in ranked if name != self.fleet.own_name]

    def _send_one(self, name: str, copy: HoldTurn) -> bool:
        answer = self.calls.ask(name, _number_message(copy))
        return answer is not None

    def _ask(
        self, turn_ids: Sequence[str], names: Iterable[str]
    ) -> list[bytes]:
        question = FindTurns(call_id=0, turn_ids=tuple(turn_ids))
        answers = Pool(MOST_ASKED).map(
            lambda name: self.calls.ask(name, _number_message(question)), names
        )
        return [
            content
            for answer in answers
            if answer is not None
            for content in answer.contents
        ]


def _number_message(message: Any) -> Callable[[int], Any]:
    return lambda number: msgspec.structs.replace(message, call_id=number)
