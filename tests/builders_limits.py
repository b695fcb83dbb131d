"""VMs of tests that share the limits of backend servers, in virtual time."""

import contextlib
import random
from collections.abc import Iterator
from typing import Final, Self, cast
from unittest import mock

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from tests.builders_vms import MemoryVm

START: Final = 1000.0
SERVER: Final = 'i-1'
WINDOW_SECONDS: Final = 4.0
_MODULES: Final = (
    'servers.server_limits',
    'servers.server_permits',
    'peers.lost_members',
)


class LimitVm(MemoryVm):
    """A VM with the part of a gateway that keeps to limits."""

    def __init__(self, *, name: str, vms_by_name: dict[str, Self]) -> None:
        """Join the VMs ``vms_by_name``."""
        super().__init__(name=name, vms_by_name=vms_by_name)
        fleet = cast(Fleet, self)
        self.permits = ServerPermits(
            fleet=fleet,
            reports=cast(PeerReports, self),
            calls=PeerCalls(fleet=fleet),
            directory=self.directory,
        )

    def hear(self, *texts: bytes) -> None:
        """Read an answer of the server with these values of its limit."""
        self.directory.limits.record_answer(SERVER, texts)


class LimitWorld:
    """VMs that send to one server; ``sent_at`` has the time of each request."""

    def __init__(self, *, vms: int) -> None:
        """Start at a time of the virtual clock."""
        self.now = START
        self.sent_at: list[float] = []
        self.vms_by_name: dict[str, LimitVm] = {}
        for number in range(vms):
            LimitVm(name=f'vm-{number:03}', vms_by_name=self.vms_by_name)
        self.vms = list(self.vms_by_name.values())
        self._waited: float = 0

    @contextlib.contextmanager
    def run_clock(self) -> Iterator[None]:
        """Use the virtual clock; a request that waits does not advance it."""
        package = 'bronzepost._internal.gateway'
        with contextlib.ExitStack() as stack:
            for module in _MODULES:
                target = f'{package}.{module}.read_clock'
                stack.enter_context(mock.patch(target, self._read_clock))
            target = f'{package}.servers.server_permits.gevent.sleep'
            stack.enter_context(mock.patch(target, self._sleep))
            yield

    def hear(self, *texts: bytes) -> None:
        """Let all VMs read an answer of the server."""
        for vm in self.vms:
            vm.hear(*texts)

    def send(self, vm: LimitVm, max_wait_seconds: float = 0) -> bool:
        """Send a request from a VM if it has its turn."""
        self._waited = 0
        is_sent = vm.permits.acquire(SERVER, max_wait_seconds)
        if is_sent:
            self.sent_at.append(self.now + self._waited)
        return is_sent

    def send_load(
        self, *vms: LimitVm, rate: float, seconds: float, max_wait: float = 0
    ) -> None:
        """Send requests at random times, so many a second of all VMs."""
        rng = random.Random(len(vms))
        end = self.now + seconds
        while self.now < end:
            self.now += rng.expovariate(rate)
            self.send(rng.choice(vms), max_wait)

    def count_most(self, start: float) -> int:
        """Return the most requests in a window that begins after a time."""
        times = sorted(at for at in self.sent_at if at >= start)
        return max(
            sum(first <= at < first + WINDOW_SECONDS for at in times)
            for first in times
        )

    def _read_clock(self) -> float:
        return self.now

    def _sleep(self, seconds: float) -> None:
        self._waited += seconds


def find_most_allowed(limit: float) -> float:
    """Return the requests in a window at which the users' rule is broken."""
    return 1.5 * limit * WINDOW_SECONDS + 5
