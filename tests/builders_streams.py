"""VMs of tests that exchange messages about streams, without a network."""

from collections.abc import Callable
from typing import Any, cast

from bronzepost._internal.gateway.backend_connections import ConnectionPool
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.gateway.stream_versions import StreamVersions
from tests.builders_gateway import make_server


class StreamVm:
    """A VM with the part of a gateway that knows streams.

    ``sent`` has the types of the messages to other VMs.
    """

    def __init__(self, *, name: str, vms_by_name: 'StreamVms') -> None:
        """Join the VMs ``vms_by_name``."""
        self.own_name = name
        self.sent: list[type] = []
        self.directory = Directory(pool=ConnectionPool())
        self._vms_by_name = vms_by_name
        self._receivers: dict[type, Callable[[str, Any], None]] = {}
        vms_by_name[name] = self
        fleet = cast(Fleet, self)
        self.streams = StreamVersions(
            fleet=fleet,
            reports=cast(PeerReports, self),
            calls=PeerCalls(fleet=fleet),
            directory=self.directory,
        )

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Pass messages of a type to ``receive``."""
        self._receivers[message_type] = receive

    def send(self, name: str, message: Any) -> bool:
        """Deliver a message at once, unless its receiver is lost."""
        self.sent.append(type(message))
        receiver = self._vms_by_name.get(name)
        if receiver is None:
            return False
        receiver.receive(self.own_name, message)
        return True

    def receive(self, sender: str, message: Any) -> None:
        """Pass a message to its subscriber."""
        self._receivers[type(message)](sender, message)

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the VMs in one order for all keys."""
        return tuple(sorted(self._vms_by_name))

    def list_servers(self, *versions: str) -> None:
        """Read a list with one server of each version."""
        self.directory.put_servers([
            make_server(f'i-{version}', version=version) for version in versions
        ])


StreamVms = dict[str, StreamVm]


def make_vms(count: int) -> StreamVms:
    """Return VMs named a, b and so on."""
    vms: StreamVms = {}
    for letter in 'abcdefgh'[:count]:
        StreamVm(name=letter, vms_by_name=vms)
    return vms
