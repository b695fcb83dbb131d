"""The node process: its listeners and its periodic tasks."""

from collections.abc import Callable, Sequence
from typing import Any, Final

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from bronzepost._internal.node import assembly
from bronzepost._internal.node.callers.caller_api import CallerApi
from bronzepost._internal.node.callers.caller_api_components import (
    CallerApiComponents,
)
from bronzepost._internal.node.callers.listeners import (
    KeyCheckedApplication,
    listen,
)
from bronzepost._internal.node.callers.refusals import refuse_not_ready
from bronzepost._internal.node.callers.web import Route, WebApplication
from bronzepost._internal.node.draining import Drain
from bronzepost._internal.node.engines.backend_directory import (
    LOAD_POLL_INTERVAL_SECONDS,
    VM_LIST_POLL_INTERVAL_SECONDS,
)
from bronzepost._internal.node.engines.cache_events import (
    CACHE_EVENT_POLL_INTERVAL_SECONDS,
)
from bronzepost._internal.node.engines.engine_memory import (
    SWEEP_INTERVAL_SECONDS,
)
from bronzepost._internal.node.ledger.upkeep import (
    UPKEEP_INTERVAL_SECONDS,
    ProgramUpkeep,
)
from bronzepost._internal.node.operators.gauges import (
    GaugeReporter,
    TickMonitor,
)
from bronzepost._internal.node.operators.operator_api import OperatorApi
from bronzepost._internal.node.operators.status import NodeStatus
from bronzepost._internal.node.pauses import REVIEW_INTERVAL_SECONDS
from bronzepost._internal.node.peers.cluster import Cluster
from bronzepost._internal.node.programs.program_api import ProgramApi
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import FLUSH_INTERVAL_SECONDS
from bronzepost._internal.telemetry.start import Telemetry

TICK_INTERVAL_SECONDS: Final = 0.05
PARTITION_TICK_INTERVAL_SECONDS: Final = 0.25


