"""Close a connection without losing the answer that the caller still reads."""

import contextlib
import fcntl
import socket
import struct
import termios
from typing import Any, Final

import gevent

from bronzepost._internal.gateway.callers.caller_outbox import (
    FLUSH_SECONDS,
    STALL_SECONDS,
)
from bronzepost._internal.node.clock import read_clock

# For how long a caller may go on sending or keep its side open once it has
# acknowledged its answer. The answer may still be unread on its machine.
LINGER_SECONDS: Final = 2.0
# How often the bytes are counted that the caller has not acknowledged.
_POLL_SECONDS: Final = 0.25
# What a caller sends is discarded at 6 MB/s at most, so that others run meanwhile.
_DISCARD_BYTES: Final = 65536
_DISCARD_PAUSE_SECONDS: Final = 0.01
_NO_COUNT: Final = struct.pack('i', 0)


def count_unsent(sock: Any) -> int:
    """Return how many written bytes the other side has not acknowledged.

    Raises:
        OSError: if the socket is closed.
    """
    packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _NO_COUNT)
    return int(struct.unpack('i', packed)[0])


def finish_sending(sock: Any) -> None:
    """End the sending side of a connection; return when it can be closed.

    Linux resets a connection that is closed with unread bytes, or that gets bytes
    after its close, and drops what was not sent. So bytes are read and discarded
    until the caller closes its side, or has had time to read its answer.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        last_at = read_clock() + FLUSH_SECONDS
        unsent = count_unsent(sock)
        end = _find_end(unsent)
        while read_clock() < min(end, last_at) and _discard(sock):
            left = count_unsent(sock)
            if left < unsent:
                unsent = left
                end = _find_end(unsent)


def _find_end(unsent: int) -> float:
    patience_seconds = STALL_SECONDS if unsent else LINGER_SECONDS
    return read_clock() + patience_seconds


def _discard(sock: Any) -> bool:
    """Wait for bytes and discard them; return whether more may arrive."""
    sock.settimeout(_POLL_SECONDS)
    try:
        received = sock.recv(_DISCARD_BYTES)
    except TimeoutError:
        return True
    if received:
        gevent.sleep(_DISCARD_PAUSE_SECONDS)
    return bool(received)
