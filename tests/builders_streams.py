"""VMs of tests that exchange messages about streams, without a network."""

from typing import Self, cast

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.requests.stream_versions import StreamVersions
from tests.builders_gateway import make_server
from tests.builders_vms import MemoryVm


class StreamVm(MemoryVm):
    """A VM with the part of a gateway that knows streams."""

    def __init__(self, *, name: str, vms_by_name: dict[str, Self]) -> None:
        """Join the VMs ``vms_by_name``."""
        super().__init__(name=name, vms_by_name=vms_by_name)
        fleet = cast(Fleet, self)
        self.streams = StreamVersions(
            fleet=fleet,
            reports=cast(PeerReports, self),
            calls=PeerCalls(fleet=fleet),
            directory=self.directory,
        )

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
