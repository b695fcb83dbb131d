"""A running node: its listeners and its periodic work."""

from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from bronzepost._internal.node import assembly
from bronzepost._internal.node.backend_directory import (
    LIST_SECONDS,
    LOAD_SECONDS,
)
from bronzepost._internal.node.caller_api import CallerApi
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.defaults import look_up_default
from bronzepost._internal.node.engine_memory import SWEEP_SECONDS
from bronzepost._internal.node.listeners import KeyedApplication, listen
from bronzepost._internal.node.parts import CallParts
from bronzepost._internal.node.program_api import ProgramApi
from bronzepost._internal.node.web import WebApplication
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.start import Telemetry

TICK_SECONDS: Final = 0.05
ENDPOINT_SECONDS: Final = 5.0


class Node:
    """One process of the system."""

    def __init__(self, *, settings: Settings, telemetry: Telemetry) -> None:
        """Build the parts; nothing listens yet."""
        self._settings = settings
        self._telemetry = telemetry
        self._boot = assembly.make_boot()
        self._cluster = Cluster(settings=settings)
        self._storage = assembly.build_storage(settings, telemetry, self._boot)
        self._runners = assembly.build_runners(
            settings, telemetry, self._storage, self._boot
        )
        self._paths = assembly.build_call_paths(
            settings, telemetry, self._storage, self._runners, self._cluster
        )
        self._servers: list[WSGIServer] = []
        self._loops: list[gevent.Greenlet] = []
        self.stop_wanted = Event()

    def start(self) -> None:
        """Listen and begin the periodic work.

        Raises:
            OSError: if an address cannot be bound.
        """
        node = self._settings.node
        caller_application = self._build_caller_application()
        forward_application = KeyedApplication(
            application=caller_application,
            keys=lambda: self._settings.peers.keys,
        )
        self._repeat(LIST_SECONDS, self._runners.directory.poll_list)
        self._repeat(LOAD_SECONDS, self._runners.directory.poll_loads)
        self._repeat(TICK_SECONDS, self._storage.keeper.tick)
        self._repeat(1, self._paths.partitions.tick)
        self._repeat(SWEEP_SECONDS, self._sweep)
        self._servers = [
            listen(node.forward_address, forward_application),
            listen(node.caller_address, caller_application),
        ]
        emit(LogEvent.NODE_STARTED, caller_address=node.caller_address)

    def run(self) -> None:
        """Serve until somebody wants the node to stop."""
        self.stop_wanted.wait()
        for server in self._servers:
            server.stop()
        gevent.killall(self._loops)
        emit(LogEvent.NODE_STOPPED)

    def _build_caller_application(self) -> WebApplication:
        parts = CallParts(
            organisation=self._settings.node.organisation,
            boot=self._boot,
            lookup=look_up_default,
            partitions=self._paths.partitions,
            programs=self._storage.programs,
            chats=self._paths.chats,
            services=self._paths.services,
            ends=self._paths.ends,
            forwarder=self._paths.forwarder,
            list_endpoints=self._list_endpoints,
            list_models=lambda: assembly.list_models(self._runners.directory),
        )
        routes = (
            *CallerApi(parts=parts).routes(),
            *ProgramApi(parts=parts).routes(),
        )
        return WebApplication(
            routes=routes, body_bytes=self._settings.limits.body_bytes
        )

    def _list_endpoints(self, program: str) -> dict[str, Any]:
        node = self._settings.node
        endpoint = {
            'address': node.caller_address,
            'availability_zone': node.availability_zone,
        }
        return assembly.endpoint_answer([endpoint], ENDPOINT_SECONDS)

    def _sweep(self) -> None:
        self._runners.memory.sweep({self._boot})

    def _repeat(self, seconds: float, work: Callable[[], None]) -> None:
        self._loops.append(gevent.spawn(_run_repeatedly, seconds, work))


def _run_repeatedly(seconds: float, work: Callable[[], None]) -> None:
    """Run work for ever; an error in one run does not end the others."""
    while True:
        try:
            work()
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.GREENLET_FAILED, error=error)
        gevent.sleep(seconds)
