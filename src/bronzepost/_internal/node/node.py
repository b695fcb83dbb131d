"""A running node: its listeners and its periodic work."""

from collections.abc import Callable, Sequence
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
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.draining import Drain
from bronzepost._internal.node.engine_memory import SWEEP_SECONDS
from bronzepost._internal.node.gauges import GaugeReporter, TickWatch
from bronzepost._internal.node.listeners import KeyedApplication, listen
from bronzepost._internal.node.operator_api import OperatorApi
from bronzepost._internal.node.parts import CallParts
from bronzepost._internal.node.pauses import REVIEW_INTERVAL_SECONDS
from bronzepost._internal.node.program_api import ProgramApi
from bronzepost._internal.node.refusals import refuse_not_ready
from bronzepost._internal.node.status import NodeStatus
from bronzepost._internal.node.upkeep import (
    UPKEEP_INTERVAL_SECONDS,
    ProgramUpkeep,
)
from bronzepost._internal.node.web import Route, WebApplication
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import FLUSH_INTERVAL_SECONDS
from bronzepost._internal.telemetry.start import Telemetry

TICK_SECONDS: Final = 0.05
PARTITION_SECONDS: Final = 0.25


class Node:
    """One process of the system."""

    def __init__(self, *, settings: Settings, telemetry: Telemetry) -> None:
        """Build the parts; nothing listens yet."""
        self._settings = settings
        self._telemetry = telemetry
        self._boot = assembly.make_boot()
        self._keys = assembly.Keys(
            peers=settings.peers.keys, operators=settings.operators.keys
        )
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
            settings,
            telemetry,
            self._storage,
            self._runners,
            self._cluster,
            self._keys,
        )
        self._tick_watch = TickWatch(
            metrics=telemetry.metrics, tick_seconds=TICK_SECONDS
        )
        self._callers = self._build_caller_application()
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
        forwards = KeyedApplication(
            application=self._callers,
            keys=lambda: self._keys.peers,
            event=LogEvent.PEER_REJECTED,
        )
        operators = KeyedApplication(
            application=self._build_operator_application(),
            keys=lambda: self._keys.operators,
            event=LogEvent.OPERATOR_REJECTED,
        )
        self._cluster.start()
        self._start_loops()
        self._servers = [
            listen(node.operator_address, operators),
            listen(node.forward_address, forwards),
            listen(node.caller_address, self._callers),
        ]
        emit(LogEvent.NODE_STARTED, caller_address=node.caller_address)

    def drain(self) -> None:
        """Ask the node to hand over its work and stop."""
        self._drain_wanted.set()

    def replace_keys(self, settings: Settings) -> None:
        """Use the keys of other settings; all else stays as it is."""
        self._keys.peers = settings.peers.keys
        self._keys.operators = settings.operators.keys
        self._cluster.codec.replace_keys(list(settings.peers.keys))
        emit(LogEvent.KEYS_REPLACED, peers=len(settings.peers.keys))

    def run(self) -> None:
        """Serve until somebody wants the node to stop, then drain."""
        self._drain_wanted.wait()
        Drain(
            cluster=self._cluster,
            partitions=self._paths.partitions,
            is_idle=self._is_idle,
        ).run()
        for server in self._servers:
            server.stop()
        gevent.killall(self._loops)
        self._cluster.close()
        emit(LogEvent.NODE_STOPPED)

    def _start_loops(self) -> None:
        directory = self._runners.directory
        memory = self._runners.memory
        cluster = self._cluster
        self._repeat(LIST_SECONDS, directory.poll_list)
        self._repeat(LOAD_SECONDS, directory.poll_loads)
        self._repeat(TICK_SECONDS, self._tick)
        self._repeat(PARTITION_SECONDS, self._paths.partitions.tick)
        self._repeat(SWEEP_SECONDS, lambda: memory.sweep(cluster.list_boots()))
        self._repeat(UPKEEP_INTERVAL_SECONDS, self._build_upkeep().run)
        self._repeat(REVIEW_INTERVAL_SECONDS, self._runners.pauses.review)
        self._repeat(CACHE_EVENT_SECONDS, self._runners.cache_events.poll)
        self._repeat(FLUSH_INTERVAL_SECONDS, self._build_gauges().report)

    def _tick(self) -> None:
        self._tick_watch.begin()
        self._cluster.tick()
        self._storage.keeper.tick()
        self._tick_watch.end()

    def _is_idle(self) -> bool:
        """Return whether no call runs and no answer is being sent."""
        owned_calls = self._storage.programs.running_by_program
        other_calls = self._runners.memory.live_calls
        return not owned_calls and not other_calls and self._callers.is_idle

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
        return self._build_application(routes)

    def _build_operator_application(self) -> WebApplication:
        status = NodeStatus(
            keeper=self._storage.keeper,
            programs=self._storage.programs,
            cluster=self._cluster,
            is_draining=self._drain_wanted.is_set,
        )
        api = OperatorApi(
            cluster=self._cluster,
            keeper=self._storage.keeper,
            directory=self._runners.directory,
            describe=status.describe,
            drain=self.drain,
        )
        return self._build_application(api.routes())

    def _build_application(self, routes: Sequence[Route]) -> WebApplication:
        return WebApplication(
            routes=routes,
            body_bytes=self._settings.limits.body_bytes,
            metrics=self._telemetry.metrics,
        )

    def _look_up(
        self, organisation: str, service: str, program: str, name: str
    ) -> Any:
        if not self._cluster.configuration.tables.is_ready:
            raise refuse_not_ready()
        return self._cluster.configuration.lookup(
            organisation, service, program, name
        )

    def _build_gauges(self) -> GaugeReporter:
        return GaugeReporter(
            metrics=self._telemetry.metrics,
            keeper=self._storage.keeper,
            programs=self._storage.programs,
            cluster=self._cluster,
            directory=self._runners.directory,
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
