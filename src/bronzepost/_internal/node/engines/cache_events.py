"""Read the cache events of engines, which arrive late and with gaps."""

from http import HTTPStatus
from typing import Final

import gevent
import msgspec

from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

CACHE_EVENT_POLL_INTERVAL_SECONDS: Final = 1.0
_IDLE_TIMEOUT_SECONDS: Final = 1.0


class _CacheEvent(msgspec.Struct, frozen=True):
    number: int
    kind: events.CacheEventKind
    session: str
    tokens: int


class _CacheEvents(msgspec.Struct, frozen=True):
    events: list[_CacheEvent]
    next: int


class CacheEventReader:
    """Reads the cache events of all engines into the scheduling tables."""

    def __init__(self, *, directory: BackendDirectory) -> None:
        """Start without having read an event of any engine."""
        self._directory = directory
        self._next_by_server: dict[str, int] = {}

    def poll(self) -> None:
        """Read the new events of all engines concurrently."""
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
        client = self._directory.client_for(server_id, _IDLE_TIMEOUT_SECONDS)
        try:
            response = client.exchange(
                'GET',
                f'/v1/cache/events?from={expected}',
                step='read cache events',
            )
        except ExchangeError:
            return
        if response.status != HTTPStatus.OK:
            return
        page = msgspec.json.decode(response.body, type=_CacheEvents)
        self._next_by_server[server_id] = page.next
        first_number = page.events[0].number if page.events else expected
        if 0 < expected < first_number:
            # The sweep of sessions and the usage in responses make up for
            # missed events.
            emit(LogEvent.CACHE_EVENTS_MISSED, runner=server_id)
        for cache_event in page.events:
            self._apply(server_id, cache_event)

    def _apply(self, server_id: str, cache_event: _CacheEvent) -> None:
        event = events.CacheEventReceived(
            at=read_clock(),
            backend_server_id=server_id,
            number=cache_event.number,
            kind=cache_event.kind,
            session=cache_event.session,
            tokens=cache_event.tokens,
        )
        apply_event(self._directory.tables, event)
