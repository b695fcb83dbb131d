"""Read HTTP/1.1 messages with the parser of ``httptools``.

gevent's WSGI server hands a request to an application without its raw header
lines, and decides itself when a connection ends. A gateway has to pass both
on unchanged, so it reads messages with a parser library instead.
"""

import collections
import dataclasses
from http import HTTPStatus
from typing import Final

import httptools

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.header_names import Headers, find_header

CRLF: Final = b'\r\n'
_FINAL_STATUS: Final = 200
# The colon, the space and the line end of a header.
_HEADER_OVERHEAD_BYTES: Final = 4
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A whole request as a caller sent it."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    is_http11: bool = True

    @property
    def host(self) -> str:
        """Return the value of the Host header, or an empty text."""
        return (find_header(self.headers, b'host') or b'').decode('latin-1')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer.

    ``length`` is the announced size of the body in bytes. Without it the
    body is chunked, or ends with the connection if ``is_chunked`` is false.
    """

    status: int
    reason: bytes
    headers: Headers
    length: int | None
    is_chunked: bool
    keep_alive: bool


class MessageTooLargeError(ProtocolError):
    """A request is larger than the limits allow."""

    def __init__(self, message: str, *, status: HTTPStatus) -> None:
        """Keep the status with which to answer."""
        super().__init__(message, step='read request')
        self.status = status


class RequestReader:
    """Turn the bytes of a caller's connection into requests."""

    def __init__(self, *, header_bytes: int, body_bytes: int) -> None:
        """Keep the limits of a request, in bytes."""
        self.requests: collections.deque[HttpRequest] = collections.deque()
        self.expects_continue = False
        self._limits = (header_bytes, body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._is_open = False
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Return whether no part of a further request has arrived."""
        return not self._is_open

    def feed(self, received: bytes) -> None:
        """Take bytes; whole requests are added to ``requests``.

        Raises:
            ProtocolError: if the bytes are not HTTP/1.1, or too many.
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
        """Start a request."""
        self._reset()
        self._is_open = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name, text))
        self._count_head(len(name) + len(text) + _HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Note a caller that waits before it sends the body."""
        expectation = find_header(tuple(self._headers), b'expect')
        self.expects_continue = expectation is not None

    def on_body(self, block: bytes) -> None:
        """Take a block of the body."""
        self.expects_continue = False
        self._body_size += len(block)
        if self._body_size > self._limits[1]:
            raise MessageTooLargeError(
                f'the body is larger than {self._limits[1]} bytes',
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        self._blocks.append(block)

    def on_message_complete(self) -> None:
        """Add the request to those that are whole."""
        self._is_open = False
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

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._blocks: list[bytes] = []
        self._body_size = 0
        self._head_size = 0

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._limits[0]:
            raise MessageTooLargeError(
                f'the headers are larger than {self._limits[0]} bytes',
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )


class AnswerReader:
    """Turn the bytes of a backend server's connection into one answer.

    Interim answers with a status below 200 are skipped, and so are answers
    that repeat the id of another request: they are late.
    """

    def __init__(
        self, *, id_header: bytes = b'', request_id: bytes = b''
    ) -> None:
        """Start before the first byte of an answer to ``request_id``."""
        self.head: AnswerHead | None = None
        self.is_complete = False
        self.has_surplus = False
        self._is_skipping = False
        self._own_id = (id_header, request_id)
        self._parser = httptools.HttpResponseParser(self)
        self._blocks: list[bytes] = []
        self._reset()

    def feed(self, received: bytes) -> None:
        """Take bytes.

        Raises:
            ProtocolError: if they are not HTTP/1.1. Bytes after a complete
                answer only set ``has_surplus``.
        """
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            if not self.is_complete:
                raise ProtocolError(str(err), step='read answer') from err
            self.has_surplus = True

    def feed_eof(self) -> bool:
        """Take an orderly close; return whether the answer is complete.

        An answer with neither a length nor chunks ends with its connection.
        """
        head = self.head
        if head and head.length is None and not head.is_chunked:
            self.is_complete = True
        return self.is_complete

    def take_body(self) -> bytes:
        """Return the part of the body that arrived since the last call."""
        taken = b''.join(self._blocks)
        self._blocks.clear()
        return taken

    def on_message_begin(self) -> None:
        """Start an answer, or note bytes after the one that is complete."""
        if self.is_complete:
            self.has_surplus = True
        else:
            self._reset()

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase."""
        if not self.is_complete:
            self._reason = reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        if not self.is_complete:
            self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Keep the head of a final answer."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._is_skipping = status < _FINAL_STATUS or not self._is_own(headers)
        if self.is_complete or self._is_skipping:
            return
        length = find_header(headers, b'content-length')
        coding = find_header(headers, b'transfer-encoding')
        if status in _BODILESS:
            length = b'0'
        self.head = AnswerHead(
            status=status,
            reason=self._reason,
            headers=headers,
            length=None if length is None else int(length),
            is_chunked=coding is not None,
            keep_alive=self._parser.should_keep_alive(),
        )

    def on_body(self, block: bytes) -> None:
        """Take a block of the body."""
        if not (self.is_complete or self._is_skipping):
            self._blocks.append(block)

    def on_message_complete(self) -> None:
        """Note the end of a final answer."""
        if not self._is_skipping:
            self.is_complete = True

    def _is_own(self, headers: Headers) -> bool:
        id_header, request_id = self._own_id
        echoed = find_header(headers, id_header)
        return echoed is None or echoed == request_id

    def _reset(self) -> None:
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return a request or status line with headers and the empty line."""
    lines = [first_line, *(b'%b: %b' % pair for pair in headers), b'', b'']
    return CRLF.join(lines)


def encode_chunk(block: bytes) -> bytes:
    """Return a block in chunked transfer coding; an empty one ends it."""
    return b'%x\r\n%b\r\n' % (len(block), block)
