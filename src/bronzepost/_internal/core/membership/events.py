"""Events that the membership handles and actions that it returns."""

import dataclasses

from .entities import MemberState
from .messages import Ack, MembershipMessage, Ping, PingRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """The periodic timer fired; ``at`` is in seconds of a monotonic clock."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """An authenticated message of another member has arrived."""

    at: float
    message: MembershipMessage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OffsetAdvanced:
    """The node has applied the configuration up to ``offset``."""

    at: float
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveRequested:
    """The node begins a graceful shutdown."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message to a peer address; it may be lost."""

    peer_address: str
    message: Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReconnectPeer:
    """Replace the connection to a peer, since an open one can be silent."""

    peer_address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged:
    """A member's entry was added, changed or removed.

    ``previous`` is ``None`` for an added member and ``current`` is ``None``
    for a removed one. A higher incarnation with an unchanged state is a
    refutation or a new boot.
    """

    name: str
    previous: MemberState | None
    current: MemberState | None
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerOffsetSeen:
    """A peer has applied more of the configuration than this node."""

    name: str
    peer_address: str
    offset: int


MembershipEvent = Tick | MessageReceived | OffsetAdvanced | LeaveRequested
MembershipAction = Send | ReconnectPeer | MemberChanged | PeerOffsetSeen
