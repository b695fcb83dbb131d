"""Tests of requests that crash the backend servers that run them."""

import itertools
from typing import Any, Final

import gevent
import testtools
from testtools.matchers import LessThan

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway_servers import ScriptedServer
from tests.platform.builders_platform import make_configuration, make_entry
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore

VM_COUNT: Final = 3
ENGINE_COUNT: Final = 4
# A request whose id begins like this has the body that crashes engines.
DEADLY: Final = 'bad'
DOWN_SECONDS: Final = 0.5
DEADLY_TRIES: Final = 9
# By rule, three crashes and three retries, sent once VMs are in touch.
MAX_DEADLY_RUNS: Final = 6
ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
    b'Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n'
)
ANSWER_SECONDS: Final = 0.05


class Engine:
    """An engine that crashes when it begins to run a deadly request.

    It is back after ``DOWN_SECONDS`` under another id, with all connections cut.
    """

    def __init__(self, *, name: str, store: StandinStore) -> None:
        """Start and register the engine."""
        self.deadly_runs = 0
        self._name = name
        self._store = store
        self._starts = itertools.count(1)
        self._sockets: set[Any] = set()
        self._start()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def _start(self) -> None:
        self._server = ScriptedServer(script=self._answer)
        self._server_id = f'{self._name}.{next(self._starts)}'
        entry = make_entry(address=self._server.address)
        self._store.put('keyed.servers', self._server_id, entry)

    def _answer(self, sock: Any, request: HttpRequest) -> bool:
        if request.body == DEADLY.encode():
            self.deadly_runs += 1
            self._crash()
            return False
        self._sockets.add(sock)
        gevent.sleep(ANSWER_SECONDS)
        self._sockets.discard(sock)
        request_id = find_header(request.headers, b'request-id') or b''
        try:
            sock.sendall(ANSWER % request_id)
        except OSError:
            return False
        return True

    def _crash(self) -> None:
        self._server.close()
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()
        gevent.spawn_later(DOWN_SECONDS, self._come_back, self._server_id)

    def _come_back(self, old_id: str) -> None:
        self._store.put('keyed.servers', old_id, b'')
        self._start()


class DeadlyRequestTests(testtools.TestCase):
    """Three VMs before engines that a request crashes."""

    def setUp(self) -> None:
        """Start the stand-ins and the VMs."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        configuration = make_configuration()
        configuration['routes'][0].update(retainHistory=False, resumable=True)
        self.store.put('keyed.op', 'config', configuration)
        self.engines = [
            Engine(name=f'i-{number}', store=self.store)
            for number in range(ENGINE_COUNT)
        ]
        for engine in self.engines:
            self.addCleanup(engine.close)
        self.vms = [
            Vm(test=self, number=21 + number, store=self.store.address)
            for number in range(VM_COUNT)
        ]
        for vm in self.vms:
            vm.wait_until_ready()
        for vm in self.vms:
            vm.wait_for_vms(VM_COUNT)
        self.numbers = itertools.count(1)

    def count_deadly_runs(self) -> int:
        return sum(engine.deadly_runs for engine in self.engines)

    def send_deadly(self, vm: Vm) -> AnswerReader:
        return vm.send_turn(f'{DEADLY}-{next(self.numbers)}')

    def send_until_served(self, body: str) -> bool:
        """Send a request as often as a caller does; return whether it is served."""
        for vm in itertools.islice(itertools.cycle(self.vms), 2 * VM_COUNT):
            answer = vm.send_turn(f'{body}-{next(self.numbers)}')
            if answer.head is not None and answer.head.status == 200:
                return True
            gevent.sleep(DOWN_SECONDS)
        return False

    def test_request_that_crashed_servers_at_several_vms_is_refused(
        self,
    ) -> None:
        """Guard against one request that takes down server after server."""
        statuses = []
        for vm in itertools.islice(itertools.cycle(self.vms), DEADLY_TRIES):
            answer = self.send_deadly(vm)
            statuses.append(answer.head.status if answer.head else 0)
            gevent.sleep(DOWN_SECONDS)
        self.assertThat(self.count_deadly_runs(), LessThan(MAX_DEADLY_RUNS + 1))
        self.assertEqual([503], statuses[-1:])

    def test_requests_beside_one_that_crashes_servers_are_served(self) -> None:
        """Guard against refusing what shared a server with it."""
        callers = []
        for vm in itertools.islice(itertools.cycle(self.vms), DEADLY_TRIES):
            for number in range(10):
                callers.append(
                    gevent.spawn(self.send_until_served, f'{number}ok')
                )
            gevent.sleep(ANSWER_SECONDS / 2)
            self.send_deadly(vm)
            gevent.sleep(DOWN_SECONDS)
        gevent.joinall(callers, raise_error=True)
        self.assertEqual({True}, {caller.value for caller in callers})
