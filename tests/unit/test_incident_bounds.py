"""Tests of what the bounds and waits of issue 49 do to sound peers."""

import contextlib
import itertools
import time
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Final

import gevent
import testtools
from gevent.socket import create_connection
from gevent.socket import socket as gevent_socket

from bronzepost._internal.core.gateway import budgets
from bronzepost._internal.core.gateway.entities import CallerLimits, RouteKind
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers import delivery
from bronzepost._internal.gateway.callers.answer_reader import (
    MAX_HEADERS,
    AnswerReader,
)
from bronzepost._internal.gateway.callers.caller_answer import CallerAnswer
from bronzepost._internal.gateway.callers.caller_connections import (
    CONNECTION_BYTES,
)
from bronzepost._internal.gateway.callers.caller_server import CallerServer
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
    HttpRequest,
)
from bronzepost._internal.gateway.callers.orderly_close import LINGER_SECONDS
from bronzepost._internal.gateway.requests.hedging import HedgedRequest
from bronzepost._internal.gateway.servers.server_ratings import ServerRatings
from bronzepost._internal.node.callers import listeners
from bronzepost._internal.node.callers.web import (
    Request,
    Response,
    Route,
    WebApplication,
)
from bronzepost._internal.node.paced_reader import PacedReader
from bronzepost._internal.telemetry.metrics import NoMetrics
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    LIMITS,
    CallerSocket,
    ScriptedServer,
    answer_with,
    find_port,
    make_request,
    open_gateway,
)

_TIMEOUT_SECONDS: Final = 0.2
_DISCARD_SECONDS: Final = 0.3
_MAX_BODY_BYTES: Final = 1000
_STREAM: Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Content-Length: 9\r\n\r\ndata: a\n\n'
)
_IDLE_SECONDS: Final = 8.0
_LARGE_BYTES: Final = 200_000
_SMALL_BUFFER_BYTES: Final = 4096
_CALLERS: Final = 50
_BUDGET: Final = 1000
_CLAIMED: Final = 500
_HIDDEN_REQUEST: Final = b'GET /echo HTTP/1.1\r\nHost: a\r\n\r\n'


class NumberedSocket:
    """A socket that always has bytes; each block has its number."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self._numbers = itertools.count()
        self.last_number = -1

    def recv(self, size: int) -> bytes:
        """Return a block of the size that was asked for."""
        self.last_number = next(self._numbers)
        return self.last_number.to_bytes(8, 'big') * (size // 8)


class PacedReaderTests(testtools.TestCase):
    """Timeouts while a reader waits for its turn."""

    def test_timeout_in_the_wait_for_a_turn_loses_no_bytes(self) -> None:
        """Guards against a block that was received and never returned."""
        sock = NumberedSocket()
        reader = PacedReader(sock=sock)
        returned_number = -1
        with gevent.Timeout(_TIMEOUT_SECONDS, exception=False):
            ends_at = time.monotonic() + 10 * _TIMEOUT_SECONDS
            while time.monotonic() < ends_at:
                returned_number = read_number(reader.receive())
        self.assertEqual(returned_number + 1, read_number(reader.receive()))


class AnswerReaderTests(testtools.TestCase):
    """Answers with more headers than the bound."""

    def test_headers_above_the_bound_are_not_dropped(self) -> None:
        """Guards against a whole answer that loses headers in silence."""
        headers = b''.join(
            b'x-%d: a\r\n' % number for number in range(MAX_HEADERS)
        )
        reader = AnswerReader()
        content = b'HTTP/1.1 200 OK\r\n%bContent-Length: 1\r\n\r\na' % headers
        with contextlib.suppress(ProtocolError):
            reader.feed(content)
            assert reader.head is not None
            self.assertEqual(MAX_HEADERS + 1, len(reader.head.headers))


class ListenerTests(testtools.TestCase):
    """A listener of a node whose callers send bodies."""

    def setUp(self) -> None:
        """Start a listener that records the bodies of requests."""
        super().setUp()
        self.bodies: list[bytes] = []
        application = WebApplication(
            routes=[
                Route(method=method, pattern='/echo', handler=self.record)
                for method in ('GET', 'POST')
            ],
            max_body_bytes=_MAX_BODY_BYTES,
            metrics=NoMetrics(),
        )
        server = listeners.listen('127.0.0.1:0', application)
        self.addCleanup(server.stop)
        self.sock = create_connection(('127.0.0.1', server.server_port))
        self.addCleanup(self.sock.close)
        self.sock.settimeout(1)

    def record(self, request: Request) -> Response:
        """Record a body."""
        self.bodies.append(request.body)
        return Response(body=b'ok')

    def test_rest_of_a_refused_body_is_no_request(self) -> None:
        """Guards against bytes of a body that are run as a request."""
        self.patch(listeners, 'DISCARD_TIMEOUT_SECONDS', _DISCARD_SECONDS)
        self.sock.sendall(
            b'POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n'
        )
        gevent.sleep(2 * _DISCARD_SECONDS)
        with contextlib.suppress(OSError):
            # The time is checked before the next read.
            self.sock.sendall(b'a')
            gevent.sleep(_DISCARD_SECONDS)
            self.sock.sendall(_HIDDEN_REQUEST)
        gevent.sleep(_DISCARD_SECONDS)
        self.assertEqual([], self.bodies)


class ClaimTests(testtools.TestCase):
    """Claims of a home that returned tokens of the home that it replaced."""

    def test_claim_after_returns_for_a_replaced_home_is_unstored(self) -> None:
        """Guards against claims that are never stored, and granted again."""
        account = ProgramAccount(
            program_id='a',
            budget=_BUDGET,
            granted_by_holder={'former': _BUDGET},
            adopted=frozenset(('former',)),
            most=_BUDGET,
        )
        account = budgets.return_unused(account, holder='x')
        account = budgets.grant_provisionally(
            account, holder='x', tokens=_CLAIMED
        )
        self.assertEqual(
            (_CLAIMED, True), (account.provisional, account.is_unstored('x'))
        )


class LingerTests(testtools.TestCase):
    """Connections whose answers are complete and whose callers stay."""

    def test_connections_that_linger_are_counted_as_held(self) -> None:
        """Guards against lingering connections that no bound knows of."""
        port = find_port()
        memory = HeldMemory()
        server = CallerServer(
            address=f'127.0.0.1:{port}',
            answer=answer_small,
            read_limits=lambda: LIMITS,
            memory=memory,
        )
        server.start()
        self.addCleanup(server.stop)
        callers = [
            CallerSocket(address=('127.0.0.1', port)) for _ in range(_CALLERS)
        ]
        for caller in callers:
            self.addCleanup(caller.sock.close)
            caller.sock.sendall(make_request(b'Connection: close'))
            self.assertTrue(caller.read_answer().is_complete)
        self.assertEqual(
            _CALLERS * CONNECTION_BYTES,
            memory.bytes_by_kind[HeldKind.CONNECTIONS],
        )


class StopTests(testtools.TestCase):
    """A stop while a caller has not read its last answer yet."""

    def test_caller_that_has_read_its_answer_delays_no_stop(self) -> None:
        """Guards against a stop that waits for a caller's idle timeout."""
        port = find_port()
        server = CallerServer(
            address=f'127.0.0.1:{port}',
            answer=answer_large,
            read_limits=lambda: CallerLimits(idle_seconds=_IDLE_SECONDS),
        )
        server.start()
        sock = gevent_socket()
        self.addCleanup(sock.close)
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, _SMALL_BUFFER_BYTES)
        sock.connect(('127.0.0.1', port))
        sock.sendall(make_request())
        gevent.sleep(_DISCARD_SECONDS)
        server.drain()
        server.stop()
        while sock.recv(_LARGE_BYTES):
            """Read the answer up to the end of the server's side."""
        gevent.sleep(LINGER_SECONDS)
        # The caller keeps its side open, as pools of connections do.
        self.assertEqual(0, server.count_open())


