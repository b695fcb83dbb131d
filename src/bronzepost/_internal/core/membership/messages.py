"""The messages of the failure detector.

Each carries the sender's own entry, its configuration offset and a bounded
number of member updates.
"""

import msgspec

from .entities import MemberEntry


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """Who asked a helper for an indirect probe.

    It travels with the helper's ping and returns in the ack, so the helper
    keeps no state about probes of others.
    """

    peer_address: str
    sequence: int


class MembershipMessage(msgspec.Struct, frozen=True, kw_only=True):
    """What all messages of the failure detector carry.

    ``digest`` is over the sender's live members, so that a lost update is
    noticed; 0 says nothing.
    """

    sender: MemberEntry
    sequence: int
    configuration_offset: int
    digest: int = 0
    updates: tuple[MemberEntry, ...] = ()


class Ping(MembershipMessage, frozen=True, kw_only=True, tag='ping'):
    """Ask a member whether it is alive.

    ``is_joining`` asks for all members in the ack. ``is_repeated`` says that
    an ack did not arrive, so the receiver answers over a new connection.
    """

    is_joining: bool = False
    is_repeated: bool = False
    origin: Origin | None = None


class Ack(MembershipMessage, frozen=True, kw_only=True, tag='ack'):
    """Answer a ping; with sequence 0 it only spreads updates.

    ``is_full`` says that the updates are all members that the sender knows.
    """

    is_full: bool = False
    origin: Origin | None = None


class PingRequest(
    MembershipMessage, frozen=True, kw_only=True, tag='ping_request'
):
    """Ask a helper to probe a member."""

    target_address: str
