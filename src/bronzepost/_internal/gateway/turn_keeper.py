"""Keep the turns of programs, and find those that a turn continues from."""

import functools
import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Any, Final

import gevent
import msgspec
from gevent.pool import Pool

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.core.gateway.histories import (
    Turn,
    list_chain,
    list_missing,
)
from bronzepost._internal.exceptions import LogServiceError, RefusedError
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.homes import PeerReports, partition_of_key
from bronzepost._internal.gateway.keyed_store import KeyedRecord, KeyedStore
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.node.messages import (
    FindTurns,
    Held,
    HoldTurn,
    TurnsFound,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

TOPIC: Final = 'keyed.turns'
# An append takes a few milliseconds; an answer waits this long for it, and
# then for a copy on another VM alone.
STORE_SECONDS: Final = 0.4
# Other VMs that hold a copy of each turn.
COPIES: Final = 1
COPIES_WITHOUT_STORE: Final = 2
# Turns read from the store at the same time for one chain.
READERS: Final = 4
# Other VMs that are asked for a turn while the store is away.
ASKED_WITHOUT_STORE: Final = 24
UPKEEP_SECONDS: Final = 1.0
# A turn may be asked for until its retention ends; clocks of VMs differ.
RETENTION_MARGIN_SECONDS: Final = 5.0
RETRY_AFTER_SECONDS: Final = 0.3


class TurnKeeper:
    """Turns by id, in memory, on other VMs and in the store."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        store: KeyedStore,
    ) -> None:
        """Keep turns in ``store``, and copies on the members of ``fleet``."""
        self.turns_by_id: dict[str, Turn] = {}
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._store = store
        self._unstored_by_id: dict[str, Turn] = {}
        self._own_ids: set[str] = set()
        fleet.subscribe(HoldTurn, self._take_copy)
        fleet.subscribe(FindTurns, self._take_question)

    def start(self) -> None:
        """Start the upkeep of the turns."""
        start_loop(self._keep_up, UPKEEP_SECONDS)

    def find_chain(self, call: CallRequest) -> tuple[str, ...]:
        """Return the ids of the turns before this one, all at hand.

        Raises:
            RefusedError: if one of them was not found.
        """
        previous = call.previous_turn
        if not previous:
            return ()
        sources = (self._ask_home, self._read_store, self._ask_others)
        for search in sources:
            missing = self._list_missing(previous)
            if not missing:
                return list_chain(self.turns_by_id[previous])
            search(call, missing)
        if self._list_missing(previous):
            emit(
                LogEvent.TURN_NOT_FOUND,
                request=call.request_id,
                program=call.program_id,
                turn=previous,
                has_store=self._reports.has_store,
            )
            raise refuse_unknown_turn()
        return list_chain(self.turns_by_id[previous])

    def keep(self, turn: Turn, program_id: str) -> bool:
        """Keep a turn; return whether the loss of this VM would not lose it."""
        self.turns_by_id[turn.turn_id] = turn
        self._unstored_by_id[turn.turn_id] = turn
        copying = gevent.spawn(self._send_copies, turn, program_id)
        storing = gevent.spawn(self._store_turn, turn)
        storing.join(timeout=STORE_SECONDS)
        if storing.value:
            return True
        copying.join()
        return bool(copying.value or storing.value)

    def _list_missing(self, previous: str) -> list[str]:
        turn = self.turns_by_id.get(previous)
        if turn is None:
            return [previous]
        return list_missing(turn.ancestors, self.turns_by_id)

    def _rank_others(self, program_id: str) -> list[str]:
        number = partition_of_key(program_id, self._store.partitions)
        ranked = self._reports.rank_homes(f'budgets-{number}')
        return [name for name in ranked if name != self._fleet.own_name]

    def _ask_home(self, call: CallRequest, missing: Sequence[str]) -> None:
        others = self._rank_others(call.program_id)
        self._ask_member(missing, others[0] if others else '')

    def _ask_others(self, _call: CallRequest, missing: Sequence[str]) -> None:
        if self._reports.has_store:
            return
        others = self._fleet.list_others()[:ASKED_WITHOUT_STORE]
        Pool().map(functools.partial(self._ask_member, missing), others)

    def _ask_member(self, missing: Sequence[str], name: str) -> None:
        if not name:
            return
        answer = self._calls.ask(
            name,
            lambda number: FindTurns(call_id=number, turn_ids=tuple(missing)),
        )
        if answer is not None:
            self._take_contents(answer.contents)

    def _read_store(self, call: CallRequest, missing: Sequence[str]) -> None:
        self._read_turns(missing)
        # The ancestors are known once the turn itself has been read.
        self._read_turns(self._list_missing(call.previous_turn))

    def _read_turns(self, turn_ids: Sequence[str]) -> None:
        if self._reports.has_store:
            Pool(READERS).map(self._read_turn, turn_ids)

    def _read_turn(self, turn_id: str) -> None:
        try:
            record = self._store.find_record(
                TOPIC, self._find_partition(turn_id), turn_id
            )
        except LogServiceError as error:
            emit(LogEvent.STORE_LOST, error=error, turn=turn_id)
            return
        if record is not None:
            self._take_contents((record.content,))

    def _find_partition(self, turn_id: str) -> int:
        return partition_of_key(turn_id, self._store.partitions)

    def _store_turn(self, turn: Turn) -> bool:
        content = encode_turn(turn)
        record = KeyedRecord(key=turn.turn_id, content=content)
        try:
            self._store.append_keyed(
                TOPIC, self._find_partition(turn.turn_id), [record]
            )
        except LogServiceError as error:
            emit(LogEvent.TURN_NOT_STORED, turn=turn.turn_id, error=error)
            return False
        self._unstored_by_id.pop(turn.turn_id, None)
        self._own_ids.add(turn.turn_id)
        return True

    def _send_copies(self, turn: Turn, program_id: str) -> bool:
        copies = COPIES if self._reports.has_store else COPIES_WITHOUT_STORE
        others = self._rank_others(program_id)[:copies]
        content = encode_turn(turn)
        asked = [
            gevent.spawn(self._send_copy, name, turn.turn_id, content)
            for name in others
        ]
        # One copy is enough for the answer; the others still arrive.
        return any(done.value for done in gevent.iwait(asked))

    def _send_copy(self, name: str, turn_id: str, content: bytes) -> bool:
        is_stored = self._reports.has_store
        answer = self._calls.ask(
            name,
            lambda number: HoldTurn(
                call_id=number,
                turn_id=turn_id,
                content=content,
                is_stored=is_stored,
            ),
        )
        return answer is not None

    def _take_copy(self, sender: str, copy: HoldTurn) -> None:
        self._take_contents((copy.content,))
        turn = self.turns_by_id.get(copy.turn_id)
        if turn is None:
            return
        if not copy.is_stored:
            self._unstored_by_id[copy.turn_id] = turn
        self._fleet.send(sender, Held(call_id=copy.call_id))

    def _take_question(self, sender: str, question: FindTurns) -> None:
        wanted: dict[str, None] = {}
        for turn_id in question.turn_ids:
            turn = self.turns_by_id.get(turn_id)
            if turn is not None:
                wanted.update(dict.fromkeys(list_chain(turn)))
        found = [
            encode_turn(self.turns_by_id[turn_id])
            for turn_id in wanted
            if turn_id in self.turns_by_id
        ]
        answer = TurnsFound(call_id=question.call_id, contents=tuple(found))
        self._fleet.send(sender, answer)

    def _take_contents(self, contents: Iterable[bytes]) -> None:
        for content in contents:
            turn = decode_turn(content)
            if turn is not None:
                self.turns_by_id.setdefault(turn.turn_id, turn)

    def _keep_up(self) -> None:
        if self._reports.has_store:
            Pool(READERS).map(
                self._store_turn, tuple(self._unstored_by_id.values())
            )
        self._drop_ended()

    def _drop_ended(self) -> None:
        oldest = time.time() - RETENTION_MARGIN_SECONDS
        ended = [
            turn.turn_id
            for turn in self.turns_by_id.values()
            if turn.ends_at < oldest
        ]
        for turn_id in ended:
            self.turns_by_id.pop(turn_id)
        self._drop_stored(self._own_ids.intersection(ended))

    def _drop_stored(self, turn_ids: Iterable[str]) -> None:
        by_partition: dict[int, list[KeyedRecord]] = {}
        for turn_id in turn_ids:
            records = by_partition.setdefault(self._find_partition(turn_id), [])
            records.append(KeyedRecord(key=turn_id, content=b''))
        for partition, records in by_partition.items():
            try:
                self._store.append_keyed(TOPIC, partition, records)
            except LogServiceError as error:
                emit(LogEvent.TURN_NOT_STORED, partition=partition, error=error)
                return
            self._own_ids.difference_update(record.key for record in records)


class _StoredTurn(msgspec.Struct, frozen=True, array_like=True):
    turn_id: str
    ancestors: tuple[str, ...]
    prompt: bytes
    answer: bytes
    ends_at: float


def encode_turn(turn: Turn) -> bytes:
    """Return the bytes of a turn for the store and for other VMs."""
    return msgspec.msgpack.encode(
        _StoredTurn(
            turn_id=turn.turn_id,
            ancestors=turn.ancestors,
            prompt=turn.prompt,
            answer=turn.answer,
            ends_at=turn.ends_at,
        )
    )


def decode_turn(content: bytes) -> Turn | None:
    """Return a turn; one that cannot be read is logged."""
    try:
        stored: Any = msgspec.msgpack.decode(content, type=_StoredTurn)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, error=error)
        return None
    return Turn(**msgspec.structs.asdict(stored))


def refuse_unknown_turn() -> RefusedError:
    """Return the refusal of a turn that continues from an unknown one.

    The status says that the VM is not certain: the turn may be on a VM that
    does not answer now.
    """
    return RefusedError(
        'the turn to continue from is not at hand',
        code='turn_unknown',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find history',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
