"""Gateways as the platform starts them, as processes against stand-ins."""

import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import gevent
import msgspec
import testtools
from bronzepost_platform.settings import METRICS_PORT
from gevent.socket import socket as open_socket
from gevent.subprocess import DEVNULL, Popen

from bronzepost._internal.gateway.header_names import find_header
from bronzepost._internal.gateway.http_messages import (
    AnswerReader,
    HttpRequest,
)
from tests.builders_gateway_servers import CallerSocket, ScriptedServer
from tests.platform.builders_platform import (
    HOST,
    TOKENS_PER_EVENT,
    make_configuration,
    make_entry,
    make_settings,
)
from tests.platform.standin_store import StandinStore

ROOT = Path(__file__).resolve().parent.parent.parent
# A loopback network for each run of the tests: the port of the metrics is fixed.
NETWORK = f'127.{100 + os.getpid() // 250 % 100}.{1 + os.getpid() % 250}'
START_SECONDS = 20.0
POLL_SECONDS = 0.05
EVENTS = 2
POLL_BYTES = 65536
# An answer of the store while it is slow; 250 ms on the platform's page.
SLOW_SECONDS = 0.25


def answer_turn(sock: Any, request: HttpRequest) -> bool:
    """Answer a turn with two events."""
    request_id = find_header(request.headers, b'request-id') or b''
    events = b''.join(
        b'id: %d\ndata: e%d\n\n' % (number, number)
        for number in range(1, EVENTS + 1)
    )
    sock.sendall(
        b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
        % (request_id, len(events), events)
    )
    return True


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface."""
    probes = [open_socket() for _ in range(count)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def read_to_end(sock: Any) -> bytes:
    """Return all bytes until the other side closes."""
    received = b''
    while block := sock.recv(POLL_BYTES):
        received += block
    return received


class Vm:
    """A gateway process on a loopback address of its own."""

    def __init__(
        self, *, test: testtools.TestCase, number: int, store: str
    ) -> None:
        """Start the process; it is ended with the test."""
        ip = f'{NETWORK}.{number}'
        front, readiness, directory = find_ports(3)
        self.front = (ip, front)
        self.readiness = (ip, readiness)
        self.directory = (ip, directory)
        self.metrics = (ip, METRICS_PORT)
        settings = make_settings(
            nodeName=f'edge-{number}',
            ip=ip,
            listen={
                'front': f'{ip}:{front}',
                'readiness': f'{ip}:{readiness}',
                'directory': f'{ip}:{directory}',
            },
            seedNodes=[f'{NETWORK}.21:1', f'{NETWORK}.22:1'],
            platform={'address': store, 'parts': 2},
        )
        folder = tempfile.mkdtemp()
        test.addCleanup(shutil.rmtree, folder)
        path = Path(folder) / 'settings.json'
        path.write_bytes(settings)
        self.process = Popen(
            [sys.executable, str(ROOT / 'platform' / 'serve.py')],
            env={**os.environ, 'BRONZEPOST_BOOT': str(path)},
            stdout=DEVNULL,
        )
        test.addCleanup(self.process.wait)
        test.addCleanup(self.process.kill)

    def wait_until_ready(self) -> None:
        """Return once the process says that it is ready."""
        with gevent.Timeout(START_SECONDS):
            while self.ask(self.readiness, '/api/readyz')[0] != 200:
                gevent.sleep(POLL_SECONDS)

    def wait_for_others(self, count: int) -> None:
        """Return once the process names so many VMs to callers."""
        with gevent.Timeout(START_SECONDS):
            while self.count_vms() != count:
                gevent.sleep(POLL_SECONDS)

    def count_vms(self) -> int:
        """Return the number of VMs that the process names to callers."""
        status, body = self.ask(self.directory, '/api/resolve?zone=hall-a')
        if status != 200:
            return 0
        return len(msgspec.json.decode(body)['addresses'])

    def call(self, request_id: str, *headers: str) -> AnswerReader:
        """Send a turn and return its answer."""
        lines = [
            'POST /chat/x HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {request_id}',
            'Token-Usage: 10,50',
            'Deadline-Ms: 3000',
            'Content-Length: 3',
            *headers,
            '',
            request_id[:3],
        ]
        caller = CallerSocket(address=self.front)
        caller.sock.sendall('\r\n'.join(lines).encode())
        return caller.read_answer()

    def ask(self, address: tuple[str, int], target: str) -> tuple[int, bytes]:
        """Return status and body of a page; a status of 0 if nobody listens."""
        try:
            caller = CallerSocket(address=address)
        except OSError:
            return 0, b''
        caller.sock.sendall(
            f'GET {target} HTTP/1.1\r\nHost: a\r\n\r\n'.encode()
        )
        answer = caller.read_answer()
        return answer.head.status if answer.head else 0, answer.take_body()


class ServingTests(testtools.TestCase):
    """Two VMs, a store and one engine."""

    def setUp(self) -> None:
        """Start the stand-ins and two VMs."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        self.engine = ScriptedServer(script=answer_turn)
        self.addCleanup(self.engine.close)
        entry = make_entry(address=self.engine.address)
        self.store.put('keyed.servers', 'i-1', entry)
        self.store.put('keyed.servers', 'i-bad', b'\xff')
        self.store.put('keyed.op', 'config', make_configuration())
        self.vms = [self.start_vm(number) for number in (21, 22)]
        for vm in self.vms:
            vm.wait_until_ready()
        for vm in self.vms:
            vm.wait_for_others(len(self.vms))

    def start_vm(self, number: int) -> Vm:
        return Vm(test=self, number=number, store=self.store.address)

    def read_status(self, answer: AnswerReader) -> int:
        return answer.head.status if answer.head else 0

    def test_pages_of_a_vm(self) -> None:
        """Callers find no VM, and nobody sees what a VM counts."""
        vm, other = self.vms
        vm.call('one', 'Program-Id: p', 'Token-Budget: 1000')
        status, body = vm.ask(vm.directory, '/api/resolve?zone=hall-a')
        self.assertEqual(200, status)
        addresses = msgspec.json.decode(body)['addresses']
        expected = {f'{host}:{port}' for host, port in (vm.front, other.front)}
        self.assertEqual(expected, set(addresses))
        status, body = vm.ask(vm.metrics, '/metrics')
        self.assertEqual(200, status)
        self.assertIn(
            b'bronzepost_requests_total{kind="stream",outcome="answered"} 1.0',
            body,
        )
        self.assertIn(b'bronzepost_state{name="members"} 2.0', body)

    def test_turn_continues_on_another_vm(self) -> None:
        """The engine gets the chain, whichever VM a caller asks."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        first = self.vms[0].call('one', *program)
        second = self.vms[1].call('two', 'Previous-Turn: one', *program)
        self.assertIs(True, first.is_complete)
        self.assertIs(True, second.is_complete)
        self.assertEqual(b'onee1\ne2\ntwo', self.engine.requests[1].body)

    def test_loop_stops_at_its_budget_on_all_vms(self) -> None:
        """Each VM would otherwise allow the whole budget."""
        statuses = [
            self.read_status(
                self.vms[number % 2].call(
                    f'{number}-turn', 'Program-Id: p', 'Token-Budget: 200'
                )
            )
            for number in range(8)
        ]
        served = statuses.count(200)
        tokens = served * EVENTS * TOKENS_PER_EVENT
        self.assertIs(True, tokens <= 200)
        self.assertEqual(8 - served, statuses.count(402))

    def test_history_outlives_all_vms(self) -> None:
        """All VMs lose power at once after a turn was answered."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        self.vms[0].call('one', *program)
        for vm in self.vms:
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        vm = self.start_vm(23)
        vm.wait_until_ready()
        answer = vm.call(
            'two', 'Previous-Turn: one', 'Program-Id: q', 'Token-Budget: 500'
        )
        self.assertEqual(200, self.read_status(answer))
        self.assertEqual(b'onee1\ne2\ntwo', self.engine.requests[-1].body)

    def test_outage_of_the_store(self) -> None:
        """New programs run, and a VM that starts gets routes from another."""
        self.store.is_down = True
        gevent.sleep(1)
        vm = self.start_vm(23)
        vm.wait_until_ready()
        program = ('Program-Id: fresh', 'Token-Budget: 1000')
        calling = gevent.spawn(vm.call, 'one', *program)
        with gevent.Timeout(START_SECONDS):
            while not self.engine.requests:
                gevent.sleep(POLL_SECONDS)
        self.store.is_down = False
        first = calling.get(timeout=START_SECONDS)
        self.assertEqual(200, self.read_status(first))
        self.assertIs(True, first.is_complete)
        self.assertIn('one', self.store.list_keys('keyed.turns'))

    def test_turn_answered_in_an_outage_outlives_all_vms(self) -> None:
        """An answer ended while its turn was on other VMs only (inc1)."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        self.store.is_down = True
        first = self.vms[0].call('one', *program)
        for vm in self.vms:
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        self.store.is_down = False
        is_kept = 'one' in self.store.list_keys('keyed.turns')
        self.assertEqual(first.is_complete, is_kept)

    def test_resumed_turn_outlives_all_vms(self) -> None:
        """An answer that a caller resumed ended without a turn in the store."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        answer = self.vms[0].call('one', 'Last-Event-Id: 1', *program)
        is_answered = self.read_status(answer) == 200 and answer.is_complete
        is_kept = 'one' in self.store.list_keys('keyed.turns')
        self.assertEqual(is_answered, is_kept)

    def test_events_are_passed_on_while_the_end_waits(self) -> None:
        """Callers leave a stream after some seconds without an event."""
        self.store.is_down = True
        answer = self.vms[0].call('one', 'Program-Id: p', 'Token-Budget: 1000')
        self.assertEqual(200, self.read_status(answer))
        self.assertIs(False, answer.is_complete)
        self.assertIn(b'data: e2', answer.take_body())

    def test_broken_answer_without_length_is_reset(self) -> None:
        """It ended like a whole one: with the close of its connection."""
        self.store.is_down = True
        caller = CallerSocket(address=self.vms[0].front)
        lines = (
            'POST /chat/x HTTP/1.0',
            f'Host: {HOST}',
            'Request-Id: one',
            'Token-Usage: 10,50',
            'Deadline-Ms: 1000',
            'Content-Length: 3',
            'Program-Id: p',
            'Token-Budget: 1000',
            '',
            'one',
        )
        caller.sock.sendall('\r\n'.join(lines).encode())
        self.assertRaises(ConnectionResetError, read_to_end, caller.sock)

    def test_slow_store_has_the_turn_of_a_whole_answer(self) -> None:
        """An answer ended while its append was still under way."""
        self.store.delay_seconds = SLOW_SECONDS
        self.check_turn_outlives_all_vms()

    def test_store_that_loses_some_answers_has_the_turn(self) -> None:
        """An answer ended without the store's, or broke off."""
        self.store.answered_appends = 2
        self.check_turn_outlives_all_vms()

    def test_store_that_loses_all_answers_has_the_turn(self) -> None:
        """An answer broke off although the store had its turn."""
        self.store.loses_appends = True
        self.check_turn_outlives_all_vms()

    def check_turn_outlives_all_vms(self) -> None:
        """A turn ends whole, is stored, and a VM that starts continues it."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        first = self.vms[0].call('one', *program)
        is_stored = 'one' in self.store.list_keys('keyed.turns')
        for vm in self.vms:
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        self.assertIs(True, first.is_complete)
        self.assertIs(True, is_stored)
        self.store.restore()
        vm = self.start_vm(23)
        vm.wait_until_ready()
        second = vm.call('two', 'Previous-Turn: one', *program)
        self.assertEqual(200, self.read_status(second))
        self.assertIs(True, second.is_complete)
        self.assertEqual(b'onee1\ne2\ntwo', self.engine.requests[-1].body)

    def test_stop_is_graceful(self) -> None:
        """Callers are served until the process has gone."""
        vm = self.vms[0]
        os.kill(vm.process.pid, signal.SIGTERM)
        gevent.sleep(0.5)
        answer = vm.call('one', 'Program-Id: p', 'Token-Budget: 1000')
        self.assertEqual(200, self.read_status(answer))
        with gevent.Timeout(START_SECONDS):
            self.assertEqual(0, vm.process.wait())
