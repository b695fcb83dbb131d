"""Events that the configuration handles and actions that it returns."""

import dataclasses

from bronzepost._internal.core.membership import Member

from .entities import ChangeAccepted, ChangeRejected
from .messages import ConfigurationMessage, RecordAtOffset
from .records import ConfigurationRecord
from .schema import SettingValue


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """The periodic timer fired; ``at`` is in seconds of a monotonic clock."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembersChanged:
    """The serving members have changed; they include the node itself."""

    at: float
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRead:
    """The log has answered a read.

    ``first_offset`` is the oldest offset that the log retains and
    ``next_offset`` the one that it assigns to the next record.
    """

    at: float
    first_offset: int
    next_offset: int
    records: tuple[RecordAtOffset, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """An authenticated message of another member has arrived."""

    at: float
    message: ConfigurationMessage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAhead:
    """A membership message reported the ``next_offset`` of a peer.

    It is ignored if the peer is not ahead of this node.
    """

    at: float
    peer_address: str
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeProposed:
    """An operator proposes a change to this node."""

    at: float
    path: str
    value: SettingValue
    base_revision: int
    author: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordAppended:
    """The log has confirmed an append, or its answer was lost.

    In both cases the log is read to learn the result.
    """

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadLog:
    """Read the configuration stream from an offset on."""

    from_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords:
    """Append records to the log in one call; a retry uses the same ids.

    ``record_id`` is that of the proposed change, and empty for a snapshot.
    """

    records: tuple[ConfigurationRecord, ...]
    record_id: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message to a peer address; it may be lost."""

    peer_address: str
    message: ConfigurationMessage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OffsetReached:
    """The node has applied the records before ``next_offset``.

    Pass it to the membership as ``OffsetAdvanced``, so that its messages carry
    the offset. It is also returned when the node becomes ready.
    """

    next_offset: int


ConfigurationEvent = (
    Tick
    | MembersChanged
    | LogRead
    | MessageReceived
    | PeerAhead
    | ChangeProposed
    | RecordAppended
)
ConfigurationAction = (
    ReadLog
    | AppendRecords
    | Send
    | OffsetReached
    | ChangeAccepted
    | ChangeRejected
)
