"""Backend servers of a soak: engines and desks with failures."""

import random
from typing import Any, Final

import gevent

from bronzepost._internal.gateway.header_names import find_header
from bronzepost._internal.gateway.http_messages import HttpRequest
from tests.builders_gateway_servers import ScriptedServer
from tests.soak.links import Link
from tests.soak.observations import Observations, Run

MOST_EVENTS: Final = 4
EVENT_SECONDS: Final = 0.02
DESK_SECONDS: Final = 0.01


class Backend:
    """One server behind a link of its own, which may fail in several ways.

    ``refuses`` answers that requests did not run, ``loses`` runs them and
    closes the connection, ``breaks`` stops in the middle of an answer.
    """

    def __init__(
        self, *, server_id: str, service: str, seen: Observations
    ) -> None:
        """Listen on a free port of the loopback interface."""
        self.server_id = server_id
        self.service = service
        self.refuses = False
        self.loses = False
        self.breaks = False
        self._seen = seen
        self._server = ScriptedServer(script=self._answer_quietly)
        self.link = Link(target=self._server.address)

    def close(self) -> None:
        """Stop listening."""
        self.link.close()
        self._server.close()

    def _answer(self, sock: Any, request: HttpRequest) -> bool:
        request_id = find_header(request.headers, b'request-id') or b''
        expected = find_header(request.headers, b'expect-instance')
        head = b'Request-Id: %b\r\nServer-Stamp: s-%b\r\n' % (
            request_id,
            request_id,
        )
        if self.refuses or expected != self.server_id.encode():
            sock.sendall(
                b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n%b\r\n' % head
            )
            return True
        blocks = self._list_blocks(request_id)
        run = Run(
            request_id=request_id.decode(),
            server_id=self.server_id,
            body=request.body,
            answer=b''.join(blocks),
        )
        self._seen.note_run(run)
        if self.loses:
            return False
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b\r\n' % head
        )
        return self._send_blocks(sock, blocks)

    def _answer_quietly(self, sock: Any, request: HttpRequest) -> bool:
        # The gateway closes the connection when the caller leaves.
        try:
            return self._answer(sock, request)
        except OSError:
            return False

    def _list_blocks(self, request_id: bytes) -> list[bytes]:
        if self.service != 'engines':
            return [b'answer to %b' % request_id]
        count = random.randint(1, MOST_EVENTS)  # noqa: S311
        return [
            b'id: %d\ndata: %b-%d\n\n' % (number, request_id, number)
            for number in range(1, count + 1)
        ]

    def _send_blocks(self, sock: Any, blocks: list[bytes]) -> bool:
        is_engine = self.service == 'engines'
        for block in blocks:
            gevent.sleep(EVENT_SECONDS if is_engine else DESK_SECONDS)
            sock.sendall(b'%x\r\n%b\r\n' % (len(block), block))
            if self.breaks:
                return False
        sock.sendall(b'0\r\n\r\n')
        return True
