"""Servers in trouble send what is no answer, or only a part of one."""

from typing import Any, Final, cast
from unittest import mock

import testtools

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from bronzepost._internal.gateway.links.backend_connections import (
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    ScriptedServer,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)

# Numbers outside 100 to 599, which RFC 9110 names as the range of a status.
INVALID: Final = (b'000', b'099', b'600', b'777', b'999')
BODY: Final = b'oops'


def list_framings(status: bytes) -> list[bytes]:
    """Return an answer with a length, one in chunks, and one without either."""
    line = b'HTTP/1.1 %b Odd\r\n' % status
    return [
        make_answer(BODY, status=b'%b Odd' % status),
        b'%bTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
        % (line, len(BODY), BODY),
        b'%b\r\n%b' % (line, BODY),
    ]


class TestInvalidStatuses(testtools.TestCase):
    """A number that is no status was passed on as a runner's answer."""

    def check(self, kind: RouteKind, **changes: Any) -> None:
        """Send a request for each status and framing; all get 502."""
        for status in INVALID:
            for content in list_framings(status):
                backend = ScriptedServer(
                    script=answer_with(content, stays_open=False)
                )
                route = make_route(kind=kind, **changes)
                with open_gateway(route, backend) as gateway:
                    answer = gateway.call(make_request()).read_answer()
                backend.close()
                assert answer.head is not None
                self.assertEqual((content, 502), (content, answer.head.status))

    def test_request_that_may_run_once(self) -> None:
        self.check(RouteKind.NON_IDEMPOTENT)

    def test_idempotent_request(self) -> None:
        self.check(RouteKind.IDEMPOTENT)

    def test_stream(self) -> None:
        self.check(RouteKind.STREAM)

    def test_idempotent_request_is_sent_to_another_server(self) -> None:
        """Guard against an answer of a server in trouble ending the attempts."""
        failing = ScriptedServer(
            script=answer_with(make_answer(BODY, status=b'600 Odd'))
        )
        sound = ScriptedServer(script=answer_with(make_answer(b'whole')))
        route = make_route(kind=RouteKind.IDEMPOTENT, attempts=2)
        with open_gateway(route, failing, sound) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(
            (200, b'whole'), (answer.head.status, answer.pop_body())
        )

    def test_late_answer_on_a_kept_connection(self) -> None:
        """An odd late answer was taken for the answer to the next request."""
        for status in INVALID:
            late = make_answer(BODY, status=b'%b Odd' % status)
            sends = iter((make_answer(b'one') + late, make_answer(b'two')))

            def script(sock: Any, _request: HttpRequest) -> bool:
                sock.sendall(next(sends, make_answer(b'three')))  # noqa: B023
                return True

            backend = ScriptedServer(script=script)
            route = make_route(kind=RouteKind.NON_IDEMPOTENT)
            with open_gateway(route, backend) as gateway:
                caller = gateway.call(make_request())
                caller.read_answer()
                answer = gateway.call(make_request()).read_answer()
            backend.close()
            assert answer.head is not None
            self.assertIn(answer.head.status, {200, 502})
            self.assertNotEqual(BODY, answer.pop_body())

    def test_own_interface(self) -> None:
        """A tool's status 600 was taken for its answer by the node."""
        for status in (b'600', b'999'):
            backend = ScriptedServer(
                script=answer_with(make_answer(BODY, status=b'%b Odd' % status))
            )
            self.addCleanup(backend.close)
            client = ExchangeClient(address=backend.address)
            error = self.assertRaises(
                ExchangeError, client.exchange, 'GET', '/', step='call'
            )
            self.assertIs(True, error.was_sent)


class ResetConnection:
    """A connection that was reset after a part of an answer had arrived."""

    address = '127.0.0.1:1'
    relay = ''

    def __init__(self) -> None:
        """Have an answer without a length to read."""
        self._received = [b'HTTP/1.1 200 OK\r\n\r\npart']

    def send(self, _content: bytes) -> None:
        """Raise the error of the reset, which the system reports once."""
        raise ConnectionResetError

    def receive(self) -> bytes:
        """Return what had arrived, and then an orderly end."""
        return self._received.pop() if self._received else b''


class TestResetWhileSending(testtools.TestCase):
    """A part of an answer without a length looked like the whole answer."""

    def test_answer_that_came_before_the_request(self) -> None:
        """The sender of a short request got the error of the reset."""
        pool = ConnectionPool()
        exchange = BackendExchange(
            pool=pool,
            connection=cast(BackendConnection, ResetConnection()),
            request_id=b'',
            id_header=b'',
            step='call',
        )
        exchange.send(b'GET / HTTP/1.1\r\n\r\n', b'')
        self.assertEqual(200, exchange.read_head().status)
        self.assertRaises(ExchangeError, list, exchange.read_blocks())

    def test_answer_that_came_before_the_end_of_an_upload(self) -> None:
        """The sender of a long request got the error of the reset."""
        pool = ConnectionPool()
        connection = mock.Mock(wraps=ResetConnection())
        connection.address = ResetConnection.address
        connection.relay = ''
        exchange = BackendExchange(
            pool=pool,
            connection=cast(BackendConnection, connection),
            request_id=b'',
            id_header=b'',
            step='call',
        )
        exchange.send(b'POST / HTTP/1.1\r\n\r\n', bytes(1_000_000))
        exchange._sender.join()
        self.assertEqual(200, exchange.read_head().status)
        self.assertRaises(ExchangeError, list, exchange.read_blocks())
