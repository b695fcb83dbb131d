"""Backend servers of a soak: engines and plain services that can fail."""

import random
from typing import Any, Final

import gevent

from bronzepost._internal.gateway.header_names import find_header
from bronzepost._internal.gateway.http_messages import HttpRequest
from tests.builders_gateway_servers import ScriptedServer
from tests.soak.links import Link
from tests.soak.observations import Observations, Run

MAX_EVENTS: Final = 4
EVENT_INTERVAL_SECONDS: Final = 0.02
PLAIN_ANSWER_SECONDS: Final = 0.01


class Backend:
    """One server behind its own link, with switches for failures.

    With ``refuses`` it answers that requests did not run. With ``loses`` it
    runs them and closes the connection without an answer. With ``breaks`` it
    closes the connection in the middle of an answer.
    """

    def __init__(
        self, *, server_id: str, service: str, observations: Observations
    ) -> None:
        """Listen on a free port of the loopback interface."""
        self.server_id = server_id
        self.service = service
        self.refuses = False
        self.loses = False
        self.breaks = False
        self._observations = observations
        self._server = ScriptedServer(script=self._answer_quietly)
        self.link = Link(target=self._server.address)

    def close(self) -> None:
        """Stop listening."""
        self.link.close()
        self._server.close()

    def _answer(self, sock: Any, request: HttpRequest) -> bool:
        request_id = find_header(request.headers, b'request-id') or b''
        expected = find_header(request.headers, b'expect-instance')
        common_headers = b'Request-Id: %b\r\nServer-Stamp: s-%b\r\n' % (
            request_id,
            request_id,
        )
        if self.refuses or expected != self.server_id.encode():
            sock.sendall(
                b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n%b\r\n' % common_headers
            )
            return True
        blocks = self._list_blocks(request_id)
        run = Run(
            request_id=request_id.decode(),
            server_id=self.server_id,
            body=request.body,
            answer=b''.join(blocks),
        )
        self._observations.record_run(run)
        if self.loses:
            return False
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b\r\n'
            % common_headers
        )
        return self._send_blocks(sock, blocks)

    def _answer_quietly(self, sock: Any, request: HttpRequest) -> bool:
        # The gateway closes the connection when the caller disconnects.
        try:
            return self._answer(sock, request)
        except OSError:
            return False

    def _list_blocks(self, request_id: bytes) -> list[bytes]:
        if self.service != 'engines':
            return [b'answer to %b' % request_id]
        count = random.randint(1, MAX_EVENTS)  # noqa: S311
        return [
            b'id: %d\ndata: %b-%d\n\n' % (number, request_id, number)
            for number in range(1, count + 1)
        ]

    def _send_blocks(self, sock: Any, blocks: list[bytes]) -> bool:
        is_engine = self.service == 'engines'
        for block in blocks:
            gevent.sleep(
                EVENT_INTERVAL_SECONDS if is_engine else PLAIN_ANSWER_SECONDS
            )
            sock.sendall(b'%x\r\n%b\r\n' % (len(block), block))
            if self.breaks:
                return False
        sock.sendall(b'0\r\n\r\n')
        return True
