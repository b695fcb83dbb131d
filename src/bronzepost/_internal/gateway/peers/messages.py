"""Messages between gateway processes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, get_args

import msgspec

from bronzepost._internal.core.gateway.load_view import RelayedLoads
from bronzepost._internal.core.gateway.warm_gain import ReportedSamples
from bronzepost._internal.core.membership import Ack, Ping, PingRequest
from bronzepost._internal.gateway.peers.message_parts import (
    BrokenRequest,
    Fingerprints,
    NamedLimit,
)
from bronzepost._internal.gateway.peers.quota_messages import QuotaMessage
from bronzepost._internal.node.peers.envelopes import Envelope, EnvelopeCodec

# The version of the messages of this build: 1 has keys and quotas of workspaces.
# Builds before it state none. A kind of message that an earlier build does not
# know is not sent to VMs that report a lower version.
PROTOCOL: Final = 1


class ReserveTokens(
    msgspec.Struct, frozen=True, kw_only=True, tag='reserve_tokens'
):
    """Ask the home of a program to reserve the tokens of one turn.

    ``lines`` are the branches of turns that the prompt belongs to, as the ids
    of its parts, the most specific first; one server may have them in its
    cache. The home may grant tokens without the store only if
    ``may_be_provisional``. Each request to a home has a ``reservation_id`` of
    its own. ``is_first`` is set if the program has no turns before this one,
    and ``needs_store`` if its answer cannot end without the store.

    Unless it ``begins``, the turn hands nothing out before a second request, which
    does, and no tokens need to be granted yet. It is served by the process with
    the boot ``owner``, and has ended after ``expires_seconds``. Builds without
    these fields send one request, and take each one for one that begins.
    """

    call_id: int
    program_id: str
    request_id: str
    reservation_id: str
    budget: int
    tokens: int
    lines: tuple[str, ...]
    may_be_provisional: bool
    is_first: bool
    needs_store: bool = False
    begins: bool = True
    owner: str = ''
    expires_seconds: float = 0


class TokensReserved(
    msgspec.Struct, frozen=True, kw_only=True, tag='tokens_reserved'
):
    """Answer to ``ReserveTokens``: a verdict.

    It is one of reserved, admitted, spent, held and unsure. It also confirms
    ``SettleTokens``, as settled. Admitted means that the turn may run and has to
    send another request before its first event.

    Held means that other turns have reserved the rest of the budget, unsure
    that the VM cannot decide now. ``server_id`` is the server that ran the
    branch last, empty if unknown.
    """

    call_id: int
    verdict: str
    server_id: str = ''


class SettleTokens(
    msgspec.Struct, frozen=True, kw_only=True, tag='settle_tokens'
):
    """Report to the home of a program how many tokens a turn has generated.

    ``line`` is the branch of the turn, and ``server_id`` the server it ran on. The
    home confirms a message with a ``call_id``, which is repeated until then.
    """

    program_id: str
    reservation_id: str
    tokens: int
    line: str
    server_id: str
    call_id: int = 0


class ReplicateAllowance(
    msgspec.Struct, frozen=True, kw_only=True, tag='hold_allowance'
):
    """Ask a peer to keep a copy of a provisional allowance.

    ``tokens`` is the total that the holder was granted of the program's budget,
    ``stored`` the part of it that the store has, ``pooled`` the part that needs
    the agreement of most VMs, and ``returned`` the part that the holder has
    returned. ``bound`` limits the provisional allowances of all VMs together.
    """

    call_id: int
    program_id: str
    budget: int
    holder: str
    tokens: int
    bound: int
    stored: int = 0
    returned: int = 0
    pooled: int = 0


class AllowanceReplicated(
    msgspec.Struct, frozen=True, kw_only=True, tag='held'
):
    """Answer to ``ReplicateAllowance``.

    ``is_held`` is false if the allowance, together with those that the peer
    knows of, exceeds the budget or ``bound``. A peer that does not have
    ``has_memory`` may know less than it has agreed to, as after a restart. Builds
    without this field do not tell, and count as those that have it. ``voters`` is
    the number of VMs that have to agree by most, as the peer knows them.
    """

    call_id: int
    is_held: bool = True
    has_memory: bool = True
    voters: int = 0


class FindAllowances(
    msgspec.Struct, frozen=True, kw_only=True, tag='find_allowances'
):
    """Ask a peer for allowances of a program that the store may lack."""

    call_id: int
    program_id: str


class AllowancesFound(
    msgspec.Struct, frozen=True, kw_only=True, tag='allowances_found'
):
    """Answer to ``FindAllowances``: the tokens of each holder.

    ``pooled_by_holder`` is the part of them that most VMs have agreed to. If
    ``is_after_loss``, the sender assumes that a loss of all VMs has erased grants.
    ``has_memory`` and ``voters`` are those of ``AllowanceReplicated``.
    """

    call_id: int
    tokens_by_holder: dict[str, int]
    pooled_by_holder: dict[str, int] = {}
    is_after_loss: bool = False
    has_memory: bool = True
    voters: int = 0


class ReplicateTurn(msgspec.Struct, frozen=True, kw_only=True, tag='hold_turn'):
    """Send a copy of a turn to a VM that is among the first asked for it."""

    content: bytes


class StoreTurn(msgspec.Struct, frozen=True, kw_only=True, tag='store_turn'):
    """Ask a peer to write turns for a VM that the store does not answer.

    Builds that do not know ``more`` write the first turn only.
    """

    call_id: int
    content: bytes
    more: tuple[bytes, ...] = ()


class TurnStored(msgspec.Struct, frozen=True, kw_only=True, tag='turn_stored'):
    """Answer to ``StoreTurn``: whether the store has confirmed the first turn.

    ``stored_ids`` are those of all confirmed turns, empty from earlier builds.
    """

    call_id: int
    is_stored: bool
    stored_ids: tuple[str, ...] = ()


class FindTurns(msgspec.Struct, frozen=True, kw_only=True, tag='find_turns'):
    """Ask a peer for turns by their ids.

    It also reads them from the store if ``reads_store``.
    """

    call_id: int
    turn_ids: tuple[str, ...]
    reads_store: bool = False


class TurnsFound(msgspec.Struct, frozen=True, kw_only=True, tag='turns_found'):
    """Answer to ``FindTurns``: the turns that the peer has, with ancestors."""

    call_id: int
    contents: tuple[bytes, ...]


class ReplicateStream(
    msgspec.Struct, frozen=True, kw_only=True, tag='replicate_stream'
):
    """Tell a peer which software version of a service began a stream.

    ``request_id`` is that of the request which brought its first event. The
    peer forgets the stream after ``expires_seconds``.
    """

    request_id: str
    service: str
    version: str
    expires_seconds: float


class FindStream(msgspec.Struct, frozen=True, kw_only=True, tag='find_stream'):
    """Ask a peer which software version began a stream.

    With a ``service`` and an empty ``request_id``, ask which version all streams
    of the service have. Builds that do not know ``service`` answer that they
    know no such stream.
    """

    call_id: int
    request_id: str
    service: str = ''


class StreamFound(
    msgspec.Struct, frozen=True, kw_only=True, tag='stream_found'
):
    """Answer to ``FindStream``; ``is_known`` is false if the peer is unsure."""

    call_id: int
    is_known: bool
    service: str = ''
    version: str = ''


class RequestPermit(
    msgspec.Struct, frozen=True, kw_only=True, tag='request_permit'
):
    """Ask the owner of a server's limit for a turn of one request.

    ``limit`` is what the sender knows of it. The turn has to come within
    ``max_wait_seconds``. Without a ``limit`` the turns are those of suspects of
    the service ``key``.
    """

    call_id: int
    key: str
    max_wait_seconds: float
    limit: NamedLimit | None = None


class PermitDecided(
    msgspec.Struct, frozen=True, kw_only=True, tag='permit_decided'
):
    """Answer to ``RequestPermit``.

    The request may be sent after ``wait_seconds`` if it ``is_granted``, otherwise
    the sender may ask again then. A VM that is not the owner decides nothing.
    """

    call_id: int
    is_owner: bool
    is_granted: bool = False
    wait_seconds: float = 0


class CrashNews(msgspec.Struct, frozen=True, kw_only=True, tag='crash_news'):
    """What a VM has learned of servers that may have crashed and their requests.

    ``run`` has the fingerprints of requests that ran well, and ``alive`` the servers
    that answered, both with the seconds since then.
    """

    broken: tuple[BrokenRequest, ...] = ()
    run: tuple[tuple[Fingerprints, float], ...] = ()
    alive: tuple[tuple[str, float], ...] = ()


class LoadReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='load_report',
    omit_defaults=True,
):
    """The load and the state of a gateway process.

    ``in_flight`` counts its unanswered requests by backend server.
    ``has_store`` is set if the store answers it, and ``is_ready`` if it can
    serve callers. ``version`` is that of its routes in force, and
    ``uses_by_part`` has the tokens of the shared prompt parts that its callers
    use, and the recent uses of each. ``limits_by_id`` has the limits of backend
    servers that their answers have named to this process lately. The process
    cannot connect to the servers in ``unreached_ids``, and to none at all if it
    ``is_cut_off``. It relays ``tunnels`` of other processes. ``samples_by_route``
    has the samples of the gain of warm servers on sticky routes. ``protocol`` is
    the version of the messages that it understands. ``speeds_by_id`` has the mean
    microseconds per event that it measured at engines that differ from others,
    and the weight of each in streams. ``relayed_loads`` carries on the age in
    milliseconds and the requests in flight of other VMs, where reports do not
    go to all peers. VMs of a version without the last two fields ignore them.
    """

    in_flight: dict[str, int]
    has_store: bool
    is_ready: bool
    version: int
    uses_by_part: dict[str, tuple[int, float]] = {}
    limits_by_id: dict[str, NamedLimit] = {}
    unreached_ids: tuple[str, ...] = ()
    is_cut_off: bool = False
    tunnels: int = 0
    samples_by_route: dict[str, ReportedSamples] = {}
    protocol: int = 0
    speeds_by_id: dict[str, tuple[int, float]] = {}
    relayed_loads: RelayedLoads = {}


class SnapshotRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='ask_snapshot'
):
    """Ask a peer for its routes in force and its backend servers."""

    call_id: int


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """Answer to ``SnapshotRequest``; empty from a VM that has no routes.

    The servers are current if ``has_store``, otherwise the last known.
    """

    call_id: int
    content: bytes
    has_store: bool


class HandOver(msgspec.Struct, frozen=True, kw_only=True, tag='hand_over'):
    """Send the accounts of a partition to the VM that is now their home.

    ``former`` is the holder name of the home before it. ``is_synced`` is set
    if the accounts include all that the store has.
    """

    partition: int
    former: str
    is_synced: bool
    content: bytes


_BudgetMessage = (
    ReserveTokens
    | TokensReserved
    | SettleTokens
    | ReplicateAllowance
    | AllowanceReplicated
    | FindAllowances
    | AllowancesFound
    | HandOver
)
_TurnMessage = ReplicateTurn | StoreTurn | TurnStored | FindTurns | TurnsFound
_StreamMessage = ReplicateStream | FindStream | StreamFound
_PermitMessage = RequestPermit | PermitDecided
_StateMessage = LoadReport | SnapshotRequest | Snapshot

GatewayMessage = (
    Ping
    | Ack
    | PingRequest
    | _BudgetMessage
    | _TurnMessage
    | _StreamMessage
    | _PermitMessage
    | QuotaMessage
    | CrashNews
    | _StateMessage
)


_ProtocolsByKind = Mapping[type[msgspec.Struct], int]

# The protocol version that brought a kind of message, for kinds after version 0.
# ``OtherBuilds`` does not let ``Fleet`` send them to VMs that report a lower version.
PROTOCOLS_BY_KIND: Final[_ProtocolsByKind] = MappingProxyType(
    dict.fromkeys(get_args(QuotaMessage), 1)
)


class GatewayCodec(EnvelopeCodec[GatewayMessage]):
    """The codec of messages between gateway processes."""

    envelope_type = Envelope[GatewayMessage]
