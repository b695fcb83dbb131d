"""Read from a socket and let others run while its bytes never end."""

from typing import Any, Final

import gevent

from bronzepost._internal.node.clock import read_clock

# For how long one connection may run before timers and other connections do.
SLICE_SECONDS: Final = 0.005
# A read that takes longer has waited for bytes, and others have run meanwhile.
_WAIT_SECONDS: Final = 0.0002
# An idle watcher of libev's highest priority runs once in each iteration of the loop,
# after the loop has polled sockets and timers. ``sleep(0)`` would go on up to 50 times
# before the next poll, and a short timer would let the process sleep.
_TOP_PRIORITY: Final = 2
# Blocks are smaller while they take long to process, since a greenlet lets others
# run between two blocks only.
MIN_READ_BYTES: Final = 4096
MAX_READ_BYTES: Final = 65536


class PacedReader:
    """Receive blocks of a connection, and yield after each slice of time.

    gevent returns from ``recv`` without a switch if bytes are there. A peer that
    sends faster than its bytes are processed would keep the loop for itself, and
    no timer would fire, neither the deadline of the request nor a heartbeat.
    """

    def __init__(self, *, sock: Any) -> None:
        """Read from a connected socket of gevent."""
        self._sock = sock
        self._read_bytes = MAX_READ_BYTES
        self._running_since = read_clock()
        self._received_at = self._running_since
        self._has_waited = True

    def receive(self) -> bytes:
        """Return the next block, or no bytes after an orderly close.

        Raises:
            OSError: if the connection is broken, or if its timeout has passed.
        """
        started_at = read_clock()
        if not self._has_waited:
            self._adapt(started_at)
            if started_at - self._running_since > SLICE_SECONDS:
                gevent.idle(priority=_TOP_PRIORITY)
                started_at = read_clock()
                self._running_since = started_at
        received: bytes = self._sock.recv(self._read_bytes)
        self._received_at = read_clock()
        self._has_waited = self._received_at - started_at > _WAIT_SECONDS
        if self._has_waited:
            self._running_since = self._received_at
        return received

    def _adapt(self, now: float) -> None:
        is_slow = now - self._received_at > SLICE_SECONDS
        factor = 0.5 if is_slow else 2
        wanted_bytes = int(self._read_bytes * factor)
        self._read_bytes = max(
            MIN_READ_BYTES, min(MAX_READ_BYTES, wanted_bytes)
        )
