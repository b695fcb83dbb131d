"""Servers that send bytes without end, as processes of their own.

``python -m tests.endless_server SHAPE`` listens on a free port of the loopback
address, prints the port and answers each request in the given shape. A process
of its own is needed, because the sender must not wait for the reader's loop.
"""

import contextlib
import dataclasses
import itertools
import os
import socket
import subprocess  # noqa: S404
import sys
import threading
import time
from pathlib import Path
from types import MappingProxyType
from typing import Final

LOOPBACK: Final = '127.0.0.1'
# A multiple of the pattern that is about as large as a read of the client.
_BLOCK_BYTES: Final = 65536
_REQUEST_BYTES: Final = 65536
_LISTEN_BACKLOG: Final = 64
_REPOSITORY: Final = Path(__file__).parents[1]

_OK: Final = b'HTTP/1.1 200 OK\r\n%b'
_STREAM: Final = _OK % b'Content-Type: text/event-stream\r\n\r\n%b'
_CHUNKED: Final = _OK % b'Transfer-Encoding: chunked\r\n\r\n%b'
_LARGE_EVENT_BYTES: Final = 200_000
_CHUNK: Final = b'%x\r\n%b\r\n'
_LAST_CHUNK: Final = b'0\r\n\r\n'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """An answer that begins with ``start`` and goes on with ``repeated``.

    It ends after ``count`` repetitions and ``end``; None stands for no end.
    """

    start: bytes
    repeated: bytes
    count: int | None = None
    pause_seconds: float = 0
    end: bytes = b''


def _build_chunk(content: bytes) -> bytes:
    return _CHUNK % (len(content), content)


SHAPES_BY_NAME: Final = MappingProxyType({
    'status_line': Shape(start=b'HTTP/1.1 200 ', repeated=b'x'),
    'header_line': Shape(start=_OK % b'A: ', repeated=b'x'),
    'tiny_headers': Shape(start=_OK % b'', repeated=b'a:b\r\n'),
    'interim_answers': Shape(
        start=b'', repeated=b'HTTP/1.1 100 Continue\r\n\r\n'
    ),
    'body': Shape(start=_OK % b'\r\n', repeated=b'x'),
    'error_body': Shape(start=b'HTTP/1.1 500 Error\r\n\r\n', repeated=b'x'),
    'tiny_chunks': Shape(start=_CHUNKED % b'', repeated=_build_chunk(b'x')),
    'chunk_extension': Shape(start=_CHUNKED % b'1;', repeated=b'x'),
    'trailers': Shape(start=_CHUNKED % b'0\r\n', repeated=b'a:b\r\n'),
    'trailer_line': Shape(start=_CHUNKED % b'0\r\na:', repeated=b'x'),
    'event_line': Shape(start=_STREAM % b'data: ', repeated=b'x'),
    'event_lines': Shape(start=_STREAM % b'', repeated=b'a\n'),
    'tiny_events': Shape(start=_STREAM % b'', repeated=b'data: x\n\n'),
    'blank_lines': Shape(start=_STREAM % b'', repeated=b'\n'),
    'slow_events': Shape(
        start=_CHUNKED % b'',
        repeated=_build_chunk(b'data: x\n\n'),
        count=4,
        pause_seconds=0.3,
        end=_LAST_CHUNK,
    ),
    'large_event': Shape(
        start=_CHUNKED % b'',
        repeated=_build_chunk(b'data: %b\n\n' % bytes(_LARGE_EVENT_BYTES)),
        count=3,
        end=_LAST_CHUNK,
    ),
    'large_body': Shape(
        start=_OK % b'Content-Length: 12000000\r\n\r\n',
        repeated=bytes(60_000),
        count=200,
    ),
})


class EndlessServer:
    """A server process that answers in one shape; a context manager."""

    def __init__(self, shape: str) -> None:
        """Start the process and read its port."""
        self._process = subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', 'tests.endless_server', shape),
            stdout=subprocess.PIPE,
            text=True,
            cwd=_REPOSITORY,
            env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
        )
        output = self._process.stdout
        self.port = int(output.readline()) if output else 0
        self.address = f'{LOOPBACK}:{self.port}'

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.communicate()


def _serve(shape: Shape) -> None:
    listener = socket.create_server((LOOPBACK, 0), backlog=_LISTEN_BACKLOG)
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    for connection, _address in iter(listener.accept, None):
        threading.Thread(
            target=_answer, args=(connection, shape), daemon=True
        ).start()


def _answer(connection: socket.socket, shape: Shape) -> None:
    with connection, contextlib.suppress(OSError):
        connection.recv(_REQUEST_BYTES)
        connection.sendall(shape.start)
        if shape.count is None:
            copies = max(1, _BLOCK_BYTES // len(shape.repeated))
            for block in itertools.repeat(shape.repeated * copies):
                connection.sendall(block)
        for _ in range(shape.count or 0):
            time.sleep(shape.pause_seconds)
            connection.sendall(shape.repeated)
        connection.sendall(shape.end)
        connection.shutdown(socket.SHUT_WR)
        # A close before the peer's would reset the connection.
        connection.recv(_REQUEST_BYTES)


if __name__ == '__main__':
    _serve(SHAPES_BY_NAME[sys.argv[1]])
