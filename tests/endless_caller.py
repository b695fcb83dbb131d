"""Callers that send requests without end, as processes of their own.

``python -m tests.endless_caller SHAPE PORT COUNT`` opens COUNT connections, and
opens each again once the server closes it.
"""

import contextlib
import dataclasses
import itertools
import socket
import sys
import threading
import time
from types import MappingProxyType
from typing import Final

from tests.endless_server import LOOPBACK, Shape

_BLOCK_BYTES: Final = 65536
_PAUSE_SECONDS: Final = 0.02
_POST: Final = b'POST /echo HTTP/1.1\r\nHost: a\r\n%b'
_CHUNKED: Final = _POST % b'Transfer-Encoding: chunked\r\n\r\n%b'
_LONG_HEADER: Final = b'a: %b\r\n' % (b'x' * 65_000)

SHAPES_BY_NAME: Final = MappingProxyType({
    'long_headers': Shape(start=_POST % b'', repeated=_LONG_HEADER, count=99),
    'tiny_headers': Shape(start=_POST % b'', repeated=b'a:b\r\n'),
    'tiny_chunks': Shape(start=_CHUNKED % b'', repeated=b'2\r\nxx\r\n'),
    'large_chunks': Shape(
        start=_CHUNKED % b'', repeated=b'8000\r\n%b\r\n' % bytes(0x8000)
    ),
    'trailers': Shape(start=_CHUNKED % b'0\r\n', repeated=b'a:b\r\n'),
    'requests': Shape(
        start=b'', repeated=b'GET /echo HTTP/1.1\r\nHost: a\r\n\r\n'
    ),
})


def _send_forever(shape: Shape, port: int) -> None:
    for _ in itertools.count():
        with contextlib.suppress(OSError):
            _send(shape, port)
        time.sleep(_PAUSE_SECONDS)


def _send(shape: Shape, port: int) -> None:
    with socket.create_connection((LOOPBACK, port)) as connection:
        reader = threading.Thread(
            target=_read_all, args=(connection,), daemon=True
        )
        reader.start()
        connection.sendall(shape.start)
        copies = max(1, _BLOCK_BYTES // len(shape.repeated))
        blocks = itertools.repeat(shape.repeated * copies)
        for block in itertools.islice(blocks, shape.count):
            connection.sendall(block)
        # Holds a request that has no end open.
        reader.join()


def _read_all(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sum(map(len, iter(_Receiver(connection), b'')))


@dataclasses.dataclass(frozen=True, slots=True)
class _Receiver:
    connection: socket.socket

    def __call__(self) -> bytes:
        return self.connection.recv(_BLOCK_BYTES)


if __name__ == '__main__':
    shape_name, port_text, count_text = sys.argv[1:]
    for _ in range(int(count_text)):
        threading.Thread(
            target=_send_forever,
            args=(SHAPES_BY_NAME[shape_name], int(port_text)),
            daemon=True,
        ).start()
    # The input ends with the process that has started this one.
    sys.stdin.read()
