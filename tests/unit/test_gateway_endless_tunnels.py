"""Tunnels whose sides always have more bytes."""

import time

import gevent
import testtools

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.links.relay_server import Tunnel

RUN_SECONDS = 0.3
# Other callers are answered within this time.
ANSWER_SECONDS = 0.5
# Bounds the test where no timer fires.
MAX_READS = 200_000


class EndlessSocket:
    """A connection that always has bytes to read and takes all."""

    def __init__(self) -> None:
        """Count no reads yet."""
        self.reads = 0

    def recv(self, size: int) -> bytes:
        """Return as many bytes as were asked for."""
        self.reads += 1
        return bytes(size) if self.reads < MAX_READS else b''

    def sendall(self, _block: bytes) -> None:
        """Take a block at once."""

    def setsockopt(self, *_option: object) -> None:
        """Ignore an option."""

    def shutdown(self, _how: int) -> None:
        """Ignore the end of a direction."""


class TestEndlessTunnels(testtools.TestCase):
    """A VM that relays for one server still serves others."""

    def test_timers_fire_while_a_tunnel_always_has_bytes(self) -> None:
        """Guards against a tunnel that keeps the loop for itself."""
        memory = HeldMemory()
        tunnel = Tunnel(
            caller=EndlessSocket(), server=EndlessSocket(), memory=memory
        )
        started_at = time.monotonic()
        task = gevent.spawn(tunnel.run)
        gevent.sleep(RUN_SECONDS)
        seconds = time.monotonic() - started_at
        is_running = not task.ready()
        task.kill()
        self.assertLess(seconds, RUN_SECONDS + ANSWER_SECONDS)
        self.assertIs(True, is_running)
        self.assertEqual(0, memory.bytes_by_kind[HeldKind.TUNNELS])
