"""VMs of tests that exchange messages in memory, without a network."""

from collections.abc import Callable
from typing import Any, Self

from bronzepost._internal.core.membership import Member
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.peers.lost_members import LostMembers
from bronzepost._internal.gateway.servers.directory import Directory
from tests.builders_gateway import make_member, make_unmet


class MemoryVm:
    """The fleet of one VM and its directory, without the rest of a gateway.

    Messages reach the VMs of ``vms_by_name`` at once, except those that are
    ``cut_off``. Each VM lists all others, and treats as silent those that it
    cannot reach. ``sent`` has the types of the messages that it sent.
    """

    def __init__(self, *, name: str, vms_by_name: dict[str, Self]) -> None:
        """Join the VMs ``vms_by_name``."""
        self.own_name = name
        self.sent: list[type] = []
        self.directory = Directory(pool=ConnectionPool())
        self.lost_members = LostMembers()
        self.unmet = make_unmet()
        self.cut_off: set[str] = set()
        self._vms_by_name = vms_by_name
        self._receivers: dict[type, Callable[[str, Any], None]] = {}
        vms_by_name[name] = self

    @property
    def received(self) -> Self:
        """Return this VM, which also stands for the reports of its peers."""
        return self

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Pass messages of a type to ``receive``."""
        self._receivers[message_type] = receive

    def send(self, name: str, message: Any) -> bool:
        """Deliver a message at once, unless its receiver is lost or cut off."""
        self.sent.append(type(message))
        receiver = self._vms_by_name.get(name)
        if receiver is None or name in self.cut_off:
            return False
        receiver.receive(self.own_name, message)
        return True

    def receive(self, sender: str, message: Any) -> None:
        """Pass a message to its subscriber."""
        self._receivers[type(message)](sender, message)

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the VMs in one order for all keys, silent ones last."""
        names = sorted(self._vms_by_name)
        return tuple(sorted(names, key=self.cut_off.__contains__))

    def mark_silent(self, name: str) -> None:
        """Treat a VM as silent."""
        self.cut_off.add(name)

    def list_silent(self, names: list[str]) -> frozenset[str]:
        """Return the VMs that this one cannot reach."""
        return frozenset(name for name in names if name in self.cut_off)

    def list_serving(self) -> tuple[Member, ...]:
        """Return all VMs."""
        return tuple(make_member(name) for name in self._vms_by_name)

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the other VMs."""
        return tuple(
            name for name in self._vms_by_name if name != self.own_name
        )
