"""Tests of forwarding to backend servers that fail in different ways."""

import dataclasses
import socket
from typing import Any

import gevent
import testtools
from gevent.server import StreamServer
from gevent.socket import socket as open_socket
from testtools.matchers import HasLength, LessThan

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.links.tcp_options import set_reset_on_close
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from bronzepost._internal.node.clock import read_clock
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    NAMES,
    Endless,
    ScriptedServer,
    TestGateway,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
    stay_silent,
)

LEAVING = b'Bronzepost-Server-Leaving: 1'
FULL = make_answer(
    b'',
    b'Bronzepost-Not-Run: 1',
    status=b'503 Full',
)
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNTIL_CLOSE = b'HTTP/1.1 200 OK\r\n\r\n'
# Above the limits of the gateway and what the sockets of a connection buffer.
MAX_ENDLESS_BYTES = 16_000_000
# Far below the timeout of the routes: such an answer is given up at once.
MAX_ENDLESS_SECONDS = 2.0
SILENT_SECONDS = 2.0
# More than the socket buffers of a connection hold.
LONG_BODY_BYTES = 3_000_000
PARTIAL_EVENT = b'id: 9\nda'


def make_chunk(block: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(block), block)


def make_event(number: int) -> bytes:
    return b'id: %d\ndata: e%d\n\n' % (number, number)


def send_stream(*numbers: int, is_complete: bool = True) -> Any:
    """Return a script that sends events and, if incomplete, breaks off."""

    def script(sock: Any, _request: HttpRequest) -> bool:
        blocks = [make_chunk(make_event(number)) for number in numbers]
        end = b'0\r\n\r\n' if is_complete else make_chunk(PARTIAL_EVENT)
        sock.sendall(CHUNKED + b''.join(blocks) + end)
        return is_complete

    return script


def send_unframed(*numbers: int, tail: bytes = b'') -> Any:
    """Return a script that ends a stream with its connection."""
    events = b''.join(make_event(number) for number in numbers)
    return answer_with(UNTIL_CLOSE + events + tail, stays_open=False)


def send_chunked_end(*numbers: int, tail: bytes) -> Any:
    """Return a script that ends the chunks after ``tail``."""
    blocks = b''.join(make_event(number) for number in numbers) + tail
    return answer_with(CHUNKED + make_chunk(blocks) + make_chunk(b''))


def listen_with_small_buffer(serve: Any) -> StreamServer:
    listener = open_socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    server = StreamServer(listener, serve)
    server.start()
    return server


class LateReader:
    """A server that reads a request only after a time."""

    def __init__(self, *, seconds: float, answer: bytes) -> None:
        """Listen with a small buffer, so that senders have to wait."""
        self.version = 'v1'
        self.connections = 0
        self._seconds = seconds
        self._answer = answer
        self._server = listen_with_small_buffer(self._serve)
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        self._server.stop()

    def _serve(self, sock: Any, _address: Any) -> None:
        self.connections += 1
        gevent.sleep(self._seconds)
        received = 0
        while received < LONG_BODY_BYTES:
            received += len(sock.recv(65536))
        sock.sendall(self._answer)
        sock.close()


def make_partial_answer() -> bytes:
    return b''.join((UNTIL_CLOSE, b'half'))


class ResetInBody:
    """A server that answers without a length and resets in a long body."""

    def __init__(self) -> None:
        """Listen with a small buffer, so that senders have to wait."""
        self.version = 'v1'
        self._server = listen_with_small_buffer(self._serve)
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        self._server.stop()

    def _serve(self, sock: Any, _address: Any) -> None:
        sock.recv(65536)
        sock.sendall(make_partial_answer())
        gevent.sleep(0.1)
        set_reset_on_close(sock, is_reset=True)
        sock.close()


