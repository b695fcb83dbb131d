"""Membership and configuration of the cluster, as known to this node."""

import functools
import random
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from bronzepost._internal.core import configuration, membership
from bronzepost._internal.core.endpoints import (
    EndpointAnswer,
    choose_endpoints,
)
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.node.callers.refusals import refuse_former_member
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.log_client import LogClient
from bronzepost._internal.node.ledger.mirroring import Mirroring
from bronzepost._internal.node.operators.configuration_keeper import (
    ConfigurationKeeper,
)
from bronzepost._internal.node.peers.messages import (
    MessageCodec,
    MirrorAck,
    MirrorRecords,
)
from bronzepost._internal.node.peers.peers import PeerTransport
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A node starts without its seeds if none of them has answered by then.
JOIN_TIMEOUT_SECONDS: Final = 3.0
_MILLISECONDS_PER_SECOND: Final = 1000
_RANDOM_SEED_BITS: Final = 32


class Cluster:
    """Membership, configuration and the transport that both use."""

    def __init__(
        self,
        *,
        settings: Settings,
        log: LogClient,
        boot: str,
        mirroring: Mirroring,
    ) -> None:
        """Create the tables; nothing is sent before ``start``."""
        incarnation = int(time.time() * _MILLISECONDS_PER_SECOND)
        own_entry = _build_own_entry(settings, incarnation, boot)
        self._started_at = read_clock()
        self._starts_alone = False
        self.members = membership.create_tables(
            own_entry,
            at=read_clock(),
            seeds=settings.peers.seeds,
            random_seed=random.SystemRandom().getrandbits(_RANDOM_SEED_BITS),
        )
        self.codec = MessageCodec(
            name=own_entry.name,
            peer_address=own_entry.peer_address,
            boot=incarnation,
            keys=list(settings.peers.keys),
        )
        self.transport = PeerTransport(
            codec=self.codec,
            receive=self._receive,
            report=_report_error,
        )
        self.configuration = ConfigurationKeeper(
            tables=configuration.create_tables(
                own_entry.name,
                own_peer_address=own_entry.peer_address,
                boot=incarnation,
            ),
            log=log,
            send=self.transport.send,
            report_offset=self._report_offset,
        )
        self._mirroring = mirroring
        mirroring.set_transport(self.transport.send, self._list_peers)
        self._update_members()

    def start(self) -> None:
        """Listen for peers.

        Raises:
            SettingsError: if the peer address cannot be listened on.
        """
        self.transport.start()

    def close(self) -> None:
        """Close the connections to peers."""
        self.transport.close()

    def tick(self) -> None:
        """Run the periodic work of membership and configuration."""
        self._handle_event(membership.Tick(at=read_clock()))
        self.configuration.tick()

    def leave(self) -> None:
        """Announce to the other nodes that this one is leaving."""
        for action in membership.leave(self.members, read_clock()):
            carry_out(action, self)

    def may_claim(self) -> bool:
        """Return whether this node may claim partitions yet.

        A node that has just started knows no other member, and would claim
        partitions that others own. It waits for its configuration and for an
        answer of a seed, the latter only until the join timeout.
        """
        if not self.configuration.tables.is_ready:
            return False
        is_alone = not self.members.seeds
        if self.members.has_joined or is_alone or self._starts_alone:
            return True
        self._starts_alone = (
            read_clock() - self._started_at >= JOIN_TIMEOUT_SECONDS
        )
        if self._starts_alone:
            emit(LogEvent.SEEDS_UNREACHABLE, seeds=self.members.seeds)
        return self._starts_alone

    def list_serving(self) -> frozenset[str]:
        """Return the names of the members that may own partitions."""
        return self._serving

    def list_boots(self) -> Mapping[str, str]:
        """Return the boot identifiers of members that are not dead, by name."""
        return self._boots_by_name

    def find_forward_address(self, member: str) -> str:
        """Return the address that a member accepts forwarded calls at.

        Raises:
            RefusedError: if the member is not known.
        """
        known = self.members.members_by_name.get(member)
        if known is None:
            raise refuse_former_member(member)
        return known.forward_address

    def list_endpoints(self, program: str, owner: str) -> EndpointAnswer:
        """Return the caller addresses to use, the best one first."""
        own = self.members.own_member()
        return choose_endpoints(
            membership.live_members(self.members),
            key=program or own.name,
            owner=owner,
            region=own.region,
            availability_zone=own.availability_zone,
        )

    def handle_member_change(self, action: membership.MemberChanged) -> None:
        """Log a change of a member and update what depends on members."""
        event = _find_log_event(action, self.members.own_name)
        if event is not None:
            emit(event, member=action.name)
        self._update_members()

    def _list_peers(self) -> dict[str, str]:
        serving = membership.serving_members(self.members)
        return {member.name: member.peer_address for member in serving}

    def _handle_event(self, event: membership.MembershipEvent) -> None:
        for action in membership.apply_event(self.members, event):
            carry_out(action, self)

    def _receive(self, _sender: str, message: Any) -> None:
        at = read_clock()
        if isinstance(message, membership.MembershipMessage):
            self._handle_event(
                membership.MessageReceived(at=at, message=message)
            )
        elif isinstance(message, _CONFIGURATION_MESSAGES):
            received = configuration.MessageReceived(at=at, message=message)
            self.configuration.handle_event(received)
        elif isinstance(message, MirrorRecords):
            self._mirroring.hold(message)
        elif isinstance(message, MirrorAck):
            self._mirroring.handle_ack(message)

    def _report_offset(self, offset: int) -> None:
        self._handle_event(
            membership.OffsetAdvanced(at=read_clock(), offset=offset)
        )

    def _update_members(self) -> None:
        # Cached, since each request reads both and they seldom change.
        serving = membership.serving_members(self.members)
        self._serving = frozenset(member.name for member in serving)
        live = membership.live_members(self.members)
        self._boots_by_name = {member.name: member.boot for member in live}
        changed = configuration.MembersChanged(at=read_clock(), members=serving)
        self.configuration.handle_event(changed)


