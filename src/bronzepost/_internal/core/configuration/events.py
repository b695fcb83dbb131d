"""The events that the configuration takes and the actions that it returns."""

import dataclasses

from bronzepost._internal.core.membership import Member

from .entities import ChangeAccepted, ChangeRejected
from .messages import ConfigurationMessage, RecordAtOffset
from .records import ConfigurationRecord
from .schema import SettingValue


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed; ``at`` is in seconds of a monotonic clock."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembersChanged:
    """The serving members, the node itself included."""

    at: float
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRead:
    """The log has answered a read.

    ``first_offset`` is the oldest offset that the log retains and
    ``next_offset`` the one that it will assign next.
    """

    at: float
    first_offset: int
    next_offset: int
    records: tuple[RecordAtOffset, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """A message of another member has arrived and is authentic."""

    at: float
    message: ConfigurationMessage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAhead:
    """A heartbeat has shown that a peer has applied more records."""

    at: float
    peer_address: str
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeProposed:
    """An operator asks for a change."""

    at: float
    path: str
    value: SettingValue
    base_revision: int
    author: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordAppended:
    """The log has confirmed an append, or its answer was lost."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadLog:
    """Read the configuration stream from an offset on."""

    from_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords:
    """Append records in one call; repeat it with the same ids if ambiguous.

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

    Hand it to the membership as ``OffsetAdvanced``, so that heartbeats tell
    it. It is also returned when the node becomes ready.
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
