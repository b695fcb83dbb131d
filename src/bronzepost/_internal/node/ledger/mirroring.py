"""Replicate pending records to another node while the log is down.

During an outage of the log, each owner sends its pending records to the
mirror: the node that would claim the partition next. An ack of the mirror
settles a record as the log does, since the record survives the owner's death.
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
from bronzepost._internal.node.ledger.settlements import Settlement, Settlements
from bronzepost._internal.node.peers.messages import MirrorAck, MirrorRecords
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Records that the mirror has not acked are sent again at this interval.
RESEND_INTERVAL_SECONDS: Final = 0.5
_MIRRORED: Final = Settlement(valid=True, offset=-1, reason='mirrored')

SendMessage = Callable[[str, Any], object]
ListPeers = Callable[[], Mapping[str, str]]


@dataclasses.dataclass(kw_only=True, slots=True)
class _SentRecords:
    """The records last sent to the mirror of a partition, and its acks."""

    mirror_address: str = ''
    record_ids: tuple[str, ...] = ()
    acked_ids: frozenset[str] = frozenset()
    sent_at: float = 0


class Mirroring:
    """Sends pending records to mirrors, and holds those of other owners."""

    def __init__(
        self,
        *,
        node: str,
        peer_address: str,
        settlements: Settlements,
        limit_bytes: int,
    ) -> None:
        """Start without a transport; ``limit_bytes`` bounds what is held."""
        self._send: SendMessage = _drop_message
        self._list_peers: ListPeers = dict
        self._node = node
        self._peer_address = peer_address
        self._settlements = settlements
        self._limit_bytes = limit_bytes
        self._sent_by_stream: dict[str, _SentRecords] = {}
        self._held_by_partition: dict[int, MirrorRecords] = {}

    def set_transport(self, send: SendMessage, list_peers: ListPeers) -> None:
        """Use a transport; ``list_peers`` returns peer addresses by name."""
        self._send = send
        self._list_peers = list_peers

    def has_mirror(self, journal: Journal) -> bool:
        """Return whether there is a node that can mirror the partition."""
        return bool(self._find_mirror_address(journal))

    def mirror_pending(self, journal: Journal) -> None:
        """Send pending records to the mirror if the log is down.

        Once the log has accepted them, an empty message makes the mirror drop
        its copies.
        """
        if calls.is_log_down(journal, read_clock()) and journal.is_owner:
            self._mirror_records(journal)
        elif journal.stream in self._sent_by_stream and journal.is_settled:
            sent = self._sent_by_stream.pop(journal.stream)
            self._send_records(journal, sent.mirror_address, [])

    def hold(self, message: MirrorRecords) -> None:
        """Replace the records held for an owner; none means to drop them."""
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

    def handle_ack(self, message: MirrorAck) -> None:
        """Settle the records that the mirror now holds."""
        sent = self._sent_by_stream.get(_build_stream_name(message.partition))
        if sent is None or sent.mirror_address != message.peer_address:
            return
        sent.acked_ids |= frozenset(message.record_ids)
        for record_id in message.record_ids:
            self._settlements.settle(record_id, _MIRRORED)

    def settle_acked(self, journal: Journal, record_ids: Sequence[str]) -> None:
        """Settle those of the records that the mirror has acked already."""
        sent = self._sent_by_stream.get(journal.stream, _SentRecords())
        for record_id in sent.acked_ids.intersection(record_ids):
            self._settlements.settle(record_id, _MIRRORED)

    def adopt(self, journal: Journal) -> None:
        """Submit the records held for a partition that was just claimed."""
        held = self._held_by_partition.pop(_parse_partition(journal), None)
        # After an older epoch, another owner has written to the partition.
        if held is None or held.epoch != journal.state.epoch - 1:
            return
        mirrored = [records.decode_record(body) for body in held.records]
        count = adopt_records(journal, mirrored)
        emit(LogEvent.MIRROR_ADOPTED, stream=journal.stream, records=count)

    def _mirror_records(self, journal: Journal) -> None:
        pending = list_adoptable_records(journal)
        mirror_address = self._find_mirror_address(journal)
        sent = self._sent_by_stream.setdefault(journal.stream, _SentRecords())
        record_ids = tuple(record.record_id for record in pending)
        is_same = (mirror_address, record_ids) == (
            sent.mirror_address,
            sent.record_ids,
        )
        is_acked = sent.acked_ids.issuperset(record_ids)
        is_recent = read_clock() - sent.sent_at < RESEND_INTERVAL_SECONDS
        if not mirror_address or (is_same and (is_acked or is_recent)):
            return
        if mirror_address != sent.mirror_address:
            sent.acked_ids = frozenset()
            emit(LogEvent.RECORDS_MIRRORED, stream=journal.stream)
        sent.mirror_address = mirror_address
        sent.record_ids = record_ids
        sent.sent_at = read_clock()
        self._send_records(journal, mirror_address, pending)

    def _send_records(
        self,
        journal: Journal,
        mirror_address: str,
        pending: list[records.Record],
    ) -> None:
        message = MirrorRecords(
            peer_address=self._peer_address,
            partition=_parse_partition(journal),
            epoch=journal.view.epoch,
            records=tuple(map(records.encode_record, pending)),
        )
        if not self._send(mirror_address, message):
            emit(
                LogEvent.MIRROR_FAILED,
                stream=journal.stream,
                peer=mirror_address,
            )

    def _find_mirror_address(self, journal: Journal) -> str:
        """Return the peer address of the next owner, empty if there is none."""

        peers = dict(self._list_peers())
        peers.pop(self._node, None)
        ranked = first_members(peers, journal.stream, 1)
        return peers[ranked[0]] if ranked else ''


def _drop_message(_address: str, _message: Any) -> bool:
    return False


def _build_stream_name(partition: int) -> str:
    return f'programs-{partition:02}'


def _parse_partition(journal: Journal) -> int:
    return int(journal.stream.rpartition('-')[2])
