"""Routes and backend servers from peers that have newer ones."""

import dataclasses
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from bronzepost._internal.core.gateway.configuration_lag import (
    is_overdue,
    list_newer,
    may_lag,
)
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    GatewayConfiguration,
)
from bronzepost._internal.gateway.loops import start_loop, start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    Snapshot,
    SnapshotRequest,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A VM that starts while the store is unavailable serves after two polls.
POLL_INTERVAL_SECONDS: Final = 0.3
# The interval of checks whether peers have newer routes, which send nothing.
LAG_CHECK_SECONDS: Final = 0.1
# A snapshot of 350 routes takes 90 KB.
ANSWER_TIMEOUT_SECONDS: Final = 0.5
# A caller waits so long for newer routes before it is told to come back. A peer in
# the same region answers in a few milliseconds.
CATCH_UP_SECONDS: Final = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryCopy:
    """The content of a snapshot: routes in force and backend servers.

    A VM whose build ``knows_workspaces`` sends those of its configuration. The
    copy of an earlier build has none, which does not mean that there are none.
    """

    configuration: GatewayConfiguration
    servers: tuple[BackendServer, ...]
    knows_workspaces: bool = False


def decode_copy(content: bytes) -> DirectoryCopy | None:
    """Return the content of a snapshot, or None if it cannot be decoded."""
    try:
        return msgspec.msgpack.decode(content, type=DirectoryCopy)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, key='snapshot', error=error)
        return None


class SnapshotExchange:
    """Send snapshots to peers, and get them from those with newer routes."""

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
        # The greenlet that fetches newer routes, and when it was started.
        self._catching_up: Any = None
        self._asked_at: float = 0
        self._asked_count = 0
        # Senders and versions of the copies that were refused.
        self._refused: set[tuple[str, int]] = set()
        fleet.subscribe(SnapshotRequest, self._answer)

    @property
    def may_lag(self) -> bool:
        """Return whether a newer configuration than this VM's may be in force."""
        return may_lag(
            self._reports.newer,
            self._directory.version,
            is_feed_current=self._follower.is_configuration_current,
        )

    def start(self) -> None:
        """Start to ask peers whenever this VM needs a snapshot."""
        start_loop(self._poll, POLL_INTERVAL_SECONDS)
        start_loop(self._check_lag, LAG_CHECK_SECONDS)

    def catch_up(self) -> None:
        """Fetch the newest configuration from a peer if there is one.

        Returns after ``CATCH_UP_SECONDS`` at most. Requests that come together
        share one fetch, and there are at most ten a second.
        """
        if self._catching_up is None or self._catching_up.ready():
            if read_clock() < self._asked_at + LAG_CHECK_SECONDS:
                return
            self._asked_at = read_clock()
            self._catching_up = start_task(self._fetch_newer)
        self._catching_up.join(timeout=CATCH_UP_SECONDS)

    def _poll(self) -> None:
        if self._follower.needs_snapshot:
            sources = self._reports.list_snapshot_sources()
            if sources:
                self._fetch(sources[0])

    def _check_lag(self) -> None:
        version = self._directory.version
        if is_overdue(self._reports.newer, version, at=read_clock()):
            self.catch_up()

    def _fetch_newer(self) -> None:
        """Ask one of the peers with newer routes, the next one each time."""
        sources = list_newer(self._reports.newer, self._directory.version)
        if sources:
            name = sources[self._asked_count % len(sources)]
            self._asked_count += 1
            self._fetch(name)

    def _fetch(self, name: str) -> None:
        answer = self._calls.ask(
            name,
            lambda call_id: SnapshotRequest(call_id=call_id),
            ANSWER_TIMEOUT_SECONDS,
        )
        if answer is not None and answer.content:
            self._apply(name, answer)

    def _apply(self, name: str, answer: Snapshot) -> None:
        snapshot = decode_copy(answer.content)
        if snapshot is None:
            return
        version = self._directory.version
        self._apply_configuration(name, snapshot)
        is_more_current = (
            answer.has_store and not self._follower.has_current_servers
        )
        if is_more_current or not self._directory.servers_by_id:
            self._put_servers(name, snapshot.servers, answer)
        if self._directory.version > version:
            emit(
                LogEvent.SNAPSHOT_TAKEN,
                peer=name,
                version=snapshot.configuration.version,
                servers=len(snapshot.servers),
                has_store=answer.has_store,
            )

    def _put_servers(
        self, name: str, servers: Sequence[BackendServer], answer: Snapshot
    ) -> None:
        known = self._directory.servers_by_id.keys()
        copied = {server.server_id for server in servers}
        if copied != known:
            emit(
                LogEvent.SERVERS_COPIED,
                peer=name,
                has_store=answer.has_store,
                added=sorted(copied - known),
                removed=sorted(known - copied),
            )
        self._directory.put_servers(servers)
        self._follower.grace.record_copy(is_current=answer.has_store)

    def _apply_configuration(self, name: str, snapshot: DirectoryCopy) -> None:
        is_completed = self._directory.is_partial and snapshot.knows_workspaces
        newest_known = self._directory.version - is_completed
        if snapshot.configuration.version <= newest_known:
            return
        if self._may_lack_workspaces(snapshot):
            self._refuse(name, snapshot.configuration.version)
            return
        self._directory.put_configuration(
            snapshot.configuration, is_partial=not snapshot.knows_workspaces
        )

    def _refuse(self, name: str, version: int) -> None:
        if (name, version) not in self._refused:
            self._refused.add((name, version))
            emit(LogEvent.SNAPSHOT_REFUSED, peer=name, version=version)

    def _may_lack_workspaces(self, snapshot: DirectoryCopy) -> bool:
        """Return whether the sender may have left out workspaces.

        Without them requests would be served without a key.
        """
        return (
            not snapshot.knows_workspaces
            and self._directory.may_have_workspaces
        )

    def _answer(self, sender: str, request: SnapshotRequest) -> None:
        configuration = self._directory.configuration
        content = b''
        if configuration is not None:
            snapshot = DirectoryCopy(
                configuration=configuration,
                servers=tuple(self._directory.servers_by_id.values()),
                knows_workspaces=not self._directory.is_partial,
            )
            content = msgspec.msgpack.encode(snapshot)
        answer = Snapshot(
            call_id=request.call_id,
            content=content,
            has_store=self._follower.has_current_servers,
        )
        self._fleet.send(sender, answer)
