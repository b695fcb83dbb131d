"""VMs in memory, some of which do not get the newest configuration."""

from collections.abc import Mapping, Sequence, Set
from typing import Any, Final

import gevent
import msgspec

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    GatewayConfiguration,
)
from bronzepost._internal.gateway.peers.messages import (
    PROTOCOL,
    LoadReport,
    Snapshot,
    SnapshotRequest,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.peers.snapshots import SnapshotExchange
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from tests.builders_vms import MemoryVm

# Longer than a test.
SILENT_SECONDS: Final = 60.0


class SilentRegistry:
    """A registry that answers at first, and then leaves its readers waiting.

    ``configuration`` is that of its first answer.
    """

    def __init__(self, *, configuration: GatewayConfiguration | None) -> None:
        """Answer one read of the configuration."""
        self._answers = [configuration]

    @property
    def expiry_seconds(self) -> float:
        """Return 0: entries may expire in any outage."""
        return 0

    def wait_for_configuration(
        self, timeout_seconds: float
    ) -> GatewayConfiguration | None:
        """Return the configuration once; later reads get no answer."""
        if not self._answers:
            gevent.sleep(SILENT_SECONDS)
        return self._answers.pop()

    def pop_versions(self) -> Mapping[str, Set[str]] | None:
        """Return nothing beyond what is listed."""
        return {}

    def read_servers(self) -> Sequence[BackendServer]:
        """Return no servers."""
        return ()

    def read_past_versions(self, seconds: float) -> None:
        """Keep no old entries."""


class LaggingVm(MemoryVm):
    """The routes of a VM, and how it gets newer ones from its peers."""

    def __init__(
        self,
        *,
        name: str,
        vms_by_name: dict[str, Any],
        configuration: GatewayConfiguration | None,
    ) -> None:
        """Join ``vms_by_name`` with a configuration; ``start`` follows more."""
        super().__init__(name=name, vms_by_name=vms_by_name)
        self.contents: list[bytes] = []
        self.follower = RegistryFollower(
            registry=SilentRegistry(configuration=configuration),
            directory=self.directory,
        )
        self.reports = PeerReports(
            fleet=self,  # type: ignore[arg-type]
            directory=self.directory,
            follower=self.follower,
        )
        self.snapshots = SnapshotExchange(
            fleet=self,  # type: ignore[arg-type]
            reports=self.reports,
            calls=PeerCalls(fleet=self),  # type: ignore[arg-type]
            directory=self.directory,
            follower=self.follower,
        )
        if configuration is not None:
            self.directory.put_configuration(configuration)

    def start(self) -> None:
        """Start to follow the registry and the peers."""
        self.follower.start()
        self.snapshots.start()
        gevent.sleep(0)

    def send(self, name: str, message: Any) -> bool:
        """Deliver a message; keep the contents of copies of routes."""
        if isinstance(message, Snapshot):
            self.contents.append(message.content)
        return super().send(name, message)

    def report_to(self, name: str, **changes: Any) -> None:
        """Send a report of the routes in force to another VM."""
        report = LoadReport(
            in_flight={},
            has_store=True,
            is_ready=True,
            version=self.directory.version,
            protocol=PROTOCOL,
        )
        self.send(name, msgspec.structs.replace(report, **changes))


class EarlierVm(LaggingVm):
    """A VM of a build that knows no workspaces."""

    def send(self, name: str, message: Any) -> bool:
        """Leave out of each message what the earlier build does not know."""
        if isinstance(message, Snapshot) and message.content:
            copy = msgspec.msgpack.decode(message.content)
            copy.pop('knows_workspaces')
            copy['configuration'].pop('workspaces')
            content = msgspec.msgpack.encode(copy)
            message = msgspec.structs.replace(message, content=content)
        if isinstance(message, LoadReport):
            message = msgspec.structs.replace(message, protocol=0)
        return super().send(name, message)


def count_requests(vm: MemoryVm) -> int:
    """Return how often a VM has asked others for their routes."""
    return vm.sent.count(SnapshotRequest)
