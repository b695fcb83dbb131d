"""Parse the bytes of callers into requests."""

import collections
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import httptools

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import HttpRequest

# A body whose length is not announced gets room in steps of this size.
_RESERVE_STEP_BYTES: Final = 262144
# Colon, space and CRLF of a header line.
_HEADER_OVERHEAD_BYTES: Final = 4


class MessageTooLargeError(ProtocolError):
    """A request exceeds the size limits."""

    def __init__(self, message: str, *, status: HTTPStatus) -> None:
        """Set the HTTP status of the refusal."""
        super().__init__(message, step='read request')
        self.status = status


class RequestReader:
    """Parse the bytes of a caller's connection into requests.

    ``expects_continue`` is set while the caller waits for an interim answer
    (100 Continue) before it sends the body. ``body_bytes`` of the current body
    have arrived.
    """

    def __init__(
        self,
        *,
        header_bytes: int,
        body_bytes: int,
        reserve: Callable[[int], None] | None = None,
    ) -> None:
        """Limit the size of the headers and of the body.

        ``reserve`` is called before the bytes of a body are read, with the whole
        size as far as it is known, and may raise a ``ProtocolError``.
        """
        self._reserve = reserve or (lambda _size: None)
        self.requests: collections.deque[HttpRequest] = collections.deque()
        self.expects_continue = False
        self._limits = (header_bytes, body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._is_in_request = False
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Return whether no part of the next request has arrived."""
        return not self._is_in_request

    def feed(self, received: bytes) -> None:
        """Parse bytes and append complete requests to ``requests``.

        Raises:
            ProtocolError: if the bytes are not HTTP/1.1 or a request exceeds
                the size limits.
        """
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            raise ProtocolError(
                'upgrade refused', step='read request'
            ) from None
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, ProtocolError):
                raise cause from error
            raise ProtocolError(str(error), step='read request') from error

    def on_message_begin(self) -> None:
        """Start a request; the parser calls this and the other callbacks."""
        self._reset()
        self._is_in_request = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._target += url
        self._add_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))
        self._add_head_size(len(name) + len(value) + _HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Set ``expects_continue`` if the request has an Expect header."""
        headers = tuple(self._headers)
        self.expects_continue = find_header(headers, b'expect') is not None
        length = int(find_header(headers, b'content-length') or 0)
        self._check_body_size(length)
        if length:
            self._reserved_bytes = length
            self._reserve(length)

    def on_body(self, block: bytes) -> None:
        """Add a block of the body."""
        self.expects_continue = False
        self.body_bytes += len(block)
        self._check_body_size(self.body_bytes)
        if self.body_bytes > self._reserved_bytes:
            self._reserved_bytes = self.body_bytes + _RESERVE_STEP_BYTES
            self._reserve(self._reserved_bytes)
        self._blocks.append(block)

    def on_message_complete(self) -> None:
        """Append the request to ``requests``."""
        self._is_in_request = False
        self.expects_continue = False
        self.requests.append(
            HttpRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=tuple(self._headers),
                body=b''.join(self._blocks),
                keep_alive=self._parser.should_keep_alive(),
                is_http11=self._parser.get_http_version() == '1.1',
            )
        )
        # The blocks are not kept beside the body while the request runs.
        self._blocks.clear()

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._blocks: list[bytes] = []
        self.body_bytes = 0
        self._reserved_bytes = 0
        self._head_size = 0

    def _check_body_size(self, size: int) -> None:
        if size > self._limits[1]:
            raise MessageTooLargeError(
                f'the body is larger than {self._limits[1]} bytes',
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def _add_head_size(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._limits[0]:
            raise MessageTooLargeError(
                f'the headers are larger than {self._limits[0]} bytes',
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
