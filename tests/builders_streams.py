"""VMs of tests that exchange messages about streams, without a network."""

import math
from typing import Final, Self, cast

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.requests.stream_versions import StreamVersions
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from tests.builders_gateway import make_server
from tests.builders_vms import MemoryVm

SERVICE: Final = 'engines'


class StreamVm(MemoryVm):
    """A VM with the part of a gateway that knows streams."""

    def __init__(self, *, name: str, vms_by_name: dict[str, Self]) -> None:
        """Join the VMs ``vms_by_name``."""
        super().__init__(name=name, vms_by_name=vms_by_name)
        # The versions of old entries at the registry; None if it has none.
        self.past_versions: tuple[str, ...] | None = None
        self.history_reads = 0
        # Versions that a read of the list finds; None if it has no answer.
        self.next_versions: tuple[str, ...] | None = ()
        self.servers_read_at: float = 0
        fleet = cast(Fleet, self)
        self.streams = StreamVersions(
            fleet=fleet,
            reports=cast(PeerReports, self),
            calls=PeerCalls(fleet=fleet),
            directory=self.directory,
            follower=cast(RegistryFollower, self),
        )

    def read_past_versions(self) -> None:
        """Read old entries of servers, as a follower of the registry does."""
        self.history_reads += 1
        if self.past_versions is not None:
            self.directory.versions.record_past({SERVICE: self.past_versions})

    def refresh_servers(self) -> None:
        """Read the list of servers, as a follower of the registry does."""
        if self.next_versions is not None:
            self.servers_read_at = math.inf
            if self.next_versions:
                self.list_servers(*self.next_versions)

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
