"""Tests of a gateway process whose callers send bytes without end."""

from collections.abc import Iterable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import testtools

from tests.builders_endless_callers import (
    BODIES,
    HEADS,
    REQUESTS,
    Shape,
    start_callers,
)
from tests.builders_gateway_servers import CallerSocket, ScriptedServer
from tests.platform.builders_platform import make_entry
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore
from tests.platform.test_slow_readers import (
    BYTES_PER_KB,
    answer_small,
    make_call,
    make_routes,
    read_status,
)

CONNECTIONS = 100
SECONDS = 3.0
# The memory of the smallest VM.
MEMORY_BYTES = 160_000_000
# A caller with a small request is answered within this time.
ANSWER_SECONDS = 0.5
# Between two calls, so that the callers without end get the processor too.
_PAUSE_SECONDS = 0.02


class TestEndlessCallers(testtools.TestCase):
    """One VM of the smallest size, with a caller beside those without end."""

    def setUp(self) -> None:
        """Start the store, a server and a VM."""
        super().setUp()
        store = StandinStore()
        self.addCleanup(store.close)
        server = ScriptedServer(script=answer_small)
        self.addCleanup(server.close)
        entry = make_entry(
            upstream='small', address=server.address, slotCount=250
        )
        store.put('keyed.servers', 'i-small', entry)
        store.put('keyed.op', 'config', make_routes())
        self.vm = Vm(test=self, number=21, store=store.address)
        self.vm.wait_until_ready()

    def read_peak_bytes(self) -> int:
        """Return the highest resident memory of the process so far."""
        path = Path(f'/proc/{self.vm.process.pid}/status')
        lines = path.read_text(encoding='ascii').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) * BYTES_PER_KB

    def call_small(self, number: int) -> tuple[int, float]:
        """Return the status of a small call and the seconds that it took."""
        loop = gevent.get_hub().loop
        loop.update_now()
        started_at = loop.now()
        status = 0
        with suppress(OSError):
            caller = CallerSocket(address=self.vm.front)
            caller.sock.sendall(make_call('small', number))
            status = read_status(caller.read_answer())
            caller.sock.close()
        loop.update_now()
        return status, loop.now() - started_at

    def call_during(self, process: Any) -> Iterable[tuple[int, float]]:
        """Send calls one after the other until a process ends."""
        number = 0
        while process.poll() is None:
            number += 1
            yield self.call_small(number)
            gevent.sleep(_PAUSE_SECONDS)

    def check_shapes(self, shapes: Mapping[str, Shape]) -> None:
        """Check memory and other callers beside callers of each shape."""
        faults = []
        for shape in shapes:
            process = start_callers(
                self.vm.front, shape, connections=CONNECTIONS, seconds=SECONDS
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            calls = list(self.call_during(process))
            statuses = {status for status, _ in calls}
            slowest = max(seconds for _, seconds in calls)
            peak_bytes = self.read_peak_bytes()
            is_kept = statuses == {200} and slowest < ANSWER_SECONDS
            if not is_kept or peak_bytes > MEMORY_BYTES:
                faults.append((shape, statuses, slowest, peak_bytes))
        self.assertEqual([], faults)

    def test_heads_without_end(self) -> None:
        """Guards against heads that are held until they are complete."""
        self.check_shapes(HEADS)

    def test_bodies_without_end(self) -> None:
        """Guards against bodies that cost more than their bytes."""
        self.check_shapes(BODIES)

    def test_requests_without_end(self) -> None:
        """Guards against parsed requests that wait for their answers."""
        self.check_shapes(REQUESTS)
