"""Tests of the node's client with servers that send without end."""

from typing import Final

from testtools import TestCase

from tests.endless_probe import (
    CALL_TIMEOUT_SECONDS,
    COMMAND_TIMEOUT_SECONDS,
    Report,
    probe,
)
from tests.endless_server import EndlessServer

# Timers and other callers get on within this time (stated target).
MAX_DELAY_SECONDS: Final = 0.5
# What a node may use (docs/design.md).
MAX_GROWTH_BYTES: Final = 64_000_000


class EndlessAnswerCase(TestCase):
    """Calls to a faulty server, each in a process of its own."""

    def call(self, call: str, shape: str) -> Report:
        """Call a server of a shape; check delay and memory."""
        server = EndlessServer(shape)
        self.addCleanup(server.stop)
        report = probe(call, server.address)
        text = f'{call} of {shape}: {report}'
        self.assertLess(report.largest_gap_seconds, MAX_DELAY_SECONDS, text)
        self.assertLess(report.growth_bytes, MAX_GROWTH_BYTES, text)
        return report

    def assert_refused(self, report: Report, *words: str) -> None:
        """Check that a call ended by a bound, before its timeout."""
        for word in (*words, 'peer 127.0.0.1'):
            self.assertIn(word, report.outcome)
        self.assertLess(report.seconds, CALL_TIMEOUT_SECONDS)

    def assert_timed_out(self, report: Report) -> None:
        """Check that the timeout of the call has ended it."""
        self.assertIn('Timeout', report.outcome)
        self.assertLess(
            report.seconds, CALL_TIMEOUT_SECONDS + MAX_DELAY_SECONDS
        )


class TestEndlessStreams(EndlessAnswerCase):
    """Streams have no bound in bytes, so their timeout ends them."""

    def test_timeout_ends_blank_lines(self) -> None:
        """Guards against a stream that keeps the loop for itself."""
        self.assert_timed_out(self.call('lines', 'blank_lines'))

    def test_timeout_ends_tiny_events(self) -> None:
        """Guards against a stream that keeps the loop for itself."""
        self.assert_timed_out(self.call('lines', 'tiny_events'))

    def test_timeout_ends_blank_lines_of_an_engine(self) -> None:
        """Guards against a completion that keeps the loop for itself."""
        self.assert_timed_out(self.call('engine', 'blank_lines'))


class TestEndlessHeads(EndlessAnswerCase):
    """Heads and the framing of chunks are bounded."""

    def test_head_without_end_ends_the_call(self) -> None:
        """Guards against heads that fill the memory."""
        for shape in ('status_line', 'header_line', 'interim_answers'):
            report = self.call('exchange', shape)
            self.assert_refused(report, 'ExchangeError', 'head', 'at probe')

    def test_tiny_headers_without_end_end_the_call(self) -> None:
        """Guards against headers that cost more than their bytes."""
        report = self.call('exchange', 'tiny_headers')
        self.assert_refused(report, 'ExchangeError', 'headers', 'at probe')

    def test_framing_without_end_ends_the_call(self) -> None:
        """Guards against chunk extensions and trailers without end."""
        for shape in ('chunk_extension', 'trailer_line', 'trailers'):
            report = self.call('exchange', shape)
            self.assert_refused(report, 'ExchangeError', 'at probe')


class TestEndlessBodies(EndlessAnswerCase):
    """Answers that are read whole are bounded."""

    def test_body_without_end_ends_the_call(self) -> None:
        """Guards against bodies that fill the memory."""
        for call in ('exchange', 'service'):
            report = self.call(call, 'body')
            self.assert_refused(report, 'AnswerTooLargeError', 'body')

    def test_page_of_the_log_without_end(self) -> None:
        """Guards against a page of records that fills the memory."""
        report = self.call('log', 'body')
        self.assert_refused(report, 'LogServiceError', 'body', 'programs-01')

    def test_chunks_of_one_byte_without_end(self) -> None:
        """Guards against chunks that keep the loop or cost memory."""
        report = self.call('exchange', 'tiny_chunks')
        self.assertNotIn('ended with', report.outcome)
        self.assertLess(
            report.seconds, CALL_TIMEOUT_SECONDS + MAX_DELAY_SECONDS
        )

    def test_error_of_an_engine_without_end(self) -> None:
        """Guards against an error that is read whole to show its start."""
        report = self.call('engine', 'error_body')
        self.assert_refused(report, 'BackendServerError', 'status 500')


class TestEndlessEvents(EndlessAnswerCase):
    """One event of a stream is bounded."""

    def test_line_without_end_ends_the_call(self) -> None:
        """Guards against a line that fills the memory."""
        report = self.call('lines', 'event_line')
        self.assert_refused(report, 'AnswerTooLargeError', 'event', 'at probe')

    def test_lines_of_one_event_without_end(self) -> None:
        """Guards against an event whose lines fill the memory."""
        report = self.call('lines', 'event_lines')
        self.assert_refused(report, 'AnswerTooLargeError', 'event', 'at probe')


class TestEndlessAnswersToCommands(EndlessAnswerCase):
    """Commands end with an error when a node's answer has no end."""

    def test_command_ends_by_a_bound(self) -> None:
        """Guards against a command that takes all memory or never ends."""
        for shape in ('header_line', 'tiny_headers', 'trailers', 'body'):
            report = self.call('command', shape)
            self.assert_refused(report, 'NodeUnreachableError', 'GET /x')

    def test_command_gets_chunks_of_one_byte(self) -> None:
        """Guards against a timeout of commands that never fires."""
        report = self.call('command', 'tiny_chunks')
        self.assertIn('NodeUnreachableError', report.outcome)
        self.assertLess(
            report.seconds, COMMAND_TIMEOUT_SECONDS + MAX_DELAY_SECONDS
        )


class TestEndlessAnswersToExports(EndlessAnswerCase):
    """A trace endpoint does not disturb its node."""

    def test_export_ends_by_a_bound(self) -> None:
        """Guards against a trace endpoint that stops the node's loop."""
        for shape in ('header_line', 'tiny_headers', 'body', 'tiny_chunks'):
            report = self.call('spans', shape)
            self.assertEqual('complete', report.outcome)
            self.assertEqual(1, report.size)


class TestHonestAnswers(EndlessAnswerCase):
    """Slow and large answers arrive whole."""

    def test_slow_events_arrive(self) -> None:
        """Guards against bounds that end slow streams."""
        report = self.call('lines', 'slow_events')
        self.assertEqual('complete', report.outcome)

    def test_large_event_arrives(self) -> None:
        """Guards against bounds below what engines send."""
        report = self.call('lines', 'large_event')
        self.assertEqual('complete', report.outcome)
        self.assertEqual(3 * (200_000 + len('data: ')), report.size)

    def test_large_body_arrives(self) -> None:
        """Guards against bounds below what services answer."""
        for call in ('exchange', 'service'):
            report = self.call(call, 'large_body')
            self.assertEqual('complete', report.outcome)
            self.assertEqual(12_000_000, report.size)
