"""The gateway process: its components, its start and its stop."""

import functools
import signal
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import gevent
from gevent.event import Event

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.core.gateway.store_pace import Priority
from bronzepost._internal.exceptions import SettingsError
from bronzepost._internal.gateway.callers.caller_server import CallerServer
from bronzepost._internal.gateway.callers.header_names import HeaderNames
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.callers.pages import Page
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.member_list import MemberList
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.peers.snapshots import SnapshotExchange
from bronzepost._internal.gateway.programs.budget_keeper import BudgetKeeper
from bronzepost._internal.gateway.programs.keyed_store import KeyedStore
from bronzepost._internal.gateway.programs.program_state import ProgramState
from bronzepost._internal.gateway.programs.store_pace import StorePace
from bronzepost._internal.gateway.programs.turn_keeper import TurnKeeper
from bronzepost._internal.gateway.quotas.call_quotas import CallQuotas
from bronzepost._internal.gateway.quotas.workspace_quotas import (
    WorkspaceQuotas,
)
from bronzepost._internal.gateway.requests.caller_access import CallerAccess
from bronzepost._internal.gateway.requests.forwarding import (
    DecodeCall,
    Forwarder,
)
from bronzepost._internal.gateway.requests.placement_page import PlacementPage
from bronzepost._internal.gateway.requests.stream_versions import StreamVersions
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.registry import (
    Registry,
    RegistryFollower,
)
from bronzepost._internal.gateway.servers.server_access import ServerAccess
from bronzepost._internal.gateway.settings import GatewaySettings
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Callers cache the addresses of gateways for some seconds; a stopping process
# accepts new connections until most callers have resolved them again.
LINGER_SECONDS: Final = 3.0
# A process stops this long before the end of its grace period, when the
# platform kills it.
STOP_MARGIN_SECONDS: Final = 0.5
_POLL_SECONDS: Final = 0.05
# How long the refusals of requests that did not end in time may take to be sent.
_REFUSAL_SECONDS: Final = 0.1
IDLE_CHECK_SECONDS: Final = 1.0
# Turns are kept for a minute, so their sum changes slowly.
TURN_COUNT_SECONDS: Final = 1.0