class TestResets(testtools.TestCase):
    """A reset ends an answer without a length before its end."""

    def test_reset_that_the_sender_of_a_body_gets(self) -> None:
        """Guard against a broken answer that is passed on as a whole one."""
        backend = ResetInBody()
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        with open_gateway(route, backend) as gateway:  # type: ignore[arg-type]
            body = bytes(LONG_BODY_BYTES)
            caller = gateway.call(make_request(method=b'POST', body=body))
            head = caller.read_answer().head
            self.assertEqual(502, head and head.status)


class TestSilentServers(testtools.TestCase):
    """A sound server may do nothing for a second or so."""

    def test_server_that_reads_late_answers(self) -> None:
        """Guard against TCP_USER_TIMEOUT, which also ends a closed window."""
        backend = LateReader(
            seconds=SILENT_SECONDS, answer=make_answer(b'whole')
        )
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        with open_gateway(route, backend) as gateway:  # type: ignore[arg-type]
            body = bytes(LONG_BODY_BYTES)
            caller = gateway.call(make_request(method=b'POST', body=body))
            self.assertEqual(b'whole', caller.read_answer().pop_body())
        self.assertEqual(1, backend.connections)


class TestNonIdempotentRequests(testtools.TestCase):
    """A request is sent to another server only if it has not run."""

    def route(self, **changes: Any) -> Any:
        fields: dict[str, Any] = {'kind': RouteKind.NON_IDEMPOTENT}
        return make_route(**{**fields, **changes})

    def test_answer_is_forwarded(self) -> None:
        backend = ScriptedServer(
            script=answer_with(make_answer(b'hello', b'Server-Mark: x'))
        )
        with open_gateway(self.route(), backend) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(b'hello', answer.pop_body())
        self.assertEqual(b'x', find_header(answer.head.headers, b'server-mark'))

    def test_connection_is_reused(self) -> None:
        backend = ScriptedServer(script=answer_with(make_answer(b'a')))
        with open_gateway(self.route(), backend) as gateway:
            for _ in range(3):
                gateway.call(make_request()).read_answer()
        self.assertEqual(1, backend.connections)

    def test_refusal_without_an_id_promises_nothing(self) -> None:
        """A request that a server ran went to a second one as well."""
        surplus = make_answer(b'', b'Bronzepost-Not-Run: 1', status=b'503 Full')
        backends = [
            ScriptedServer(script=answer_with(surplus, has_id=False))
            for _ in range(2)
        ]
        with open_gateway(self.route(attempts=2), *backends) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        assert answer.head is not None
        self.assertEqual(502, answer.head.status)

    def test_request_that_a_full_server_did_not_run_is_retried(self) -> None:
        full = ScriptedServer(script=answer_with(FULL))
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route(), full, other) as gateway:
            answer = gateway.call(make_request()).read_answer()
        self.assertEqual(b'ok', answer.pop_body())

    def test_request_is_refused_if_all_servers_are_full(self) -> None:
        full = ScriptedServer(script=answer_with(FULL))
        with open_gateway(self.route(), full) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(503, answer.head.status)
        retry_after = find_header(answer.head.headers, b'retry-after')
        self.assertIs(True, float(retry_after or 0) > 0)

    def test_request_that_may_have_run_is_not_retried(self) -> None:
        """Guard against effects that happen twice, such as a payment."""
        broken = ScriptedServer(script=answer_with(b'', stays_open=False))
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route(attempts=2), broken, other) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        assert answer.head is not None
        self.assertEqual(502, answer.head.status)
        self.assertThat(other.requests, HasLength(0))

    def test_request_is_retried_if_a_server_refuses_the_connection(
        self,
    ) -> None:
        stopped = ScriptedServer(script=stay_silent)
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        stopped.close()
        with open_gateway(self.route(), stopped, other) as gateway:
            answer = gateway.call(make_request()).read_answer()
        self.assertEqual(b'ok', answer.pop_body())

    def test_misdirected_request_excludes_the_server(self) -> None:
        """Its address now belongs to a server of another service."""
        wrong = ScriptedServer(
            script=answer_with(make_answer(b'', status=b'421 No'))
        )
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route(), wrong, other) as gateway:
            for _ in range(3):
                gateway.call(make_request()).read_answer()
        self.assertThat(wrong.requests, HasLength(1))

    def test_request_to_a_silent_server_times_out(self) -> None:
        silent = ScriptedServer(script=stay_silent)
        route = self.route(timeout_seconds=0.2)
        with open_gateway(route, silent) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(504, answer.head.status)

    def test_reserved_headers_of_a_caller_are_dropped(self) -> None:
        backend = ScriptedServer(script=answer_with(make_answer(b'')))
        forged_headers = (
            b'Bronzepost-Hold: h',
            b'Bronzepost-Expected-Server: z',
        )
        with open_gateway(self.route(), backend) as gateway:
            gateway.call(make_request(*forged_headers)).read_answer()
        headers = backend.requests[0].headers
        self.assertIsNone(find_header(headers, b'bronzepost-hold'))
        self.assertEqual(b's-0', find_header(headers, NAMES.expected_server))

    def test_server_gets_the_remaining_time(self) -> None:
        backend = ScriptedServer(script=answer_with(make_answer(b'')))
        route = self.route(timeout_seconds=1.5)
        with open_gateway(route, backend) as gateway:
            gateway.call(make_request()).read_answer()
        remaining_ms = find_header(backend.requests[0].headers, NAMES.deadline)
        self.assertIs(True, int(remaining_ms or 0) in range(1000, 1501))

    def test_connection_is_not_reused_after_an_early_answer(self) -> None:
        """The rest of the body would be read as the next request."""
        backend = ScriptedServer(script=stay_silent)
        backend.answer_early(make_answer(b'early'))
        body = b'x' * 4_000_000
        with open_gateway(self.route(), backend) as gateway:
            request = make_request(method=b'POST', body=body)
            for _ in range(2):
                answer = gateway.call(request).read_answer()
                self.assertEqual(b'early', answer.pop_body())
        self.assertEqual(2, backend.connections)