_CONFIGURATION_MESSAGES: Final = (
    configuration.ConfigurationRecords,
    configuration.ConfigurationRequest,
)

_LOG_EVENTS_BY_STATE: Final = MappingProxyType({
    'alive': LogEvent.MEMBER_JOINED,
    'suspected': LogEvent.MEMBER_SUSPECTED,
    'dead': LogEvent.MEMBER_DEAD,
    'leaving': LogEvent.MEMBER_LEAVING,
})


def _find_log_event(
    action: membership.MemberChanged, own_name: str
) -> LogEvent | None:
    if action.name == own_name:
        # The own entry changes when the node refutes a suspicion or leaves.
        is_leaving = action.current is membership.MemberState.LEAVING
        return None if is_leaving else LogEvent.SELF_SUSPECTED
    if action.previous is membership.MemberState.SUSPECTED:
        if action.current is membership.MemberState.ALIVE:
            return LogEvent.MEMBER_REFUTED
    return _LOG_EVENTS_BY_STATE.get(str(action.current or ''))


@functools.singledispatch
def carry_out(action: membership.MembershipAction, cluster: Cluster) -> None:
    """Carry out an action; a function is registered for each kind."""
    raise NotImplementedError(type(action).__name__)


@carry_out.register
def _(action: membership.Send, cluster: Cluster) -> None:
    cluster.transport.send(action.peer_address, action.message)


@carry_out.register
def _(action: membership.ReconnectPeer, cluster: Cluster) -> None:
    if cluster.transport.reconnect(action.peer_address):
        emit(LogEvent.PEER_SOCKET_REOPENED, peer=action.peer_address)


@carry_out.register
def _(action: membership.MemberChanged, cluster: Cluster) -> None:
    cluster.handle_member_change(action)


@carry_out.register
def _(action: membership.PeerOffsetSeen, cluster: Cluster) -> None:
    ahead = configuration.PeerAhead(
        at=read_clock(),
        peer_address=action.peer_address,
        offset=action.offset,
    )
    cluster.configuration.handle_event(ahead)


def _build_own_entry(
    settings: Settings, incarnation: int, boot: str
) -> membership.MemberEntry:
    node = settings.node
    return membership.MemberEntry(
        name=node.name,
        peer_address=node.peer_address,
        forward_address=node.forward_address,
        caller_address=node.caller_address,
        availability_zone=node.availability_zone,
        region=node.region,
        incarnation=incarnation,
        boot=boot,
    )


def _report_error(error: Exception) -> None:
    event = LogEvent.PEER_MESSAGE_DROPPED
    if isinstance(error, ProtocolError):
        event = LogEvent.PEER_REJECTED
    emit(event, error=error)
