"""HTTP client whose reads yield to other greenlets."""

from collections.abc import Mapping
from typing import Any

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPSocketPoolResponse

from bronzepost._internal.node.paced_reader import MAX_READ_BYTES, PacedReader


class BoundedClient(HTTPClient):
    """HTTP client that reads by ``PacedReader``.

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


def read_available(response: HTTPSocketPoolResponse) -> bytes:
    """Return the body that has arrived, after a wait for its first byte.

    No bytes are returned at the end of the body only. The library's
    ``read(length)`` waits for ``length`` bytes, which would delay the tokens
    of a stream.

    Raises:
        ConnectionResetError: if the connection closes before the end.
    """
    while not response._body_buffer and not response.message_complete:
        sock = response._sock
        received = sock.recv(MAX_READ_BYTES) if sock else b''
        if not received:
            raise ConnectionResetError('connection closed before the end')
        response.feed(received)
    block = bytes(response._body_buffer)
    response._body_buffer.clear()
    return block


class _PacedSocket(socket.socket):  # type: ignore[misc]
    """Socket whose reads yield to others."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # The proxy has this socket's reads without the pace.
        self._reader = PacedReader(sock=super())

    def recv(self, *_size_and_flags: int) -> bytes:
        """Return a block of the size that the reader chooses."""
        return self._reader.receive()


class _PacedPool(ConnectionPool):
    """Pool that connects paced sockets."""

    def _create_tcp_socket(self, *arguments: Any) -> Any:
        return _PacedSocket(*arguments)
