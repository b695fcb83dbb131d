"""Read what engines say about their caches, late and with gaps."""

from http import HTTPStatus
from typing import Final

import gevent
import msgspec

from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

CACHE_EVENT_SECONDS: Final = 1.0
_IDLE_SECONDS: Final = 1.0


class _CacheEvent(msgspec.Struct, frozen=True):
    number: int
    kind: events.CacheEventKind
    session: str
    tokens: int


class _CacheEvents(msgspec.Struct, frozen=True):
    events: list[_CacheEvent]
    next: int


class CacheEventReader:
    """Follow the cache events of all engines."""

    def __init__(self, *, directory: BackendDirectory) -> None:
        """Start from the events that are made from now on."""
        self._directory = directory
        self._next_by_server: dict[str, int] = {}

    def poll(self) -> None:
        """Read the new events of every engine, all at once."""
        servers = self._directory.tables.backend_servers_by_id.values()
        engines = [
            server.backend_server_id for server in servers if server.model
        ]
        gevent.joinall([
            gevent.spawn(self._poll_engine, server_id)
            for server_id in engines
            if server_id in self._directory.addresses_by_id
        ])

    def _poll_engine(self, server_id: str) -> None:
        expected = self._next_by_server.get(server_id, 0)
        peer = self._directory.peer_of(server_id, _IDLE_SECONDS)
        try:
            answer = peer.exchange(
                'GET',
                f'/v1/cache/events?from={expected}',
                step='read cache events',
            )
        except ExchangeError:
            return
        if answer.status != HTTPStatus.OK:
            return
        page = msgspec.json.decode(answer.body, type=_CacheEvents)
        self._next_by_server[server_id] = page.next
        first = page.events[0].number if page.events else expected
        if 0 < expected < first:
            # What was missed is found by the sweep and by the usage figures.
            emit(LogEvent.CACHE_EVENTS_MISSED, runner=server_id)
        for seen in page.events:
            self._apply(server_id, seen)

    def _apply(self, server_id: str, seen: _CacheEvent) -> None:
        event = events.CacheEventReceived(
            at=read_clock(),
            backend_server_id=server_id,
            number=seen.number,
            kind=seen.kind,
            session=seen.session,
            tokens=seen.tokens,
        )
        apply_event(self._directory.tables, event)
