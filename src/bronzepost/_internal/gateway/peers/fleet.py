"""The members of the gateway's fleet, and messages between them."""

import functools
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

from bronzepost._internal.core import membership
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.lost_members import LostMembers
from bronzepost._internal.gateway.peers.messages import (
    GatewayCodec,
    GatewayMessage,
)
from bronzepost._internal.gateway.peers.other_builds import OtherBuilds
from bronzepost._internal.gateway.peers.running_boots import RunningBoots
from bronzepost._internal.gateway.peers.unmet_members import UnmetMembers
from bronzepost._internal.gateway.settings import GatewaySettings
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.peers.peers import PeerTransport
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

TICK_SECONDS: Final = 0.1
_MILLISECONDS: Final = 1000
_SEED_BITS: Final = 32
# Boots are Unix milliseconds as hexadecimal text.
_BOOT_BASE: Final = 16

ReceiveMessage = Callable[[str, Any], None]


class Fleet:
    """Membership of the gateway processes, and the transport between them."""

    def __init__(self, *, settings: GatewaySettings) -> None:
        """Prepare the tables; nothing is sent before ``start``."""
        incarnation = int(time.time() * _MILLISECONDS)
        own = membership.MemberEntry(
            name=settings.name,
            peer_address=settings.peer_address,
            forward_address=settings.relay_address,
            caller_address=settings.caller_address,
            availability_zone=settings.availability_zone,
            region=settings.region,
            incarnation=incarnation,
            boot=f'{incarnation:x}',
        )
        self._own = own
        self.own_name = own.name
        # VMs that start together may have the same boot, so the name is added.
        self.own_boot = f'{own.name}/{own.boot}'
        self.other_builds = OtherBuilds()
        self._receivers_by_type: dict[type, ReceiveMessage] = {}
        # Cached until a member changes.
        self._serving: tuple[membership.Member, ...] | None = None
        self._serving_peers: tuple[str, ...] | None = None
        self._live_peers: tuple[str, ...] | None = None
        self.lost_members = LostMembers()
        self._members = membership.create_tables(
            own,
            at=read_clock(),
            seeds=settings.seeds,
            random_seed=random.SystemRandom().getrandbits(_SEED_BITS),
        )
        self.boots = RunningBoots(members=self._members)
        self.unmet = UnmetMembers(members=self._members, seeds=settings.seeds)
        codec = GatewayCodec(
            name=own.name,
            peer_address=own.peer_address,
            boot=incarnation,
            keys=[],
        )
        self._transport = PeerTransport(
            codec=codec,
            receive=self._receive,
            report=self.other_builds.report_error,
        )
        self.counts = self._transport.counts

    def start(self) -> None:
        """Listen for peers and start to join the fleet.

        Raises:
            SettingsError: if the peer address cannot be listened on.
        """
        self._transport.start()
        start_loop(self._tick, TICK_SECONDS)

    def leave(self) -> None:
        """Tell the peers that this process is stopping."""
        for action in membership.leave(self._members, read_clock()):
            carry_out(action, self)

    def subscribe(self, message_type: type, receive: ReceiveMessage) -> None:
        """Pass messages of a type to ``receive``, with the sender's name."""
        self._receivers_by_type[message_type] = receive

    def send(self, name: str, message: GatewayMessage) -> bool:
        """Queue a message to a member; return whether it was queued.

        False for an unknown member, a message that the transport drops, or one
        of a kind that the member's build does not know.
        """
        member = self._members.members_by_name.get(name)
        if member is None or not self.other_builds.understands(name, message):
            return False
        return self._transport.send(member.peer_address, message)

    def list_serving(self) -> tuple[membership.Member, ...]:
        """Return the members that take work, this one included.

        The same tuple is returned until a member changes.
        """
        if self._serving is None:
            self._serving = membership.serving_members(self._members)
        return self._serving

    def reset_member_lists(self) -> None:
        """Discard the cached lists of members, since a member has changed."""
        self._serving = None
        self._serving_peers = None
        self._live_peers = None

    @property
    def age_seconds(self) -> float:
        """Return for how long the oldest serving member has run.

        Its start is read from its own clock.
        """
        # No member serves while the last VM is leaving.
        boots = [member.boot for member in self.list_serving()]
        oldest = min(
            int(boot, _BOOT_BASE) for boot in (boots or (self._own.boot,))
        )
        return time.time() - oldest / _MILLISECONDS

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of the other members that take work."""
        if self._serving_peers is None:
            self._serving_peers = _list_peer_names(
                self.list_serving(), self.own_name
            )
        return self._serving_peers

    def list_live_peers(self) -> tuple[str, ...]:
        """Return the names of the other members that run, also leaving ones."""
        if self._live_peers is None:
            live = membership.live_members(self._members)
            self._live_peers = _list_peer_names(live, self.own_name)
        return self._live_peers

    def is_member_ip(self, ip: str) -> bool:
        """Return whether a VM with an IP runs, also one that is leaving."""
        return any(
            member.peer_address.rpartition(':')[0] == ip
            for member in membership.live_members(self._members)
        )

    def reconnect(self, peer_address: str) -> None:
        """Replace the connection to a peer that does not answer."""
        if self._transport.reconnect(peer_address):
            emit(LogEvent.PEER_SOCKET_REOPENED, peer=peer_address)

    def send_to_address(
        self, peer_address: str, message: GatewayMessage
    ) -> None:
        """Queue a message of the membership protocol.

        Its receiver may not be a member yet, and so has no name here.
        """
        self._transport.send(peer_address, message)

    def _tick(self) -> None:
        self._apply(membership.Tick(at=read_clock()))

    def _apply(self, event: membership.MembershipEvent) -> None:
        for action in membership.apply_event(self._members, event):
            carry_out(action, self)

    def _receive(self, sender: str, message: Any) -> None:
        if isinstance(message, membership.MembershipMessage):
            received = membership.MessageReceived(
                at=read_clock(), message=message
            )
            self._apply(received)
            return
        receive = self._receivers_by_type.get(type(message))
        if receive is not None:
            receive(sender, message)


def _list_peer_names(
    members: Iterable[membership.Member], own_name: str
) -> tuple[str, ...]:
    return tuple(member.name for member in members if member.name != own_name)


@functools.singledispatch
def carry_out(action: membership.MembershipAction, fleet: Fleet) -> None:
    """Carry out an action of the membership protocol."""
    raise NotImplementedError(type(action).__name__)


@carry_out.register
def _(action: membership.Send, fleet: Fleet) -> None:
    fleet.send_to_address(action.peer_address, action.message)


@carry_out.register
def _(action: membership.ReconnectPeer, fleet: Fleet) -> None:
    fleet.reconnect(action.peer_address)


@carry_out.register
def _(action: membership.MemberChanged, fleet: Fleet) -> None:
    fleet.reset_member_lists()
    fleet.lost_members.record(action)
    if action.name != fleet.own_name:
        event = _EVENTS_BY_STATE.get(str(action.current or ''))
        if event is not None:
            emit(event, member=action.name)


@carry_out.register
def _(action: membership.PeerOffsetSeen, fleet: Fleet) -> None:
    """Do nothing: gateways read the routes from the registry."""


_EVENTS_BY_STATE: Final = {  # noqa: WPS407 - read only
    'alive': LogEvent.MEMBER_JOINED,
    'suspected': LogEvent.MEMBER_SUSPECTED,
    'dead': LogEvent.MEMBER_DEAD,
    'leaving': LogEvent.MEMBER_LEAVING,
}