class Gateway:
    """All components of one gateway process."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        registry: Registry,
        store: KeyedStore,
        pool: ConnectionPool,
        names: HeaderNames,
        decode_call: DecodeCall,
    ) -> None:
        """Build the components; ``start`` opens the addresses."""
        self.settings = settings
        self.pool = pool
        self._memory = HeldMemory(memory_bytes=settings.memory_bytes)
        self.directory = Directory(pool=pool, memory=self._memory)
        self.fleet = Fleet(settings=settings)
        self.follower = RegistryFollower(
            registry=registry, directory=self.directory
        )
        self.reports = PeerReports(
            fleet=self.fleet, directory=self.directory, follower=self.follower
        )
        self.fleet.other_builds.find_protocol = (
            self.reports.received.find_protocol
        )
        calls = PeerCalls(fleet=self.fleet)
        pace = StorePace(
            fleet=self.fleet,
            reports=self.reports,
            writes_per_second=settings.store_writes_per_second,
            reads_per_second=settings.store_reads_per_second,
        )
        self.budgets = BudgetKeeper(
            fleet=self.fleet,
            reports=self.reports,
            calls=calls,
            store=pace.open_store(store, Priority.BUDGET),
        )
        self._member_list = MemberList(
            fleet=self.fleet,
            store=pace.open_store(store, Priority.SWEEP),
            peer_address=settings.peer_address,
        )
        self.turns = TurnKeeper(
            fleet=self.fleet,
            reports=self.reports,
            calls=calls,
            store=store,
            pace=pace,
        )
        self.snapshots = SnapshotExchange(
            fleet=self.fleet,
            reports=self.reports,
            calls=calls,
            directory=self.directory,
            follower=self.follower,
        )
        self.streams = StreamVersions(
            fleet=self.fleet,
            reports=self.reports,
            calls=calls,
            directory=self.directory,
            follower=self.follower,
        )
        self._access = ServerAccess(
            settings=settings,
            fleet=self.fleet,
            reports=self.reports,
            peer_calls=calls,
            directory=self.directory,
            pool=pool,
            names=names,
        )
        access = CallerAccess(
            directory=self.directory, source=self.snapshots, names=names
        )
        self._quotas = WorkspaceQuotas(
            fleet=self.fleet,
            reports=self.reports,
            calls=calls,
            directory=self.directory,
        )
        self.forwarder = Forwarder(
            directory=self.directory,
            access=access,
            programs=ProgramState(budgets=self.budgets, turns=self.turns),
            streams=self.streams,
            servers=self._access.calls,
            suspects=self._access.suspects,
            quotas=CallQuotas(quotas=self._quotas),
            decode_call=decode_call,
        )
        self._placement_page = PlacementPage(
            forwarder=self.forwarder,
            access=access,
            explainer=self._access.explainer,
            decode_call=decode_call,
        )
        self.callers = CallerServer(
            address=settings.caller_address,
            answer=self.forwarder.answer,
            read_limits=self.directory.read_limits,
            memory=self._memory,
        )
        self._turns_held = self._memory.open(HeldKind.TURNS)
        self._stopped = Event()

    @property
    def is_ready(self) -> bool:
        """Return whether new callers may be directed to this process."""
        has_routes = self.directory.configuration is not None
        return has_routes and not self.callers.is_draining

    def use_settings(self, settings: GatewaySettings) -> None:
        """Use changed settings; addresses change only at a restart."""
        self.settings = settings
        self.fleet.unmet.use_seeds(settings.seeds)

    def list_caller_addresses(self, availability_zone: str) -> Sequence[str]:
        """Return the addresses for callers, those in the zone first.

        Processes that are stopping or not ready are not listed.
        """
        members = [
            member
            for member in self.fleet.list_serving()
            if self.reports.is_ready(member.name)
        ]
        ordered = sorted(
            members,
            key=lambda member: member.availability_zone != availability_zone,
        )
        return [member.caller_address for member in ordered]

    def explain_placement(self, query: Mapping[str, str]) -> Page:
        """Return where the request of a query would go now."""
        return self._placement_page.render(query)

    def list_states(self) -> dict[str, float]:
        """Return the values of the metric ``bronzepost_state`` by name."""
        directory = self.directory
        return {
            'routes_version': directory.version,
            'backend_servers': len(directory.servers_by_id),
            'servers_kept': len(self.follower.grace.kept_ids),
            'servers_limited': directory.limits.count(),
            'servers_unreached': len(directory.links.list_failing()),
            'tunnels_relayed': directory.tunnels,
            'links_lost': float(directory.links.is_cut_off),
            'deadly_requests': self._access.suspects.count(),
            'members': len(self.fleet.list_serving()),
            'store_away': float(self.follower.is_store_lost),
            'requests_under_way': self.callers.count_busy(),
            'caller_connections': self.callers.count_open(),
            'memory_pressure': self._memory.pressure.value,
            'memory_held_peak_bytes': self._memory.peak_bytes,
            'memory_budget_bytes': self._memory.budget.total_bytes,
            'programs_held': self.budgets.count_programs(),
            'turns_held': len(self.turns.turns_by_id),
            'store_turns_waiting': len(self.turns.queue.turns_by_key),
            'store_oldest_wait_seconds': self.turns.queue.oldest_seconds,
            'streams_known': self.streams.count(),
            'server_connections_opened': self.pool.opened_count,
            'peer_messages_sent': self.fleet.counts.sent,
            'peer_messages_dropped': self.fleet.counts.dropped,
            'peer_messages_received': self.fleet.counts.received,
            **self._quotas.list_states(),
        }

    def list_held_bytes(self) -> dict[str, int]:
        """Return the values of the metric ``bronzepost_held_bytes`` by kind."""
        held = self._memory.bytes_by_kind
        return {kind.value: held[kind] for kind in HeldKind}

    def start(self) -> None:
        """Start all components, which opens the addresses.

        Raises:
            OSError: if an address cannot be bound.
            SettingsError: if the peer address cannot be listened on.
        """
        components = (
            self.follower,
            self.fleet,
            self._member_list,
            self.reports,
            self.budgets,
            self.turns,
            self.streams,
            self._quotas,
            self._access,
            self.snapshots,
            self.callers,
        )
        for component in components:
            component.start()
        start_loop(self._close_idle_connections, IDLE_CHECK_SECONDS)
        start_loop(self._count_turns, TURN_COUNT_SECONDS)
        emit(LogEvent.NODE_STARTED, address=self.settings.caller_address)

    def wait(self) -> None:
        """Return when the process has stopped."""
        self._stopped.wait()

    def drain(self) -> None:
        """Stop once running requests are answered or the grace period ends."""
        if self.callers.is_draining:
            return
        emit(LogEvent.DRAIN_STARTED)
        self.callers.drain()
        self.budgets.leave()
        self._quotas.leave()
        self._member_list.leave()
        self.fleet.leave()
        gevent.spawn(self._finish)

    def _finish(self) -> None:
        started_at = read_clock()
        end = started_at + self.settings.grace_seconds - STOP_MARGIN_SECONDS
        gevent.sleep(LINGER_SECONDS)
        self.callers.stop()
        # Connections that were accepted just before are counted from now on.
        gevent.sleep(_POLL_SECONDS)
        # Idle connections are closed now; on the others a request is running
        # or has arrived but is not read yet.
        # Tunnels are closed by the VMs that use them, idle ones as soon as they
        # know that this one is leaving.
        while self._count_open() and read_clock() < end:
            gevent.sleep(_POLL_SECONDS)
        emit(LogEvent.DRAIN_FINISHED, busy=self._count_open())
        self.callers.give_up()
        gevent.sleep(_REFUSAL_SECONDS)
        self._stopped.set()

    def _count_open(self) -> int:
        return self.callers.count_open() + self.directory.tunnels

    def _count_turns(self) -> None:
        self._turns_held.resize(self.turns.count_bytes())
        self._memory.use_limit(self.settings.memory_bytes)

    def _close_idle_connections(self) -> None:
        self.pool.close_expired(read_clock())


def run_gateway(gateway: Gateway, reload: Callable[[], None]) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code.

    ``reload`` is called on SIGHUP.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, functools.partial(_stop, gateway, number))
    gevent.signal_handler(signal.SIGHUP, reload)
    try:
        gateway.start()
    except (OSError, SettingsError) as error:
        emit(LogEvent.LISTEN_FAILED, error=error)
        return 1
    gateway.wait()
    emit(LogEvent.NODE_STOPPED)
    return 0


def _stop(gateway: Gateway, number: Any) -> None:
    emit(LogEvent.SIGNAL_RECEIVED, signal=signal.Signals(number).name)
    gateway.drain()
