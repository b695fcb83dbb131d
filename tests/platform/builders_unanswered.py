"""A VM with one server, and requests whose bodies say how they are answered."""

import contextlib
import itertools
import os
import re
import resource
import select
from typing import Any, Final

import gevent
import testtools

from bronzepost._internal.gateway.callers.answer_reader import AnswerReader
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from tests.builders_gateway_servers import (
    READ_BYTES,
    CallerSocket,
    ScriptedServer,
)
from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.standin_store import StandinStore

# More than the grace period of a stop.
READ_SECONDS: Final = 12.0
SMALL_BYTES: Final = 2
STATUS: Final = re.compile(rb'HTTP/1\.1 (\d+) ')
ANSWER_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
    b'Content-Length: %d\r\n\r\n'
)


def answer(sock: Any, request: HttpRequest) -> bool:
    """Answer with so many bytes after so many seconds as the body says."""
    seconds, size = request.body.split()
    request_id = find_header(request.headers, b'request-id') or b''
    head = ANSWER_HEAD % (request_id, int(size))
    gevent.sleep(float(seconds))
    try:
        sock.sendall(head + b'x' * int(size))
    except OSError:
        # The gateway has given the request up.
        return False
    return True


def make_request(
    request_id: str, *headers: str, seconds: float = 0, size: int = SMALL_BYTES
) -> bytes:
    """Return a request with a deadline of three seconds."""
    body = f'{seconds} {size}'
    lines = (
        'POST /look/x HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 3000',
        f'Content-Length: {len(body)}',
        *headers,
        '',
        body,
    )
    return '\r\n'.join(lines).encode()


def open_servers(test: testtools.TestCase) -> StandinStore:
    """Return a store with a route to a server, both closed after the test."""
    store = StandinStore()
    test.addCleanup(store.close)
    server = ScriptedServer(script=answer)
    test.addCleanup(server.close)
    configuration = make_configuration()
    route = configuration['routes'][1]
    route.pop('weightedUpstreams')
    route.update(upstream='engines', timeoutMs=3000, routeType='non_idempotent')
    store.put('keyed.op', 'config', configuration)
    store.put('keyed.servers', 'i-1', make_entry(address=server.address))
    return store


def connect(address: tuple[str, int]) -> CallerSocket:
    """Return a connection that waits longer than a stop takes."""
    caller = CallerSocket(address=address)
    caller.sock.settimeout(READ_SECONDS)
    return caller


def find_status(caller: CallerSocket) -> int:
    """Return the status of the next answer, 0 if it is not complete."""
    received = AnswerReader()
    with contextlib.suppress(OSError):
        received = caller.read_answer()
    return received.head.status if received.head and received.is_complete else 0


def find_statuses(caller: CallerSocket) -> list[int]:
    """Return the status of each answer until the connection ends."""
    blocks: list[bytes] = []
    with contextlib.suppress(OSError):
        blocks.extend(iter(lambda: caller.sock.recv(READ_BYTES), b''))
    return [int(status) for status in STATUS.findall(b''.join(blocks))]


def fill_pipe(test: testtools.TestCase) -> int:
    """Return the writing end of a pipe that is full and that nobody reads."""
    reader, writer = os.pipe()
    test.addCleanup(os.close, reader)
    test.addCleanup(os.close, writer)
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        for block in itertools.repeat(bytes(select.PIPE_BUF)):
            os.write(writer, block)
    os.set_blocking(writer, True)
    return writer


class DescriptorLimit:
    """The limit of a process on its open files."""

    def __init__(self, process_id: int) -> None:
        """Leave the limit as it is."""
        self._process_id = process_id
        self._limits = resource.prlimit(process_id, resource.RLIMIT_NOFILE)

    def leave(self, count: int) -> None:
        """Let the process open ``count`` more files."""
        used = len(os.listdir(f'/proc/{self._process_id}/fd'))
        self._set(used + count)

    def lift(self) -> None:
        """Let the process open as many files as before."""
        self._set(self._limits[0])

    def _set(self, limit: int) -> None:
        resource.prlimit(
            self._process_id, resource.RLIMIT_NOFILE, (limit, self._limits[1])
        )
