"""Routes and backend servers from peers while the store is unavailable."""

import dataclasses
from typing import Final

import msgspec

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    GatewayConfiguration,
)
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    PROTOCOL,
    Snapshot,
    SnapshotRequest,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A VM that starts while the store is unavailable serves after two polls.
POLL_INTERVAL_SECONDS: Final = 0.3
# A snapshot of 350 routes takes 90 KB.
ANSWER_TIMEOUT_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryCopy:
    """The content of a snapshot: routes in force and backend servers."""

    configuration: GatewayConfiguration
    servers: tuple[BackendServer, ...]


def decode_copy(content: bytes) -> DirectoryCopy | None:
    """Return the content of a snapshot, or None if it cannot be decoded."""
    try:
        return msgspec.msgpack.decode(content, type=DirectoryCopy)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, key='snapshot', error=error)
        return None


class SnapshotExchange:
    """Send snapshots to peers, and get them while the store is unavailable."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        directory: Directory,
        follower: RegistryFollower,
    ) -> None:
        """Send the content of ``directory``, and update it."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._directory = directory
        self._follower = follower
        fleet.subscribe(SnapshotRequest, self._answer)

    def start(self) -> None:
        """Start to poll peers whenever this VM needs a snapshot."""
        start_loop(self._poll, POLL_INTERVAL_SECONDS)

    def _poll(self) -> None:
        if self._follower.needs_snapshot:
            self._fetch()

    def _fetch(self) -> None:
        sources = self._reports.list_snapshot_sources()
        if not sources:
            return
        answer = self._calls.ask(
            sources[0],
            lambda call_id: SnapshotRequest(call_id=call_id),
            ANSWER_TIMEOUT_SECONDS,
        )
        if answer is not None and answer.content:
            self._apply(sources[0], answer)

    def _apply(self, name: str, answer: Snapshot) -> None:
        snapshot = decode_copy(answer.content)
        if snapshot is None:
            return
        is_newer = snapshot.configuration.version > self._directory.version
        self._directory.put_configuration(
            snapshot.configuration,
            is_whole=self._reports.received.find_protocol(name) >= PROTOCOL,
        )
        is_more_current = self._follower.lacks_server_feed and answer.has_store
        if is_more_current or not self._directory.servers_by_id:
            self._directory.put_servers(snapshot.servers)
        if is_newer:
            emit(
                LogEvent.SNAPSHOT_TAKEN,
                peer=name,
                version=snapshot.configuration.version,
                servers=len(snapshot.servers),
                has_store=answer.has_store,
            )

    def _answer(self, sender: str, request: SnapshotRequest) -> None:
        configuration = self._directory.configuration
        content = b''
        if configuration is not None:
            snapshot = DirectoryCopy(
                configuration=configuration,
                servers=tuple(self._directory.servers_by_id.values()),
            )
            content = msgspec.msgpack.encode(snapshot)
        answer = Snapshot(
            call_id=request.call_id,
            content=content,
            has_store=self._reports.has_store,
        )
        self._fleet.send(sender, answer)