class TestLeavingServers(testtools.TestCase):
    """A server whose answer says that it is leaving gets no new requests."""

    def setUp(self) -> None:
        super().setUp()
        self.leaving = ScriptedServer(
            script=answer_with(make_answer(b'a', LEAVING))
        )
        self.route = make_route(kind=RouteKind.NON_IDEMPOTENT)

    def call(self, gateway: TestGateway) -> int:
        answer = gateway.call(make_request(method=b'POST')).read_answer()
        assert answer.head is not None
        return answer.head.status

    def test_other_servers_are_used(self) -> None:
        """Guard against requests that arrive after the server has stopped."""
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route, self.leaving, other) as gateway:
            statuses = {self.call(gateway) for _ in range(5)}
        self.assertEqual({200}, statuses)
        self.assertThat(self.leaving.requests, HasLength(1))

    def test_answer_of_a_server_that_did_not_run_the_request(self) -> None:
        full = make_answer(
            b'',
            LEAVING,
            b'Bronzepost-Not-Run: 1',
            status=b'503 Full',
        )
        leaving = ScriptedServer(script=answer_with(full))
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route, leaving, other) as gateway:
            statuses = {self.call(gateway) for _ in range(5)}
        self.assertEqual({200}, statuses)
        self.assertThat(leaving.requests, HasLength(1))

    def test_entry_that_returns_does_not_bring_the_server_back(self) -> None:
        """Guard against a list that is older than the server's answer."""
        with open_gateway(self.route, self.leaving) as gateway:
            self.call(gateway)
            entries = list(gateway.directory.servers_by_id.values())
            gateway.directory.put_servers([])
            gateway.directory.put_servers(entries)
            self.assertEqual(503, self.call(gateway))
        self.assertThat(self.leaving.requests, HasLength(1))

    def test_server_that_starts_again_is_used(self) -> None:
        with open_gateway(self.route, self.leaving) as gateway:
            self.call(gateway)
            gateway.directory.put_servers([
                dataclasses.replace(server, born=server.born + 1)
                for server in gateway.directory.servers_by_id.values()
            ])
            self.assertEqual(200, self.call(gateway))

    def test_server_that_leaves_while_a_request_waits_for_its_turn(
        self,
    ) -> None:
        """Guard against a choice that is not checked again after a wait."""
        answering = answer_with(make_answer(b'ok'))
        servers = [ScriptedServer(script=answering) for _ in range(2)]
        left_ids: list[str] = []

        def wait(_permits: Any, server_id: str, _seconds: float) -> bool:
            if not left_ids:
                left_ids.append(server_id)
                gateway.directory.put_servers([
                    server
                    for server in gateway.directory.servers_by_id.values()
                    if server.server_id != server_id
                ])
            return True

        self.patch(ServerPermits, 'acquire', wait)
        with open_gateway(self.route, *servers) as gateway:
            self.assertEqual(200, self.call(gateway))
        left = servers[int(left_ids[0].removeprefix('s-'))]
        self.assertThat(left.requests, HasLength(0))

    def test_header_of_another_server_at_the_address(self) -> None:
        """Guard against giving up a server because of the one before it."""
        misdirected = make_answer(b'', LEAVING, status=b'421 No')
        wrong = ScriptedServer(script=answer_with(misdirected))
        with open_gateway(self.route, wrong) as gateway:
            self.call(gateway)
            server = gateway.directory.servers_by_id['s-0']
            moved = dataclasses.replace(server, slots=server.slots + 1)
            gateway.directory.put_servers([moved])
            self.call(gateway)
        self.assertThat(wrong.requests, HasLength(2))


