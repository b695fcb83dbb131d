"""Connections to backend servers, kept open between requests."""

import collections
import contextlib
import dataclasses
import re
import socket
from typing import Any, Final

import gevent
from gevent.socket import socket as open_socket

from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.header_names import find_header
from bronzepost._internal.gateway.http_messages import AnswerReader
from bronzepost._internal.node.clock import read_clock

# A handshake inside a region takes a few milliseconds; a lost opening packet
# is sent again after a second, which is later than another server answers.
CONNECT_SECONDS: Final = 0.4
# Data that a backend server does not acknowledge for this long means a silent
# connection or a dead machine.
USER_TIMEOUT_MS: Final = 1500
# Used instead of a Keep-Alive hint when a server sends none.
DEFAULT_IDLE_SECONDS: Final = 4.0
# A connection is given up this long before the server would close it, so
# that a request does not cross the close.
IDLE_MARGIN_SECONDS: Final = 1.0
_READ_BYTES: Final = 65536
_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb'timeout=(\d+)')


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class BackendConnection:
    """An open connection on which one request at a time is served."""

    sock: Any
    address: str
    usable_until: float
    idle_since: float = 0

    def send(self, content: bytes) -> None:
        """Send all bytes; an ``OSError`` is left to the caller."""
        self.sock.sendall(content)

    def receive(self) -> bytes:
        """Return the next bytes, or none after an orderly close."""
        received: bytes = self.sock.recv(_READ_BYTES)
        return received

    def is_silent(self) -> bool:
        """Return whether the connection is open and nothing has arrived.

        Bytes that arrive between two requests belong to no request.
        """
        self.sock.settimeout(0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.sock.settimeout(None)
        return False

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class ConnectionPool:
    """Idle connections to backend servers by address, newest first."""

    def __init__(self) -> None:
        """Start without a connection."""
        self.opened = 0
        self._idle_by_address: dict[
            str, collections.deque[BackendConnection]
        ] = {}

    def acquire(
        self,
        address: str,
        *,
        step: str,
        most_idle_seconds: float = DEFAULT_IDLE_SECONDS,
    ) -> BackendConnection:
        """Return an idle connection to an address, or open one.

        One that has been idle for longer than ``most_idle_seconds`` is not
        used.

        Raises:
            ExchangeError: if none can be opened; the request was not sent.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            now = read_clock()
            is_fresh = (
                now < connection.usable_until
                and now - connection.idle_since <= most_idle_seconds
            )
            if is_fresh and connection.is_silent():
                return connection
            self.discard(connection)
        return self._open(address, step)

    def release(
        self, connection: BackendConnection, *, answer: AnswerReader
    ) -> None:
        """Keep a connection after a complete answer, or close it."""
        head = answer.head
        is_whole = answer.is_complete and not answer.has_surplus
        if head is None or not (is_whole and head.keep_alive):
            self.discard(connection)
            return
        hint = find_header(head.headers, b'keep-alive') or b''
        match = _KEEP_ALIVE_TIMEOUT.search(hint)
        seconds = float(match.group(1)) if match else DEFAULT_IDLE_SECONDS
        usable = max(seconds - IDLE_MARGIN_SECONDS, seconds / 2)
        connection.idle_since = read_clock()
        connection.usable_until = connection.idle_since + usable
        idle = self._idle_by_address.setdefault(
            connection.address, collections.deque()
        )
        idle.append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection, whatever its state."""
        connection.close()

    def close_idle(self, now: float) -> None:
        """Close connections that are no longer usable."""
        for idle in self._idle_by_address.values():
            while idle and idle[0].usable_until <= now:
                self.discard(idle.popleft())

    def close_address(self, address: str) -> None:
        """Close the idle connections to a server that has gone."""
        for connection in self._idle_by_address.pop(address, ()):
            self.discard(connection)

    def _open(self, address: str, step: str) -> BackendConnection:
        host, _, port = address.rpartition(':')
        sock = open_socket()
        set_tcp_options(sock, user_timeout_ms=USER_TIMEOUT_MS)
        try:
            with gevent.Timeout(CONNECT_SECONDS, TimeoutError('timed out')):
                sock.connect((host, int(port)))
        except OSError as error:
            sock.close()
            raise ExchangeError(
                f'no connection: {error}',
                step=step,
                peer=address,
                was_sent=False,
            ) from error
        except BaseException:
            sock.close()
            raise
        self.opened += 1
        return BackendConnection(sock=sock, address=address, usable_until=0)


def set_tcp_options(sock: Any, *, user_timeout_ms: int) -> None:
    """Send small writes at once, and notice a peer that went silent."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            user_timeout_ms,
        )
