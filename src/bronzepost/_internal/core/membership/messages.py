"""Messages of the failure detector.

Each carries the sender's own entry, its configuration offset and a bounded
number of member updates; a full ack carries all members.
"""

import msgspec

from .entities import MemberEntry


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """The node that requested an indirect probe, and its sequence number.

    The helper's ping carries it and the ack returns it, so the helper keeps
    no state about probes of other nodes.
    """

    peer_address: str
    sequence: int


class MembershipMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of all messages of the failure detector.

    ``digest`` covers the sender's live members and shows when an update was
    lost; 0 means that there is none.
    """

    sender: MemberEntry
    sequence: int
    configuration_offset: int
    digest: int = 0
    updates: tuple[MemberEntry, ...] = ()


class Ping(MembershipMessage, frozen=True, kw_only=True, tag='ping'):
    """A probe of a member.

    ``is_joining`` requests all members in the ack. ``is_repeated`` means that
    an ack did not arrive, so the receiver answers over a new connection.
    """

    is_joining: bool = False
    is_repeated: bool = False
    origin: Origin | None = None


class Ack(MembershipMessage, frozen=True, kw_only=True, tag='ack'):
    """The answer to a ping; with sequence 0 it only spreads updates.

    ``is_full`` means that the updates contain all members the sender knows.
    """

    is_full: bool = False
    origin: Origin | None = None


class PingRequest(
    MembershipMessage, frozen=True, kw_only=True, tag='ping_request'
):
    """A request to a helper to probe a member."""

    target_address: str
