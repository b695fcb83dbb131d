"""Read and write HTTP/1.1 messages, with the parser of ``httptools``.

gevent's WSGI server is not used: it does not give applications the raw header
lines, and it decides itself when to close a connection. A gateway has to
forward headers unchanged and to control its connections.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import httptools

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.header_names import (
    Headers,
    find_header,
)

CRLF: Final = b'\r\n'
# Bytes that a server may send without a part of the answer: headers, interim
# answers, late answers to earlier requests, extensions and trailers of chunks.
MAX_OVERHEAD_BYTES: Final = 262144
# A body whose length is not announced gets room in steps of this size.
_RESERVE_STEP_BYTES: Final = 262144
_MIN_FINAL_STATUS: Final = 200
# Colon, space and CRLF of a header line.
_HEADER_OVERHEAD_BYTES: Final = 4
_BODILESS_STATUSES: Final = frozenset((
    HTTPStatus.NO_CONTENT,
    HTTPStatus.NOT_MODIFIED,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A complete request as the caller sent it."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    is_http11: bool = True

    @property
    def host(self) -> str:
        """Return the value of the Host header, or an empty string."""
        return (find_header(self.headers, b'host') or b'').decode('latin-1')


class Framing(enum.StrEnum):
    """What tells the end of a body (RFC 9112, section 6.3)."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer.

    ``length`` is the Content-Length of the body. If it is None, the body is
    chunked or ends with the connection, as ``is_chunked`` tells.
    """

    status: int
    reason: bytes
    headers: Headers
    length: int | None
    is_chunked: bool
    keep_alive: bool

    @property
    def framing(self) -> Framing:
        """Return what tells the end of the body."""
        if self.is_chunked:
            return Framing.CHUNKED
        return Framing.CONNECTION if self.length is None else Framing.LENGTH


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


class AnswerReader:
    """Parse the bytes of a backend server's connection into one answer.

    Interim answers with a status below 200 are skipped. So are answers with
    the id of another request, which are late answers to an earlier one.
    ``has_surplus`` is set if more bytes follow the answer.
    """

    def __init__(
        self, *, id_header: bytes = b'', request_id: bytes = b''
    ) -> None:
        """Expect ``request_id`` in the header ``id_header``, if it is sent."""
        self.head: AnswerHead | None = None
        self.is_complete = False
        self.has_surplus = False
        self._is_skipping = False
        self._overhead_bytes = 0
        self._expected_id = (id_header, request_id)
        self._parser = httptools.HttpResponseParser(self)
        self._blocks: list[bytes] = []
        self._reset()

    def feed(self, received: bytes) -> None:
        """Parse bytes.

        Bytes after a complete answer only set ``has_surplus``.

        Raises:
            ProtocolError: if the bytes are not HTTP/1.1, or if too many bytes
                arrive that are no part of the answer.
        """
        self._overhead_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.is_complete:
                raise ProtocolError(str(error), step='read answer') from error
            self.has_surplus = True
        is_too_much = self._overhead_bytes > MAX_OVERHEAD_BYTES
        if is_too_much and not self.is_complete:
            raise ProtocolError(
                f'{self._overhead_bytes} bytes without a part of the answer',
                step='read answer',
            )

    def feed_eof(self) -> bool:
        """Handle a closed connection; return whether the answer is complete.

        An answer with neither a length nor chunks ends with its connection.
        """
        head = self.head
        if head and head.length is None and not head.is_chunked:
            self.is_complete = True
        return self.is_complete

    @property
    def has_id(self) -> bool:
        """Return whether the answer bears the id of the request, if that has one."""
        id_header, request_id = self._expected_id
        headers = self.head.headers if self.head else ()
        return not request_id or find_header(headers, id_header) == request_id

    def pop_body(self) -> bytes:
        """Return and remove the part of the body that has arrived."""
        body_part = b''.join(self._blocks)
        self._blocks.clear()
        return body_part

    def on_message_begin(self) -> None:
        """Start an answer, or set ``has_surplus`` after a complete one."""
        if self.is_complete:
            self.has_surplus = True
        else:
            self._reset()

    def on_status(self, reason: bytes) -> None:
        """Set the reason phrase."""
        if not self.is_complete:
            self._reason = reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if not self.is_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Set the head if this is the expected answer."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._is_skipping = status < _MIN_FINAL_STATUS or not self._is_expected(
            headers
        )
        if self.is_complete or self._is_skipping:
            return
        length = find_header(headers, b'content-length')
        transfer_coding = find_header(headers, b'transfer-encoding')
        if status in _BODILESS_STATUSES:
            length = b'0'
        self.head = AnswerHead(
            status=status,
            reason=self._reason,
            headers=headers,
            length=None if length is None else int(length),
            is_chunked=transfer_coding is not None,
            keep_alive=self._parser.should_keep_alive(),
        )

    def on_body(self, block: bytes) -> None:
        """Add a block of the body."""
        if not (self.is_complete or self._is_skipping):
            self._overhead_bytes = 0
            self._blocks.append(block)

    def on_message_complete(self) -> None:
        """Mark the answer as complete if it is the expected one."""
        if not self._is_skipping:
            self.is_complete = True

    def _is_expected(self, headers: Headers) -> bool:
        id_header, request_id = self._expected_id
        repeated_id = find_header(headers, id_header)
        return repeated_id is None or repeated_id == request_id

    def _reset(self) -> None:
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return a request or status line, the headers and an empty line."""
    lines = [first_line, *(b'%b: %b' % pair for pair in headers), b'', b'']
    return CRLF.join(lines)


def encode_chunk(block: bytes) -> bytes:
    """Return a chunk of a chunked body; an empty chunk ends the body."""
    return b'%x\r\n%b\r\n' % (len(block), block)
