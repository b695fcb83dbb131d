"""Write log lines without blocking, at a limited rate."""

import collections
import os
from typing import Any, Final

import gevent
from gevent.socket import wait_write

from bronzepost._internal.node.clock import read_clock

# A successful request logs one line of 350 bytes, so this covers 180 requests a
# second, twice the peak of a VM of the first deployments.
MAX_BYTES_PER_SECOND: Final = 65536
# Size of the lines that wait to be written; lines beyond it are left out.
MAX_WAITING_BYTES: Final = 1048576
# Identifies the lines of successful requests, which are left out first.
LOW_PRIORITY_MARKER: Final = '"event":"request_done"'
# Part of the rate that lines of successful requests leave to other lines.
RESERVED_FRACTION: Final = 0.25
# How long a process that ends waits to write its last lines; the gateway ends
# half a second before it would be killed.
CLOSE_TIMEOUT_SECONDS: Final = 0.2


class BoundedOutput:
    """A non-blocking text stream with a token bucket, for a file descriptor.

    Lines beyond the rate are left out, those of successful requests first.
    ``left_out_count`` is the number of lines left out since it was reset.
    """

    def __init__(
        self, *, descriptor: int, bytes_per_second: int = MAX_BYTES_PER_SECOND
    ) -> None:
        """Write to ``descriptor`` at most ``bytes_per_second`` on average."""
        self.left_out_count = 0
        self._descriptor = descriptor
        self._bytes_per_second = bytes_per_second
        self._available_bytes = float(bytes_per_second)
        self._refilled_at = read_clock()
        self._partial_line = ''
        self._waiting_lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._writer_greenlet: Any = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Queue the complete lines of a text, or leave them out.

        They are written soon, also if ``flush`` is not called, as gevent does not
        after a traceback.
        """
        *lines, partial = (self._partial_line + text).split('\n')
        self._partial_line = partial
        for line in lines:
            self._enqueue_line(line)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Start a greenlet that writes the queued lines; return at once."""
        if self._waiting_lines and not self._writer_greenlet:
            self._writer_greenlet = gevent.spawn(self._write_waiting)

    def close(self) -> None:
        """Write the queued lines, for at most ``CLOSE_TIMEOUT_SECONDS``."""
        self.flush()
        if self._writer_greenlet:
            self._writer_greenlet.join(timeout=CLOSE_TIMEOUT_SECONDS)

    def pop_left_out_count(self) -> int:
        """Return the number of lines left out and reset it to 0."""
        count = self.left_out_count
        self.left_out_count = 0
        return count

    def _enqueue_line(self, line: str) -> None:
        content = f'{line}\n'.encode()
        self._refill()
        needed = len(content)
        if LOW_PRIORITY_MARKER in line:
            needed += int(self._bytes_per_second * RESERVED_FRACTION)
        is_full = self._waiting_bytes + len(content) > MAX_WAITING_BYTES
        if needed > self._available_bytes or is_full:
            self.left_out_count += 1
            return
        self._available_bytes -= len(content)
        self._waiting_lines.append(content)
        self._waiting_bytes += len(content)

    def _refill(self) -> None:
        now = read_clock()
        refilled = (now - self._refilled_at) * self._bytes_per_second
        self._refilled_at = now
        self._available_bytes = min(
            self._available_bytes + refilled, float(self._bytes_per_second)
        )

    def _write_waiting(self) -> None:
        try:
            while self._waiting_lines:
                self._write_once()
        except OSError:
            # The reader has closed the pipe, so the lines cannot be written.
            self._waiting_lines.clear()
            self._waiting_bytes = 0
        finally:
            self._writer_greenlet = None

    def _write_once(self) -> None:
        content = b''.join(self._waiting_lines)
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            wait_write(self._descriptor)
            return
        self._waiting_lines.clear()
        if written < len(content):
            self._waiting_lines.append(content[written:])
        self._waiting_bytes = len(content) - written
