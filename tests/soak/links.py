"""A loopback TCP proxy with faults."""

import contextlib
import enum
import random
import socket
import struct
from typing import Any, Final

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as open_socket

READ_BYTES: Final = 65536
# Only limits connecting to the target; held bytes wait without a time limit.
CONNECT_TIMEOUT_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.02
# SO_LINGER, enabled with a timeout of 0 s.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class LinkState(enum.StrEnum):
    """How a link forwards bytes."""

    GOOD = 'good'
    SLOW = 'slow'
    SILENT = 'silent'
    ONE_WAY = 'one_way'


class Cut(enum.StrEnum):
    """What a cut does with open connections; new ones do not open.

    A ``SILENT`` cut answers nothing, also to new connections. The others refuse
    new ones; with ``REFUSE`` open connections live on.
    """

    SILENT = 'silent'
    RESET = 'reset'
    REFUSE = 'refuse'


class Link:
    """Forwards connections to a target address, depending on its state.

    A silent link keeps its connections open and holds all bytes back; a
    one-way link holds back only those of the target. They are forwarded when
    the link is good again.
    """

    def __init__(self, *, target: str) -> None:
        """Listen on a free port of the loopback interface."""
        self.target = target
        self.state = LinkState.GOOD
        self.delay_seconds = 0.05
        # Every so many blocks of answers a connection is reset instead.
        self.blocks_per_loss = 0
        self._block_count = 0
        self._sockets: set[Any] = set()
        self._refused_addresses: set[Any] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self._port = self._server.server_port
        self._reserved: list[Any] = []
        self._reasons: set[str] = set()

    @property
    def address(self) -> str:
        """Return the address to connect to instead of the target."""
        return f'127.0.0.1:{self._port}'

    def reset(self) -> None:
        """Reset all connections."""
        for sock in tuple(self._sockets):
            reset_socket(sock)

    def go_down(self) -> None:
        """Reset all connections and refuse new ones."""
        self.cut(Cut.RESET)

    def cut(self, how: Cut, reason: str = 'link') -> None:
        """Let no new connections open, and do ``how`` with the open ones.

        The link is cut until ``come_up`` has ended each reason.
        """
        is_cut = bool(self._reasons)
        self._reasons.add(reason)
        if is_cut:
            return
        self._server.stop()
        # The port stays bound, so that no other process listens on it.
        reserved = open_socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(('127.0.0.1', self._port))
        self._reserved = [reserved]
        if how is Cut.SILENT:
            self.state = LinkState.SILENT
            # Linux drops further SYN packets while the accept queue is full.
            reserved.listen(0)
            self._reserved += [self._fill_queue() for _ in range(2)]
        if how is Cut.RESET:
            self.reset()

    def come_up(self, reason: str = 'link') -> None:
        """Accept connections again, at the same address."""
        was_cut = bool(self._reasons)
        self._reasons.discard(reason)
        if self._reasons or not was_cut:
            return
        for sock in self._reserved:
            sock.close()
        self._reserved = []
        self._server = StreamServer(('127.0.0.1', self._port), self._serve)
        self._server.start()
        self.state = LinkState.GOOD

    def pop_refusal(self, address: Any) -> bool:
        """Return once whether the target refused the connection of a client."""
        is_refused = address in self._refused_addresses
        self._refused_addresses.discard(address)
        return is_refused

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        self.reset()

    def _fill_queue(self) -> Any:
        sock = open_socket()
        sock.setblocking(False)
        sock.connect_ex(('127.0.0.1', self._port))
        return sock

    def _serve(self, client: Any, address: Any) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            upstream = create_connection(
                (host, int(port)), CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            self._refused_addresses.add(address)
            client.close()
            return
        upstream.settimeout(None)
        pair = {client, upstream}
        self._sockets |= pair
        request_pump = gevent.spawn(
            self._pump, client, upstream, is_answer=False
        )
        self._pump(upstream, client, is_answer=True)
        request_pump.join()
        self._sockets -= pair
        client.close()
        upstream.close()

    def _pump(self, source: Any, sink: Any, *, is_answer: bool) -> None:
        try:
            self._forward(source, sink, is_answer=is_answer)
        except OSError:
            # An orderly close would end an answer that has no length.
            reset_socket(sink)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _forward(self, source: Any, sink: Any, *, is_answer: bool) -> None:
        while block := source.recv(READ_BYTES):
            self._delay_block(is_answer=is_answer)
            self._lose_block(is_answer=is_answer)
            sink.sendall(block)
        self._delay_block(is_answer=is_answer)

    def _delay_block(self, *, is_answer: bool) -> None:
        while self._is_held(is_answer=is_answer):
            gevent.sleep(POLL_SECONDS)
        if self.state is LinkState.SLOW:
            spread = random.random()  # noqa: S311 - not for secrets
            gevent.sleep(self.delay_seconds * spread)

    def _lose_block(self, *, is_answer: bool) -> None:
        if is_answer and self.blocks_per_loss:
            self._block_count += 1
            if self._block_count % self.blocks_per_loss == 0:
                raise ConnectionResetError

    def _is_held(self, *, is_answer: bool) -> bool:
        if self.state is LinkState.ONE_WAY:
            return is_answer
        return self.state is LinkState.SILENT


def reset_socket(sock: Any) -> None:
    """Close a socket with a reset, which discards unsent data."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.close()
