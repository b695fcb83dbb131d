"""Tests of callers and backend servers that read slowly, on the loopback."""

import hashlib
import socket
from typing import Any

import gevent
import testtools
from gevent.socket import socket as open_socket

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.core.gateway.held_bytes import (
    LARGE_BODY_MARK,
    HeldKind,
)
from bronzepost._internal.gateway.callers import (
    caller_outbox,
    caller_server,
)
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.links.tcp_options import set_tcp_options
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    LIMITS,
    ScriptedServer,
    TestGateway,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)
from tests.builders_slow_readers import (
    EVENT_BYTES,
    SlowReader,
    SlowServer,
    make_body,
    send_in_blocks,
)

CALLERS = 100
ANSWER_BYTES = 3_000_000
SMALL_ANSWER_BYTES = 200_000
STREAM_BYTES = 200 * EVENT_BYTES
BODY_BYTES = 4_000_000
BLOCK_BYTES = 65536
SLOW_SECONDS = 3.0
# A VM of medium size.
VM_BYTES = 256_000_000
SEND_BUFFER_BYTES = 8192
# More than the timeouts for data that is not acknowledged, to servers and, before
# callers could be slow, to callers.
PAUSE_SECONDS = 4.0
CALLER_PAUSE_SECONDS = 6.5
WAIT_SECONDS = 30.0


def find_status(answer: AnswerReader) -> int:
    return answer.head.status if answer.head else 0


