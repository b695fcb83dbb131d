"""A pool of connections to backend servers."""

import collections
import contextlib
import dataclasses
import re
import socket
from collections.abc import Callable, Iterator
from typing import Any, Final

import gevent
from gevent.socket import socket as open_socket

from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.links.tcp_options import (
    set_tcp_options,
    set_user_timeout,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.paced_reader import PacedReader

# A TCP handshake within a region takes a few milliseconds. A lost SYN is sent
# again after a second; by then another server has answered.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
# Data that a backend server does not acknowledge, or does not read, for this long
# breaks the connection. A sound server may be silent for a second or two.
USER_TIMEOUT_MS: Final = 2500
# The same while a server reads a large body slowly. Lost links are found by probes.
SLOW_READ_TIMEOUT_MS: Final = 15_000
# How long an idle connection is used if the server sends no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_SECONDS: Final = 4.0
# An idle connection is not used within this time before the server closes it,
# so that a request is not sent while the server closes the connection.
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0
# Bounds the ids of refused requests that a connection remembers. A request is tried
# again within a few seconds, so older ids are not needed.
REMEMBERED_REFUSALS: Final = 64
_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb'timeout=(\d+)')


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class BackendConnection:
    """An open connection, used by one request at a time.

    It is a tunnel if it goes through the VM ``relay``. ``refused_ids`` are the
    requests that the server refused on it, the newest ones.
    """

    sock: Any
    address: str
    usable_until: float
    idle_since: float = 0
    relay: str = ''
    is_severed: bool = False
    refused_ids: collections.deque[bytes] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=REMEMBERED_REFUSALS)
    )
    _reader: PacedReader = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Read at a pace that lets others run."""
        self._reader = PacedReader(sock=self.sock)

    def send(self, content: bytes) -> None:
        """Send all bytes.

        Raises:
            OSError: if the connection is broken.
        """
        self.sock.sendall(content)

    def send_at_pace(self, content: memoryview) -> None:
        """Send all bytes, also to a server that reads slowly.

        Raises:
            OSError: if the connection is broken, or if the server reads nothing for
                ``SLOW_READ_TIMEOUT_MS``.
        """
        sent = 0
        with contextlib.suppress(BlockingIOError):
            # No flags and no timeout.
            sent = self.sock.send(content, 0, 0)
        if sent < len(content):
            set_user_timeout(self.sock, SLOW_READ_TIMEOUT_MS)
            self.sock.sendall(content[sent:])
            set_user_timeout(self.sock, USER_TIMEOUT_MS)

    def receive(self) -> bytes:
        """Return the next bytes, or no bytes after an orderly close.

        Raises:
            OSError: if the connection is broken or severed.
        """
        received = self._reader.receive()
        if self.is_severed:
            # An orderly close would end an answer without a length.
            raise ConnectionAbortedError('the link is lost')
        return received

    def sever(self) -> None:
        """Let the exchange on this connection break off."""
        self.is_severed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def is_fresh(self, max_idle_seconds: float) -> bool:
        """Return whether the connection has not been idle for too long."""
        now = read_clock()
        return (
            now < self.usable_until
            and now - self.idle_since <= max_idle_seconds
        )

    def is_reusable(self) -> bool:
        """Return whether the connection is open and without unread bytes.

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

    def restart(self) -> None:
        """Prepare for another exchange."""
        self._reader.restart()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


IdleConnections = dict[str, collections.deque[BackendConnection]]


