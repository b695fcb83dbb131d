"""Callers and backend servers of tests that read slowly."""

import hashlib
import socket
from contextlib import suppress
from typing import Any

import gevent
from gevent.server import StreamServer
from gevent.socket import socket as open_socket

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
    encode_chunk,
)
from tests.builders_gateway_servers import Script, make_answer, make_request

# The window of slow readers: more does not leave the gateway unread.
WINDOW_BYTES = 4096
BYTES_PER_SECOND = 1024
READ_BYTES = 65536
BLOCK_BYTES = 32768
TIMEOUT_SECONDS = 30.0
# Events, so that the body is also that of a stream.
_PATTERN = b'data: %b\n\n' % (b'0123456789abcdefg' * 59)
EVENT_BYTES = len(_PATTERN)


def make_body(size: int) -> bytes:
    """Return bytes in which a block that is lost or twice there shows."""
    return (_PATTERN * (size // len(_PATTERN) + 1))[:size]


def send_in_blocks(size: int, *, is_chunked: bool) -> Script:
    """Return a script that answers with ``make_body(size)``."""
    body = make_body(size)

    def script(sock: Any, _request: HttpRequest) -> bool:
        framing = b'Content-Length: %d' % size
        if is_chunked:
            framing = b'Transfer-Encoding: chunked'
        with suppress(OSError):
            sock.sendall(b'HTTP/1.1 200 OK\r\n%b\r\n\r\n' % framing)
            for start in range(0, size, BLOCK_BYTES):
                block = body[start : start + BLOCK_BYTES]
                sock.sendall(encode_chunk(block) if is_chunked else block)
            if is_chunked:
                sock.sendall(encode_chunk(b''))
            return True
        return False

    return script


class SlowReader:
    """A caller with a small window, who sends a request at once."""

    def __init__(
        self, address: tuple[str, int], *, request: bytes = b'', **kind: bytes
    ) -> None:
        """Connect and send a request; nothing of the answer is read."""
        self.answer = AnswerReader()
        self.digest = hashlib.sha256()
        self.task: Any = None
        self.sock = open_socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.sock.connect(address)
        self.sock.settimeout(TIMEOUT_SECONDS)
        self.sock.sendall(request or make_request(**kind))

    def read_slowly(self, seconds: float) -> None:
        """Start to read a kilobyte a second."""
        self.task = gevent.spawn(self._read_slowly, seconds)

    def read_rest(self) -> None:
        """Read to the end of the answer."""
        is_open = True
        while is_open and not self.answer.is_complete:
            is_open = self._read(READ_BYTES)

    def _read_slowly(self, seconds: float) -> None:
        for _ in range(int(seconds)):
            self._read(BYTES_PER_SECOND)
            gevent.sleep(1)

    def _read(self, size: int) -> bool:
        received = self.sock.recv(size)
        if received:
            self.answer.feed(received)
            self.digest.update(self.answer.pop_body())
        return bool(received)


class SlowServer:
    """A backend server that reads bodies evenly in a time, and their digest.

    It reads nothing for ``pause_seconds`` at first.
    """

    def __init__(
        self, *, body_bytes: int, seconds: float, pause_seconds: float = 0
    ) -> None:
        """Listen with a small window on a free port."""
        self._pause_seconds = pause_seconds
        self.version = 'v1'
        self._body_bytes = body_bytes
        self._seconds = seconds
        listener = open_socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(('127.0.0.1', 0))
        listener.listen(256)
        self._server = StreamServer(listener, self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, sock: Any, _address: Any) -> None:
        received = b''
        while b'\r\n\r\n' not in received:
            block = sock.recv(1024)
            if not block:
                return
            received += block
        digest = hashlib.sha256()
        block = received.partition(b'\r\n\r\n')[2]
        rest = self._body_bytes
        gevent.sleep(self._pause_seconds)
        started_at = gevent.get_hub().loop.now()
        while True:
            digest.update(block)
            rest -= len(block)
            if not rest:
                break
            share = 1 - rest / self._body_bytes
            due_at = started_at + share * self._seconds
            gevent.sleep(max(due_at - gevent.get_hub().loop.now(), 0))
            block = sock.recv(READ_BYTES)
            if not block:
                return
        with suppress(OSError):
            sock.sendall(make_answer(digest.hexdigest().encode()))
        sock.close()
