"""Messages between nodes."""

from typing import Any

import msgspec

from bronzepost._internal.core.configuration import (
    ConfigurationRecords,
    ConfigurationRequest,
)
from bronzepost._internal.core.membership import Ack, Ping, PingRequest
from bronzepost._internal.node.peers.envelopes import Envelope, EnvelopeCodec


class MirrorRecords(
    msgspec.Struct, frozen=True, kw_only=True, tag='mirror_records'
):
    """Records that the log has not accepted yet, for their mirror to hold.

    ``records`` are the JSON objects that will be appended to the log. None
    means that the mirror can drop what it holds for the partition.
    """

    peer_address: str
    partition: int
    epoch: int
    records: tuple[dict[str, Any], ...]


class MirrorAck(msgspec.Struct, frozen=True, kw_only=True, tag='mirror_ack'):
    """Acknowledges that the mirror holds the records in ``record_ids``."""

    peer_address: str
    partition: int
    epoch: int
    record_ids: tuple[str, ...]


PeerMessage = (
    Ping
    | Ack
    | PingRequest
    | ConfigurationRecords
    | ConfigurationRequest
    | MirrorRecords
    | MirrorAck
)


class MessageCodec(EnvelopeCodec[PeerMessage]):
    """The codec of messages between nodes.

    >>> codec = MessageCodec(
    ...     name='hall-a-1', peer_address='127.0.0.1:7001', boot=1, keys=['k']
    ... )
    """

    envelope_type = Envelope[PeerMessage]
