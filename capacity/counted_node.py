"""Node process that counts the bytes it exchanges, by their cause.

``python -m capacity.counted_node COUNTS_FILE serve --settings FILE``. The
counts cover messages and HTTP, without the headers of TCP and IP. Signal
SIGUSR1 makes the process write them to the file.
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

# Importing this module lets gevent patch the standard library, which must
# happen before gevent's sockets are used.
from bronzepost.__main__ import main  # isort: skip

import gevent
from gevent import socket as gevent_socket

from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.peers.messages import MessageCodec

_STEP_ATTRIBUTE: Final = 'capacity_step'

# Bytes sent, bytes received and exchanges, by cause.
counts_by_cause: dict[str, list[int]] = collections.defaultdict(
    lambda: [0, 0, 0]
)


def count_messages() -> None:
    """Count the bytes of peer messages by message class."""
    encode = MessageCodec.encode
    decode = MessageCodec.decode

    @functools.wraps(encode)
    def count_encode(  # noqa: WPS430 - wraps the method
        codec: Any, message: Any, **keywords: Any
    ) -> bytes:
        content = encode(codec, message, **keywords)
        _add_counts(f'peer {type(message).__name__}', len(content), 0)
        return content

    @functools.wraps(decode)
    def count_decode(codec: Any, content: bytes) -> Any:  # noqa: WPS430
        envelope = decode(codec, content)
        _add_counts(f'peer {type(envelope.message).__name__}', 0, len(content))
        return envelope

    _replace_attribute(MessageCodec, 'encode', count_encode)
    _replace_attribute(MessageCodec, 'decode', count_decode)


def count_exchanges() -> None:
    """Count HTTP exchanges by step, and tag the greenlet with the step."""
    open_stream = ExchangeClient.open_stream

    @functools.wraps(open_stream)
    def count_open(  # noqa: WPS430 - wraps the method
        client: Any, method: str, path: str, *, step: str, **keywords: Any
    ) -> Any:
        setattr(gevent.getcurrent(), _STEP_ATTRIBUTE, step)
        counts_by_cause[step][2] += 1
        return open_stream(client, method, path, step=step, **keywords)

    _replace_attribute(ExchangeClient, 'open_stream', count_open)


def count_sockets() -> None:
    """Count the bytes of each socket operation under the greenlet's step."""
    socket_class = gevent_socket.socket
    _replace_attribute(
        socket_class, 'send', _count_bytes(socket_class.send, is_sent=True)
    )
    _replace_attribute(
        socket_class, 'recv', _count_bytes(socket_class.recv, is_sent=False)
    )
    _replace_attribute(
        socket_class,
        'recv_into',
        _count_bytes(socket_class.recv_into, is_sent=False),
    )


def write_counts(path: Path) -> None:
    """Write the counts atomically, so that a reader sees a complete file."""
    partial = path.with_suffix('.partial')
    partial.write_bytes(msgspec.json.encode(counts_by_cause))
    os.replace(partial, path)


def _count_bytes(operation: Callable[..., Any], *, is_sent: bool) -> Any:
    @functools.wraps(operation)
    def count_operation(  # noqa: WPS430 - wraps the method
        *arguments: Any, **keywords: Any
    ) -> Any:
        result = operation(*arguments, **keywords)
        size = result if isinstance(result, int) else len(result)
        step = getattr(gevent.getcurrent(), _STEP_ATTRIBUTE, 'served')
        counts_by_cause[step][0 if is_sent else 1] += size
        return result

    return count_operation


def _add_counts(cause: str, sent: int, received: int) -> None:
    counts = counts_by_cause[cause]
    counts[0] += sent
    counts[1] += received
    counts[2] += 1


def _replace_attribute(owner: Any, name: str, replacement: Any) -> None:
    setattr(owner, name, replacement)


def run() -> int:
    """Enable the counters and run the command line in the arguments."""
    path = Path(sys.argv.pop(1))
    count_messages()
    count_exchanges()
    count_sockets()
    # Written on demand, since periodic writes would block the event loop.
    gevent.signal_handler(signal.SIGUSR1, write_counts, path)
    return main()


if __name__ == '__main__':
    sys.exit(run())
