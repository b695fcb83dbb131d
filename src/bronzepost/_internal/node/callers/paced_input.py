"""Read the requests of a connection, and let others run meanwhile."""

import io
import math
from typing import Any, Final

import gevent

from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.paced_reader import SLICE_SECONDS, PacedReader

# gevent's server accepts request lines of 8 KiB and 100 headers of 64 KiB each.
# Callers send heads of some kilobytes.
MAX_HEAD_BYTES: Final = 65536
# An idle watcher of this priority runs once in each iteration of libev's loop, as
# in PacedReader.
_TOP_PRIORITY: Final = 2


class HeadBoundError(ValueError):
    """The head of a request is larger than its bound."""


class PacedInput(io.RawIOBase):
    """The bytes of a connection, with a bound on each head.

    Its reader asks for more bytes until the head is complete, so the bound is
    checked before each read.
    """

    def __init__(self, *, sock: Any) -> None:
        """Read from a connected socket of gevent."""
        super().__init__()
        self._reader = PacedReader(sock=sock)
        self._rest = io.BytesIO()
        self._head_bytes_left: float = MAX_HEAD_BYTES
        self._ends_at = math.inf
        self._yielded_at = read_clock()

    @property
    def has_ended(self) -> bool:
        """Return whether the time for what nobody needs has passed."""
        return read_clock() > self._ends_at

    def readable(self) -> bool:
        """Return that the input can be read."""
        return True

    def begin_head(self) -> None:
        """Bound the bytes up to the end of the next head."""
        self._head_bytes_left = MAX_HEAD_BYTES
        self._ends_at = math.inf

    def end_head(self) -> None:
        """Read a body, which has a bound of its own."""
        self._head_bytes_left = math.inf

    def end_after(self, seconds: float) -> None:
        """Read what nobody needs for a limited time."""
        self._ends_at = read_clock() + seconds

    def readinto(self, buffer: Any) -> int:
        """Fill the buffer with what has arrived; return its size.

        Raises:
            HeadBoundError: if the head is larger than its bound.
            OSError: if the connection is broken, or if a time has passed.
        """
        size = self._rest.readinto(buffer)
        if size:
            self._yield_after_slice()
            return size
        self._check_bounds()
        block = self._reader.receive()
        self._head_bytes_left -= len(block)
        self._rest = io.BytesIO(block)
        return self._rest.readinto(buffer)

    def _yield_after_slice(self) -> None:
        """Let others run between the many requests that a block may have."""
        if read_clock() - self._yielded_at > SLICE_SECONDS:
            gevent.idle(priority=_TOP_PRIORITY)
            self._yielded_at = read_clock()

    def _check_bounds(self) -> None:
        if self._head_bytes_left <= 0:
            raise HeadBoundError(
                f'the head is larger than {MAX_HEAD_BYTES} bytes'
            )
        if self.has_ended:
            raise TimeoutError('the rest of the request takes too long')
