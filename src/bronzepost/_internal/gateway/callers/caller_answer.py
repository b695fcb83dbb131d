"""The answer that a caller gets to one request."""

from http import HTTPStatus
from typing import Any

from bronzepost._internal.exceptions import (
    RefusedError,
)
from bronzepost._internal.gateway.callers.caller_outbox import (
    CallerOutbox,
    WaitContext,
)
from bronzepost._internal.gateway.callers.header_names import (
    Headers,
    strip_connection_headers,
)
from bronzepost._internal.gateway.callers.held_memory import (
    HeldMemory,
)
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
    encode_chunk,
    encode_head,
)
from bronzepost._internal.gateway.links.tcp_options import set_reset_on_close
from bronzepost._internal.refusal_bodies import encode_refusal


class CallerGoneError(Exception):
    """The caller closed its connection before its answer was complete."""


class CallerAnswer:
    """Write the answer to one request to the caller.

    ``status`` is the HTTP status, 0 until the head has been written.
    """

    def __init__(
        self,
        *,
        sock: Any,
        is_http11: bool,
        keep_alive: bool,
        memory: HeldMemory,
    ) -> None:
        """Write to a connection, to be kept open if ``keep_alive`` is true."""
        self.memory = memory
        self.status = 0
        self.is_complete = False
        self.keep_alive = keep_alive
        self._sock = sock
        self._outbox = CallerOutbox(sock=sock, memory=memory)
        self._is_http11 = is_http11
        self._is_chunked = False
        self._ends_with_close = False

    @property
    def is_started(self) -> bool:
        """Return whether the head of the answer has been written."""
        return self.status > 0

    @property
    def has_unsent(self) -> bool:
        """Return whether the caller has to read before the rest can be sent."""
        return self._outbox.has_unsent

    def wait_in(self, wait_context: WaitContext) -> None:
        """Enter a context while the caller has to read before a write."""
        self._outbox.wait_context = wait_context

    def start(self, head: AnswerHead) -> None:
        """Write the head of a backend server's answer.

        The body follows with ``write``. A body of unknown length is sent in
        chunks; to an HTTP/1.0 caller, it ends with the connection.
        """
        headers = strip_connection_headers(head.headers)
        self._is_chunked = head.length is None and self._is_http11
        if self._is_chunked:
            headers = (*headers, (b'Transfer-Encoding', b'chunked'))
        elif head.length is None:
            self.keep_alive = False
            self._ends_with_close = True
            # An orderly close would look like the end of the answer, also if
            # this process is killed.
            self._reset_on_close(is_reset=True)
        self._write_head(head.status, head.reason, headers)

    def ensure_started(self, head: AnswerHead) -> None:
        """Write the head unless it has been written."""
        if not self.is_started:
            self.start(head)

    def write(self, block: bytes) -> None:
        """Write a block of the body; wait if too much of it is unread."""
        if block:
            self._send(encode_chunk(block) if self._is_chunked else block)

    def finish(self) -> None:
        """End the answer; ``flush`` sends what the caller has not read yet."""
        if self._is_chunked:
            self._send(encode_chunk(b''))
        self.is_complete = True

    def flush(self) -> None:
        """Return when all that was written has been sent."""
        try:
            self._outbox.flush()
        except OSError as error:
            raise CallerGoneError(str(error)) from error
        if self._ends_with_close and self.is_complete:
            self._reset_on_close(is_reset=False)

    def close(self) -> None:
        """Drop what has not been sent."""
        self._outbox.close()

    def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Write the whole answer of a backend server."""
        length = b'%d' % len(body)
        headers = tuple(
            header
            for header in strip_connection_headers(head.headers)
            if header[0].lower() != b'content-length'
        )
        headers = (*headers, (b'Content-Length', length))
        self._write_head(head.status, head.reason, headers, body)
        self.is_complete = True

    def refuse(self, error: RefusedError) -> None:
        """Write a refusal by the gateway."""
        body = encode_refusal(error)
        headers: Headers = (
            (b'Content-Type', b'application/json'),
            (b'Content-Length', b'%d' % len(body)),
        )
        if error.retry_after_seconds is not None:
            retry_after = f'{error.retry_after_seconds:.3f}'.encode()
            headers = (*headers, (b'Retry-After', retry_after))
        reason = HTTPStatus(error.status).phrase.encode()
        self._write_head(error.status, reason, headers, body)
        self.is_complete = True

    def _write_head(
        self, status: int, reason: bytes, headers: Headers, body: bytes = b''
    ) -> None:
        self.status = status
        if not self.keep_alive:
            headers = (*headers, (b'Connection', b'close'))
        first_line = b'HTTP/1.1 %d %b' % (status, reason)
        self._send(encode_head(first_line, headers) + body)

    def _reset_on_close(self, *, is_reset: bool) -> None:
        try:
            set_reset_on_close(self._sock, is_reset=is_reset)
        except OSError as error:
            raise CallerGoneError(str(error)) from error

    def _send(self, content: bytes) -> None:
        try:
            self._outbox.send(content)
        except OSError as error:
            raise CallerGoneError(str(error)) from error