class ConnectionPool:
    """Idle connections to backend servers, the last used ones first.

    Tunnels are kept apart from connections of this VM.
    """

    def __init__(self) -> None:
        """Start without connections.

        ``memory`` is the account of what their answers hold; a VM has one in all.
        """
        self.memory = HeldMemory()
        self.opened_count = 0
        self._idle_by_address: IdleConnections = {}
        self._tunnels_by_address: IdleConnections = {}

    def acquire(
        self,
        address: str,
        *,
        step: str,
        max_idle_seconds: float = DEFAULT_KEEP_ALIVE_SECONDS,
    ) -> BackendConnection:
        """Return an idle connection to an address, or open a new one.

        Raises:
            ExchangeError: if no connection can be opened; nothing was sent.
        """
        connection = self.find_idle(address, max_idle_seconds)
        return connection or self.open(address, step=step)

    def find_idle(
        self,
        address: str,
        max_idle_seconds: float,
        *,
        request_id: str = '',
        is_tunnel: bool = False,
    ) -> BackendConnection | None:
        """Return an idle connection to an address that may be used.

        Connections idle for longer than ``max_idle_seconds`` are closed. Those on
        which the server refused the request before are left.
        """
        idle_connections = self._get_idle(is_tunnel=is_tunnel).get(address)
        refused_id = request_id.encode('latin-1')
        left: list[BackendConnection] = []
        found = None
        while idle_connections and found is None:
            connection = idle_connections.pop()
            is_fresh = connection.is_fresh(max_idle_seconds)
            if is_fresh and connection.is_reusable():
                if refused_id in connection.refused_ids:
                    left.append(connection)
                else:
                    connection.restart()
                    found = connection
                continue
            self.discard(connection)
        if idle_connections is not None:
            idle_connections.extend(reversed(left))
        return found

    def has_idle(
        self,
        address: str,
        max_idle_seconds: float,
        *,
        is_tunnel: bool = False,
    ) -> bool:
        """Return whether an idle connection to an address may be used."""
        idle_connections = self._get_idle(is_tunnel=is_tunnel).get(address)
        if not idle_connections:
            return False
        return idle_connections[-1].is_fresh(max_idle_seconds)

    def release(
        self, connection: BackendConnection, *, answer: AnswerReader
    ) -> None:
        """Keep a connection that can be used again, or close it.

        ``answer`` is the last answer on the connection.
        """
        head = answer.head
        is_whole = answer.is_complete and not answer.has_surplus
        if head is None or not (is_whole and head.keep_alive):
            self.discard(connection)
            return
        hint = find_header(head.headers, b'keep-alive') or b''
        match = _KEEP_ALIVE_TIMEOUT.search(hint)
        keep_alive_seconds = (
            float(match.group(1)) if match else DEFAULT_KEEP_ALIVE_SECONDS
        )
        usable_seconds = max(
            keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS,
            keep_alive_seconds / 2,
        )
        connection.idle_since = read_clock()
        connection.usable_until = connection.idle_since + usable_seconds
        self.keep(connection)

    def keep(self, connection: BackendConnection) -> None:
        """Keep an idle connection."""
        idle_by_address = self._get_idle(is_tunnel=bool(connection.relay))
        idle_connections = idle_by_address.setdefault(
            connection.address, collections.deque()
        )
        idle_connections.append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection that cannot be used again."""
        connection.close()

    def close_expired(self, now: float) -> None:
        """Close idle connections that are no longer usable."""
        for idle_connections in self._iterate_idle():
            while idle_connections and idle_connections[0].usable_until <= now:
                self.discard(idle_connections.popleft())

    def close_address(self, address: str) -> None:
        """Close the idle connections to the address of a removed server."""
        for idle_by_address in (
            self._idle_by_address,
            self._tunnels_by_address,
        ):
            for connection in idle_by_address.pop(address, ()):
                self.discard(connection)

    def close_tunnels(
        self, is_usable: Callable[[BackendConnection], bool]
    ) -> None:
        """Close the idle tunnels that are not usable."""
        for address, tunnels in tuple(self._tunnels_by_address.items()):
            usable = collections.deque(filter(is_usable, tunnels))
            self._tunnels_by_address[address] = usable
            for connection in tunnels:
                if connection not in usable:
                    self.discard(connection)

    def open(
        self,
        address: str,
        *,
        step: str,
        source_ip: str = '',
        timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> BackendConnection:
        """Open a connection to an address, from an own IP if one is given.

        Raises:
            ExchangeError: if it cannot be opened; a ``TimeoutError`` is its cause
                if nothing answers.
        """
        host, _, port = address.rpartition(':')
        try:
            sock = _connect((host, int(port)), source_ip, timeout_seconds)
        except OSError as error:
            raise ExchangeError(
                f'no connection: {error}',
                step=step,
                peer=address,
                was_sent=False,
            ) from error
        self.opened_count += 1
        return BackendConnection(sock=sock, address=address, usable_until=0)

    def _get_idle(self, *, is_tunnel: bool) -> IdleConnections:
        return self._tunnels_by_address if is_tunnel else self._idle_by_address

    def _iterate_idle(
        self,
    ) -> Iterator[collections.deque[BackendConnection]]:
        yield from self._idle_by_address.values()
        yield from self._tunnels_by_address.values()


def _connect(
    address: tuple[str, int], source_ip: str, timeout_seconds: float
) -> Any:
    """Return a connected socket.

    Raises:
        OSError: if there is no connection, or if this process may open no more
            files.
    """
    with contextlib.ExitStack() as stack:
        sock = open_socket()
        stack.callback(sock.close)
        set_tcp_options(sock, user_timeout_ms=USER_TIMEOUT_MS)
        with gevent.Timeout(timeout_seconds, TimeoutError('timed out')):
            if source_ip:
                sock.bind((source_ip, 0))
            sock.connect(address)
        stack.pop_all()
    return sock
