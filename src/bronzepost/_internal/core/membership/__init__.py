"""SWIM membership: failure detection and dissemination of its results."""

from .entities import (
    Member,
    MemberEntry,
    MembershipSettings,
    MembershipTables,
    MemberState,
    create_tables,
    live_members,
    serving_members,
)
from .events import (
    LeaveRequested,
    MemberChanged,
    MembershipAction,
    MembershipEvent,
    MessageReceived,
    OffsetAdvanced,
    PeerOffsetSeen,
    ReconnectPeer,
    Send,
    Tick,
)
from .messages import Ack, MembershipMessage, Origin, Ping, PingRequest
from .system import apply_event, leave

__all__ = [
    'Ack',
    'LeaveRequested',
    'Member',
    'MemberChanged',
    'MemberEntry',
    'MemberState',
    'MembershipAction',
    'MembershipEvent',
    'MembershipMessage',
    'MembershipSettings',
    'MembershipTables',
    'MessageReceived',
    'OffsetAdvanced',
    'Origin',
    'PeerOffsetSeen',
    'Ping',
    'PingRequest',
    'ReconnectPeer',
    'Send',
    'Tick',
    'apply_event',
    'create_tables',
    'leave',
    'live_members',
    'serving_members',
]
