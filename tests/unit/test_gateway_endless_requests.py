"""Requests that go on without end, and large ones that do end."""

import contextlib
import tracemalloc
from typing import Any
from unittest import mock

import gevent
import testtools

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.caller_connections import (
    CONNECTION_BYTES,
)
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.callers.request_reader import (
    RequestReader,
)
from bronzepost._internal.node.clock import read_clock
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    LIMITS,
    ScriptedServer,
    TestGateway,
    make_answer,
    make_request,
    open_gateway,
)

HEADER_BYTES = 16384
BODY_BYTES = 4_194_304
BLOCK_BYTES = 65536
CHUNKED = (
    b'POST /chat/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
RECEIVER = 'bronzepost._internal.gateway.callers.request_receiver'
# A deadline is met within this time.
LATE_SECONDS = 0.5
PAUSE_SECONDS = 0.05
# What one caller of a hundred may take of the smallest VM's 160 MB beside the
# 64 MB of the process.
CALLER_BYTES = 960_000


def make_reader() -> RequestReader:
    """Return a reader with the limits of a gateway without a configuration."""
    return RequestReader(header_bytes=HEADER_BYTES, body_bytes=BODY_BYTES)


def encode_chunks(body: bytes, size: int) -> bytes:
    """Return a body in chunks of a size."""
    blocks = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = [b'%x\r\n%b\r\n' % (len(block), block) for block in blocks]
    return b''.join((*chunks, b'0\r\n\r\n'))


class TestBounds(testtools.TestCase):
    """What a reader keeps is bounded by the limits, whatever is sent."""

    def feed_until_refused(self, start: bytes, block: bytes) -> int:
        """Return the status of the refusal after at most 1 MB, or 400."""
        reader = make_reader()
        reader.feed(start)
        for _ in range(BODY_BYTES // 4 // len(block)):
            try:
                reader.feed(block)
            except ProtocolError as error:
                return int(getattr(error, 'status', 400))
        return 0

    def test_heads_without_end_are_refused(self) -> None:
        """Guards against a part of a head that is kept until it is complete."""
        line = b'GET / HTTP/1.1\r\n'
        for start, block in (
            (b'GET /', b't'),
            (line, b'n'),
            (b'%bX: ' % line, b'v'),
            (b'%bX:' % line, b' '),
            (b'', b'\r\n'),
        ):
            for size in (1024, BLOCK_BYTES):
                blocks = block * (size // len(block))
                self.assertEqual(431, self.feed_until_refused(start, blocks))

    def test_many_headers_are_refused(self) -> None:
        """Guards against headers that take thirty times their bytes."""
        line = b'GET / HTTP/1.1\r\n'
        headers = b'%b\r\n' % (b'a:\r\n' * 300)
        for start in (line, b'%b0\r\n' % CHUNKED):
            self.assertEqual(431, self.feed_until_refused(start, headers))

    def test_framing_without_end_is_refused(self) -> None:
        """Guards against bytes between blocks of a body that have no bound."""
        for start, block in (
            (b'', b'1\r\na\r\n' * 1000),
            (b'', b'1;%b\r\na\r\n' % (b'e' * 8000)),
            (b'1;', b'e' * 8000),
            (b'0\r\nT: ', b'v' * 8000),
        ):
            status = self.feed_until_refused(CHUNKED + start, block)
            self.assertGreaterEqual(status, 400)

    def test_a_body_in_small_chunks_takes_little_more_than_its_bytes(
        self,
    ) -> None:
        """Guards against an object for each byte of a body."""
        reader = make_reader()
        body_bytes = 200_000
        content = CHUNKED + encode_chunks(b'x' * body_bytes, 8)[:-5]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for start in range(0, len(content), BLOCK_BYTES):
            reader.feed(content[start : start + BLOCK_BYTES])
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertEqual(body_bytes, reader.body_bytes)
        self.assertLess(held_bytes, 2 * body_bytes)

    def test_pipelined_requests_are_parsed_when_they_are_needed(self) -> None:
        """Guards against objects of requests that wait for their turn."""
        reader = make_reader()
        request = b'GET / HTTP/1.1\r\n%b\r\n' % (b'a:\r\n' * 200)
        content = request * (BLOCK_BYTES // len(request))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        reader.feed(content)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, CALLER_BYTES)
        count = 0
        while reader.requests:
            count += len(reader.requests)
            reader.requests.clear()
            reader.feed(b'')
        self.assertEqual(BLOCK_BYTES // len(request), count)
        self.assertIs(True, reader.is_between_requests)


class TestHonestRequests(testtools.TestCase):
    """Requests within the limits are read in blocks of any size."""

    def read(self, content: bytes, size: int) -> Any:
        """Return the only request of ``content``, fed in blocks of a size."""
        reader = make_reader()
        for start in range(0, len(content), size):
            reader.feed(content[start : start + size])
        self.assertEqual(1, len(reader.requests))
        return reader.requests[0]

    def test_head_just_under_the_limit(self) -> None:
        """Guards against line ends that count against an honest head."""
        pad = b'x' * (HEADER_BYTES // 100 - 12)
        headers = b''.join(
            b'H%02d: %b\r\n' % (number, pad) for number in range(100)
        )
        content = b'GET /abc HTTP/1.1\r\n%b\r\n' % headers
        for size in (1, 100, BLOCK_BYTES):
            request = self.read(content, size)
            self.assertEqual(b'/abc', request.target)
            self.assertEqual(100, len(request.headers))
            self.assertEqual((b'H99', pad), request.headers[-1])

    def test_largest_body(self) -> None:
        """Guards against bounds on framing that refuse honest bodies."""
        body = bytes(range(256)) * (BODY_BYTES // 256)
        for size in (16384, 4096, 100):
            content = CHUNKED + encode_chunks(body, size)
            self.assertEqual(body, self.read(content, BLOCK_BYTES).body)
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % BODY_BYTES
        self.assertEqual(body, self.read(head + body, BLOCK_BYTES).body)

    def test_text_in_chunks_of_one_token(self) -> None:
        """Guards against bounds on framing that refuse typed text."""
        text = b'and so ' * 8000
        for size in (4, 5, 7):
            content = CHUNKED + encode_chunks(text, size)
            self.assertEqual(text, self.read(content, 11).body)


class TestConnections(testtools.TestCase):
    """Connections of a gateway on the loopback."""

    def open(self) -> TestGateway:
        """Return a gateway with a server that answers the size of a body."""
        backend = ScriptedServer(script=_answer_size)
        route = make_route(kind=RouteKind.IDEMPOTENT)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        return stack.enter_context(open_gateway(route, backend))

    def measure_end(self, sock: Any, content: bytes, pause: float) -> float:
        """Return after which time a connection is closed that sends bytes."""
        started_at = read_clock()
        sender = gevent.spawn(_send_slowly, sock, content, pause)
        received = b'more'
        # What is sent after the close resets the connection.
        with contextlib.suppress(ConnectionResetError):
            while received:
                received = sock.recv(BLOCK_BYTES)
        sender.kill()
        return read_clock() - started_at

    def test_slow_head_ends_in_time(self) -> None:
        """Guards against a time for each read instead of the whole head."""
        caller = self.open().call(b'')
        content = b'GET / HTTP/1.1\r\nX: %b' % (b'v' * 1000)
        seconds = self.measure_end(caller.sock, content, PAUSE_SECONDS)
        self.assertLess(seconds, LIMITS.header_seconds + LATE_SECONDS)
        self.assertGreater(seconds, LIMITS.header_seconds / 2)

    def test_blank_lines_end_in_time(self) -> None:
        """Guards against blank lines that keep an idle connection open."""
        caller = self.open().call(b'')
        seconds = self.measure_end(caller.sock, b'\r\n' * 500, PAUSE_SECONDS)
        self.assertLess(seconds, LIMITS.idle_seconds + LATE_SECONDS)

    def test_body_of_a_byte_at_a_time_ends(self) -> None:
        """Guards against a caller that holds a connection for ever."""
        caller = self.open().call(b'')
        content = make_request(method=b'POST', body=b'x' * 1000)
        caller.sock.sendall(content[:-1000])
        with mock.patch(f'{RECEIVER}.BODY_GRACE_SECONDS', 1.0):
            seconds = self.measure_end(caller.sock, content[-1000:], 0.25)
        # Each byte allows for an eighth of a second and takes a quarter.
        self.assertLess(seconds, 2 + LATE_SECONDS)

    def test_slow_upload_is_answered(self) -> None:
        """Guards against a bound on time that ends an honest upload."""
        caller = self.open().call(b'')
        content = make_request(method=b'POST', body=b'x' * 20)
        caller.sock.sendall(content[:-20])
        gevent.spawn(_send_slowly, caller.sock, content[-20:], 0.2)
        self.assertEqual(b'20', caller.read_answer().pop_body())

    def test_what_a_caller_sends_is_counted(self) -> None:
        """Guards against a head and pipelined requests outside the account."""
        gateway = self.open()
        memory = gateway.directory.memory
        caller = gateway.call(b'GET / HTTP/1.1\r\nX: %b' % (b'v' * 10_000))
        gevent.sleep(LIMITS.header_seconds / 3)
        counted = memory.bytes_by_kind[HeldKind.CONNECTIONS]
        self.assertGreaterEqual(counted, CONNECTION_BYTES + 10_000)
        caller.sock.close()
        gevent.sleep(LIMITS.header_seconds / 3)
        self.assertEqual(0, memory.held_bytes)

    def test_a_refused_body_is_not_kept(self) -> None:
        """Guards against bytes that are held until the connection closes."""
        gateway = self.open()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        caller = gateway.call(b'')
        limit = gateway.directory.read_limits().body_bytes
        block = encode_chunks(b'x' * 16384, 16384)[:-5]
        caller.sock.sendall(CHUNKED)
        for _ in range(limit // 16384 + 1):
            caller.sock.sendall(block)
        answer = caller.read_answer()
        self.assertEqual(413, answer.head.status if answer.head else 0)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, CALLER_BYTES)

    def test_requests_in_one_segment_are_all_answered(self) -> None:
        """Guards against parsed or unparsed requests that are lost."""
        caller = self.open().call(make_request() * 40)
        block = caller.sock.recv(BLOCK_BYTES)
        received = block
        while block and received.count(b'HTTP/1.1 200') < 40:
            block = caller.sock.recv(BLOCK_BYTES)
            received += block
        self.assertEqual(40, received.count(b'HTTP/1.1 200'))


def _answer_size(sock: Any, request: HttpRequest) -> bool:
    sock.sendall(make_answer(b'%d' % len(request.body)))
    return True


def _send_slowly(sock: Any, content: bytes, pause: float) -> None:
    for byte in content:
        gevent.sleep(pause)
        try:
            sock.sendall(bytes((byte,)))
        except OSError:
            return
