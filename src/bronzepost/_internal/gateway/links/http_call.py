"""HTTP calls whose answers are read completely, over pooled connections."""

import dataclasses
from typing import Final

import gevent

from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.callers.header_names import Headers
from bronzepost._internal.gateway.callers.http_messages import (
    encode_head,
)
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange

GET: Final = b'GET'
POST: Final = b'POST'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """A complete answer of a server."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpService:
    """An HTTP server at ``IP:PORT``.

    ``timeout_seconds`` limits each call as a whole. The connection of a call
    that exceeds it is closed.
    """

    address: str
    pool: ConnectionPool
    timeout_seconds: float

    def call(
        self,
        method: bytes,
        target: str,
        *,
        step: str,
        body: bytes = b'',
        wait_seconds: float = 0,
    ) -> WholeAnswer:
        """Send a request and return its answer.

        ``wait_seconds`` is added to the timeout for long polls: the server may
        wait this long before it answers.

        Raises:
            ExchangeError: if there is no complete answer; ``was_sent`` tells
                whether the request may have reached the server.
        """
        timeout = self.timeout_seconds + wait_seconds
        timeout_error = ExchangeError(
            f'no answer within {timeout:g} s',
            step=step,
            peer=self.address,
            was_sent=True,
        )
        with gevent.Timeout(timeout, timeout_error):
            return self._exchange(method, target.encode('latin-1'), step, body)

    def _exchange(
        self, method: bytes, target: bytes, step: str, body: bytes
    ) -> WholeAnswer:
        connection = self.pool.acquire(self.address, step=step)
        exchange = BackendExchange(
            pool=self.pool,
            connection=connection,
            request_id=b'',
            id_header=b'',
            step=step,
        )
        headers: Headers = (
            (b'Host', self.address.encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', b'%d' % len(body)),
        )
        first_line = b'%b %b HTTP/1.1' % (method, target)
        with exchange:
            exchange.send(encode_head(first_line, headers), body)
            head = exchange.read_head()
            answer_body = b''.join(exchange.read_blocks())
        return WholeAnswer(
            status=head.status, headers=head.headers, body=answer_body
        )
