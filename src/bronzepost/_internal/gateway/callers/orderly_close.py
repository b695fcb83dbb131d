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

# For how long a caller may go on sending, or keep its side open, once it has
# acknowledged its answer, which may be unread on its machine.
LINGER_SECONDS: Final = 2.0
# How often the bytes are counted that the caller has not acknowledged.
_FIRST_POLL_SECONDS: Final = 0.001
_POLL_SECONDS: Final = 0.25
# Between two reads of what is discarded, so that many callers do not delay others.
# It leaves time for several times the default limit of bodies.
_DISCARD_BYTES: Final = 65536
_DISCARD_PAUSE_SECONDS: Final = 0.005
_NO_COUNT: Final = struct.pack('i', 0)


def count_unsent(sock: Any) -> int:
    """Return how many written bytes the other side has not acknowledged.

    0 if the socket is closed or the system does not count them.
    """
    try:
        packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _NO_COUNT)
    except OSError:
        return 0
    return int(struct.unpack('i', packed)[0])


def finish_sending(sock: Any) -> bool:
    """End the sending side; return once the caller has acknowledged all bytes.

    Linux resets a connection that is closed with unread bytes, or that gets bytes
    after its close, and drops what was not sent. So what arrives is read and
    discarded. Return whether the caller's side is open.
    """
    is_open = True
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        last_at = read_clock() + FLUSH_SECONDS
        unsent = count_unsent(sock)
        end = read_clock() + STALL_SECONDS
        poll_seconds = _FIRST_POLL_SECONDS
        while unsent and is_open and read_clock() < min(end, last_at):
            is_open = _discard(sock, poll_seconds)
            poll_seconds = min(poll_seconds * 2, _POLL_SECONDS)
            left = count_unsent(sock)
            if left < unsent:
                unsent = left
                end = read_clock() + STALL_SECONDS
    return is_open


def linger(sock: Any) -> None:
    """Discard bytes until the caller closes, or has had time to read its answer."""
    end = read_clock() + LINGER_SECONDS
    is_open = True
    with contextlib.suppress(OSError):
        while is_open and read_clock() < end:
            is_open = _discard(sock, _POLL_SECONDS)


def _discard(sock: Any, seconds: float) -> bool:
    """Wait for bytes and discard them; return whether more may arrive."""
    sock.settimeout(seconds)
    try:
        received = sock.recv(_DISCARD_BYTES)
    except TimeoutError:
        return True
    if received:
        gevent.sleep(_DISCARD_PAUSE_SECONDS)
    return bool(received)