class ForwardingTests(testtools.TestCase):
    """Requests that end with an error of the VM itself."""

    def test_stream_without_memory_is_no_fault_of_its_server(self) -> None:
        """Guards against servers that are left out as this VM has no memory."""
        self.patch(delivery, 'may_keep', lambda *_: False)
        failed_ids: list[str] = []
        self.patch(
            ServerRatings,
            'report_failure',
            lambda _ratings, server_id: failed_ids.append(server_id),
        )
        server = ScriptedServer(script=answer_with(_STREAM))
        with open_gateway(make_route(), server) as gateway:
            gateway.call(make_request()).read_answer()
        self.assertEqual([], failed_ids)

    def test_idempotent_request_is_answered_in_spite_of_an_error(self) -> None:
        """Guards against an attempt that ends without telling its request."""
        self.patch(HedgedRequest, '_read_answer', fail_unexpectedly)
        route = make_route(kind=RouteKind.IDEMPOTENT, timeout_seconds=2.0)
        server = ScriptedServer(script=answer_with(_STREAM))
        started_at = time.monotonic()
        with open_gateway(route, server) as gateway:
            head = gateway.call(make_request()).read_answer().head
            seconds = time.monotonic() - started_at
        assert head is not None
        self.assertEqual((500, True), (head.status, seconds < 1))

    def test_request_before_unreadable_bytes_is_answered(self) -> None:
        """Guards against a refusal in place of the answer to another request."""
        server = ScriptedServer(script=answer_with(_STREAM))
        with open_gateway(make_route(), server) as gateway:
            caller = gateway.call(b'%bno request\r\n\r\n' % make_request())
            head = caller.read_answer().head
        assert head is not None
        self.assertEqual(200, head.status)


def fail_unexpectedly(*_arguments: object) -> None:
    """Raise an error that no caller expects."""
    raise KeyError('server')


def answer_small(_request: HttpRequest, answer: CallerAnswer) -> None:
    """Answer with one byte."""
    answer_bytes(answer, 1)


def answer_large(_request: HttpRequest, answer: CallerAnswer) -> None:
    """Answer with more than the caller's socket takes."""
    answer_bytes(answer, _LARGE_BYTES)


def answer_bytes(answer: CallerAnswer, size: int) -> None:
    """Answer with a body of a size, and keep the connection."""
    head = AnswerHead(
        status=200,
        reason=b'OK',
        headers=(),
        length=size,
        is_chunked=False,
        keep_alive=True,
    )
    answer.send_whole(head, bytes(size))


def read_number(block: bytes) -> int:
    """Return the number of a block."""
    return int.from_bytes(block[:8], 'big')
