"""Backend servers and callers of tests, as processes of their own.

``python -m tests.endless_peers serve`` prints the port of a server that answers by
the last part of the target, the name of a shape. ``python -m tests.endless_peers
call PORT HOST COUNT TARGET`` sends requests at once and prints a ``CallOutcome``
each as JSON.
"""

import contextlib
import dataclasses
import functools
import itertools
import json
import re
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType
from typing import Final

LOOPBACK: Final = '127.0.0.1'
DEADLINE_MS: Final = 2000
# Answers of sound servers are to be whole; how fast they are is measured elsewhere.
HONEST_DEADLINE_MS: Final = 10_000
# Waits longer than any deadline, so that a call that hangs shows as late.
CALL_TIMEOUT_SECONDS: Final = 20.0
# Not all connections open within the same millisecond; all calls run at once later.
CALL_INTERVAL_SECONDS: Final = 0.002
EVENT_BYTES: Final = 200_000
HISTORY_EVENTS: Final = 15
LARGE_BYTES: Final = 20_000_000
BULK_BYTES: Final = 200_000_000
TOKENS: Final = 6
TOKEN_SECONDS: Final = 0.2
_READ_BYTES: Final = 1_048_576
_BLOCK_BYTES: Final = 262_144
_REQUEST_ID: Final = re.compile(rb'(?i)request-id: (\S+)')
# Stands for the id of the request in the first block of an answer.
_ID_MARK: Final = b'$ID'
_LARGE_EVENT: Final = b'data: %b\n\n' % (b'a' * 100_000)
_CHUNKED: Final = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_TRAILERS: Final = b'%b0\r\n' % _CHUNKED
_OPEN_BODY: Final = b'HTTP/1.1 200 OK\r\n\r\n'
_ERROR: Final = b'HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n'
_REFUSAL: Final = (
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: $ID\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_LATE: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 9\r\n\r\n'
)


