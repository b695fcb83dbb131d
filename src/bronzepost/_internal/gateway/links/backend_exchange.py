"""One request on one connection to a backend server."""

import contextlib
from collections.abc import Iterator
from typing import Any, Final

import gevent

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import ExchangeError, ProtocolError
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
)
from bronzepost._internal.gateway.links.backend_connections import (
    BackendConnection,
    ConnectionPool,
)

# A body up to this size fits into the socket buffers, so sending it does not
# block. A larger one is sent by a separate greenlet, because the server may
# answer before it has read the body.
_MAX_INLINE_BODY_BYTES: Final = 4096
# The part of a large body that is sent with the head. The rest is not copied.
_FIRST_BLOCK_BYTES: Final = 16384
# Less is not counted as held: heads of a few dozen headers.
_MIN_HELD_BYTES: Final = 8192


class BackendExchange:
    """A request to a backend server and its answer, used in a ``with`` block.

    Leaving the block before the answer is complete closes the connection, and
    the backend server stops processing the request.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        connection: BackendConnection,
        request_id: bytes,
        id_header: bytes,
        step: str,
    ) -> None:
        """Use an idle connection, which the exchange releases or closes.

        ``id_header`` is the header in which servers repeat the request id. An
        answer with another id is a late answer to an earlier request.
        """
        self.answer = AnswerReader(id_header=id_header, request_id=request_id)
        self._request_id = request_id
        self._pool = pool
        self._connection = connection
        self.step = step
        self._sender: Any = None
        # Whether the request could not be sent to its end.
        self._is_send_broken = False
        self._held = pool.memory.open(HeldKind.ANSWERS)
        self._body_bytes = 0

    def __enter__(self) -> 'BackendExchange':
        """Return the exchange."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Release the connection if it can be used again, or close it."""
        self._held.close()
        is_sent = self._sender is None or self._sender.value is True
        if self._sender is not None and not is_sent:
            self._sender.kill(block=False)
        if is_sent and self.answer.is_complete:
            self._pool.release(self._connection, answer=self.answer)
        else:
            self._pool.discard(self._connection)

    def send(self, head: bytes, body: bytes) -> None:
        """Send the request.

        Raises:
            ExchangeError: if the connection breaks before an answer arrives;
                the request may have run.
        """
        if len(body) > _MAX_INLINE_BODY_BYTES:
            self._sender = gevent.spawn(self._send_in_background, head, body)
            return
        try:
            self._connection.send(head + body)
        except OSError as error:
            self._is_send_broken = True
            # The server may have answered and closed the connection before it
            # read the whole request.
            if not self._try_read_head():
                raise self._build_error(error) from error

    def read_head(self) -> AnswerHead:
        """Return the head of the answer to this request.

        Raises:
            ExchangeError: if the connection breaks or the bytes are not HTTP.
        """
        while self.answer.head is None:
            self._receive()
        return self.answer.head

    def read_blocks(self) -> Iterator[bytes]:
        """Yield the body in blocks as they arrive.

        Raises:
            ExchangeError: if the connection breaks before the end.
        """
        block = self.answer.pop_body()
        if block:
            yield block
        while not self.answer.is_complete:
            self._receive()
            block = self.answer.pop_body()
            if block:
                yield block

    def confirm_refusal(self) -> bool:
        """Return whether a refusal is for this request, as its id says.

        Later attempts of the request then do not use the connection: a faulty
        server may repeat the refusal there, and its id would fit.
        """
        is_own = self.answer.has_id
        if is_own and self._request_id:
            self._connection.refused_ids.append(self._request_id)
        return is_own

    def hold(self, body_bytes: int) -> None:
        """Count a part of the body that is kept until the exchange ends."""
        self._body_bytes = body_bytes
        held_bytes = body_bytes + self.answer.held_bytes
        if held_bytes >= _MIN_HELD_BYTES or self._held.size:
            self._held.resize(held_bytes)

    def break_off(
        self, reason: str, *, is_local: bool = False
    ) -> ExchangeError:
        """Return an error for an answer whose content is not whole.

        With ``is_local`` the server is not at fault. The connection is not used
        again.
        """
        self.answer.has_surplus = True
        return self._build_error(ValueError(reason), is_local=is_local)

    def _receive(self) -> None:
        try:
            received = self._connection.receive()
        except OSError as error:
            raise self._build_error(error) from error
        if not received:
            # The error of a reset comes once. If the sender of the request got it,
            # the end of the connection looks orderly.
            if not self._is_send_broken and self.answer.feed_eof():
                self.answer.has_surplus = True
                return
            raise self._build_error(ConnectionError('closed before the end'))
        try:
            self.answer.feed(received)
        except ProtocolError as error:
            raise self._build_error(error) from error
        self.hold(self._body_bytes)

    def _send_in_background(self, head: bytes, body: bytes) -> bool:
        # If the connection is broken, reading the answer raises the error.
        with contextlib.suppress(OSError):
            self._connection.send(head + body[:_FIRST_BLOCK_BYTES])
            rest = memoryview(body)[_FIRST_BLOCK_BYTES:]
            if rest:
                self._connection.send_at_pace(rest)
            return True
        self._is_send_broken = True
        return False

    def _try_read_head(self) -> bool:
        with contextlib.suppress(ExchangeError):
            while self.answer.head is None:
                self._receive()
        return self.answer.head is not None

    def _build_error(
        self, error: Exception, *, is_local: bool = False
    ) -> ExchangeError:
        return ExchangeError(
            f'the exchange broke off: {error or type(error).__name__}',
            step=self.step,
            peer=self._connection.address,
            was_sent=True,
            relay=self._connection.relay,
            is_local=is_local,
        )
