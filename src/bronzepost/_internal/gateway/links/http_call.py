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
# Pages of the platform's store: a list has 1 MB of records at most, which is 1.4 MB in
# base64, with 500 keys in JSON.
MAX_ANSWER_BYTES: Final = 4_194_304


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
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> WholeAnswer:
        """Send a request and return its answer.

        ``wait_seconds`` is added to the timeout for long polls: the server may
        wait this long before it answers. An answer with a body of more than
        ``max_bytes`` breaks off.

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
            with self._open_exchange(step) as exchange:
                head = self._encode_head(method, target, body)
                exchange.send(head, body)
                return read_whole(exchange, max_bytes)

    def _open_exchange(self, step: str) -> BackendExchange:
        return BackendExchange(
            pool=self.pool,
            connection=self.pool.acquire(self.address, step=step),
            request_id=b'',
            id_header=b'',
            step=step,
        )

    def _encode_head(self, method: bytes, target: str, body: bytes) -> bytes:
        headers: Headers = (
            (b'Host', self.address.encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', b'%d' % len(body)),
        )
        first_line = b'%b %b HTTP/1.1' % (method, target.encode('latin-1'))
        return encode_head(first_line, headers)


def read_whole(exchange: BackendExchange, max_bytes: int) -> WholeAnswer:
    """Return the answer of an exchange; it breaks off above a size.

    Raises:
        ExchangeError: if the answer is larger or not complete.
    """
    head = exchange.read_head()
    body = bytearray()
    for block in exchange.read_blocks():
        body += block
        exchange.hold(len(body))
        if len(body) > max_bytes:
            raise exchange.break_off(
                f'the answer has more than {max_bytes} bytes'
            )
    return WholeAnswer(
        status=head.status, headers=head.headers, body=bytes(body)
    )
