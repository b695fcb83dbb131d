"""Parse the bytes of callers into requests."""

import collections
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import httptools

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.header_names import (
    Headers,
    find_header,
)
from bronzepost._internal.gateway.callers.http_messages import HttpRequest

# A body whose length is not announced gets room in steps of this size.
_RESERVE_STEP_BYTES: Final = 262144
# Colon, space and CRLF of a header line.
_HEADER_OVERHEAD_BYTES: Final = 4
# Callers send up to some dozens of headers and hardly any trailers. A header of two
# letters takes thirty times its bytes, so a bound on bytes is not enough.
MAX_HEADERS: Final = 256
# A header in memory beyond its content: a tuple and two objects.
HEADER_OBJECT_BYTES: Final = 160
# The first line's method and version, and the line ends, beyond the limit of headers.
_HEAD_ALLOWANCE_BYTES: Final = 1024
# A head is passed to the parser in pieces, since the parser keeps a part of it until
# the part is complete.
_HEAD_PIECE_BYTES: Final = 1024
# Where a body in chunks ends is not known, so a piece of it may have later requests.
_CHUNKED_PIECE_BYTES: Final = 16384
# The bytes that frame a chunk, for each byte of the body. Text in chunks of a few
# letters has about as many.
_FRAMING_PER_BODY_BYTE: Final = 2
# Requests that a caller sends before it gets an answer are parsed up to this number.
MAX_PARSED: Final = 8
# Blocks of a body that are smaller are joined up to the size below.
_SMALL_BLOCK_BYTES: Final = 4096
_JOINED_BYTES: Final = 65536


class MessageTooLargeError(ProtocolError):
    """A request exceeds the size limits."""

    def __init__(self, message: str, *, status: HTTPStatus) -> None:
        """Set the HTTP status of the refusal."""
        super().__init__(message, step='read request')
        self.status = status


class BodyBlocks:
    """The blocks of a body, of which small ones are joined.

    Each object in memory has some ten bytes beside its content. One growing buffer
    would copy what it has again and again.
    """

    def __init__(self) -> None:
        """Start with no bytes."""
        self._blocks: list[bytes] = []
        self._small = bytearray()

    def add(self, block: bytes) -> None:
        """Add a block."""
        if len(block) < _SMALL_BLOCK_BYTES:
            self._small += block
            if len(self._small) >= _JOINED_BYTES:
                self._join_small()
            return
        if self._small:
            self._join_small()
        self._blocks.append(block)

    def pop(self) -> bytes:
        """Return the whole body, and keep none of it."""
        self._join_small()
        body = b''.join(self._blocks)
        self._blocks.clear()
        return body

    def _join_small(self) -> None:
        self._blocks.append(bytes(self._small))
        self._small.clear()


