"""Callers that send bytes without end, from a process of their own.

Run as a program with the address of a gateway, the name of a shape, the number of
connections and the seconds for which each of them sends.
"""

import dataclasses
import itertools
import subprocess
import sys
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from types import MappingProxyType
from typing import Final

import gevent
from gevent.socket import create_connection

ROOT: Final = Path(__file__).resolve().parent.parent
_BLOCK_BYTES: Final = 65536
_TINY_HEADERS: Final = b'a:\r\n' * 16384
_CHUNKED_HEAD: Final = (
    b'POST /small/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """What a caller sends: a start, and then one block again and again."""

    start: bytes = b''
    block: bytes


HEADS: Final[Mapping[str, Shape]] = MappingProxyType({
    'target': Shape(start=b'GET /', block=b't' * _BLOCK_BYTES),
    'header_name': Shape(
        start=b'GET / HTTP/1.1\r\n', block=b'n' * _BLOCK_BYTES
    ),
    'header_value': Shape(
        start=b'GET / HTTP/1.1\r\nX: ', block=b'v' * _BLOCK_BYTES
    ),
    'spaces': Shape(start=b'GET / HTTP/1.1\r\nX:', block=b' ' * _BLOCK_BYTES),
    'tiny_headers': Shape(start=b'GET / HTTP/1.1\r\n', block=_TINY_HEADERS),
    'blank_lines': Shape(block=b'\r\n' * 32768),
})
BODIES: Final[Mapping[str, Shape]] = MappingProxyType({
    'tiny_chunks': Shape(start=_CHUNKED_HEAD, block=b'1\r\na\r\n' * 10000),
    'long_extensions': Shape(
        start=_CHUNKED_HEAD, block=b'1;%b\r\na\r\n' % (b'e' * _BLOCK_BYTES)
    ),
    'extension': Shape(
        start=b'%b1;' % _CHUNKED_HEAD, block=b'e' * _BLOCK_BYTES
    ),
    'tiny_trailers': Shape(
        start=b'%b0\r\n' % _CHUNKED_HEAD, block=_TINY_HEADERS
    ),
    'trailer_value': Shape(
        start=b'%b0\r\nT: ' % _CHUNKED_HEAD, block=b'v' * _BLOCK_BYTES
    ),
    'large_body': Shape(
        start=b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n',
        block=b'b' * _BLOCK_BYTES,
    ),
    'large_chunks': Shape(
        start=_CHUNKED_HEAD, block=b'4000\r\n%b\r\n' % (b'b' * 16384)
    ),
})
REQUESTS: Final[Mapping[str, Shape]] = MappingProxyType({
    'pipelined': Shape(block=b'GET / HTTP/1.1\r\n\r\n' * 3600),
})
_SHAPES: Final[Mapping[str, Shape]] = MappingProxyType({
    **HEADS,
    **BODIES,
    **REQUESTS,
})


def start_callers(
    address: tuple[str, int], shape: str, *, connections: int, seconds: float
) -> subprocess.Popen[bytes]:
    """Start a process whose connections send bytes of a shape."""
    host, port = address
    command = (host, str(port), shape, str(connections), str(seconds))
    return subprocess.Popen(
        (sys.executable, '-m', 'tests.builders_endless_callers', *command),
        cwd=ROOT,
    )


def _send(address: tuple[str, int], shape: Shape) -> None:
    with suppress(OSError):
        sock = create_connection(address)
        sock.sendall(shape.start)
        for block in itertools.repeat(shape.block):
            sock.sendall(block)
            gevent.sleep(0)


def _run(arguments: list[str]) -> None:
    host, port, shape = arguments[:3]
    connections, seconds = arguments[3:]
    tasks = [
        gevent.spawn(_send, (host, int(port)), _SHAPES[shape])
        for _ in range(int(connections))
    ]
    gevent.joinall(tasks, timeout=float(seconds))


if __name__ == '__main__':
    _run(sys.argv[1:])
