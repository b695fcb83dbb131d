"""Tests of readers that let others run while bytes never end."""

import socket
import time
from typing import Any, Final

import gevent
from gevent import socket as gevent_socket
from testtools import TestCase

from bronzepost._internal.node.paced_reader import (
    MAX_READ_BYTES,
    MIN_READ_BYTES,
    SLICE_SECONDS,
    PacedReader,
)

_RUN_SECONDS: Final = 0.3
_ENOUGH_TURNS: Final = 10
_MAX_TURNS: Final = 10_000


class EndlessSocket:
    """A socket that always has bytes to read."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self.sizes: list[int] = []

    def recv(self, size: int) -> bytes:
        """Return as many bytes as were asked for, at once."""
        self.sizes.append(size)
        return bytes(size)


class PacedReaderTests(TestCase):
    """Reads of a connection whose bytes are always there."""

    def test_timers_fire_while_bytes_never_end(self) -> None:
        """Guards against a reader that keeps the loop for itself."""
        reader = PacedReader(sock=EndlessSocket())
        turns: list[float] = []
        ticker = gevent.spawn(_tick, turns)
        self.addCleanup(ticker.kill)
        with gevent.Timeout(_RUN_SECONDS, exception=False):
            # Bounds the test where no timer fires.
            ends_at = time.monotonic() + 10 * _RUN_SECONDS
            while time.monotonic() < ends_at:
                reader.receive()
        self.assertGreater(len(turns), _ENOUGH_TURNS)
        self.assertLess(time.monotonic(), ends_at)

    def test_blocks_that_take_long_get_smaller(self) -> None:
        """Guards against long pauses between two chances of others."""
        sock = EndlessSocket()
        reader = PacedReader(sock=sock)
        for _ in range(8):
            reader.receive()
            time.sleep(2 * SLICE_SECONDS)
        self.assertEqual(MIN_READ_BYTES, sock.sizes[-1])
        for _ in range(8):
            reader.receive()
        self.assertEqual(MAX_READ_BYTES, sock.sizes[-1])

    def test_bytes_and_end_of_a_connection(self) -> None:
        """Guards against bytes that are lost between blocks."""
        sender, receiver = gevent_socket.socketpair(
            socket.AF_UNIX, socket.SOCK_STREAM
        )
        content = bytes(range(256)) * 4096
        gevent.spawn(_send_and_close, sender, content)
        reader = PacedReader(sock=receiver)
        received = bytearray()
        while block := reader.receive():
            received += block
        receiver.close()
        self.assertEqual(content, bytes(received))


def _tick(turns: list[float]) -> None:
    for _ in range(_MAX_TURNS):
        gevent.sleep(0.001)
        turns.append(time.monotonic())


def _send_and_close(sender: Any, content: bytes) -> None:
    sender.sendall(content)
    sender.close()