class RequestBounds:
    """Bound the bytes of one request by the limits of callers.

    ``head_bytes`` have arrived since the end of the last request until the head
    was complete.
    """

    def __init__(self, *, header_bytes: int, body_bytes: int) -> None:
        """Limit the size of the headers and of the body."""
        self._limits = (header_bytes, body_bytes)
        self.reset()

    def reset(self) -> None:
        """Start with the next request."""
        self.head_bytes = 0
        # Targets and headers that are complete, which are counted exactly.
        self._parsed_bytes = 0
        # Bytes between those of the body, in all and since the last block.
        self._framing_bytes = 0
        self._gap_bytes = 0

    def add_head(self, piece_bytes: int) -> None:
        """Add bytes of a head that is not complete."""
        self.head_bytes += piece_bytes
        self._check_head(self.head_bytes - _HEAD_ALLOWANCE_BYTES)

    def add_parsed(self, size: int) -> None:
        """Add a part of the target, or a header or trailer."""
        self._parsed_bytes += size
        self._check_head(self._parsed_bytes)

    def add_framing(self, size: int, *, body_bytes: int, added: int) -> None:
        """Add bytes that brought ``added`` bytes of a body in chunks."""
        self._framing_bytes += size - added
        self._gap_bytes = 0 if added else self._gap_bytes + size
        self._check_head(self._gap_bytes)
        allowed_bytes = _FRAMING_PER_BODY_BYTE * body_bytes
        if self._framing_bytes > self._limits[0] + allowed_bytes:
            raise ProtocolError(
                f'{self._framing_bytes} bytes frame a body of {body_bytes}',
                step='read request',
            )

    def check_body(self, size: int) -> None:
        """Refuse a body that is larger than the limit."""
        if size > self._limits[1]:
            raise MessageTooLargeError(
                f'the body is larger than {self._limits[1]} bytes',
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def _check_head(self, size: int) -> None:
        if size > self._limits[0]:
            raise MessageTooLargeError(
                f'the headers are larger than {self._limits[0]} bytes',
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )


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
        self._bounds = RequestBounds(
            header_bytes=header_bytes, body_bytes=body_bytes
        )
        self._parser: Any = httptools.HttpRequestParser(self)
        self._is_in_request = False
        self._is_in_body = False
        self._unparsed = b''
        # The error of bytes that came behind requests in ``requests``.
        self._error: ProtocolError | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = BodyBlocks()
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Return whether no part of the next request has arrived."""
        has_more = self._is_in_request or self._unparsed or self.requests
        return not (has_more or self._error)

    @property
    def is_in_body(self) -> bool:
        """Return whether the head of the current request is complete."""
        return self._is_in_body

    @property
    def beside_bytes(self) -> int:
        """Return the bytes in memory beside the body of the current request."""
        waiting = sum(measure_request(request) for request in self.requests)
        headers = HEADER_OBJECT_BYTES * len(self._headers)
        return len(self._unparsed) + self._bounds.head_bytes + headers + waiting

    def feed(self, received: bytes) -> None:
        """Parse bytes and append complete requests to ``requests``.

        Bytes after some requests are kept until ``requests`` has been emptied
        and ``feed`` is called again, also with no bytes. So is an error of what
        follows a complete request.

        Raises:
            ProtocolError: if the bytes are not HTTP/1.1 or a request exceeds
                the size limits, once ``requests`` is empty.
        """
        if self._error is None:
            try:
                self._feed_pieces(self._unparsed + received)
            except ProtocolError as error:
                if not self.requests:
                    raise
                self._error = drop_causes(error)
                self._reset()
        elif not self.requests:
            raise self._error

    def discard(self) -> None:
        """Drop all that was read; nothing can be fed any more."""
        # The parser refers to this object and would keep both in memory.
        self._parser = None
        self._unparsed = b''
        self.requests.clear()
        self._reset()
        self._bounds.reset()

    def on_message_begin(self) -> None:
        """Start a request; the parser calls this and the other callbacks."""
        self._reset()
        self._is_in_request = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._target += url
        self._bounds.add_parsed(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if len(self._headers) >= MAX_HEADERS:
            raise MessageTooLargeError(
                f'there are more than {MAX_HEADERS} headers',
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        self._headers.append((name, value))
        self._bounds.add_parsed(len(name) + len(value) + _HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Set ``expects_continue`` if the request has an Expect header."""
        self._is_in_body = True
        headers = tuple(self._headers)
        self.expects_continue = find_header(headers, b'expect') is not None
        length = int(find_header(headers, b'content-length') or 0)
        self._bounds.check_body(length)
        if length:
            self._length = length
            self._reserved_bytes = length
            self._reserve(length)

    def on_body(self, block: bytes) -> None:
        """Add a block of the body."""
        self.expects_continue = False
        self.body_bytes += len(block)
        self._bounds.check_body(self.body_bytes)
        if self.body_bytes > self._reserved_bytes:
            self._reserved_bytes = self.body_bytes + _RESERVE_STEP_BYTES
            self._reserve(self._reserved_bytes)
        self._body.add(block)

    def on_message_complete(self) -> None:
        """Append the request to ``requests``."""
        self._is_in_request = False
        self._is_in_body = False
        self.expects_continue = False
        self.requests.append(
            HttpRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=tuple(self._headers),
                body=self._body.pop(),
                keep_alive=self._parser.should_keep_alive(),
                is_http11=self._parser.get_http_version() == '1.1',
            )
        )
        # They are not kept beside the request while it runs.
        self._headers = []
        self._bounds.reset()

    def _feed_pieces(self, content: bytes) -> None:
        self._unparsed = b''
        start = 0
        with memoryview(content) as view:
            while start < len(content) and len(self.requests) < MAX_PARSED:
                end = self._find_piece_end(content, start)
                self._feed_piece(view[start:end])
                start = end
        self._unparsed = content[start:]

    def _feed_piece(self, piece: memoryview) -> None:
        was_in_body = self._is_in_body
        body_bytes = self.body_bytes
        request_count = len(self.requests)
        parse_piece(self._parser, piece, self.requests)
        if len(self.requests) != request_count:
            # Where in the piece a request ends is not known.
            return
        if not self._is_in_body:
            self._bounds.add_head(len(piece))
        elif was_in_body:
            self._bounds.add_framing(
                len(piece),
                body_bytes=self.body_bytes,
                added=self.body_bytes - body_bytes,
            )

    def _find_piece_end(self, content: bytes, start: int) -> int:
        """Return the end of the bytes that are parsed next.

        Little of a later request may be in them, since the parser goes on with
        it.
        """
        piece_bytes = _HEAD_PIECE_BYTES
        if self._is_in_body:
            rest_bytes = self._length - self.body_bytes
            piece_bytes = rest_bytes if self._length else _CHUNKED_PIECE_BYTES
        return min(start + piece_bytes, len(content))

    def _reset(self) -> None:
        self._target = b''
        self._headers = []
        self._body = BodyBlocks()
        self.body_bytes = 0
        self._length = 0
        self._reserved_bytes = 0


def parse_piece(
    parser: Any, piece: memoryview, requests: collections.deque[HttpRequest]
) -> None:
    """Parse bytes with a parser that appends to ``requests``.

    Raises:
        ProtocolError: if the bytes are not HTTP/1.1 or if a callback refuses them.
    """
    try:
        parser.feed_data(piece)
    except httptools.HttpParserUpgrade:
        # The parser has completed the request that asks for the upgrade.
        requests.pop()
        raise ProtocolError('upgrade refused', step='read request') from None
    except httptools.HttpParserError as error:
        cause = error.__context__
        if isinstance(cause, ProtocolError):
            raise cause from error
        raise ProtocolError(str(error), step='read request') from error


def drop_causes(error: ProtocolError) -> ProtocolError:
    """Return an error without what would keep the parsed bytes in memory."""
    error.__cause__ = None
    error.__context__ = None
    return error.with_traceback(None)


def measure_request(request: HttpRequest) -> int:
    """Return about how many bytes a request takes in memory."""
    return len(request.body) + measure_head(request.target, request.headers)


def measure_head(target: bytes, headers: Headers) -> int:
    """Return about how many bytes a target and headers take in memory."""
    texts = sum(len(name) + len(text) for name, text in headers)
    return len(target) + texts + HEADER_OBJECT_BYTES * len(headers)