class TestHedging(testtools.TestCase):
    """An idempotent request is sent to a second server after a delay."""

    def route(self, **changes: Any) -> Any:
        fields: dict[str, Any] = {
            'kind': RouteKind.IDEMPOTENT,
            'attempts': 2,
            'target_seconds': 0.1,
        }
        return make_route(**{**fields, **changes})

    def test_second_server_answers_if_the_first_is_silent(self) -> None:
        silent = ScriptedServer(script=stay_silent)
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route(), silent, other) as gateway:
            answer = gateway.call(make_request()).read_answer()
        self.assertEqual(b'ok', answer.pop_body())

    def test_route_with_one_attempt_is_not_hedged(self) -> None:
        silent = ScriptedServer(script=stay_silent)
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        route = self.route(attempts=1, timeout_seconds=0.4)
        with open_gateway(route, silent, other) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(504, answer.head.status)
        self.assertThat(other.requests, HasLength(0))

    def test_request_is_retried_after_a_broken_answer(self) -> None:
        broken = ScriptedServer(
            script=answer_with(make_answer(b'half')[:-2], stays_open=False)
        )
        other = ScriptedServer(script=answer_with(make_answer(b'ok')))
        with open_gateway(self.route(), broken, other) as gateway:
            answer = gateway.call(make_request()).read_answer()
        self.assertEqual(b'ok', answer.pop_body())

    def test_hedges_are_limited(self) -> None:
        """An overloaded service must not get every request twice."""
        silent_servers = [ScriptedServer(script=stay_silent) for _ in range(2)]
        route = self.route(timeout_seconds=0.3)
        with open_gateway(route, *silent_servers) as gateway:
            callers = [gateway.call(make_request()) for _ in range(20)]
            for caller in callers:
                caller.read_answer()
        forwarded_count = sum(
            len(backend.requests) for backend in silent_servers
        )
        self.assertThat(forwarded_count, LessThan(28))


