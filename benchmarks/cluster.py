"""Simulated backend servers of one deployment."""

import functools
from collections.abc import Callable
from typing import Protocol

import numpy as np

from bronzepost._internal.core.scheduling.events import (
    CacheEventKind,
    CacheEventReceived,
    LoadReported,
    SchedulingEvent,
)
from bronzepost._internal.core.scheduling.tables import BackendServer

from .clock import VirtualClock
from .engine import Engine
from .plain_server import PlainServer
from .prefix_cache import CacheFigures, PrefixCache
from .settings import Deployment, Shapes

MODEL = 'model-a'

EventListener = Callable[[SchedulingEvent], None]


class SimulatedServer(Protocol):
    """Interface that engines and plain servers share."""

    has_failed: bool

    @property
    def running(self) -> int:
        """Return the number of running calls."""

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""

    def fail(self) -> None:
        """Stop permanently; running and waiting calls get no answer."""


class Cluster:
    """Build the servers and publish delayed load reports and cache events."""

    def __init__(
        self,
        *,
        clock: VirtualClock,
        shapes: Shapes,
        deployment: Deployment,
        cache_tokens: int,
        generator: np.random.Generator,
    ) -> None:
        """Build all servers of the deployment, idle."""
        self.engines_by_id: dict[str, Engine] = {}
        self.plain_servers_by_id: dict[str, PlainServer] = {}
        self.backend_servers_by_id: dict[str, BackendServer] = {}
        self.listeners: list[EventListener] = []
        self._clock = clock
        self._shapes = shapes
        self._deployment = deployment
        self._cache_tokens = cache_tokens
        self._generator = generator
        self._cache_event_number = 0
        for number, zone in enumerate(deployment.engine_zones):
            self._add_engine(f'engine-{number}', deployment.zones[zone])
        for number, zone in enumerate(deployment.plain_zones):
            self._add_plain_server(f'plain-{number}', deployment.zones[zone])

    def report_loads(self) -> None:
        """Publish the load of each working server after the report lag."""
        lag = self._shapes.engine.report_lag_seconds
        for server_id, backend_server in self.backend_servers_by_id.items():
            server = self._find_server(server_id)
            if not server.has_failed:
                # A node cannot see how old the reported load is, so the time
                # of the request serves as the time of the measurement.
                report = LoadReported(
                    at=self._clock.now + lag,
                    measured_at=self._clock.now + lag,
                    backend_server_id=server_id,
                    running=server.running,
                    waiting=server.waiting,
                    slots=backend_server.slots,
                    cache_tokens=self._count_cached_tokens(server_id),
                    cache_capacity=backend_server.cache_capacity,
                )
                self._publish_later(lag, report)

    def fail_zone(self, zone: str) -> tuple[str, ...]:
        """Stop all servers of a zone; return their identifiers."""
        failed = tuple(
            server_id
            for server_id, backend_server in self.backend_servers_by_id.items()
            if backend_server.availability_zone == zone
        )
        for server_id in failed:
            self._find_server(server_id).fail()
        return failed

    def end_session(self, session: str) -> None:
        """Release an ended session at all engines, as the node's sweep does."""
        for engine in self.engines_by_id.values():
            engine.cache.release(session, is_live=False)

    def sum_cache_figures(self) -> CacheFigures:
        """Return the sums of the cache figures of all engines."""
        figures = [
            engine.cache.figures for engine in self.engines_by_id.values()
        ]
        return CacheFigures(
            filled=sum(each.filled for each in figures),
            hit=sum(each.hit for each in figures),
            wasted=sum(each.wasted for each in figures),
        )

    def _add_engine(self, server_id: str, zone: str) -> None:
        cache = PrefixCache(
            capacity=self._cache_tokens,
            block_tokens=self._shapes.engine.block_tokens,
            listener=functools.partial(self._publish_cache_event, server_id),
        )
        self.engines_by_id[server_id] = Engine(
            clock=self._clock, shape=self._shapes.engine, cache=cache
        )
        self.backend_servers_by_id[server_id] = BackendServer(
            backend_server_id=server_id,
            service=self._deployment.engine_service,
            model=MODEL,
            availability_zone=zone,
            slots=self._shapes.engine.slots,
            cache_capacity=self._cache_tokens,
        )

    def _add_plain_server(self, server_id: str, zone: str) -> None:
        slots = self._shapes.plain.slots
        self.plain_servers_by_id[server_id] = PlainServer(
            clock=self._clock, slots=slots
        )
        self.backend_servers_by_id[server_id] = BackendServer(
            backend_server_id=server_id,
            service=self._deployment.plain_service,
            model='',
            availability_zone=zone,
            slots=slots,
        )

    def _find_server(self, server_id: str) -> SimulatedServer:
        servers: dict[str, SimulatedServer] = {
            **self.engines_by_id,
            **self.plain_servers_by_id,
        }
        return servers[server_id]

    def _count_cached_tokens(self, server_id: str) -> int:
        engine = self.engines_by_id.get(server_id)
        return engine.cache.held_tokens if engine else 0

    def _publish_cache_event(
        self,
        server_id: str,
        kind: CacheEventKind,
        session: str,
        tokens: int,
    ) -> None:
        self._cache_event_number += 1
        gap = self._shapes.engine.cache_event_gap_fraction
        if self._generator.random() < gap:
            return
        lag = self._shapes.engine.cache_event_lag_seconds
        event = CacheEventReceived(
            at=self._clock.now + lag,
            backend_server_id=server_id,
            number=self._cache_event_number,
            kind=kind,
            session=session,
            tokens=tokens,
        )
        self._publish_later(lag, event)

    def _publish_later(self, lag: float, event: SchedulingEvent) -> None:
        self._clock.call_later(lag, functools.partial(self._publish, event))

    def _publish(self, event: SchedulingEvent) -> None:
        for listener in self.listeners:
            listener(event)
