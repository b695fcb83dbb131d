"""Routes and backend servers from other VMs while the store is away."""

import dataclasses
from typing import Final

import msgspec

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    GatewayConfiguration,
)
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.messages import (
    AskSnapshot,
    Snapshot,
)
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.gateway.registry import RegistryFollower
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A VM that starts while the store is away serves after two of these.
POLL_SECONDS: Final = 0.3
# A snapshot of 350 routes takes 90 KB.
ANSWER_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryCopy:
    """What one VM tells another about routes and servers."""

    configuration: GatewayConfiguration
    servers: tuple[BackendServer, ...]


class SnapshotExchange:
    """Give snapshots to other VMs, and take them when the store is away."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        directory: Directory,
        follower: RegistryFollower,
    ) -> None:
        """Exchange what is in ``directory``."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._directory = directory
        self._follower = follower
        fleet.subscribe(AskSnapshot, self._answer)

    def start(self) -> None:
        """Start to look for news at other VMs whenever the store is away."""
        start_loop(self._poll, POLL_SECONDS)

    def _poll(self) -> None:
        if self._follower.needs_help:
            self._ask()

    def _ask(self) -> None:
        helpers = self._reports.list_helpers()
        if not helpers:
            return
        answer = self._calls.ask(
            helpers[0],
            lambda number: AskSnapshot(call_id=number),
            ANSWER_SECONDS,
        )
        if answer is not None and answer.content:
            self._put(helpers[0], answer)

    def _put(self, name: str, answer: Snapshot) -> None:
        copy = msgspec.msgpack.decode(answer.content, type=DirectoryCopy)
        is_newer = copy.configuration.version > self._directory.version
        if is_newer:
            self._directory.put_configuration(copy.configuration)
        is_current = self._follower.lacks_servers and answer.has_store
        if is_current or not self._directory.servers_by_id:
            self._directory.put_servers(copy.servers)
        if is_newer:
            emit(
                LogEvent.SNAPSHOT_TAKEN,
                peer=name,
                version=copy.configuration.version,
                servers=len(copy.servers),
                has_store=answer.has_store,
            )

    def _answer(self, sender: str, question: AskSnapshot) -> None:
        configuration = self._directory.configuration
        content = b''
        if configuration is not None:
            copy = DirectoryCopy(
                configuration=configuration,
                servers=tuple(self._directory.servers_by_id.values()),
            )
            content = msgspec.msgpack.encode(copy)
        answer = Snapshot(
            call_id=question.call_id,
            content=content,
            has_store=self._reports.has_store,
        )
        self._fleet.send(sender, answer)