def repeat(start: bytes, piece: bytes) -> Iterator[bytes]:
    """Yield ``start``, then blocks of many pieces without end."""
    yield start
    yield from itertools.repeat(piece * (_BLOCK_BYTES // len(piece) + 1))


def encode_chunk(content: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


FAULTY_SHAPES: Final = MappingProxyType({
    'headers': lambda: repeat(b'HTTP/1.1 200 OK\r\n', b'a:\r\n'),
    'trailers': lambda: repeat(_TRAILERS, b'a:\r\n'),
    'long-header': lambda: repeat(b'HTTP/1.1 200 OK\r\na: ', b'a'),
    'tiny-events': lambda: repeat(_OPEN_BODY, b'data:\n\n'),
    'large-events': lambda: repeat(_OPEN_BODY, _LARGE_EVENT),
    'tiny-chunks': lambda: repeat(_CHUNKED, b'1\r\na\r\n'),
    'event-lines': lambda: repeat(_CHUNKED, encode_chunk(b'a\n' * 100)),
    'blank-lines': lambda: repeat(_OPEN_BODY, b'\n'),
    'extensions': lambda: repeat(_CHUNKED, b'1;%b\r\na\r\n' % (b'a' * 60000)),
    'error-body': lambda: repeat(_ERROR, encode_chunk(b'a' * 500)),
    'refusal-body': lambda: repeat(_REFUSAL, encode_chunk(b'a' * 500)),
    'late-answers': lambda: repeat(b'', _LATE + b'a' * 9),
    'interim': lambda: repeat(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
})


def send_tokens() -> Iterator[bytes]:
    """Yield the events of a slow stream, one every few hundred milliseconds."""
    yield _CHUNKED
    for number in range(TOKENS):
        time.sleep(TOKEN_SECONDS)
        yield encode_chunk(b'data: %d\n\n' % number)
    yield encode_chunk(b'')


def send_history() -> Iterator[bytes]:
    """Yield a stream of megabytes in events of 200 KB."""
    yield _CHUNKED
    for _ in range(HISTORY_EVENTS):
        event = b'data: %b\n\n' % (b'a' * EVENT_BYTES)
        yield from map(encode_chunk, (event[:1000], event[1000:]))
    yield encode_chunk(b'')


def send_body(size: int) -> Iterator[bytes]:
    """Yield an answer of a given size."""
    yield b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    block = b'b' * 1_000_000
    yield from itertools.repeat(block, size // len(block))


HONEST_SHAPES: Final = MappingProxyType({
    'tokens': send_tokens,
    'history': send_history,
    'large': lambda: send_body(LARGE_BYTES),
    'bulk': lambda: send_body(BULK_BYTES),
    'small': lambda: (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',),
})
Shape = Callable[[], Iterable[bytes]]
SHAPES: Final[Mapping[str, Shape]] = MappingProxyType({
    **FAULTY_SHAPES,
    **HONEST_SHAPES,
})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallOutcome:
    """What one caller got; a broken answer is not ``is_whole``."""

    status: int
    seconds: float
    received_bytes: int
    is_whole: bool


def serve() -> None:
    """Answer requests by shape until the process is killed."""
    listener = socket.create_server((LOOPBACK, 0), backlog=1024)
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    while True:  # noqa: WPS457 - ends with its process
        sock, _ = listener.accept()
        threading.Thread(target=_answer, args=(sock,), daemon=True).start()


def _answer(sock: socket.socket) -> None:
    with sock, contextlib.suppress(OSError):
        while head := _read_request(sock):
            shape = head.split(b' ', 2)[1].rpartition(b'/')[2].decode()
            blocks = iter(SHAPES[shape]())
            request_id = _REQUEST_ID.findall(head)[0]
            sock.sendall(next(blocks).replace(_ID_MARK, request_id))
            for block in blocks:
                sock.sendall(block)


def _read_request(sock: socket.socket) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        block = sock.recv(_READ_BYTES)
        if not block:
            return b''
        received += block
    return received


def call(address: tuple[str, int], target: str, number: int) -> CallOutcome:
    """Send a request and read its answer until its end."""
    shape = target.rpartition('/')[2]
    is_honest = shape in HONEST_SHAPES
    deadline_ms = HONEST_DEADLINE_MS if is_honest else DEADLINE_MS
    request = (
        f'GET {target} HTTP/1.1\r\nHost: ficu95.example\r\n'
        f'Request-Id: {shape}-{number}\r\n'
        f'Program-Id: p-{number}\r\nToken-Budget: 100000000\r\n'
        f'Token-Usage: 10,50\r\nDeadline-Ms: {deadline_ms}\r\n'
        'Connection: close\r\n\r\n'
    )
    time.sleep(number * CALL_INTERVAL_SECONDS)
    started_at = time.monotonic()
    head = bytearray()
    size = 0
    tail = b''
    with socket.create_connection(address) as sock:
        sock.settimeout(CALL_TIMEOUT_SECONDS)
        sock.sendall(request.encode())
        with contextlib.suppress(OSError):
            while block := sock.recv(_READ_BYTES):
                size += len(block)
                if len(head) < 1000:
                    head += block[:1000]
                tail = (tail + block)[-5:]
    fields, _, _ = bytes(head).partition(b'\r\n\r\n')
    status = int(fields.split(b' ')[1]) if fields else 0
    length = re.search(rb'(?i)content-length: (\d+)', fields)
    is_whole = tail == b'0\r\n\r\n'
    if length:
        is_whole = size == len(fields) + 4 + int(length.group(1))
    return CallOutcome(
        status=status,
        seconds=time.monotonic() - started_at,
        received_bytes=size,
        is_whole=is_whole,
    )


def call_at_once(
    address: tuple[str, int], target: str, count: int
) -> list[CallOutcome]:
    """Send requests at once, each from a thread, and return what they got."""
    send = functools.partial(call, address, target)
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(send, range(count)))


def main(arguments: list[str]) -> None:
    """Run the command."""
    if arguments[0] == 'serve':
        serve()
    port, host, count, target = arguments[1:]
    outcomes = call_at_once((host, int(port)), target, int(count))
    sys.stdout.write(json.dumps([dataclasses.asdict(one) for one in outcomes]))


if __name__ == '__main__':
    main(sys.argv[1:])
