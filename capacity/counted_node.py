"""Run a node that counts the bytes it exchanges, by their cause.

``python -m capacity.counted_node COUNTS_FILE serve --settings FILE``. The
counts are those of messages and HTTP, without the headers of TCP and IP.
"""

import collections
import functools
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec

# This patches the standard library before gevent's sockets are used.
from bronzepost.__main__ import main  # isort: skip

import gevent
from gevent import socket as gevent_socket

from bronzepost._internal.node.http_exchange import HttpPeer
from bronzepost._internal.node.messages import MessageCodec

_STEP: Final = 'capacity_step'

# Bytes sent, bytes received and exchanges, by cause.
counts_by_cause: dict[str, list[int]] = collections.defaultdict(
    lambda: [0, 0, 0]
)


def count_messages() -> None:
    """Count what the peer transport sends and receives."""
    encode = MessageCodec.encode
    decode = MessageCodec.decode

    @functools.wraps(encode)
    def counted_encode(codec: Any, message: Any, **more: Any) -> bytes:  # noqa: WPS430
        content = encode(codec, message, **more)
        _count(f'peer {type(message).__name__}', len(content), 0)
        return content

    @functools.wraps(decode)
    def counted_decode(codec: Any, content: bytes) -> Any:  # noqa: WPS430
        envelope = decode(codec, content)
        _count(f'peer {type(envelope.message).__name__}', 0, len(content))
        return envelope

    _replace(MessageCodec, 'encode', counted_encode)
    _replace(MessageCodec, 'decode', counted_decode)


def count_exchanges() -> None:
    """Count what HTTP exchanges send and receive, by their step."""
    open_stream = HttpPeer.open_stream

    @functools.wraps(open_stream)
    def counted_open(  # noqa: WPS430 - wraps the method
        peer: Any, method: str, path: str, *, step: str, **more: Any
    ) -> Any:
        setattr(gevent.getcurrent(), _STEP, step)
        counts_by_cause[step][2] += 1
        return open_stream(peer, method, path, step=step, **more)

    _replace(HttpPeer, 'open_stream', counted_open)


def count_sockets() -> None:
    """Count the bytes of each socket operation under the greenlet's step."""
    kind = gevent_socket.socket
    _replace(kind, 'send', _counting(kind.send, is_sent=True))
    _replace(kind, 'recv', _counting(kind.recv, is_sent=False))
    _replace(kind, 'recv_into', _counting(kind.recv_into, is_sent=False))


def write_counts(path: Path) -> None:
    """Write the counts; a reader sees a whole file."""
    partial = path.with_suffix('.partial')
    partial.write_bytes(msgspec.json.encode(counts_by_cause))
    os.replace(partial, path)


def _counting(operation: Callable[..., Any], *, is_sent: bool) -> Any:
    @functools.wraps(operation)
    def counted(*arguments: Any, **more: Any) -> Any:  # noqa: WPS430
        moved = operation(*arguments, **more)
        size = moved if isinstance(moved, int) else len(moved)
        step = getattr(gevent.getcurrent(), _STEP, 'served')
        counts_by_cause[step][0 if is_sent else 1] += size
        return moved

    return counted


def _count(cause: str, sent: int, received: int) -> None:
    counts = counts_by_cause[cause]
    counts[0] += sent
    counts[1] += received
    counts[2] += 1


def _replace(owner: Any, name: str, replacement: Any) -> None:
    setattr(owner, name, replacement)


def run() -> int:
    """Count, and run the command line that the arguments give."""
    path = Path(sys.argv.pop(1))
    count_messages()
    count_exchanges()
    count_sockets()
    # Written on demand: writing again and again would hold up the loop.
    gevent.signal_handler(signal.SIGUSR1, write_counts, path)
    return main()


if __name__ == '__main__':
    sys.exit(run())
