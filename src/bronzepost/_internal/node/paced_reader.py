"""Read from sockets and let others run while bytes never end."""

import collections
import functools
import time
from typing import Any, Final

import gevent
from gevent.hub import Waiter

# For how long connections that always have bytes run in one iteration of the loop,
# all together. Timers and other connections have their turn in between.
SLICE_SECONDS: Final = 0.005
# The share of the loop's time for which a connection may run without waiting for a turn. A
# stream of tokens takes far less.
FREE_SHARE: Final = 0.05
# For how long a connection that has more bytes runs where others have used up the
# slice.
MIN_ALLOWANCE_SECONDS: Final = 0.0005
# Blocks are smaller while they take long to process, since a greenlet lets others
# run between two blocks only. The first is small: of a hundred connections, each may
# have its first block in the same iteration.
MIN_READ_BYTES: Final = 4096
MAX_READ_BYTES: Final = 65536
MAX_BLOCK_SECONDS: Final = 0.002
# Watchers of libev's highest priority run first in each iteration of the loop, after
# it has polled sockets and timers. ``sleep(0)`` would go on up to 50 times before the
# next poll, and a short timer would let the process sleep.
_TOP_PRIORITY: Final = 2


def read_run_time() -> float:
    """Return the seconds for which the thread of the loop has had a processor.

    On a busy machine, the time that others get says nothing about a connection.
    """
    return time.thread_time()


class LoopTurns:
    """Turns of greenlets that have run for long, some in each iteration of the loop.

    ``polled_at`` is when the loop has last polled sockets and timers.
    """

    def __init__(self, *, loop: Any) -> None:
        """Give turns in the iterations of a loop."""
        self.polled_at = read_run_time()
        self._waiters: collections.deque[Any] = collections.deque()
        self._giver = loop.idle(priority=_TOP_PRIORITY)
        # Without a reference, so that the loop can end.
        self._observer = loop.check(ref=False, priority=_TOP_PRIORITY)
        self._observer.start(self._record_poll)

    def wait(self) -> None:
        """Return when those who have waited for longer have had their turn."""
        waiter = Waiter()
        self._waiters.append(waiter)
        if not self._giver.active:
            self._giver.start(self._give_turns)
        try:
            waiter.get()
        except BaseException:
            # Some hundred wait at most.
            self._waiters.remove(waiter)
            raise

    def _record_poll(self) -> None:
        self.polled_at = read_run_time()

    def _give_turns(self) -> None:
        ends_at = read_run_time() + SLICE_SECONDS
        while self._waiters and read_run_time() < ends_at:
            self._waiters.popleft().switch(None)
        if not self._waiters:
            self._giver.stop()


@functools.lru_cache(maxsize=1)
def find_turns(hub: Any) -> LoopTurns:
    """Return the turns of the only loop."""
    return LoopTurns(loop=hub.loop)


class PacedReader:
    """Receive blocks of a connection, and wait for a turn after each slice of time.

    gevent returns from ``recv`` without a switch if bytes are there. A peer that
    sends faster than its bytes are processed would keep the loop for itself, and
    no timer would fire, neither the deadline of the request nor a heartbeat. Many
    such peers share one slice in each iteration of the loop.
    """

    def __init__(self, *, sock: Any) -> None:
        """Read from a connected socket of gevent."""
        self._sock = sock
        self._turns = find_turns(gevent.get_hub())
        self._read_bytes = MIN_READ_BYTES
        # A block that a timeout kept from being returned.
        self._block: bytes | None = None
        self.restart()

    @property
    def has_block(self) -> bool:
        """Return whether a block was received that waits for its turn."""
        return self._block is not None

    def restart(self) -> None:
        """Begin anew, for another exchange on a connection that was idle."""
        self._settled_at = read_run_time()
        # When the last block was received, if one was.
        self._received_at: float = 0
        # How long the last block took that was processed without a wait.
        self._block_seconds: float = 0
        # For how long the connection has run beyond its free share.
        self._debt_seconds: float = 0

    def receive(self) -> bytes:
        """Return the next block, or no bytes after an orderly close.

        Raises:
            OSError: if the connection is broken, or if its timeout has passed.
        """
        if self._block is None:
            self._settle()
            self._block = self._sock.recv(self._read_bytes)
            self._received_at = read_run_time()
        received: bytes = self._block
        if self._must_wait(len(received)):
            self._turns.wait()
            self._debt_seconds = 0
            self._received_at = read_run_time()
        self._block = None
        return received

    def _must_wait(self, received_bytes: int) -> bool:
        """Return whether others have their turn before a block is processed.

        A connection that had no bytes has let others run already, unless more bytes
        are there and others have used up the slice: of many connections, each may
        have its first block in the same iteration.
        """
        iteration_seconds = self._received_at - self._turns.polled_at
        is_over = iteration_seconds > SLICE_SECONDS
        if is_over and received_bytes == self._read_bytes:
            return True
        if self._turns.polled_at >= self._settled_at:
            return False
        # The bytes were there, and have been copied.
        self._debt_seconds += self._received_at - self._settled_at
        allowance = MIN_ALLOWANCE_SECONDS if is_over else SLICE_SECONDS
        return self._debt_seconds > allowance

    def _settle(self) -> None:
        """Count for how long the last block has been processed.

        If the loop has polled since, the greenlet has waited and others have run, so
        the time is not known. It is taken to be that of an earlier block.
        """
        now = read_run_time()
        passed_seconds = now - self._settled_at
        if self._turns.polled_at < self._received_at:
            self._block_seconds = now - self._received_at
            self._adapt()
        free_seconds = (passed_seconds - self._block_seconds) * FREE_SHARE
        debt_seconds = self._debt_seconds - max(free_seconds, 0)
        self._debt_seconds = max(debt_seconds, 0) + self._block_seconds
        self._settled_at = now

    def _adapt(self) -> None:
        factor = 0.5 if self._block_seconds > MAX_BLOCK_SECONDS else 2
        wanted_bytes = int(self._read_bytes * factor)
        self._read_bytes = max(
            MIN_READ_BYTES, min(MAX_READ_BYTES, wanted_bytes)
        )
