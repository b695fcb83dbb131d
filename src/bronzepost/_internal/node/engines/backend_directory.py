"""Follow the addresses and the load of backend servers."""

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
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

VM_LIST_POLL_INTERVAL_SECONDS: Final = 1.0
# A leaving server must get no new call from 2 s after its notice on; its load
# report shows the notice.
LOAD_POLL_INTERVAL_SECONDS: Final = 0.5
POLL_IDLE_TIMEOUT_SECONDS: Final = 1.0
# A server gets no new calls after this many load requests in a row failed.
UNREACHABLE_AFTER_FAILURES: Final = 3

LEAVING_STATE: Final = 'leaving'


class ListedVm(msgspec.Struct, frozen=True):
    """An entry of the VM list."""

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
    """Keeps the scheduling tables up to date by polling.

    ``leaving_entry_addresses`` are the addresses of leaving entry VMs.
    """

    def __init__(
        self, *, tables: SchedulingTables, vm_list_client: ExchangeClient
    ) -> None:
        """Start without backend servers; ``poll_vm_list`` adds them."""
        self.tables = tables
        self.addresses_by_id: dict[str, str] = {}
        self.leaving_entry_addresses: frozenset[str] = frozenset()
        self._vm_list_client = vm_list_client
        self._failures_by_id: dict[str, int] = {}
        self._unreachable_ids: set[str] = set()
        self._is_vm_list_unavailable = False

    def client_for(
        self, server_id: str, idle_timeout_seconds: float
    ) -> ExchangeClient:
        """Return a client of a backend server."""
        return ExchangeClient(
            address=self.addresses_by_id[server_id],
            idle_timeout_seconds=idle_timeout_seconds,
        )

    def poll_vm_list(self) -> None:
        """Read the VM list; on failure the last one stays in use."""
        try:
            vms = self._read_vm_list()
        except (BronzepostError, msgspec.DecodeError) as error:
            if not self._is_vm_list_unavailable:
                emit(LogEvent.VM_LIST_UNAVAILABLE, error=error)
            self._is_vm_list_unavailable = True
            return
        if self._is_vm_list_unavailable:
            emit(LogEvent.VM_LIST_RECOVERED)
        self._is_vm_list_unavailable = False
        for vm in vms:
            if vm.kind == 'backend' and vm.id in self._unreachable_ids:
                gevent.spawn(self._recheck_unreachable, vm)
            elif vm.kind == 'backend':
                self._update_backend(vm)
        self.leaving_entry_addresses = frozenset(
            entry.address
            for entry in vms
            if entry.kind == 'entry' and entry.state == LEAVING_STATE
        )
        # A backend server that is missing from the list stays in use until it
        # does not answer load requests either.

    def poll_loads(self) -> None:
        """Request the load of all backend servers concurrently."""
        greenlets = [
            gevent.spawn(self._poll_load, server_id)
            for server_id in list(self.addresses_by_id)
        ]
        gevent.joinall(greenlets)

    def mark_leaving(self, server_id: str) -> None:
        """Mark a backend server as leaving, so that it gets no new call."""
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

    def _read_vm_list(self) -> list[ListedVm]:
        response = self._vm_list_client.exchange(
            'GET', '/vms', step='read VM list'
        )
        if response.status != HTTPStatus.OK:
            raise ExchangeError(
                f'status {response.status}',
                step='read VM list',
                peer=self._vm_list_client.address,
                was_sent=True,
            )
        return msgspec.json.decode(response.body, type=_VmList).vms

    def _update_backend(self, vm: ListedVm) -> None:
        at = read_clock()
        if vm.id not in self.addresses_by_id:
            if vm.state == LEAVING_STATE:
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
        # A replaced server may have the old id and a new address.
        self.addresses_by_id[vm.id] = vm.address
        if vm.state == LEAVING_STATE:
            self.mark_leaving(vm.id)

    def _recheck_unreachable(self, vm: ListedVm) -> None:
        """Use an unreachable server again if it answers a load request.

        The entry alone does not show that it is up: the list lags behind.
        """
        client = ExchangeClient(
            address=vm.address, idle_timeout_seconds=POLL_IDLE_TIMEOUT_SECONDS
        )
        try:
            _read_load(client)
        except (BronzepostError, msgspec.DecodeError):
            return
        self._unreachable_ids.discard(vm.id)
        self._update_backend(vm)

    def _poll_load(self, server_id: str) -> None:
        requested_at = read_clock()
        client = self.client_for(server_id, POLL_IDLE_TIMEOUT_SECONDS)
        try:
            load = _read_load(client)
        except (BronzepostError, msgspec.DecodeError) as error:
            self._record_failure(server_id, error)
            return
        self._failures_by_id.pop(server_id, None)
        if load.leaving:
            self.mark_leaving(server_id)
        apply_event(
            self.tables,
            events.LoadReported(
                at=read_clock(),
                measured_at=requested_at,
                backend_server_id=server_id,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                cache_tokens=load.cache_tokens,
                cache_capacity=load.cache_capacity,
                is_leaving=load.leaving,
            ),
        )

    def _record_failure(self, server_id: str, error: Exception) -> None:
        failures = self._failures_by_id.get(server_id, 0) + 1
        self._failures_by_id[server_id] = failures
        if failures != UNREACHABLE_AFTER_FAILURES:
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


def _read_load(client: ExchangeClient) -> _Load:
    response = client.exchange('GET', '/v1/load', step='read load')
    if response.status != HTTPStatus.OK:
        # Every field of a load has a default, so the body of an error would be
        # decoded as the load of an idle server.
        raise BackendServerError(
            f'status {response.status}', step='read load', peer=client.address
        )
    return msgspec.json.decode(response.body, type=_Load)
