"""Tests of gateway processes, started as the platform does, with stand-ins."""

import os
import signal
from typing import Any

import gevent
import msgspec
import testtools

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway_servers import CallerSocket, ScriptedServer
from tests.platform.builders_platform import (
    HOST,
    TOKENS_PER_EVENT,
    make_configuration,
    make_entry,
)
from tests.platform.gateway_vm import (
    POLL_INTERVAL_SECONDS,
    START_TIMEOUT_SECONDS,
    Vm,
)
from tests.platform.standin_store import StandinStore

EVENTS_PER_TURN = 2
READ_BYTES = 65536
# The delay of the store's answers while it is slow, as the platform states it.
SLOW_ANSWER_SECONDS = 0.25


def answer_turn(sock: Any, request: HttpRequest) -> bool:
    """Answer a turn with two events."""
    request_id = find_header(request.headers, b'request-id') or b''
    events = b''.join(
        b'id: %d\ndata: e%d\n\n' % (number, number)
        for number in range(1, EVENTS_PER_TURN + 1)
    )
    sock.sendall(
        b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
        % (request_id, len(events), events)
    )
    return True


def read_to_end(sock: Any) -> bytes:
    """Return all bytes until the peer closes the connection."""
    received = b''
    while block := sock.recv(READ_BYTES):
        received += block
    return received


