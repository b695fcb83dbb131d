"""Release what engines hold for programs that have ended.

Release orders get lost and cache events have gaps, so a sweep compares what
each engine holds with the programs that live.
"""

from collections.abc import Collection
from http import HTTPStatus
from typing import Final
from urllib.parse import quote

import gevent
import msgspec

from bronzepost._internal.core.rendezvous import partition_of
from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.session_sweep import (
    SessionView,
    should_release_session,
)
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import Metrics

SWEEP_SECONDS: Final = 2.0
RELEASE_IDLE_SECONDS: Final = 1.0


class _Session(msgspec.Struct, frozen=True):
    session: str
    tokens: int = 0


class _Sessions(msgspec.Struct, frozen=True):
    sessions: list[_Session]


class EngineMemory:
    """Release sessions, at once and by sweep."""

    def __init__(
        self,
        *,
        directory: BackendDirectory,
        keeper: JournalKeeper,
        node: str,
        metrics: Metrics,
    ) -> None:
        """Use the node's runners and journals."""
        self.live_calls: set[str] = set()
        self._directory = directory
        self._keeper = keeper
        self._node = node
        self._metrics = metrics

    def release(self, session: str) -> None:
        """Release the session of an ended program wherever it is held."""
        self.release_prefix(session)
        ended = events.ProgramEnded(at=read_clock(), program_id=session)
        apply_event(self._directory.tables, ended)

    def release_prefix(self, session: str) -> None:
        """Release a session wherever it is believed to be held."""
        tables = self._directory.tables
        for server_id in list(tables.prefixes_by_session.get(session, ())):
            gevent.spawn(self._release_at, server_id, session)

    def sweep(self, live_nodes: Collection[str]) -> None:
        """Release what runners hold for programs that have ended.

        ``live_nodes`` names the nodes whose calls without a program may
        still be under way.
        """
        # A node that has lost a partition must not release the sessions of
        # programs that it never heard of.
        gevent.joinall([
            gevent.spawn(self._keeper.confirm_owner, journal)
            for journal in self._keeper.list_owned_journals()
        ])
        servers = self._directory.tables.backend_servers_by_id.values()
        greenlets = [
            gevent.spawn(
                self._sweep_server, server.backend_server_id, live_nodes
            )
            for server in list(servers)
            if server.model
        ]
        gevent.joinall(greenlets)

    def _sweep_server(
        self, server_id: str, live_nodes: Collection[str]
    ) -> None:
        peer = self._find_peer(server_id)
        if peer is None:
            return
        try:
            answer = peer.exchange('GET', '/v1/sessions', step='sweep')
        except ExchangeError:
            return
        if answer.status != HTTPStatus.OK:
            return
        for held in msgspec.json.decode(answer.body, type=_Sessions).sessions:
            if self._should_release(held.session, live_nodes):
                self._metrics.count(Metric.SESSIONS_SWEPT)
                self._release_at(server_id, held.session)

    def _should_release(
        self, session: str, live_nodes: Collection[str]
    ) -> bool:
        journal = self._keeper.get_or_create_journal(partition_of(session))
        view = SessionView(
            node=self._node,
            live_nodes=frozenset(live_nodes),
            live_calls=self.live_calls,
            is_owner=journal.is_owner,
            program=journal.view.programs_by_id.get(session),
        )
        return should_release_session(session, view)

    def _find_peer(self, server_id: str) -> HttpPeer | None:
        if server_id not in self._directory.addresses_by_id:
            return None
        return self._directory.peer_of(server_id, RELEASE_IDLE_SECONDS)

    def _release_at(self, server_id: str, session: str) -> None:
        peer = self._find_peer(server_id)
        if peer is None:
            return
        path = f'/v1/sessions/{quote(session, safe="")}/release'
        try:
            peer.exchange('POST', path, step='release session', body={})
        except ExchangeError as error:
            emit(LogEvent.SESSION_NOT_RELEASED, error=error, session=session)
            return
        emit(LogEvent.SESSION_RELEASED, session=session, runner=server_id)
        released = events.SessionReleased(
            at=read_clock(), backend_server_id=server_id, session=session
        )
        apply_event(self._directory.tables, released)
