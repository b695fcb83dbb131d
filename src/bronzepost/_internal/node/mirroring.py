"""Hold the records of other owners while the log does not take them.

During an outage of the log, each owner sends what waits to the node that
would claim the partition next. That node's ack stands in for the log's: if
the owner dies, its successor has the records.
"""

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import msgspec

from bronzepost._internal.core.ledger import calls, records
from bronzepost._internal.core.ledger.adoption import (
    adopt_records,
    list_adoptable_records,
)
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.rendezvous import first_members
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.messages import MirrorAck, MirrorRecords
from bronzepost._internal.node.settlements import Settlement, Settlements
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A mirror that has not acked gets the records again after this time.
RESEND_SECONDS: Final = 0.5
_MIRRORED: Final = Settlement(valid=True, offset=-1, reason='mirrored')

SendMessage = Callable[[str, Any], object]
ListPeers = Callable[[], Mapping[str, str]]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Sent:
    """What was sent to the mirror of a partition."""

    target: str = ''
    record_ids: tuple[str, ...] = ()
    acked_ids: frozenset[str] = frozenset()
    sent_at: float = 0


class Mirroring:
    """Send waiting records to mirrors, and be a mirror for others."""

    def __init__(
        self,
        *,
        node: str,
        peer_address: str,
        settlements: Settlements,
        limit_bytes: int,
    ) -> None:
        """Start with nothing sent or held."""
        self._send: SendMessage = _send_nowhere
        self._list_peers: ListPeers = dict
        self._node = node
        self._peer_address = peer_address
        self._settlements = settlements
        self._limit_bytes = limit_bytes
        self._sent_by_stream: dict[str, _Sent] = {}
        self._held_by_partition: dict[int, MirrorRecords] = {}

    def connect(self, send: SendMessage, list_peers: ListPeers) -> None:
        """Use a transport; ``list_peers`` returns peer addresses by name."""
        self._send = send
        self._list_peers = list_peers

    def has_mirror(self, journal: Journal) -> bool:
        """Return whether another node could hold a partition's records."""
        return bool(self._find_target(journal))

    def mirror_pending(self, journal: Journal) -> None:
        """Send what waits for the log, if the log is down."""
        if calls.is_log_down(journal, read_clock()) and journal.is_owner:
            self._push_waiting(journal)
        elif journal.stream in self._sent_by_stream and journal.is_settled:
            sent = self._sent_by_stream.pop(journal.stream)
            self._send_records(journal, sent.target, [])

    def hold(self, message: MirrorRecords) -> None:
        """Hold the records of an owner, or drop them if none are left."""
        self._held_by_partition.pop(message.partition, None)
        if not message.records:
            return
        held = sum(
            len(msgspec.msgpack.encode(entry.records))
            for entry in self._held_by_partition.values()
        )
        size = len(msgspec.msgpack.encode(message.records))
        if held + size > self._limit_bytes:
            emit(LogEvent.PENDING_FULL, partition=message.partition)
            return
        self._held_by_partition[message.partition] = message
        ack = MirrorAck(
            peer_address=self._peer_address,
            partition=message.partition,
            epoch=message.epoch,
            record_ids=tuple(
                str(record['record_id']) for record in message.records
            ),
        )
        self._send(message.peer_address, ack)

    def take_ack(self, message: MirrorAck) -> None:
        """Let those go on who wait for records that are held now."""
        sent = self._sent_by_stream.get(_stream_of(message.partition))
        if sent is None or sent.target != message.peer_address:
            return
        sent.acked_ids |= frozenset(message.record_ids)
        for record_id in message.record_ids:
            self._settlements.settle(record_id, _MIRRORED)

    def settle_held(self, journal: Journal, record_ids: Sequence[str]) -> None:
        """Settle those of the records that the mirror has acked before."""
        sent = self._sent_by_stream.get(journal.stream, _Sent())
        for record_id in sent.acked_ids.intersection(record_ids):
            self._settlements.settle(record_id, _MIRRORED)

    def adopt(self, journal: Journal) -> None:
        """Write the records held for a partition that was just claimed."""
        held = self._held_by_partition.pop(_partition_of(journal), None)
        # Records of an older epoch were overtaken by another owner's.
        if held is None or held.epoch != journal.state.epoch - 1:
            return
        mirrored = [records.decode_record(body) for body in held.records]
        count = adopt_records(journal, mirrored)
        emit(LogEvent.MIRROR_ADOPTED, stream=journal.stream, records=count)

    def _push_waiting(self, journal: Journal) -> None:
        waiting = list_adoptable_records(journal)
        target = self._find_target(journal)
        sent = self._sent_by_stream.setdefault(journal.stream, _Sent())
        record_ids = tuple(record.record_id for record in waiting)
        is_same = (target, record_ids) == (sent.target, sent.record_ids)
        is_acked = sent.acked_ids.issuperset(record_ids)
        is_recent = read_clock() - sent.sent_at < RESEND_SECONDS
        if not target or (is_same and (is_acked or is_recent)):
            return
        if target != sent.target:
            sent.acked_ids = frozenset()
            emit(LogEvent.RECORDS_MIRRORED, stream=journal.stream)
        sent.target = target
        sent.record_ids = record_ids
        sent.sent_at = read_clock()
        self._send_records(journal, target, waiting)

    def _send_records(
        self, journal: Journal, target: str, waiting: list[records.Record]
    ) -> None:
        message = MirrorRecords(
            peer_address=self._peer_address,
            partition=_partition_of(journal),
            epoch=journal.view.epoch,
            records=tuple(map(records.encode_record, waiting)),
        )
        if not self._send(target, message):
            emit(LogEvent.MIRROR_FAILED, stream=journal.stream, peer=target)

    def _find_target(self, journal: Journal) -> str:
        """Return the peer address of the node that would claim next."""
        peers = dict(self._list_peers())
        peers.pop(self._node, None)
        ranked = first_members(peers, journal.stream, 1)
        return peers[ranked[0]] if ranked else ''


def _send_nowhere(_address: str, _message: Any) -> bool:
    return False


def _stream_of(partition: int) -> str:
    return f'programs-{partition:02}'


def _partition_of(journal: Journal) -> int:
    return int(journal.stream.rpartition('-')[2])