class ServingTests(testtools.TestCase):
    """Two VMs with a store and one engine, all on the loopback interface."""

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
            vm.wait_for_vms(len(self.vms))

    def start_vm(self, number: int) -> Vm:
        return Vm(test=self, number=number, store=self.store.address)

    def read_status(self, answer: AnswerReader) -> int:
        return answer.head.status if answer.head else 0

    def test_directory_and_metrics_pages(self) -> None:
        """Guard against wrong addresses for callers and missing metrics."""
        vm, other = self.vms
        vm.send_turn('one', 'Program-Id: p', 'Token-Budget: 1000')
        status, body = vm.fetch_page(vm.directory, '/api/resolve?zone=hall-a')
        self.assertEqual(200, status)
        addresses = msgspec.json.decode(body)['addresses']
        expected = {f'{host}:{port}' for host, port in (vm.front, other.front)}
        self.assertEqual(expected, set(addresses))
        status, body = vm.fetch_page(vm.metrics, '/metrics')
        self.assertEqual(200, status)
        self.assertIn(
            b'bronzepost_requests_total{kind="stream",outcome="answered"} 1.0',
            body,
        )
        self.assertIn(b'bronzepost_state{name="members"} 2.0', body)

    def test_turn_continues_on_another_vm(self) -> None:
        """Guard against a history that only one VM can continue."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        first = self.vms[0].send_turn('one', *program)
        second = self.vms[1].send_turn('two', 'Previous-Turn: one', *program)
        self.assertIs(True, first.is_complete)
        self.assertIs(True, second.is_complete)
        self.assertEqual(b'onee1\ne2\ntwo', self.engine.requests[1].body)

    def test_budget_limits_a_program_on_all_vms(self) -> None:
        """Guard against each VM granting the whole budget."""
        statuses = [
            self.read_status(
                self.vms[number % 2].send_turn(
                    f'{number}-turn', 'Program-Id: p', 'Token-Budget: 200'
                )
            )
            for number in range(8)
        ]
        served = statuses.count(200)
        tokens = served * EVENTS_PER_TURN * TOKENS_PER_EVENT
        self.assertIs(True, tokens <= 200)
        self.assertEqual(8 - served, statuses.count(402))

    def test_history_survives_the_loss_of_all_vms(self) -> None:
        """Guard against lost turns when all VMs are killed at once."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        self.vms[0].send_turn('one', *program)
        for vm in self.vms:
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        vm = self.start_vm(23)
        vm.wait_until_ready()
        answer = vm.send_turn(
            'two', 'Previous-Turn: one', 'Program-Id: q', 'Token-Budget: 500'
        )
        self.assertEqual(200, self.read_status(answer))
        self.assertEqual(b'onee1\ne2\ntwo', self.engine.requests[-1].body)

    def test_programs_and_vms_start_in_an_outage_of_the_store(self) -> None:
        """Guard against programs and VMs that cannot start in an outage.

        The new VM gets its routes from another VM.
        """
        self.store.is_down = True
        gevent.sleep(1)
        vm = self.start_vm(23)
        vm.wait_until_ready()
        program = ('Program-Id: fresh', 'Token-Budget: 1000')
        calling = gevent.spawn(vm.send_turn, 'one', *program)
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while not self.engine.requests:
                gevent.sleep(POLL_INTERVAL_SECONDS)
        self.store.is_down = False
        first = calling.get(timeout=START_TIMEOUT_SECONDS)
        self.assertEqual(200, self.read_status(first))
        self.assertIs(True, first.is_complete)
        self.assertIn('one', self.store.list_keys('keyed.turns'))

    def test_turn_answered_in_an_outage_survives_all_vms(self) -> None:
        """Guard against an answer that ends before its turn is stored.

        The turn was replicated to other VMs only, and all VMs were lost
        (incident inc1).
        """
        program = ('Program-Id: p', 'Token-Budget: 1000')
        self.store.is_down = True
        first = self.vms[0].send_turn('one', *program)
        for vm in self.vms:
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        self.store.is_down = False
        is_stored = 'one' in self.store.list_keys('keyed.turns')
        self.assertEqual(first.is_complete, is_stored)

    def test_complete_resumed_turn_is_stored(self) -> None:
        """Guard against a resumed answer that ends without a stored turn."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        answer = self.vms[0].send_turn('one', 'Last-Event-Id: 1', *program)
        is_answered = self.read_status(answer) == 200 and answer.is_complete
        is_stored = 'one' in self.store.list_keys('keyed.turns')
        self.assertEqual(is_answered, is_stored)

    def test_events_are_forwarded_while_the_turn_is_not_stored(self) -> None:
        """Guard against events that are held back until the turn is stored.

        Callers cancel a stream after some seconds without an event.
        """
        self.store.is_down = True
        answer = self.vms[0].send_turn(
            'one', 'Program-Id: p', 'Token-Budget: 1000'
        )
        self.assertEqual(200, self.read_status(answer))
        self.assertIs(False, answer.is_complete)
        self.assertIn(b'data: e2', answer.pop_body())

    def test_incomplete_answer_without_length_resets_the_connection(
        self,
    ) -> None:
        """Guard against an incomplete answer that seems complete.

        Without a length, a complete answer ends when its connection closes.
        """
        self.store.is_down = True
        caller = self.call_without_length()
        self.assertRaises(ConnectionResetError, read_to_end, caller.sock)

    def test_killed_vm_resets_an_answer_without_length(self) -> None:
        """Guard against a kill that reads as the end of the answer."""
        self.store.is_down = True
        caller = self.call_without_length()
        self.assertIn(b'200 OK', caller.sock.recv(READ_BYTES))
        os.kill(self.vms[0].process.pid, signal.SIGKILL)
        self.assertRaises(ConnectionResetError, read_to_end, caller.sock)

    def test_complete_answer_without_length_closes_in_order(self) -> None:
        caller = self.call_without_length()
        self.assertIn(b'data: e2', read_to_end(caller.sock))

    def call_without_length(self) -> CallerSocket:
        """Send a turn with HTTP/1.0, whose answer ends with the connection."""
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
        return caller

    def test_turn_of_a_complete_answer_is_in_a_slow_store(self) -> None:
        """Guard against an answer that ends before the store has its turn."""
        self.store.delay_seconds = SLOW_ANSWER_SECONDS
        self.check_turn_survives_all_vms()

    def test_turn_is_stored_if_some_append_answers_are_lost(self) -> None:
        """Guard against an answer that ends early or is aborted.

        The store executes all appends and answers every second one.
        """
        self.store.appends_per_answer = 2
        self.check_turn_survives_all_vms()

    def test_turn_is_stored_if_all_append_answers_are_lost(self) -> None:
        """Guard against an aborted answer although the store has its turn."""
        self.store.loses_appends = True
        self.check_turn_survives_all_vms()

    def check_turn_survives_all_vms(self) -> None:
        """Check that a turn is complete, stored and continues on a new VM."""
        program = ('Program-Id: p', 'Token-Budget: 1000')
        first = self.vms[0].send_turn('one', *program)
        is_stored = 'one' in self.store.list_keys('keyed.turns')
        for vm in self.vms:
            os.kill(vm.process.pid, signal.SIGKILL)
            vm.process.wait()
        self.assertIs(True, first.is_complete)
        self.assertIs(True, is_stored)
        self.store.end_failures()
        vm = self.start_vm(23)
        vm.wait_until_ready()
        second = vm.send_turn('two', 'Previous-Turn: one', *program)
        self.assertEqual(200, self.read_status(second))
        self.assertIs(True, second.is_complete)
        self.assertEqual(b'onee1\ne2\ntwo', self.engine.requests[-1].body)

    def test_leaving_server_gets_no_new_request(self) -> None:
        """Guard against a server that leaves while its entry says ready."""
        self.engine.answer_early(
            b'HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\n'
            b'Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
        )
        program = ('Program-Id: p', 'Token-Budget: 1000')
        first = self.vms[0].send_turn('one', *program)
        second = self.vms[0].send_turn('two', *program)
        self.assertEqual(200, self.read_status(first))
        self.assertEqual(503, self.read_status(second))
        self.assertEqual(1, self.engine.connections)

    def test_stopping_vm_serves_callers(self) -> None:
        """Guard against refused callers before the process has ended."""
        vm = self.vms[0]
        os.kill(vm.process.pid, signal.SIGTERM)
        gevent.sleep(0.5)
        answer = vm.send_turn('one', 'Program-Id: p', 'Token-Budget: 1000')
        self.assertEqual(200, self.read_status(answer))
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            self.assertEqual(0, vm.process.wait())
