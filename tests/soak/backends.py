"""Backend servers of a soak: engines and plain services that can fail."""

import random
import time
from collections.abc import Callable
from typing import Any, Final

import gevent

from bronzepost._internal.gateway.callers.header_names import (
    find_header,
    find_headers,
)
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway_servers import ScriptedServer
from tests.soak.links import Link, reset_socket
from tests.soak.observations import Observations, Run

MAX_EVENTS: Final = 4
EVENT_INTERVAL_SECONDS: Final = 0.02
PLAIN_ANSWER_SECONDS: Final = 0.01
# The begin of the body of requests that crash servers.
DEADLY: Final = b'deadly '
VERSIONS: Final = ('v1', 'v2')
# The path and the body of streams, which have no history: the text of the events
# and their number.
STREAM_PATH: Final = '/ask/x'


class Backend:
    """One server behind its own link, with switches for failures.

    With ``refuses`` it answers that requests did not run. With ``loses`` it
    runs them and closes the connection without an answer. With ``breaks`` it
    ends answers too early, in one of several ways. With ``leaves`` it says in
    its answers that it is leaving, and it names ``limit`` in them unless that is
    zero. It calls ``crash`` when it begins to run a deadly request.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        observations: Observations,
        crash: Callable[['Backend'], None],
    ) -> None:
        """Listen on a free port of the loopback interface."""
        self.service = service
        self.version = VERSIONS[0]
        self.refuses = False
        self.loses = False
        self.breaks = False
        self.leaves = False
        self.limit: float = 0
        self._name = name
        self._starts = 1
        self._observations = observations
        self._crash = crash
        self._server = ScriptedServer(script=self._answer_quietly)
        self.link = Link(target=self._server.address)

    @property
    def server_id(self) -> str:
        """Return the id, which differs for each start."""
        return f'{self._name}.{self._starts}'

    def restart(self, version: str) -> None:
        """Start again under another id, with a version of the software."""
        self._starts += 1
        self.version = version
        self.leaves = False
        self.limit = 0
        self.link.reset()

    def close(self) -> None:
        """Stop listening."""
        self.link.close()
        self._server.close()

    def _answer(self, sock: Any, request: HttpRequest) -> bool:
        request_id = find_header(request.headers, b'request-id') or b''
        expected = find_header(request.headers, b'expect-instance')
        server_id = self.server_id
        common_headers = b'Request-Id: %b\r\nServer-Stamp: %b\r\n' % (
            request_id,
            server_id.encode(),
        )
        if expected != server_id.encode():
            sock.sendall(
                b'HTTP/1.1 421 Misdirected\r\n'
                b'Content-Length: 0\r\n%b\r\n' % common_headers
            )
            return True
        if self.leaves:
            common_headers = b'%bServer-Leaving: 1\r\n' % common_headers
        if self.limit:
            limit = b'Server-Limit: %.1f\r\n' % self.limit
            common_headers += limit
        if self.refuses:
            sock.sendall(
                b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n%b\r\n' % common_headers
            )
            return True
        is_deadly = request.body.startswith(DEADLY)
        blocks = [] if is_deadly else self._list_blocks(request, request_id)
        run = Run(
            request_id=request_id.decode(),
            server_id=server_id,
            body=request.body,
            answer=b''.join(blocks),
            at=time.monotonic(),
            workspaces=tuple(find_headers(request.headers, b'tenant')),
            keys=tuple(find_headers(request.headers, b'x-api-key')),
        )
        self._observations.record_run(run)
        if is_deadly or self.loses:
            self._observations.broken_off_ids.add(run.request_id)
        if is_deadly:
            self._crash(self)
            return False
        if self.loses:
            return False
        return self._send_answer(sock, run.request_id, common_headers, blocks)

    def _answer_quietly(self, sock: Any, request: HttpRequest) -> bool:
        # The gateway closes the connection when the caller disconnects.
        try:
            return self._answer(sock, request)
        except OSError:
            return False

    def _list_blocks(
        self, request: HttpRequest, request_id: bytes
    ) -> list[bytes]:
        if self.service != 'engines':
            return [b'answer to %b' % request_id]
        text, count, first = request_id, random.randint(1, MAX_EVENTS), 1
        if request.target == STREAM_PATH.encode():
            text, _, number = request.body.partition(b' ')
            count = int(number)
            resume_after = find_header(request.headers, b'last-event-id')
            first += int(resume_after or 0)
        return [
            b'id: %d\ndata: %b-%b-%d\n\n'
            % (number, text, self.version.encode(), number)
            for number in range(first, count + 1)
        ]

    def _send_answer(
        self,
        sock: Any,
        request_id: str,
        common_headers: bytes,
        blocks: list[bytes],
    ) -> bool:
        is_engine = self.service == 'engines'
        # Half of the streams have neither a length nor chunks.
        is_chunked = not is_engine or random.choice((True, False))
        framing = b'Transfer-Encoding: chunked\r\n' if is_chunked else b''
        sock.sendall(b'HTTP/1.1 200 OK\r\n%b%b\r\n' % (framing, common_headers))
        server_id = self.server_id
        for block in blocks:
            gevent.sleep(
                EVENT_INTERVAL_SECONDS if is_engine else PLAIN_ANSWER_SECONDS
            )
            if self.breaks or self.server_id != server_id:
                self._observations.broken_off_ids.add(request_id)
                break_answer(sock, block, is_chunked=is_chunked)
                return False
            sock.sendall(encode_block(block, is_chunked=is_chunked))
        if is_chunked:
            sock.sendall(encode_block(b'', is_chunked=True))
        return is_chunked


def encode_block(block: bytes, *, is_chunked: bool) -> bytes:
    """Return a block of a body as it is sent."""
    return b'%x\r\n%b\r\n' % (len(block), block) if is_chunked else block


def break_answer(sock: Any, block: bytes, *, is_chunked: bool) -> None:
    """Reset the connection, or end the answer inside a block.

    A plain answer in chunks that ends in order would be a whole one.
    """
    half = encode_block(block[: len(block) // 2], is_chunked=is_chunked)
    is_event = block.startswith(b'id:')
    end = random.choice(('reset', 'close', 'last chunk'))
    if end == 'reset':
        reset_socket(sock)
        return
    sock.sendall(half)
    if is_chunked and is_event and end == 'last chunk':
        sock.sendall(encode_block(b'', is_chunked=True))