class Node:
    """One node of the cluster, running in this process."""

    def __init__(self, *, settings: Settings, telemetry: Telemetry) -> None:
        """Build the components; ``start`` opens the listeners."""
        self._settings = settings
        self._telemetry = telemetry
        self._boot = assembly.generate_boot_id()
        self._active_keys = assembly.ActiveKeys(
            peers=settings.peers.keys, operators=settings.operators.keys
        )
        self._storage = assembly.build_storage_components(
            settings, telemetry, self._boot
        )
        self._cluster = Cluster(
            settings=settings,
            log=self._storage.log_client,
            boot=self._boot,
            mirroring=self._storage.mirroring,
        )
        self._backends = assembly.build_backend_components(
            settings, telemetry, self._storage
        )
        self._calls = assembly.build_call_components(
            settings,
            telemetry,
            self._storage,
            self._backends,
            self._cluster,
            self._active_keys,
        )
        self._tick_monitor = TickMonitor(
            metrics=telemetry.metrics, interval_seconds=TICK_INTERVAL_SECONDS
        )
        self._caller_application = self._build_caller_application()
        self._servers: list[WSGIServer] = []
        self._tasks: list[gevent.Greenlet] = []
        self._drain_requested = Event()

    def start(self) -> None:
        """Open the listeners and start the periodic tasks.

        Raises:
            OSError: if an address cannot be bound.
            SettingsError: if the peer address cannot be bound.
        """
        node = self._settings.node
        forward_application = KeyCheckedApplication(
            application=self._caller_application,
            list_keys=lambda: self._active_keys.peers,
            rejection_event=LogEvent.PEER_REJECTED,
        )
        operator_application = KeyCheckedApplication(
            application=self._build_operator_application(),
            list_keys=lambda: self._active_keys.operators,
            rejection_event=LogEvent.OPERATOR_REJECTED,
        )
        self._cluster.start()
        self._start_tasks()
        self._servers = [
            listen(node.operator_address, operator_application),
            listen(node.forward_address, forward_application),
            listen(node.caller_address, self._caller_application),
        ]
        emit(LogEvent.NODE_STARTED, caller_address=node.caller_address)

    def request_drain(self) -> None:
        """Make ``run`` hand over this node's partitions and stop the node."""
        self._drain_requested.set()

    def replace_keys(self, settings: Settings) -> None:
        """Replace only the keys by those in newly read settings."""
        self._active_keys.peers = settings.peers.keys
        self._active_keys.operators = settings.operators.keys
        self._cluster.codec.replace_keys(list(settings.peers.keys))
        emit(LogEvent.KEYS_REPLACED, peers=len(settings.peers.keys))

    def run(self) -> None:
        """Serve until a drain is requested; drain, then close the listeners."""
        self._drain_requested.wait()
        Drain(
            cluster=self._cluster,
            partitions=self._calls.partitions,
            is_idle=self._is_idle,
        ).run()
        for server in self._servers:
            server.stop()
        gevent.killall(self._tasks)
        self._cluster.close()
        emit(LogEvent.NODE_STOPPED)

    def _start_tasks(self) -> None:
        directory = self._backends.directory
        engine_memory = self._backends.engine_memory
        cluster = self._cluster
        self._start_task(VM_LIST_POLL_INTERVAL_SECONDS, directory.poll_vm_list)
        self._start_task(LOAD_POLL_INTERVAL_SECONDS, directory.poll_loads)
        self._start_task(TICK_INTERVAL_SECONDS, self._tick)
        self._start_task(
            PARTITION_TICK_INTERVAL_SECONDS, self._calls.partitions.tick
        )
        self._start_task(
            SWEEP_INTERVAL_SECONDS,
            lambda: engine_memory.sweep(cluster.list_boots()),
        )
        self._start_task(
            UPKEEP_INTERVAL_SECONDS, self._build_program_upkeep().run
        )
        self._start_task(REVIEW_INTERVAL_SECONDS, self._backends.pauses.review)
        self._start_task(
            CACHE_EVENT_POLL_INTERVAL_SECONDS,
            self._backends.cache_event_reader.poll,
        )
        self._start_task(
            FLUSH_INTERVAL_SECONDS, self._build_gauge_reporter().report
        )

    def _tick(self) -> None:
        self._tick_monitor.begin()
        self._cluster.tick()
        self._storage.journal_keeper.tick()
        self._tick_monitor.end()

    def _is_idle(self) -> bool:
        """Return whether no call is running and no response is being sent."""
        running_by_program = self._storage.program_calls.running_by_program
        calls_without_program = self._backends.engine_memory.live_calls
        return (
            not running_by_program
            and not calls_without_program
            and self._caller_application.is_idle
        )

    def _build_caller_application(self) -> WebApplication:
        components = CallerApiComponents(
            organisation=self._settings.node.organisation,
            node=self._settings.node.name,
            boot=self._boot,
            lookup_setting=self._lookup_setting,
            tracer=self._telemetry.tracer,
            partitions=self._calls.partitions,
            program_calls=self._storage.program_calls,
            chat_calls=self._calls.chat_calls,
            service_calls=self._calls.service_calls,
            program_ends=self._calls.program_ends,
            forwarder=self._calls.forwarder,
            list_endpoints=self._list_endpoints,
            list_models=lambda: assembly.list_models(self._backends.directory),
        )
        routes = (
            *CallerApi(components=components).routes(),
            *ProgramApi(components=components).routes(),
        )
        return self._build_application(routes)

    def _build_operator_application(self) -> WebApplication:
        status = NodeStatus(
            journal_keeper=self._storage.journal_keeper,
            program_calls=self._storage.program_calls,
            cluster=self._cluster,
            is_draining=self._drain_requested.is_set,
        )
        api = OperatorApi(
            cluster=self._cluster,
            journal_keeper=self._storage.journal_keeper,
            directory=self._backends.directory,
            describe_status=status.describe,
            request_drain=self.request_drain,
        )
        return self._build_application(api.routes())

    def _build_application(self, routes: Sequence[Route]) -> WebApplication:
        return WebApplication(
            routes=routes,
            max_body_bytes=self._settings.limits.body_bytes,
            metrics=self._telemetry.metrics,
        )

    def _lookup_setting(
        self, organisation: str, service: str, program: str, name: str
    ) -> Any:
        if not self._cluster.configuration.tables.is_ready:
            raise refuse_not_ready()
        return self._cluster.configuration.lookup(
            organisation, service, program, name
        )

    def _build_gauge_reporter(self) -> GaugeReporter:
        return GaugeReporter(
            metrics=self._telemetry.metrics,
            journal_keeper=self._storage.journal_keeper,
            program_calls=self._storage.program_calls,
            cluster=self._cluster,
            directory=self._backends.directory,
        )

    def _build_program_upkeep(self) -> ProgramUpkeep:
        return ProgramUpkeep(
            journal_keeper=self._storage.journal_keeper,
            program_calls=self._storage.program_calls,
            program_ends=self._calls.program_ends,
            log=self._storage.log_client,
            lookup_setting=self._lookup_setting,
        )

    def _list_endpoints(self, program: str) -> Any:
        owner = ''
        if program:
            owner = self._calls.partitions.find_owner(program)
        return self._cluster.list_endpoints(program, owner)

    def _start_task(
        self, interval_seconds: float, run: Callable[[], None]
    ) -> None:
        self._tasks.append(
            gevent.spawn(_run_periodically, interval_seconds, run)
        )


def _run_periodically(interval_seconds: float, run: Callable[[], None]) -> None:
    """Run a task forever, with a pause after each run; log its errors."""
    while True:
        try:
            run()
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.GREENLET_FAILED, error=error)
        gevent.sleep(interval_seconds)
