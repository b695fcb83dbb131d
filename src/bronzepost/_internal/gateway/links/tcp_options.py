"""Options of TCP sockets."""

import contextlib
import socket
import struct
from typing import Any, Final

# SO_LINGER, enabled with a timeout of 0 s: closing the socket discards unsent
# data and sends a reset.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_NO_RESET_ON_CLOSE: Final = struct.pack('ii', 0, 0)


def set_tcp_options(sock: Any, *, user_timeout_ms: int) -> None:
    """Disable Nagle's algorithm and set a timeout for acknowledgements."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            user_timeout_ms,
        )


def set_user_timeout(sock: Any, user_timeout_ms: int) -> None:
    """Set the timeout for acknowledgements and for a closed window."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
        )


def set_reset_on_close(sock: Any, *, is_reset: bool) -> None:
    """Set whether closing a socket resets its connection.

    An orderly close ends an answer without a length, also if the process is
    killed.

    Raises:
        OSError: if the connection is broken.
    """
    linger = _RESET_ON_CLOSE if is_reset else _NO_RESET_ON_CLOSE
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
