"""Tests of a stop while callers have not read their answers."""

from socket import SO_RCVBUF, SOL_SOCKET
from typing import Final

import gevent
import testtools
from gevent.socket import socket as open_socket

from bronzepost._internal.core.gateway.entities import CallerLimits
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.gateway.callers.answer_reader import AnswerReader
from bronzepost._internal.gateway.callers.caller_answer import CallerAnswer
from bronzepost._internal.gateway.callers.caller_server import CallerServer
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
    HttpRequest,
)
from bronzepost._internal.gateway.callers.orderly_close import LINGER_SECONDS
from tests.builders_gateway_servers import (
    CALLER_TIMEOUT_SECONDS,
    READ_BYTES,
    find_port,
    make_request,
)

IDLE_SECONDS: Final = 30.0
# The socket of the server takes the small answer at once, and not the large one.
SMALL_BYTES: Final = 200_000
LARGE_BYTES: Final = 12_000_000
RECEIVE_BUFFER_BYTES: Final = 4096
SETTLE_SECONDS: Final = 0.3


class TestUnreadAnswers(testtools.TestCase):
    """A caller reads its answer after the server was told to stop."""

    def setUp(self) -> None:
        """Send a request whose answer is not read."""
        super().setUp()
        self.answer_bytes = SMALL_BYTES
        self.memory = HeldMemory()
        port = find_port()
        self.server = CallerServer(
            address=f'127.0.0.1:{port}',
            answer=self.answer,
            read_limits=lambda: CallerLimits(idle_seconds=IDLE_SECONDS),
            memory=self.memory,
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.sock = open_socket()
        self.addCleanup(self.sock.close)
        self.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.settimeout(CALLER_TIMEOUT_SECONDS)
        self.sock.connect(('127.0.0.1', port))

    def answer(self, _request: HttpRequest, answer: CallerAnswer) -> None:
        """Answer with a body, and keep the connection."""
        head = AnswerHead(
            status=200,
            reason=b'OK',
            headers=(),
            length=self.answer_bytes,
            is_chunked=False,
            keep_alive=True,
        )
        answer.send_whole(head, bytes(self.answer_bytes))

    def test_stop_waits_for_the_answer_only(self) -> None:
        """Guard against a stop that takes until a caller's idle timeout."""
        self.stop_before_reading(SMALL_BYTES)
        self.assertEqual(1, self.server.count_open())
        self.assertEqual(SMALL_BYTES, self.read_answer())
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(0, self.server.count_open())

    def test_stop_while_the_answer_is_sent(self) -> None:
        """Guard against a wait for bytes that begins after the stop."""
        self.stop_before_reading(LARGE_BYTES)
        self.assertEqual(1, self.server.count_busy())
        self.assertEqual(LARGE_BYTES, self.read_answer())
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(0, self.server.count_open())

    def test_bytes_after_the_stop_do_not_reset_the_answer(self) -> None:
        """Guard against a reset that takes away the end of an answer."""
        self.stop_before_reading(SMALL_BYTES)
        self.sock.sendall(make_request())
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(SMALL_BYTES, self.read_answer())
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(0, self.server.count_open())

    def test_connection_is_closed_soon_after_the_answer(self) -> None:
        """Guard against connections that a stopping VM keeps for long."""
        self.stop_before_reading(SMALL_BYTES)
        self.read_answer()
        self.assertTrue(self.memory.bytes_by_kind[HeldKind.CONNECTIONS])
        gevent.sleep(LINGER_SECONDS + 2 * SETTLE_SECONDS)
        self.assertFalse(self.memory.bytes_by_kind[HeldKind.CONNECTIONS])

    def stop_before_reading(self, size: int) -> None:
        """Stop once the answer to a request of the caller has begun."""
        self.answer_bytes = size
        self.sock.sendall(make_request())
        gevent.sleep(SETTLE_SECONDS)
        self.server.drain()
        self.server.stop()
        gevent.sleep(SETTLE_SECONDS)

    def read_answer(self) -> int:
        """Return the size of a whole answer, 0 if it is incomplete."""
        reader = AnswerReader()
        size = 0
        while not reader.is_complete:
            received = self.sock.recv(READ_BYTES)
            if not received:
                return 0
            reader.feed(received)
            size += len(reader.pop_body())
        return size
