"""Parse the bytes of servers into answers."""

from http import HTTPStatus
from typing import Final

import httptools

from bronzepost._internal.core.http_statuses import is_status
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.header_names import (
    Headers,
    find_header,
)
from bronzepost._internal.gateway.callers.http_messages import AnswerHead

# Bytes that a server may send without a part of the answer: headers, interim
# answers, late answers to earlier requests, extensions and trailers of chunks.
MAX_OVERHEAD_BYTES: Final = 262144
# Headers and trailers of one answer. A header in memory takes far more than its bytes,
# and servers send a few dozen.
MAX_HEADERS: Final = 256
# The size of a header in memory beyond its content: a tuple and two objects.
HEADER_OVERHEAD_BYTES: Final = 128
# More pieces of a body than this are joined, since each is an object of its own.
MAX_PIECES: Final = 64
_MIN_FINAL_STATUS: Final = 200
_BODILESS_STATUSES: Final = frozenset((
    HTTPStatus.NO_CONTENT,
    HTTPStatus.NOT_MODIFIED,
))


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
        # Whether headers of the answer were left out.
        self._is_cut = False
        self._invalid_status: int | None = None
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
        if self._is_cut or not self.is_complete:
            self._check_answer()

    def feed_eof(self) -> bool:
        """Handle a closed connection; return whether the answer is complete.

        An answer with neither a length nor chunks ends with its connection.
        """
        head = self.head
        if head and head.length is None and not head.is_chunked:
            self.is_complete = True
        return self.is_complete

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are kept beside the body.

        The parser keeps the incomplete header, which is part of the overhead.
        """
        return max(self._overhead_bytes, self._header_bytes)

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
        self._header_count += 1
        # Trailers are not used.
        if self.head is None and self._header_count <= MAX_HEADERS:
            self._headers.append((name, value))
            self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Set the head if this is the expected answer."""
        status = self._parser.get_status_code()
        if not is_status(status):
            self._invalid_status = status
            self._is_skipping = True
            return
        headers = tuple(self._headers)
        self._is_skipping = status < _MIN_FINAL_STATUS or not self._is_expected(
            headers
        )
        if self.is_complete or self._is_skipping:
            return
        self._is_cut = self._header_count > MAX_HEADERS
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
            if len(self._blocks) > MAX_PIECES:
                self._blocks = [self.pop_body()]

    def on_message_complete(self) -> None:
        """Mark the answer as complete if it is the expected one."""
        if not self._is_skipping:
            self.is_complete = True

    def _check_answer(self) -> None:
        """Check what has arrived of an answer that may go on.

        Raises:
            ProtocolError: if it is no answer, or larger than any answer.
        """
        problem = ''
        if self._invalid_status is not None:
            problem = f'{self._invalid_status:03d} is no status'
        elif self._overhead_bytes > MAX_OVERHEAD_BYTES:
            problem = (
                f'{self._overhead_bytes} bytes without a part of the answer'
            )
        # Late answers that are skipped are bounded by their bytes.
        elif self._is_cut or self._header_count > MAX_HEADERS:
            problem = f'an answer with more than {MAX_HEADERS} headers'
        if problem:
            raise ProtocolError(problem, step='read answer')

    def _is_expected(self, headers: Headers) -> bool:
        id_header, request_id = self._expected_id
        repeated_id = find_header(headers, id_header)
        return repeated_id is None or repeated_id == request_id

    def _reset(self) -> None:
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_count = 0
        self._header_bytes = 0
