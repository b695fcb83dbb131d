"""Tests of bounds on what servers' bytes become in memory."""

import itertools
import tracemalloc
from typing import Final

import testtools

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.answer_reader import (
    MAX_HEADERS,
    AnswerReader,
)
from bronzepost._internal.gateway.callers.delivery import (
    MIN_HISTORY_BYTES,
    may_keep,
)
from bronzepost._internal.gateway.callers.event_stream import EventSplitter
from bronzepost._internal.gateway.callers.held_memory import HeldMemory

MEMORY_BYTES: Final = 160_000_000
MAX_STREAMS: Final = 1000
STEP_BYTES: Final = 16384


def make_head(count: int) -> bytes:
    """Return a head with a number of headers, without its last line."""
    headers = b''.join(itertools.repeat(b'a: b\r\n', count - 1))
    return b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b' % headers


class AnswerReaderTests(testtools.TestCase):
    """Answers of very many parts."""

    def test_headers_are_bounded(self) -> None:
        """Guards against heads that take many times their bytes."""
        reader = AnswerReader()
        reader.feed(make_head(MAX_HEADERS))
        self.assertGreater(reader.held_bytes, len(make_head(MAX_HEADERS)))
        self.assertRaises(ProtocolError, reader.feed, b'a: b\r\nc: d\r\n')

    def test_most_headers(self) -> None:
        """Guards against a bound that is lower than stated."""
        reader = AnswerReader()
        reader.feed(b'%b\r\n1\r\na\r\n0\r\n\r\n' % make_head(MAX_HEADERS))
        self.assertTrue(reader.is_complete)
        self.assertEqual(b'a', reader.pop_body())

    def test_trailers_are_bounded(self) -> None:
        """Guards against trailers without end."""
        reader = AnswerReader()
        reader.feed(b'%b\r\n0\r\n' % make_head(MAX_HEADERS))
        self.assertRaises(ProtocolError, reader.feed, b'a: b\r\nc: d\r\n')

    def test_headers_of_interim_answers_do_not_add_up(self) -> None:
        """Guards against a sound answer that is refused after interim ones."""
        reader = AnswerReader()
        for _ in range(3):
            headers = b'a: b\r\n' * (MAX_HEADERS - 1)
            reader.feed(b'HTTP/1.1 103 Early Hints\r\n%b\r\n' % headers)
        reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na')
        self.assertTrue(reader.is_complete)

    def test_tiny_chunks_are_joined(self) -> None:
        """Guards against an object for each byte of a body."""
        reader = AnswerReader()
        reader.feed(b'%b\r\n' % make_head(1))
        content = b'1\r\na\r\n' * 10_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        reader.feed(content)
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, 2 * 10_000)
        self.assertEqual(b'a' * 10_000, reader.pop_body())


class HistoryTests(testtools.TestCase):
    """Histories of streams that are kept until their end."""

    def test_histories_together_stay_below_the_mark(self) -> None:
        """Guards against streams that fill the memory with their histories."""
        memory = HeldMemory(memory_bytes=MEMORY_BYTES)
        held = [memory.open(HeldKind.ANSWERS) for _ in range(MAX_STREAMS)]
        for one in held[:100]:
            while may_keep(memory, one.size + STEP_BYTES):
                one.grow(STEP_BYTES)
        self.assertFalse(memory.is_full)
        self.assertTrue(
            all(one.size >= MIN_HISTORY_BYTES for one in held[:100])
        )

    def test_history_of_megabytes(self) -> None:
        """Guards against sound histories that are broken off."""
        memory = HeldMemory(memory_bytes=MEMORY_BYTES)
        held = memory.open(HeldKind.ANSWERS)
        held.resize(10_000_000)
        self.assertTrue(may_keep(memory, held.size))

    def test_tiny_events_take_little(self) -> None:
        """Guards against an object for each event of a history."""
        splitter = EventSplitter()
        splitter.feed(b'data: a\n\n')
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        splitter.feed(b'data: a\n\n' * 10_000)
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, 20 * 10_000)
        self.assertEqual(10_001, len(splitter.event_data))

    def test_end_of_an_event_in_two_blocks(self) -> None:
        """Guards against ends of events that are not found again."""
        stream = b'data: a\r\n\r\ndata: b\n\n\n\ndata: c\r\n\n'
        for size in range(len(stream)):  # noqa: WPS518 - the size is not a place
            splitter = EventSplitter()
            parts = (stream[:size], stream[size:])
            self.assertEqual(stream, b''.join(map(splitter.feed, parts)))
            self.assertEqual([b'a', b'b', b'c'], list(splitter.event_data))
