"""Bytes that a caller has not read yet, sent at the pace of the caller."""

import collections
import contextlib
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import Event

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.gateway.callers.held_memory import HeldMemory

# A caller whose socket takes nothing for this long counts as gone. Callers may read
# slowly, and a socket takes bytes again only when a good part of it is free.
STALL_SECONDS: Final = 30.0
# What is queued when the request has ended is sent for this long at most, also to a
# caller who reads a little again and again.
FLUSH_SECONDS: Final = 300.0
# Small blocks are joined up to this size, since each call of the system has a cost.
_PIECE_BYTES: Final = 16384
# The size of a block in memory beyond its content, with its place in the queue.
_BLOCK_OVERHEAD_BYTES: Final = 64

WaitContext = Callable[[], contextlib.AbstractContextManager[None]]


class CallerOutbox:
    """Send blocks to a caller; queue what the socket does not take at once.

    What is queued is counted and bounded. A block that may not be queued waits, and
    the greenlet that passes it on then reads no more from the backend server.
    ``wait_context`` is entered while it waits.
    """

    def __init__(self, *, sock: Any, memory: HeldMemory) -> None:
        """Send to a connected socket."""
        self.wait_context: WaitContext = contextlib.nullcontext
        self._sock = sock
        self._memory = memory
        self._held = memory.open(HeldKind.UNSENT)
        self._blocks: collections.deque[bytes] = collections.deque()
        self._progress = Event()
        self._writer: Any = None
        self._error: OSError | None = None

    @property
    def has_unsent(self) -> bool:
        """Return whether the socket has not taken all bytes."""
        return self._held.size > 0

    def send(self, content: bytes) -> None:
        """Send bytes, or queue them and return.

        Raises:
            OSError: if the connection is broken or the caller reads nothing.
        """
        self._check()
        if not self.has_unsent:
            content = self._send_now(content)
        if not content:
            return
        while not self._memory.may_queue(self._held.size, len(content)):
            with self.wait_context():
                self._wait()
        self._queue(content)

    def flush(self) -> None:
        """Return when the socket has taken all bytes.

        Raises:
            OSError: if the connection is broken or the caller reads too slowly.
        """
        self._check()
        if not self.has_unsent:
            return
        error = TimeoutError(f'unread bytes after {FLUSH_SECONDS:g} s')
        with gevent.Timeout(FLUSH_SECONDS, error):
            while self.has_unsent:
                self._wait()

    def close(self) -> None:
        """Drop what is queued."""
        if self._writer is not None:
            self._writer.kill(block=False)
        self._blocks.clear()
        self._held.close()

    def _send_now(self, content: bytes) -> bytes:
        sent = 0
        with contextlib.suppress(BlockingIOError):
            # No flags and no timeout: what the socket does not take is queued.
            sent = self._sock.send(content, 0, 0)
        return content[sent:] if sent else content

    def _queue(self, content: bytes) -> None:
        self._blocks.append(content)
        self._held.grow(len(content) + _BLOCK_OVERHEAD_BYTES)
        if self._writer is None or self._writer.dead:
            self._writer = gevent.spawn(self._send_queued)

    def _send_queued(self) -> None:
        try:
            while self._blocks:
                self._send_piece()
        except OSError as error:
            self._error = error
        finally:
            self._progress.set()

    def _send_piece(self) -> None:
        """Send the oldest blocks; they count as held until all are sent."""
        blocks = [self._blocks.popleft()]
        size = len(blocks[0])
        while self._blocks and size + len(self._blocks[0]) <= _PIECE_BYTES:
            blocks.append(self._blocks.popleft())
            size += len(blocks[-1])
        unsent = memoryview(blocks[0] if len(blocks) == 1 else b''.join(blocks))
        while unsent:
            unsent = unsent[self._send_some(unsent) :]
        self._held.grow(-size - _BLOCK_OVERHEAD_BYTES * len(blocks))
        self._progress.set()

    def _send_some(self, unsent: memoryview) -> int:
        error = TimeoutError(f'the caller reads nothing in {STALL_SECONDS:g} s')
        with gevent.Timeout(STALL_SECONDS, error):
            sent: int = self._sock.send(unsent)
        return sent

    def _wait(self) -> None:
        self._progress.clear()
        self._check()
        self._progress.wait()
        self._check()

    def _check(self) -> None:
        if self._error is not None:
            raise self._error
