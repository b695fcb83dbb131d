"""Release the sessions that engines cache for ended programs.

Release requests get lost and cache events have gaps, so a periodic sweep
compares the sessions of each engine with the live programs.
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
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import Metrics

SWEEP_INTERVAL_SECONDS: Final = 2.0
SESSION_IDLE_TIMEOUT_SECONDS: Final = 1.0


class _Session(msgspec.Struct, frozen=True):
    session: str
    tokens: int = 0


class _Sessions(msgspec.Struct, frozen=True):
    sessions: list[_Session]


class EngineMemory:
    """Releases sessions when their program ends and in a periodic sweep.

    ``live_calls`` are the sessions of this node's running calls without a
    program.
    """

    def __init__(
        self,
        *,
        directory: BackendDirectory,
        journal_keeper: JournalKeeper,
        node: str,
        metrics: Metrics,
    ) -> None:
        """Use the node's directory of backend servers and its journals."""
        self.live_calls: set[str] = set()
        self._directory = directory
        self._journal_keeper = journal_keeper
        self._node = node
        self._metrics = metrics

    def release_ended(self, session: str) -> None:
        """Release a session whose program or call has ended.

        The program is also marked as ended in the scheduling tables.
        """
        self.release_session(session)
        ended = events.ProgramEnded(at=read_clock(), program_id=session)
        apply_event(self._directory.tables, ended)

    def release_session(self, session: str) -> None:
        """Release a session at each engine that may hold it."""
        tables = self._directory.tables
        for server_id in list(tables.prefixes_by_session.get(session, ())):
            gevent.spawn(self._release_at, server_id, session)

    def sweep(self, live_nodes: Collection[str]) -> None:
        """Release the sessions of ended programs in all engines.

        ``live_nodes`` names the nodes whose calls without a program may still
        be running; their sessions are kept.
        """
        # Ownership is confirmed first: a node that has lost a partition does
        # not know the programs that the new owner has started, and must not
        # release their sessions.
        gevent.joinall([
            gevent.spawn(self._journal_keeper.confirm_owner, journal)
            for journal in self._journal_keeper.list_owned_journals()
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
        client = self._find_client(server_id)
        if client is None:
            return
        try:
            response = client.exchange('GET', '/v1/sessions', step='sweep')
        except ExchangeError:
            return
        if response.status != HTTPStatus.OK:
            return
        for listed in msgspec.json.decode(
            response.body, type=_Sessions
        ).sessions:
            if self._should_release(listed.session, live_nodes):
                self._metrics.count(Metric.SESSIONS_SWEPT)
                self._release_at(server_id, listed.session)

    def _should_release(
        self, session: str, live_nodes: Collection[str]
    ) -> bool:
        journal = self._journal_keeper.get_or_create_journal(
            partition_of(session)
        )
        view = SessionView(
            node=self._node,
            live_nodes=frozenset(live_nodes),
            live_calls=self.live_calls,
            is_owner=journal.is_owner,
            program=journal.view.programs_by_id.get(session),
        )
        return should_release_session(session, view)

    def _find_client(self, server_id: str) -> ExchangeClient | None:
        if server_id not in self._directory.addresses_by_id:
            return None
        return self._directory.client_for(
            server_id, SESSION_IDLE_TIMEOUT_SECONDS
        )

    def _release_at(self, server_id: str, session: str) -> None:
        client = self._find_client(server_id)
        if client is None:
            return
        path = f'/v1/sessions/{quote(session, safe="")}/release'
        try:
            client.exchange('POST', path, step='release session', body={})
        except ExchangeError as error:
            emit(LogEvent.SESSION_NOT_RELEASED, error=error, session=session)
            return
        emit(LogEvent.SESSION_RELEASED, session=session, runner=server_id)
        released = events.SessionReleased(
            at=read_clock(), backend_server_id=server_id, session=session
        )
        apply_event(self._directory.tables, released)
