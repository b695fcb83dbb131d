"""A running node: its listeners, its periodic work and its drain."""

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
from bronzepost._internal.node.cache_events import CACHE_EVENT_SECONDS
from bronzepost._internal.node.caller_api import CallerApi
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.engine_memory import SWEEP_SECONDS
from bronzepost._internal.node.listeners import KeyedApplication, listen
from bronzepost._internal.node.operator_api import OperatorApi
from bronzepost._internal.node.parts import CallParts
from bronzepost._internal.node.pauses import REVIEW_SECONDS
from bronzepost._internal.node.program_api import ProgramApi
from bronzepost._internal.node.refusals import refuse_not_ready
from bronzepost._internal.node.upkeep import UPKEEP_SECONDS, ProgramUpkeep
from bronzepost._internal.node.web import WebApplication
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import FLUSH_SECONDS
from bronzepost._internal.telemetry.start import Telemetry

TICK_SECONDS: Final = 0.05
PARTITION_SECONDS: Final = 0.25
# Callers keep an endpoint answer for 5 s and may connect at its end.
DRAIN_SECONDS: Final = 6.0
# A drain that hangs on a call without end is cut here.
MAX_DRAIN_SECONDS: Final = 600.0


class Node:
    """One process of the system."""

    def __init__(self, *, settings: Settings, telemetry: Telemetry) -> None:
        """Build the parts; nothing listens yet."""
        self._settings = settings
        self._telemetry = telemetry
        self._boot = assembly.make_boot()
        self._storage = assembly.build_storage(settings, telemetry, self._boot)
        self._cluster = Cluster(
            settings=settings,
            log=self._storage.log,
            boot=self._boot,
            mirroring=self._storage.mirroring,
        )
        self._runners = assembly.build_runners(
            settings, telemetry, self._storage
        )
        self._paths = assembly.build_call_paths(
            settings, telemetry, self._storage, self._runners, self._cluster
        )
        self._servers: list[WSGIServer] = []
        self._loops: list[gevent.Greenlet] = []
        self._drain_wanted = Event()

    def start(self) -> None:
        """Listen and begin the periodic work.

        Raises:
            OSError: if an address cannot be bound.
            SettingsError: if the peer address cannot be listened on.
        """
        node = self._settings.node
        callers = self._build_caller_application()
        forwards = KeyedApplication(
            application=callers, keys=lambda: self._settings.peers.keys
        )
        operators = KeyedApplication(
            application=self._build_operator_application(),
            keys=lambda: self._settings.operators.keys,
        )
        self._cluster.start()
        self._start_loops()
        self._servers = [
            listen(node.operator_address, operators),
            listen(node.forward_address, forwards),
            listen(node.caller_address, callers),
        ]
        emit(LogEvent.NODE_STARTED, caller_address=node.caller_address)

    def drain(self) -> None:
        """Ask the node to hand over its work and stop."""
        self._drain_wanted.set()

    def run(self) -> None:
        """Serve until somebody wants the node to stop, then drain."""
        self._drain_wanted.wait()
        self._drain()
        for server in self._servers:
            server.stop()
        gevent.killall(self._loops)
        self._cluster.close()
        emit(LogEvent.NODE_STOPPED)

    def describe(self) -> dict[str, Any]:
        """Return the state of the node for operators."""
        keeper = self._storage.keeper
        return {
            'name': self._settings.node.name,
            'state': 'draining' if self._drain_wanted.is_set() else 'serving',
            'configuration_offset': (
                self._cluster.configuration.tables.next_offset
            ),
            'partitions': len(keeper.owned_journals()),
            'calls_running': len(self._storage.programs.running_by_program),
            'members': len(self._cluster.list_live()),
            'log_failing': any(
                journal.requests.failing_since is not None
                for journal in keeper.journals_by_partition.values()
            ),
        }

    def _start_loops(self) -> None:
        directory = self._runners.directory
        self._repeat(LIST_SECONDS, directory.poll_list)
        self._repeat(LOAD_SECONDS, directory.poll_loads)
        self._repeat(TICK_SECONDS, self._tick)
        self._repeat(PARTITION_SECONDS, self._paths.partitions.tick)
        self._repeat(SWEEP_SECONDS, self._sweep)
        self._repeat(UPKEEP_SECONDS, self._build_upkeep().run)
        self._repeat(REVIEW_SECONDS, self._runners.pauses.review)
        self._repeat(CACHE_EVENT_SECONDS, self._runners.cache_events.poll)
        self._repeat(FLUSH_SECONDS, self._telemetry.metrics.flush)

    def _tick(self) -> None:
        self._cluster.tick()
        self._storage.keeper.tick()

    def _drain(self) -> None:
        """Leave, hand over, and wait for callers and streams."""
        emit(LogEvent.DRAIN_STARTED)
        self._cluster.leave()
        self._paths.partitions.is_draining = True
        started = read_clock()
        while read_clock() < started + MAX_DRAIN_SECONDS:
            is_released = self._paths.partitions.release_all()
            is_idle = not self._storage.programs.running_by_program
            is_idle = is_idle and not self._runners.memory.live_calls
            is_due = read_clock() >= started + DRAIN_SECONDS
            if is_released and is_idle and is_due and self._no_streams():
                break
            gevent.sleep(TICK_SECONDS)
        emit(LogEvent.DRAIN_FINISHED)

    def _no_streams(self) -> bool:
        return all(application.is_idle for application in self._applications)

    def _build_caller_application(self) -> WebApplication:
        parts = CallParts(
            organisation=self._settings.node.organisation,
            node=self._settings.node.name,
            boot=self._boot,
            lookup=self._look_up,
            tracer=self._telemetry.tracer,
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
        application = WebApplication(
            routes=routes, body_bytes=self._settings.limits.body_bytes
        )
        self._applications = (application,)
        return application

    def _build_operator_application(self) -> WebApplication:
        api = OperatorApi(
            cluster=self._cluster,
            keeper=self._storage.keeper,
            directory=self._runners.directory,
            describe=self.describe,
            drain=self.drain,
        )
        return WebApplication(
            routes=api.routes(), body_bytes=self._settings.limits.body_bytes
        )

    def _look_up(
        self, organisation: str, service: str, program: str, name: str
    ) -> Any:
        if not self._cluster.configuration.tables.is_ready:
            raise refuse_not_ready()
        return self._cluster.configuration.lookup(
            organisation, service, program, name
        )

    def _build_upkeep(self) -> ProgramUpkeep:
        return ProgramUpkeep(
            keeper=self._storage.keeper,
            programs=self._storage.programs,
            ends=self._paths.ends,
            log=self._storage.log,
            lookup=self._look_up,
        )

    def _list_endpoints(self, program: str) -> Any:
        owner = ''
        if program:
            owner = self._paths.partitions.find_owner(program)
        return self._cluster.list_endpoints(program, owner)

    def _sweep(self) -> None:
        self._runners.memory.sweep(self._cluster.list_live())

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
