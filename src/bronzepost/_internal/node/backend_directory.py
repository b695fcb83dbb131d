"""Backend servers: where they are and how loaded they say they are."""

from http import HTTPStatus
from typing import Final

import gevent
import msgspec

from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.tables import (
    BackendServer,
    SchedulingTables,
)
from bronzepost._internal.exceptions import (
    BackendServerError,
    BronzepostError,
    ExchangeError,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

LIST_SECONDS: Final = 1.0
# A leaving server has to get no new call 2 s after its notice.
LOAD_SECONDS: Final = 0.5
POLL_IDLE_SECONDS: Final = 1.0
# A server that fails this many load reports in a row takes no new calls.
UNREACHABLE_AFTER: Final = 3

LEAVING: Final = 'leaving'


class ListedVm(msgspec.Struct, frozen=True):
    """A VM as the VM list names it."""

    id: str
    address: str
    kind: str
    availability_zone: str
    state: str
    service: str | None = None
    model: str | None = None


class _VmList(msgspec.Struct, frozen=True):
    vms: list[ListedVm]


class _Load(msgspec.Struct, frozen=True):
    running: int = 0
    waiting: int = 0
    slots: int = 1
    cache_tokens: int = 0
    cache_capacity: int = 0
    leaving: bool = False


class BackendDirectory:
    """Keep the scheduler's view of the backend servers up to date."""

    def __init__(self, *, tables: SchedulingTables, vm_list: HttpPeer) -> None:
        """Start with no backend server."""
        self.tables = tables
        self.addresses_by_id: dict[str, str] = {}
        self.leaving_entry_vms: frozenset[str] = frozenset()
        self._vm_list = vm_list
        self._failures_by_id: dict[str, int] = {}
        self._unreachable_ids: set[str] = set()
        self._is_list_down = False

    def peer_of(self, server_id: str, idle_seconds: float) -> HttpPeer:
        """Return the HTTP peer of a backend server."""
        return HttpPeer(
            address=self.addresses_by_id[server_id],
            idle_timeout_seconds=idle_seconds,
        )

    def poll_list(self) -> None:
        """Read the VM list; the last one stays in use if that fails."""
        try:
            vms = self._read_list()
        except (BronzepostError, msgspec.DecodeError) as error:
            if not self._is_list_down:
                emit(LogEvent.VM_LIST_UNAVAILABLE, error=error)
            self._is_list_down = True
            return
        if self._is_list_down:
            emit(LogEvent.VM_LIST_RECOVERED)
        self._is_list_down = False
        for vm in vms:
            if vm.kind == 'backend' and vm.id in self._unreachable_ids:
                gevent.spawn(self._try_again, vm)
            elif vm.kind == 'backend':
                self._see_backend(vm)
        self.leaving_entry_vms = frozenset(
            entry.address
            for entry in vms
            if entry.kind == 'entry' and entry.state == LEAVING
        )
        # A backend server that is missing from the list is not gone for that
        # alone: it goes when it does not answer either.

    def poll_loads(self) -> None:
        """Ask every backend server for its load, all at once."""
        greenlets = [
            gevent.spawn(self._poll_load, server_id)
            for server_id in list(self.addresses_by_id)
        ]
        gevent.joinall(greenlets)

    def mark_leaving(self, server_id: str) -> None:
        """Send a backend server no new call from now on."""
        server = self.tables.backend_servers_by_id.get(server_id)
        if server is None or server.is_leaving:
            return
        emit(LogEvent.RUNNER_LEAVING, runner=server_id)
        apply_event(
            self.tables,
            events.BackendServerLeaving(
                at=read_clock(), backend_server_id=server_id
            ),
        )

    def _read_list(self) -> list[ListedVm]:
        answer = self._vm_list.exchange('GET', '/vms', step='read VM list')
        if answer.status != HTTPStatus.OK:
            raise ExchangeError(
                f'status {answer.status}',
                step='read VM list',
                peer=self._vm_list.address,
                was_sent=True,
            )
        return msgspec.json.decode(answer.body, type=_VmList).vms

    def _see_backend(self, vm: ListedVm) -> None:
        at = read_clock()
        if vm.id not in self.addresses_by_id:
            if vm.state == LEAVING:
                return
            emit(LogEvent.RUNNER_FOUND, runner=vm.id, service=vm.service)
            server = BackendServer(
                backend_server_id=vm.id,
                service=vm.service or '',
                model=vm.model or '',
                availability_zone=vm.availability_zone,
            )
            self.addresses_by_id[vm.id] = vm.address
            apply_event(
                self.tables,
                events.BackendServerListed(at=at, backend_server=server),
            )
            return
        # A server that was replaced may come back under its old name.
        self.addresses_by_id[vm.id] = vm.address
        if vm.state == LEAVING:
            self.mark_leaving(vm.id)

    def _try_again(self, vm: ListedVm) -> None:
        """Use a server again once it answers; the list may be behind."""
        peer = HttpPeer(
            address=vm.address, idle_timeout_seconds=POLL_IDLE_SECONDS
        )
        try:
            _read_load(peer)
        except (BronzepostError, msgspec.DecodeError):
            return
        self._unreachable_ids.discard(vm.id)
        self._see_backend(vm)

    def _poll_load(self, server_id: str) -> None:
        asked_at = read_clock()
        peer = self.peer_of(server_id, POLL_IDLE_SECONDS)
        try:
            load = _read_load(peer)
        except (BronzepostError, msgspec.DecodeError) as error:
            self._fail(server_id, error)
            return
        self._failures_by_id.pop(server_id, None)
        if load.leaving:
            self.mark_leaving(server_id)
        apply_event(
            self.tables,
            events.LoadReported(
                at=read_clock(),
                measured_at=asked_at,
                backend_server_id=server_id,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                cache_tokens=load.cache_tokens,
                cache_capacity=load.cache_capacity,
                is_leaving=load.leaving,
            ),
        )

    def _fail(self, server_id: str, error: Exception) -> None:
        failures = self._failures_by_id.get(server_id, 0) + 1
        self._failures_by_id[server_id] = failures
        if failures != UNREACHABLE_AFTER:
            return
        emit(LogEvent.RUNNER_UNREACHABLE, runner=server_id, error=error)
        self._unreachable_ids.add(server_id)
        self.addresses_by_id.pop(server_id, None)
        self._failures_by_id.pop(server_id, None)
        apply_event(
            self.tables,
            events.BackendServerGone(
                at=read_clock(), backend_server_id=server_id
            ),
        )


def _read_load(peer: HttpPeer) -> _Load:
    answer = peer.exchange('GET', '/v1/load', step='read load')
    if answer.status != HTTPStatus.OK:
        # The body of an error would read as the load of an idle server.
        raise BackendServerError(
            f'status {answer.status}', step='read load', peer=peer.address
        )
    return msgspec.json.decode(answer.body, type=_Load)
