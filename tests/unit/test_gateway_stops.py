"""Tests of requests that a stopping gateway has, or gets on open connections."""

import contextlib
from typing import Any

import gevent
import testtools

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.node.paced_reader import LoopTurns, PacedReader
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    READ_BYTES,
    CallerSocket,
    ScriptedServer,
    TestGateway,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
    stay_silent,
)

EVENT = b'id: 1\ndata: a\n\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# The head of a stream is sent at once, its end later.
STREAM_SECONDS = 0.2
# Below the time after which an idle connection is closed in any case.
CLOSE_SECONDS = 0.5


def stream_slowly(sock: Any, _request: HttpRequest) -> bool:
    """Script of a server that ends its stream after a time."""
    sock.sendall(b'%b%x\r\n%b\r\n' % (CHUNKED, len(EVENT), EVENT))
    gevent.sleep(STREAM_SECONDS)
    sock.sendall(b'0\r\n\r\n')
    return True


def stop_in_stream(gateway: TestGateway) -> CallerSocket:
    """Stop a gateway that sends a stream; return the caller of the stream."""
    caller = gateway.call(make_request(method=b'POST'))
    gevent.sleep(STREAM_SECONDS / 2)
    gateway.server.drain()
    gateway.server.stop()
    return caller


class TestStops(testtools.TestCase):
    """A gateway has been told to stop and accepts no more connections."""

    def test_connection_is_closed_after_an_answer_that_began_before(
        self,
    ) -> None:
        """Guard against requests that are taken when the process ends."""
        backend = ScriptedServer(script=stream_slowly)
        with open_gateway(make_route(), backend) as gateway:
            caller = stop_in_stream(gateway)
            answer = caller.read_answer()
            self.assertIs(True, answer.is_complete)
            caller.sock.settimeout(CLOSE_SECONDS)
            self.assertEqual(b'', caller.sock.recv(1))
            self.assertEqual(0, gateway.server.count_open())

    def test_request_behind_such_an_answer_is_refused(self) -> None:
        """Guard against a reset that takes the end of the answer with it."""
        backend = ScriptedServer(script=stream_slowly)
        with open_gateway(make_route(), backend) as gateway:
            caller = stop_in_stream(gateway)
            caller.sock.sendall(make_request(method=b'POST'))
            received = b''.join(iter(lambda: caller.sock.recv(READ_BYTES), b''))
        first, _, second = received.partition(b'0\r\n\r\n')
        self.assertEqual((True, True), (EVENT in first, b' 503 ' in second))
        self.assertEqual(1, len(backend.requests))

    def test_connection_stays_open_while_callers_may_still_come(self) -> None:
        """Guard against connections that are closed before the stop."""
        backend = ScriptedServer(script=stream_slowly)
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            gevent.sleep(STREAM_SECONDS / 2)
            gateway.server.drain()
            caller.read_answer()
            caller.sock.sendall(make_request(method=b'POST'))
            answer = caller.read_answer()
        assert answer.head is not None
        self.assertIs(True, answer.is_complete)
        self.assertIs(False, answer.head.keep_alive)

    def test_request_that_is_running_at_the_end_is_answered(self) -> None:
        """Guard against a connection that ends without an answer."""
        for kind in RouteKind:
            backend = ScriptedServer(script=stay_silent)
            with open_gateway(make_route(kind=kind), backend) as gateway:
                caller = gateway.call(make_request())
                gevent.sleep(0.1)
                gateway.server.drain()
                gateway.server.give_up()
                answer = caller.read_answer()
            assert answer.head is not None
            self.assertIs(True, answer.is_complete)
            # The server may have run the request.
            self.assertEqual((kind, 502), (kind, answer.head.status))

    def test_answer_that_has_begun_does_not_look_complete_at_the_end(
        self,
    ) -> None:
        """Guard against the text of a refusal within a stream."""

        def begin(sock: Any, request: HttpRequest) -> bool:
            sock.sendall(b'%b%x\r\n%b\r\n' % (CHUNKED, len(EVENT), EVENT))
            return stay_silent(sock, request)

        backend = ScriptedServer(script=begin)
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            gevent.sleep(0.1)
            gateway.server.give_up()
            answer = caller.read_answer()
        self.assertEqual(EVENT, answer.pop_body())
        self.assertIs(False, answer.is_complete)

    def test_idle_connection_that_was_accepted_at_the_stop_is_closed(
        self,
    ) -> None:
        """Guard against a connection that stays open until the process ends."""
        with open_gateway(make_route()) as gateway:
            gateway.server.is_stopped = True
            caller = gateway.call(b'')
            caller.sock.settimeout(CLOSE_SECONDS)
            self.assertEqual(b'', caller.sock.recv(1))

    def test_request_that_comes_after_the_end_is_refused(self) -> None:
        """Guard against a request that is sent when the process exits."""
        backend = ScriptedServer(script=answer_with(make_answer(EVENT)))
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            caller.read_answer()
            gateway.server.give_up()
            caller.sock.sendall(make_request(method=b'POST'))
            answer = caller.read_answer()
        assert answer.head is not None
        self.assertEqual(503, answer.head.status)
        self.assertEqual(1, len(backend.requests))

    def test_idle_connection_is_left_alone_at_the_end(self) -> None:
        """Guard against an answer without a request."""
        backend = ScriptedServer(script=answer_with(make_answer(EVENT)))
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            caller.read_answer()
            gateway.server.give_up()
            caller.sock.settimeout(0.1)
            with contextlib.suppress(TimeoutError):
                self.assertEqual(b'', caller.sock.recv(1))


class TestTurnAtTheStop(testtools.TestCase):
    """A request was received, and waits for its turn to be parsed."""

    def test_request_that_waits_for_its_turn_is_answered(self) -> None:
        """Guard against a close, as neither socket nor parser has the bytes."""
        self.patch(PacedReader, '_must_wait', lambda *_: True)
        self.patch(LoopTurns, 'wait', lambda _: gevent.sleep(STREAM_SECONDS))
        backend = ScriptedServer(script=stream_slowly)
        with open_gateway(make_route(), backend) as gateway:
            caller = stop_in_stream(gateway)
            answer = caller.read_answer()
        self.assertEqual((True, 1), (answer.is_complete, len(backend.requests)))
