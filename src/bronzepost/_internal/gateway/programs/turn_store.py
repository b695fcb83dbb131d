"""Write turns to the store, and read and remove them there."""

from collections.abc import Iterable
from typing import Any, Final

import msgspec
from gevent.pool import Pool

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.gateway.peers.peer_reports import partition_of_key
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A read of one key also returns all later keys of its partition, up to a
# megabyte (documentation of the platform). The store allows a hundred topics;
# with 64 of them a partition has about fifty turns at 200 turns a second, each
# kept for a minute.
TOPICS: Final = 64
# Parallel reads of the store for one chain.
MAX_CONCURRENT_READS: Final = 4


# A topic and a partition of it.
Location = tuple[str, int]


class TurnStore:
    """Write, read and remove turns, each under its id.

    Each turn has two partitions of a topic where it may be, since some
    partitions of the store may be unavailable alone. It is in one or both.
    """

    def __init__(self, *, store: KeyedStore) -> None:
        """Keep turns in ``store``."""
        self._store = store

    def write(self, turn: Turn) -> bool:
        """Append a turn; return whether the store has confirmed it."""
        record = KeyedRecord(key=turn.turn_id, content=encode_turn(turn))
        locations = self._list_locations(turn.turn_id)
        return any(self._append(location, [record]) for location in locations)

    def read(self, turn_ids: Iterable[str]) -> list[bytes]:
        """Return the contents of the turns that the store has."""
        found = Pool(MAX_CONCURRENT_READS).map(self._read_one, turn_ids)
        return [content for content in found if content]

    def sweep(self, partition: int, *, oldest: float) -> None:
        """Remove turns whose retention ended before ``oldest``, a Unix time.

        ``partition`` is swept in all topics of turns.
        """
        for number in range(TOPICS):
            self._sweep_location((name_topic(number), partition), oldest)

    def _sweep_location(self, location: Location, oldest: float) -> None:
        topic, partition = location
        try:
            found = self._store.read_partition(topic, partition)
        except LogServiceError as error:
            emit(LogEvent.TURN_NOT_READ, place=location, error=error)
            return
        turns = (decode_turn(record.content) for record in found.records)
        expired = [
            KeyedRecord(key=turn.turn_id, content=b'')
            for turn in turns
            if turn is not None and turn.ends_at < oldest
        ]
        if expired:
            # Fails after other appends, which may have renewed a turn.
            self._append(location, expired, expected_end=found.end_offset)

    def _append(
        self,
        location: Location,
        records: list[KeyedRecord],
        *,
        expected_end: int | None = None,
    ) -> bool:
        topic, partition = location
        try:
            self._store.append_keyed(
                topic, partition, records, expected_end=expected_end
            )
        except LogServiceError as error:
            emit(
                LogEvent.TURN_NOT_STORED,
                turns=[record.key for record in records],
                error=error,
            )
            return False
        return True

    def _read_one(self, turn_id: str) -> bytes:
        for topic, partition in self._list_locations(turn_id):
            try:
                record = self._store.find_record(topic, partition, turn_id)
            except LogServiceError as error:
                emit(LogEvent.TURN_NOT_READ, turn=turn_id, error=error)
                continue
            if record is not None:
                return record.content
        return b''

    def _list_locations(self, turn_id: str) -> tuple[Location, ...]:
        return list_locations(turn_id, self._store.partitions)


def list_locations(turn_id: str, partitions: int) -> tuple[Location, ...]:
    """Return where a turn may be, in the order in which locations are tried.

    ``partitions`` is the number of partitions of each topic.
    """
    number, first = divmod(
        partition_of_key(turn_id, partitions * TOPICS), partitions
    )
    topic = name_topic(number)
    second = (first + partitions // 2) % partitions
    return tuple(dict.fromkeys(((topic, first), (topic, second))))


def name_topic(number: int) -> str:
    """Return the name of one of the topics of turns."""
    return f'turns.{number}'


class _StoredTurn(msgspec.Struct, frozen=True, array_like=True):
    turn_id: str
    ancestors: tuple[str, ...]
    prompt: bytes
    answer: bytes
    ends_at: float


def encode_turn(turn: Turn) -> bytes:
    """Return the bytes of a turn for the store and for peers."""
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
    """Return a turn, or None for unreadable bytes, which are logged."""
    try:
        stored: Any = msgspec.msgpack.decode(content, type=_StoredTurn)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, error=error)
        return None
    return Turn(**msgspec.structs.asdict(stored))