class TestStreams(testtools.TestCase):
    """Callers get each event once, and can tell if a stream is complete."""

    def test_stream_is_continued_by_another_server(self) -> None:
        broken = ScriptedServer(script=send_stream(1, 2, is_complete=False))
        other = ScriptedServer(script=send_stream(3, 4))
        route = make_route(is_resumable=True, attempts=2)
        with open_gateway(route, broken, other) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        events = b''.join(make_event(number) for number in (1, 2, 3, 4))
        self.assertEqual(events, answer.pop_body())
        self.assertEqual(
            b'2', find_header(other.requests[0].headers, b'last-event-id')
        )

    def test_stream_does_not_go_on_at_another_version(self) -> None:
        """Guard against one answer with events of two software versions."""
        broken = ScriptedServer(script=send_stream(1, 2, is_complete=False))
        newer = ScriptedServer(script=send_stream(3, 4), version='v2')
        route = make_route(is_resumable=True, attempts=3)
        with open_gateway(route, broken, newer) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        self.assertEqual(make_event(1) + make_event(2), answer.pop_body())
        self.assertIs(False, answer.is_complete)
        self.assertThat(newer.requests, HasLength(0))

    def test_suspect_stream_does_not_go_on_at_another_version(self) -> None:
        """Guard against the server of suspects, whichever version it has."""
        broken = [
            ScriptedServer(script=send_stream(1, is_complete=False)),
            ScriptedServer(script=send_stream(2, is_complete=False)),
        ]
        newer = [
            ScriptedServer(script=send_stream(3), version='v2')
            for _ in range(6)
        ]
        route = make_route(is_resumable=True, attempts=4)
        with open_gateway(route, *broken, *newer) as gateway:
            for _ in range(4):
                gateway.call(make_request(method=b'POST')).read_answer()
        begun = [len(server.requests) for server in broken]
        self.assertTrue(sum(begun) > 1)
        for server in newer:
            for request in server.requests:
                self.assertIsNone(
                    find_header(request.headers, b'last-event-id')
                )

    def test_stream_goes_on_at_its_version(self) -> None:
        broken = ScriptedServer(script=send_stream(1, 2, is_complete=False))
        newer = ScriptedServer(script=send_stream(3, 4), version='v2')
        same = ScriptedServer(script=send_stream(3, 4))
        route = make_route(is_resumable=True, attempts=3)
        with open_gateway(route, broken, newer, same) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        self.assertIs(True, answer.is_complete)
        self.assertThat(newer.requests, HasLength(0))
        self.assertThat(same.requests, HasLength(1))

    def test_stream_without_events_may_begin_at_another_version(self) -> None:
        """Guard against a version that binds before any event was sent."""
        broken = ScriptedServer(script=send_stream(is_complete=False))
        newer = ScriptedServer(script=send_stream(1, 2), version='v2')
        route = make_route(is_resumable=True, attempts=2)
        with open_gateway(route, broken, newer) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        self.assertIs(True, answer.is_complete)

    def test_broken_stream_does_not_look_complete(self) -> None:
        broken = ScriptedServer(script=send_stream(1, 2, is_complete=False))
        with open_gateway(make_route(), broken) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        self.assertIs(False, answer.is_complete)

    def test_stream_that_ends_with_its_connection_is_complete(self) -> None:
        backend = ScriptedServer(script=send_unframed(1, 2))
        with open_gateway(make_route(), backend) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        self.assertEqual(make_event(1) + make_event(2), answer.pop_body())
        self.assertIs(True, answer.is_complete)

    def test_stream_that_ends_inside_an_event_does_not_look_complete(
        self,
    ) -> None:
        """Guard against a server's crash that reads as the end of its answer."""
        for script in (
            send_unframed(1, 2, tail=PARTIAL_EVENT),
            send_chunked_end(1, 2, tail=PARTIAL_EVENT),
        ):
            broken = ScriptedServer(script=script)
            with open_gateway(make_route(), broken) as gateway:
                caller = gateway.call(make_request(method=b'POST'))
                answer = caller.read_answer()
            self.assertIs(False, answer.is_complete)
            self.assertEqual(make_event(1) + make_event(2), answer.pop_body())

    def test_stream_that_ends_inside_an_event_is_continued(self) -> None:
        """Guard against a resumable stream that is given up half-way."""
        broken = ScriptedServer(script=send_unframed(1, 2, tail=PARTIAL_EVENT))
        other = ScriptedServer(script=send_unframed(3, 4))
        route = make_route(is_resumable=True, attempts=2)
        with open_gateway(route, broken, other) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        events = b''.join(make_event(number) for number in (1, 2, 3, 4))
        self.assertEqual(events, answer.pop_body())
        self.assertIs(True, answer.is_complete)

    def test_error_of_the_second_server_is_not_written_into_the_stream(
        self,
    ) -> None:
        """Guard against a status line among the events of a stream."""
        broken = ScriptedServer(script=send_stream(1, 2, is_complete=False))
        failing = ScriptedServer(
            script=answer_with(make_answer(b'oops', status=b'500 Oops'))
        )
        route = make_route(is_resumable=True, attempts=2)
        with open_gateway(route, broken, failing) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        self.assertEqual(make_event(1) + make_event(2), answer.pop_body())
        self.assertIs(False, answer.is_complete)

    def test_error_answer_of_a_server_is_forwarded(self) -> None:
        failing = ScriptedServer(
            script=answer_with(make_answer(b'oops', status=b'500 Oops'))
        )
        with open_gateway(make_route(), failing) as gateway:
            answer = gateway.call(make_request(method=b'POST')).read_answer()
        assert answer.head is not None
        self.assertEqual(500, answer.head.status)
        self.assertEqual(b'oops', answer.pop_body())


