"""Parsing of HTTP messages, and refusal of ambiguous ones."""

import testtools
from testtools.matchers import HasLength

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.event_stream import EventSplitter
from bronzepost._internal.gateway.callers.header_names import (
    strip_connection_headers,
)
from bronzepost._internal.gateway.callers.request_reader import (
    MessageTooLargeError,
    RequestReader,
)

LIMIT = 1000
# An answer to the request, and a late one to the request before it.
OWN = b'HTTP/1.1 200 OK\r\nRequest: q-2\r\nContent-Length: 3\r\n\r\nown'
LATE = b'HTTP/1.1 200 OK\r\nRequest: q-1\r\nContent-Length: 4\r\n\r\nlate'


def read_requests(content: bytes) -> RequestReader:
    reader = RequestReader(header_bytes=LIMIT, body_bytes=LIMIT)
    reader.feed(content)
    return reader


class TestRequests(testtools.TestCase):
    """A request that two parsers could split differently is refused."""

    def test_two_lengths_are_refused(self) -> None:
        content = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        self.assertRaises(ProtocolError, read_requests, content)

    def test_folded_header_is_refused(self) -> None:
        content = b'GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n'
        self.assertRaises(ProtocolError, read_requests, content)

    def test_space_before_colon_is_refused(self) -> None:
        content = b'GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc'
        self.assertRaises(ProtocolError, read_requests, content)

    def test_large_header_is_refused(self) -> None:
        content = b'GET / HTTP/1.1\r\nPad: %b\r\n\r\n' % (b'x' * LIMIT)
        error = self.assertRaises(MessageTooLargeError, read_requests, content)
        self.assertEqual(431, error.status)

    def test_large_chunked_body_is_refused(self) -> None:
        head = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        chunk = b'%x\r\n%b\r\n' % (LIMIT + 1, b'x' * (LIMIT + 1))
        error = self.assertRaises(
            MessageTooLargeError, read_requests, head + chunk
        )
        self.assertEqual(413, error.status)

    def test_requests_in_one_segment_are_separated(self) -> None:
        """A body must not be read as a part of the next request."""
        content = b'POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /b HTTP/1.1\r\n\r\n'
        first, second = read_requests(content).requests
        self.assertEqual(b'ab', first.body)
        self.assertEqual(b'/b', second.target)

    def test_connection_headers_are_dropped(self) -> None:
        headers = (
            (b'Connection', b'close, X-Own'),
            (b'X-Own', b'1'),
            (b'TE', b'trailers'),
            (b'Kept', b'2'),
        )
        self.assertEqual(((b'Kept', b'2'),), strip_connection_headers(headers))


class TestAnswers(testtools.TestCase):
    """An answer is matched to its request, and known to be complete or not."""

    def read(self, *blocks: bytes) -> AnswerReader:
        reader = AnswerReader(id_header=b'request', request_id=b'q-2')
        for block in blocks:
            reader.feed(block)
        return reader

    def test_late_answer_is_skipped(self) -> None:
        """It is a second answer to an earlier request on the connection."""
        reader = self.read(LATE + OWN)
        self.assertEqual(b'own', reader.pop_body())
        self.assertIs(True, reader.is_complete)

    def test_late_answer_alone_is_no_answer(self) -> None:
        reader = self.read(LATE)
        self.assertIsNone(reader.head)
        self.assertIs(False, reader.is_complete)

    def test_surplus_is_detected(self) -> None:
        """A connection with bytes after an answer must not be used again."""
        reader = self.read(OWN + LATE)
        self.assertEqual(b'own', reader.pop_body())
        self.assertIs(True, reader.has_surplus)

    def test_surplus_that_is_not_http_is_detected(self) -> None:
        self.assertIs(True, self.read(OWN, b'garbage').has_surplus)

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        reader = self.read(b'HTTP/1.1 200 OK\r\n\r\nbody')
        self.assertIs(False, reader.is_complete)
        self.assertIs(True, reader.feed_eof())

    def test_truncated_answer_is_not_complete(self) -> None:
        self.assertIs(False, self.read(OWN[:-1]).feed_eof())

    def test_interim_answer_is_skipped(self) -> None:
        reader = self.read(b'HTTP/1.1 100 Continue\r\n\r\n', OWN)
        self.assertEqual(b'own', reader.pop_body())

    def test_bytes_that_are_not_http_are_refused(self) -> None:
        self.assertRaises(ProtocolError, self.read, b'\x00\x01\x02')


class TestEvents(testtools.TestCase):
    """A stream can be resumed at another server after its last whole event."""

    def test_event_split_between_blocks_is_passed_on_whole(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(b'', splitter.feed(b'id: 1\ndata: a\n'))
        whole = splitter.feed(b'\nid: 2\nda')
        self.assertEqual(b'id: 1\ndata: a\n\n', whole)
        self.assertEqual(b'1', splitter.last_id)

    def test_incomplete_event_is_dropped(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        splitter.drop_partial_event()
        self.assertEqual(
            b'id: 2\ndata: b\n\n', splitter.feed(b'id: 2\ndata: b\n\n')
        )
        self.assertEqual([b'a', b'b'], list(splitter.event_data))
        self.assertThat(splitter.event_data, HasLength(splitter.event_count))