def set_small_send_buffer(sock: Any, *, user_timeout_ms: int) -> None:
    """Replace ``set_tcp_options``, so that the kernel holds next to nothing."""
    set_tcp_options(sock, user_timeout_ms=user_timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


class TestSlowCallers(testtools.TestCase):
    """Answers reach callers who read a kilobyte a second."""

    def setUp(self) -> None:
        super().setUp()
        self.patch(caller_server, 'set_tcp_options', set_small_send_buffer)

    def check_answers(self, kind: RouteKind, script: Any, size: int) -> None:
        """Let many callers read slowly, then the rest at once."""
        memory = HeldMemory(memory_bytes=VM_BYTES)
        readers = self.read_answers(kind, script, memory)
        expected = hashlib.sha256(make_body(size)).digest()
        for reader in readers:
            self.assertEqual(200, find_status(reader.answer))
            self.assertIs(True, reader.answer.is_complete)
            self.assertEqual(expected, reader.digest.digest())

    def read_answers(
        self, kind: RouteKind, script: Any, memory: HeldMemory
    ) -> list[SlowReader]:
        """Check the account of memory; return the callers with their answers."""
        backend = ScriptedServer(script=script)
        route = make_route(kind=kind, timeout_seconds=2.0, target_seconds=60.0)
        with open_gateway(route, backend, memory=memory) as gateway:
            readers = [SlowReader(gateway.address) for _ in range(CALLERS)]
            for reader in readers:
                reader.read_slowly(SLOW_SECONDS)
            gevent.joinall([reader.task for reader in readers])
            self.assertTrue(memory.bytes_by_kind[HeldKind.UNSENT] > 0)
            rest = [gevent.spawn(reader.read_rest) for reader in readers]
            gevent.joinall(rest, timeout=WAIT_SECONDS)
            self.assertTrue(all(task.ready() for task in rest))
        self.assertTrue(memory.peak_bytes <= memory.budget.total_bytes)
        gevent.sleep(0.1)
        self.assertEqual(0, memory.bytes_by_kind[HeldKind.UNSENT])
        self.assertEqual(0, memory.bytes_by_kind[HeldKind.ANSWERS])
        return readers

    def test_smallest_vm_serves_or_refuses_at_once(self) -> None:
        """Guard against a small VM that takes on more than it can hold."""
        script = send_in_blocks(ANSWER_BYTES, is_chunked=False)
        memory = HeldMemory()
        readers = self.read_answers(RouteKind.NON_IDEMPOTENT, script, memory)
        statuses = [find_status(reader.answer) for reader in readers]
        self.assertEqual({200, 503}, set(statuses))
        self.assertTrue(all(reader.answer.is_complete for reader in readers))

    def test_large_answer_outlives_the_deadline(self) -> None:
        """Guard against an answer that is cut because its caller is slow."""
        self.check_answers(
            RouteKind.NON_IDEMPOTENT,
            send_in_blocks(ANSWER_BYTES, is_chunked=False),
            ANSWER_BYTES,
        )

    def test_large_chunked_answer(self) -> None:
        self.check_answers(
            RouteKind.NON_IDEMPOTENT,
            send_in_blocks(ANSWER_BYTES, is_chunked=True),
            ANSWER_BYTES,
        )

    def test_large_answer_of_a_hedged_route(self) -> None:
        self.check_answers(
            RouteKind.IDEMPOTENT,
            send_in_blocks(ANSWER_BYTES, is_chunked=False),
            ANSWER_BYTES,
        )

    def test_stream_that_ended_in_time_is_delivered_late(self) -> None:
        """Guard against events that are lost because their caller is slow."""
        self.check_answers(
            RouteKind.STREAM,
            send_in_blocks(STREAM_BYTES, is_chunked=True),
            STREAM_BYTES,
        )


class TestServersOfSlowCallers(testtools.TestCase):
    """Servers do not wait for slow callers longer than memory asks for."""

    def test_small_answer_is_taken_at_once(self) -> None:
        """Guard against a server that cuts off an answer that stays unread."""
        backend = ScriptedServer(
            script=answer_with(make_answer(make_body(SMALL_ANSWER_BYTES)))
        )
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        with open_gateway(route, backend) as gateway:
            reader = SlowReader(gateway.address)
            gevent.sleep(0.3)
            in_flight = gateway.directory.in_flight_by_id
            self.assertEqual(0, sum(in_flight.values()))
            reader.read_rest()
        self.assertIs(True, reader.answer.is_complete)

    def test_server_is_not_read_while_its_caller_does_not_read(self) -> None:
        """Guard against an answer that is taken into memory without bound."""
        server = send_in_blocks(20 * ANSWER_BYTES, is_chunked=True)
        backend = ScriptedServer(script=server)
        with open_gateway(make_route(), backend) as gateway:
            memory = gateway.directory.memory
            reader = SlowReader(gateway.address, method=b'POST')
            gevent.sleep(1)
            queued_bytes = memory.bytes_by_kind[HeldKind.UNSENT]
            self.assertTrue(queued_bytes > 0)
            self.assertTrue(queued_bytes <= memory.budget.connection_bytes)
            reader.sock.close()
            gevent.sleep(0.2)
            self.assertEqual(0, memory.bytes_by_kind[HeldKind.UNSENT])

    def test_caller_who_reads_nothing_for_a_while(self) -> None:
        """Guard against TCP_USER_TIMEOUT, which ends a closed window."""
        backend = ScriptedServer(
            script=send_in_blocks(ANSWER_BYTES, is_chunked=False)
        )
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        with open_gateway(route, backend) as gateway:
            reader = SlowReader(gateway.address)
            gevent.sleep(CALLER_PAUSE_SECONDS)
            reader.read_rest()
        self.assertIs(True, reader.answer.is_complete)

    def test_caller_who_reads_nothing_is_given_up(self) -> None:
        """Guard against memory that is held for ever."""
        self.patch(caller_outbox, 'STALL_SECONDS', 0.5)
        backend = ScriptedServer(
            script=send_in_blocks(ANSWER_BYTES, is_chunked=False)
        )
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        with open_gateway(route, backend) as gateway:
            reader = SlowReader(gateway.address)
            gevent.sleep(0.3)
            self.assertEqual(1, gateway.server.count_open())
            gevent.sleep(0.7)
            self.assertEqual(0, gateway.server.count_open())
            reader.sock.close()
            self.assertEqual(0, gateway.directory.memory.held_bytes)


class TestSlowServers(testtools.TestCase):
    """A server may read a large body slowly."""

    def test_body_is_sent_at_the_pace_of_the_server(self) -> None:
        """Guard against a body that is given up because its server is slow."""
        self.check_body(SlowServer(body_bytes=BODY_BYTES, seconds=4.0))

    def test_server_that_reads_nothing_for_a_while(self) -> None:
        """Guard against TCP_USER_TIMEOUT, which ends a closed window."""
        self.check_body(
            SlowServer(
                body_bytes=BODY_BYTES, seconds=0.1, pause_seconds=PAUSE_SECONDS
            )
        )

    def check_body(self, backend: SlowServer) -> None:
        """Send a body, which is held until the server has read it."""
        route = make_route(kind=RouteKind.NON_IDEMPOTENT, timeout_seconds=9.0)
        body = make_body(BODY_BYTES)
        with open_gateway(route, backend) as gateway:  # type: ignore[arg-type]
            memory = gateway.directory.memory
            caller = gateway.call(make_request(method=b'POST', body=body))
            caller.sock.settimeout(WAIT_SECONDS)
            gevent.sleep(1)
            self.assertEqual(
                BODY_BYTES, memory.bytes_by_kind[HeldKind.REQUESTS]
            )
            answer = caller.read_answer()
            self.assertEqual(200, find_status(answer))
            self.assertEqual(
                hashlib.sha256(body).hexdigest().encode(), answer.pop_body()
            )
            gevent.sleep(0.1)
            self.assertEqual(0, memory.bytes_by_kind[HeldKind.REQUESTS])


class TestRefusals(testtools.TestCase):
    """A VM that holds much refuses requests before it reads their bodies."""

    def open(self, memory: HeldMemory) -> Any:
        backend = ScriptedServer(script=answer_with(make_answer(b'ok')))
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        return backend, open_gateway(route, backend, memory=memory)

    def fill(self, memory: HeldMemory, share: float) -> None:
        held = memory.open(HeldKind.TURNS)
        held.resize(int(share * memory.budget.total_bytes))

    def call(self, gateway: TestGateway, body: bytes) -> AnswerReader:
        return gateway.call(
            make_request(method=b'POST', body=body)
        ).read_answer()

    def test_large_body_is_refused_first(self) -> None:
        """Guard against a process that is killed for the bodies it reads."""
        memory = HeldMemory()
        self.fill(memory, 0.7)
        backend, opened = self.open(memory)
        with opened as gateway:
            large = self.call(gateway, make_body(BODY_BYTES))
            small = self.call(gateway, b'small')
        assert large.head is not None
        self.assertEqual(503, large.head.status)
        retry_after = find_header(large.head.headers, b'retry-after')
        self.assertTrue(float(retry_after or 0) > 0)
        self.assertIn(b'memory_short', large.pop_body())
        self.assertEqual(b'ok', small.pop_body())
        self.assertEqual([b'small'], [req.body for req in backend.requests])

    def test_announced_bodies_count_before_they_arrive(self) -> None:
        """Guard against many large bodies that are admitted at once."""
        head = make_request(method=b'POST', body=make_body(BODY_BYTES))
        head = head[: head.index(b'\r\n\r\n') + 4]
        memory = HeldMemory()
        _, opened = self.open(memory)
        with opened as gateway:
            fitting = int(LARGE_BODY_MARK * memory.budget.total_bytes)
            callers = [gateway.call(head) for _ in range(fitting // BODY_BYTES)]
            gevent.sleep(0.05)
            announced = memory.bytes_by_kind[HeldKind.ANNOUNCED]
            self.assertEqual(len(callers) * BODY_BYTES, announced)
            refused = gateway.call(head).read_answer()
            self.assertIn(b'memory_short', refused.pop_body())
            self.assertEqual(b'ok', self.call(gateway, b'small').pop_body())
            for caller in callers:
                caller.sock.close()
            gevent.sleep(0.05)
        self.assertEqual(0, memory.bytes_by_kind[HeldKind.ANNOUNCED])

    def test_all_requests_are_refused_at_the_second_mark(self) -> None:
        memory = HeldMemory()
        self.fill(memory, 0.85)
        backend, opened = self.open(memory)
        with opened as gateway:
            answer = self.call(gateway, b'small')
        self.assertEqual(503, find_status(answer))
        self.assertIn(b'not_run', answer.pop_body())
        self.assertEqual([], backend.requests)

    def test_request_that_was_read_goes_on(self) -> None:
        """Guard against a running request that is dropped for memory."""
        memory = HeldMemory()

        def script(sock: Any, _request: HttpRequest) -> bool:
            self.fill(memory, 0.9)
            gevent.sleep(0.1)
            sock.sendall(make_answer(b'whole'))
            return True

        backend = ScriptedServer(script=script)
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        with open_gateway(route, backend, memory=memory) as gateway:
            answer = self.call(gateway, b'first')
        self.assertEqual(b'whole', answer.pop_body())

    def test_refusal_reaches_a_caller_who_goes_on_sending(self) -> None:
        """Guard against a reset, which discards a refusal on its way."""
        memory = HeldMemory()
        self.fill(memory, 0.7)
        _, opened = self.open(memory)
        with opened as gateway, open_socket() as sock:
            sock.connect(gateway.address)
            sock.settimeout(LIMITS.idle_seconds)
            sock.sendall(
                make_request(method=b'POST', body=make_body(BODY_BYTES))
            )
            self.assertIn(b'503', sock.recv(BLOCK_BYTES))