class TestBytesWithoutEnd(testtools.TestCase):
    """A server that sends without end uses bounded memory and time."""

    def call(self, endless: Endless, **route_changes: Any) -> AnswerReader:
        backend = ScriptedServer(script=endless.send)
        route = make_route(timeout_seconds=5.0, **route_changes)
        with open_gateway(route, backend) as gateway:
            started_at = read_clock()
            caller = gateway.call(make_request(method=b'POST'))
            answer = caller.read_answer()
            seconds = read_clock() - started_at
        self.assertThat(seconds, LessThan(MAX_ENDLESS_SECONDS))
        self.assertThat(endless.sent_bytes, LessThan(MAX_ENDLESS_BYTES))
        return answer

    def test_head_without_end(self) -> None:
        """Guard against a header that grows until the process is killed."""
        for start in (
            b'HTTP/1.1 200 OK\r\nNoise: ',
            b'%b1;n=' % CHUNKED,
            b'%b0\r\nNoise: ' % CHUNKED,
        ):
            endless = Endless(start=start, block=b'x' * 4096)
            answer = self.call(endless)
            assert answer.head is not None
            self.assertEqual(502, answer.head.status)

    def test_late_answers_without_end(self) -> None:
        """Guard against answers to other requests that never stop."""
        late = make_answer(b'late', b'Bronzepost-Request: q-0')
        endless = Endless(start=b'', block=late * 64)
        answer = self.call(endless, kind=RouteKind.NON_IDEMPOTENT)
        assert answer.head is not None
        self.assertEqual(502, answer.head.status)

    def test_event_without_end(self) -> None:
        endless = Endless(
            start=b'%b%bdata: ' % (UNTIL_CLOSE, make_event(1)),
            block=b'x' * 4096,
        )
        answer = self.call(endless)
        self.assertIs(False, answer.is_complete)
        self.assertEqual(make_event(1), answer.pop_body())

    def test_idempotent_body_without_end_is_not_collected(self) -> None:
        """Guard against a body that is buffered whole before it is sent."""
        endless = Endless(start=UNTIL_CLOSE, block=b'x' * 4096)
        backend = ScriptedServer(script=endless.send)
        route = make_route(kind=RouteKind.IDEMPOTENT, timeout_seconds=1.0)
        with open_gateway(route, backend) as gateway:
            caller = gateway.call(make_request())
            gevent.sleep(0.5)
            # The caller does not read, so the server cannot send on.
            sent_bytes = endless.sent_bytes
            gevent.sleep(0.2)
            self.assertEqual(sent_bytes, endless.sent_bytes)
            answer = caller.read_answer()
        self.assertIs(False, answer.is_complete)

    def test_large_idempotent_answer_is_passed_on(self) -> None:
        body = b'x' * 1_000_000
        backend = ScriptedServer(script=answer_with(make_answer(body)))
        with open_gateway(
            make_route(kind=RouteKind.IDEMPOTENT), backend
        ) as gateway:
            answer = gateway.call(make_request()).read_answer()
        self.assertEqual(body, answer.pop_body())
        self.assertIs(True, answer.is_complete)


