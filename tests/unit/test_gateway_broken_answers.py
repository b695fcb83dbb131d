"""Tests of answers that break off in their head or after a stream has begun."""

from typing import Any

import testtools

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    ScriptedServer,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)

HEAD = (
    b'HTTP/1.1 200 OK\r\nBronzepost-Request: q-1\r\n'
    b'Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n'
)
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nBronzepost-Request: q-1\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
PARTIAL_EVENT = b'id: 3\nda'
ERROR_BODY = b'{"error":"oops"}'


def break_after(content: bytes) -> Any:
    """Return a script that sends bytes and closes the connection."""

    def script(sock: Any, _request: HttpRequest) -> bool:
        sock.sendall(content)
        return False

    return script


def begin_stream(sock: Any, _request: HttpRequest) -> bool:
    """Script of a server that breaks off inside the third event."""
    size = len(EVENTS) + len(PARTIAL_EVENT)
    sock.sendall(b'%b%x\r\n%b%b\r\n' % (CHUNKED, size, EVENTS, PARTIAL_EVENT))
    return False


def make_error_answers() -> dict[str, bytes]:
    """Return answers that are no continuation of a stream, by what they are."""
    chunked_error = (
        b'HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'%x\r\n%b\r\n0\r\n\r\n' % (len(ERROR_BODY), ERROR_BODY)
    )
    answers = {
        status.decode(): make_answer(ERROR_BODY, status=status)
        for status in (
            b'400 Bad',
            b'404 None',
            b'408 Late',
            b'421 Other',
            b'429 Many',
            b'500 Oops',
            b'503 Full',
            b'302 Moved',
            b'206 Part',
        )
    }
    return {
        **answers,
        '204': b'HTTP/1.1 204 None\r\n\r\n',
        'chunked': chunked_error,
        'unframed': b'HTTP/1.1 500 Oops\r\n\r\n%b' % ERROR_BODY,
        'not run': make_answer(
            ERROR_BODY, b'Bronzepost-Not-Run: 1', status=b'503 Full'
        ),
        'interim': b'HTTP/1.1 100 Continue\r\n\r\n%b'
        % make_answer(ERROR_BODY, status=b'500 Oops'),
        'no HTTP': b'oops\r\n\r\n',
        'cut head': b'HTTP/1.1 500 Oops\r\nContent-Le',
    }


class TestCutHeads(testtools.TestCase):
    """A server stops in the middle of the head of its answer and closes."""

    def check(self, kind: RouteKind, head: bytes) -> None:
        """Send a request for each place at which the head may be cut."""
        for size, _ in enumerate(head):
            backend = ScriptedServer(script=break_after(head[:size]))
            with open_gateway(make_route(kind=kind), backend) as gateway:
                answer = gateway.call(make_request()).read_answer()
            backend.close()
            assert answer.head is not None
            self.assertEqual((size, 502), (size, answer.head.status))
            self.assertIs(True, answer.is_complete)

    def test_stream_whose_head_is_cut(self) -> None:
        """Guard against a 200 with an empty stream that looks complete."""
        self.check(RouteKind.STREAM, HEAD)
        self.check(RouteKind.STREAM, UNFRAMED_HEAD)

    def test_request_whose_head_is_cut(self) -> None:
        """Guard against a 200 with an empty body."""
        self.check(RouteKind.NON_IDEMPOTENT, HEAD)
        self.check(RouteKind.NON_IDEMPOTENT, UNFRAMED_HEAD)

    def test_idempotent_request_whose_head_is_cut(self) -> None:
        """Guard against a 200 with an empty body, without a second attempt."""
        self.check(RouteKind.IDEMPOTENT, HEAD)
        self.check(RouteKind.IDEMPOTENT, UNFRAMED_HEAD)


class TestErrorsAfterTheBegin(testtools.TestCase):
    """A stream breaks off, and the next server answers with an error."""

    def test_error_is_not_written_into_the_stream(self) -> None:
        """Guard against the text of an error among the events."""
        for name, content in make_error_answers().items():
            broken = ScriptedServer(script=begin_stream)
            failing = ScriptedServer(
                script=answer_with(content, stays_open=False)
            )
            route = make_route(is_resumable=True, attempts=2)
            with open_gateway(route, broken, failing) as gateway:
                caller = gateway.call(make_request(method=b'POST'))
                answer = caller.read_answer()
            found = (answer.pop_body(), answer.is_complete)
            self.assertEqual((name, EVENTS, False), (name, *found))

    def test_stream_goes_on_after_the_error(self) -> None:
        """Guard against a stream that ends though an attempt is left."""
        for name, content in make_error_answers().items():
            servers = (
                ScriptedServer(script=begin_stream),
                ScriptedServer(script=answer_with(content, stays_open=False)),
                ScriptedServer(
                    script=answer_with(make_answer(b'id: 3\ndata: c\n\n'))
                ),
            )
            route = make_route(is_resumable=True, attempts=4)
            with open_gateway(route, *servers) as gateway:
                caller = gateway.call(make_request(method=b'POST'))
                answer = caller.read_answer()
            whole = b'%bid: 3\ndata: c\n\n' % EVENTS
            found = (answer.pop_body(), answer.is_complete)
            self.assertEqual((name, whole, True), (name, *found))
