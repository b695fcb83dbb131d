"""HTTP client whose reads yield to other greenlets and have bounds.

A faulty server can send a head, a chunk extension or trailers without end.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from bronzepost._internal.node.paced_reader import MAX_READ_BYTES, PacedReader

# Servers send heads of a few hundred bytes; common servers and proxies accept
# heads of 8 to 64 KiB.
MAX_HEAD_BYTES: Final = 65536
# A header of a few bytes costs some hundred bytes of memory.
MAX_HEADERS: Final = 256
# Chunk sizes, chunk extensions and trailers between two bytes of the body.
MAX_FRAMING_BYTES: Final = 65536
# Smaller blocks are joined as they arrive: each costs some ten bytes of memory.
_MIN_KEPT_BYTES: Final = 4096


class AnswerBoundError(HTTPParseError):
    """A part of an answer is larger than its bound."""


class BoundedClient(HTTPClient):
    """HTTP client that reads by ``PacedReader`` and bounds heads.

    ``network_timeout`` limits each wait for bytes, in seconds. It does not end
    an answer whose bytes never pause: a bound or a timeout of the caller does.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        connection_timeout: float,
        network_timeout: float,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Create a client that has one connection at a time."""
        super().__init__(
            host,
            port,
            headers=headers,
            block_size=MAX_READ_BYTES,
            headers_type=_BoundedHeaders,
        )
        self._connection_pool = _PacedPool(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=connection_timeout,
            network_timeout=network_timeout,
        )

    def request(self, *request: Any, **options: Any) -> HTTPSocketPoolResponse:
        """Send a request and return its response once the head is read.

        Raises:
            AnswerBoundError: if the head is larger than its bounds.
            OSError: if the connection fails.
        """
        response = super().request(*request, **options)
        sock = response._sock
        if sock is not None:
            sock.end_head()
        return response


def read_available(response: HTTPSocketPoolResponse) -> bytes:
    """Return the body that has arrived, after a wait for its first byte.

    No bytes are returned at the end of the body only. The library's
    ``read(length)`` waits for ``length`` bytes, which would delay the tokens
    of a stream.

    Raises:
        AnswerBoundError: if too many bytes come that are no body.
        ConnectionResetError: if the connection closes before the end.
    """
    framing_bytes = 0
    while not response._body_buffer and not response.message_complete:
        if framing_bytes > MAX_FRAMING_BYTES:
            raise AnswerBoundError(
                f'more than {MAX_FRAMING_BYTES} bytes of chunk extensions'
                ' or trailers'
            )
        sock = response._sock
        received = sock.recv(MAX_READ_BYTES) if sock else b''
        if not received:
            raise ConnectionResetError('connection closed before the end')
        response.feed(received)
        framing_bytes += len(received)
    block = bytes(response._body_buffer)
    response._body_buffer.clear()
    return block


def read_blocks(response: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Yield the body in blocks as they arrive; errors as for one block."""
    block = read_available(response)
    while block:
        yield block
        block = read_available(response)


def read_body(response: HTTPSocketPoolResponse, *, max_bytes: int) -> bytes:
    """Return the whole body.

    Raises:
        AnswerBoundError: if it is larger than ``max_bytes``, or as for a block.
        OSError: if the connection fails.
    """
    return join_blocks(read_blocks(response), max_bytes=max_bytes)


def join_blocks(blocks: Iterable[bytes], *, max_bytes: int) -> bytes:
    """Return the blocks of a body as one.

    Raises:
        AnswerBoundError: if the body is larger than ``max_bytes``.
    """
    joined = [b'']
    size = 0
    for block in blocks:
        size += len(block)
        if size > max_bytes:
            raise AnswerBoundError(f'the body is larger than {max_bytes} bytes')
        if len(joined[-1]) < _MIN_KEPT_BYTES:
            joined[-1] += block
        else:
            joined.append(block)
    return b''.join(joined)


class _BoundedHeaders(Headers):
    """Headers of an answer; the parser also adds its trailers."""

    def add(self, field: str, value: Any) -> None:  # noqa: WPS110
        if len(self) >= MAX_HEADERS:
            raise AnswerBoundError(f'more than {MAX_HEADERS} headers')
        super().add(field, value)


class _PacedSocket(socket.socket):  # type: ignore[misc]
    """Socket whose reads yield to others, with a bound on the next head.

    A response asks for more bytes until its head is complete, so the bound is
    checked before each read.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # The proxy has this socket's reads without the pace.
        self._reader = PacedReader(sock=super())
        self._head_bytes_left: float = MAX_HEAD_BYTES

    def begin_head(self) -> None:
        self._head_bytes_left = MAX_HEAD_BYTES

    def end_head(self) -> None:
        self._head_bytes_left = math.inf

    def recv(self, *_size_and_flags: int) -> bytes:
        """Return a block of the size that the reader chooses."""
        if self._head_bytes_left <= 0:
            raise AnswerBoundError(
                f'the head is larger than {MAX_HEAD_BYTES} bytes'
            )
        block = self._reader.receive()
        self._head_bytes_left -= len(block)
        return block


class _PacedPool(ConnectionPool):
    """Pool that connects paced sockets."""

    def get_socket(self) -> Any:
        sock: Any = super().get_socket()
        sock.begin_head()
        return sock

    def _create_tcp_socket(self, *arguments: Any) -> Any:
        return _PacedSocket(*arguments)