class TestCallers(testtools.TestCase):
    """Connections of callers, closed by them or by a gateway that stops."""

    def test_connection_to_the_server_ends_with_that_of_the_caller(
        self,
    ) -> None:
        """The server would finish an answer that nobody reads."""
        ended: list[bool] = []

        def wait_for_close(sock: Any, _request: HttpRequest) -> bool:
            ended.append(not sock.recv(1))
            return False

        backend = ScriptedServer(script=wait_for_close)
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            gevent.sleep(0.1)
            caller.sock.close()
            gevent.sleep(0.3)
        self.assertEqual([True], ended)

    def test_draining_gateway_closes_connections_after_an_answer(self) -> None:
        backend = ScriptedServer(script=answer_with(make_answer(make_event(1))))
        with open_gateway(make_route(), backend) as gateway:
            gateway.server.drain()
            caller = gateway.call(make_request(method=b'POST'))
            answer = caller.read_answer()
            self.assertEqual(b'', caller.sock.recv(1))
        assert answer.head is not None
        self.assertEqual(make_event(1), answer.pop_body())
        self.assertIs(False, answer.head.keep_alive)

    def test_request_that_arrived_before_the_stop_is_answered(self) -> None:
        """Guard against forwarding it after its connection was closed."""
        backend = ScriptedServer(script=answer_with(make_answer(make_event(1))))
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            caller.read_answer()
            caller.sock.sendall(make_request(method=b'POST'))
            # The request is in the socket and has not been read yet.
            gateway.server.stop()
            answer = caller.read_answer()
        forwarded_count = len(backend.requests)
        answered_count = 1 + answer.is_complete
        self.assertEqual(answered_count, forwarded_count)

    def test_connection_with_an_unread_request_counts_as_open(self) -> None:
        """Guard against a process that exits while it forwards the request."""
        backend = ScriptedServer(script=answer_with(make_answer(make_event(1))))
        with open_gateway(make_route(), backend) as gateway:
            caller = gateway.call(make_request(method=b'POST'))
            caller.read_answer()
            gateway.server.drain()
            caller.sock.sendall(make_request(method=b'POST'))
            gateway.server.stop()
            open_at_stop = gateway.server.count_open()
            answer = caller.read_answer()
            gevent.sleep(0.01)
            open_after = gateway.server.count_open()
        self.assertIs(True, answer.is_complete)
        self.assertEqual((1, 0), (open_at_stop, open_after))

    def test_incomplete_request_is_refused_after_a_timeout(self) -> None:
        with open_gateway(make_route()) as gateway:
            answer = gateway.call(b'GET / HT').read_answer()
        assert answer.head is not None
        self.assertEqual(400, answer.head.status)

    def test_unknown_path_is_not_found(self) -> None:
        with open_gateway(make_route(path_prefix='/other/')) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(404, answer.head.status)

    def test_vm_without_configuration_does_not_answer_not_found(self) -> None:
        """A program would give up after a 404, although its route exists."""
        with open_gateway(make_route()) as gateway:
            gateway.directory.configuration = None
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        self.assertEqual(503, answer.head.status)
