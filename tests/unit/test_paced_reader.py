"""Tests of readers that let others run while bytes never end."""

import itertools
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
_READERS: Final = 50
# Other callers are answered within this time.
_MAX_DELAY_SECONDS: Final = 0.5


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

    def test_many_readers_share_one_slice(self) -> None:
        """Guards against timers that wait for a slice of each reader."""
        readers = [PacedReader(sock=EndlessSocket()) for _ in range(_READERS)]
        turns: list[float] = []
        counts = list(itertools.repeat(0, _READERS))
        ticker = gevent.spawn(_tick, turns)
        tasks = [
            gevent.spawn(_read_for_long, reader, counts, number)
            for number, reader in enumerate(readers)
        ]
        gevent.sleep(4 * _RUN_SECONDS)
        gevent.killall([ticker, *tasks])
        self.assertGreater(len(turns), _ENOUGH_TURNS)
        pauses = [late - early for early, late in itertools.pairwise(turns)]
        # The first block of each reader may be read in one iteration.
        self.assertLess(sorted(pauses)[-2], _MAX_DELAY_SECONDS / 5)
        self.assertGreater(min(counts), 0)

    def test_reader_that_is_killed_gives_its_turn_up(self) -> None:
        """Guards against turns of greenlets that have ended."""
        reader = PacedReader(sock=EndlessSocket())
        with gevent.Timeout(_RUN_SECONDS, exception=False):
            while reader.receive():
                time.sleep(0)
        gevent.sleep(0.01)
        started_at = time.monotonic()
        other = PacedReader(sock=EndlessSocket())
        for _ in range(10):
            other.receive()
            _work(SLICE_SECONDS)
        self.assertLess(time.monotonic() - started_at, _MAX_DELAY_SECONDS)

    def test_blocks_that_take_long_get_smaller(self) -> None:
        """Guards against long pauses between two chances of others."""
        sock = EndlessSocket()
        reader = PacedReader(sock=sock)
        for _ in range(8):
            reader.receive()
            _work(2 * SLICE_SECONDS)
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


def _work(seconds: float) -> None:
    ends_at = time.thread_time() + seconds
    while time.thread_time() < ends_at:
        sum(range(100))


def _read_for_long(reader: PacedReader, counts: list[int], number: int) -> None:
    while reader.receive():
        counts[number] += 1
        # Stands for the work on the block.
        _work(0.001)


def _tick(turns: list[float]) -> None:
    for _ in range(_MAX_TURNS):
        gevent.sleep(0.001)
        turns.append(time.monotonic())


def _send_and_close(sender: Any, content: bytes) -> None:
    sender.sendall(content)
    sender.close()
