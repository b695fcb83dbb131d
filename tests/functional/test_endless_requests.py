"""Tests of the node's listeners with callers that send without end."""

from typing import Final

from testtools import TestCase

from tests.endless_listener import ListenerReport, serve_beside

# Other callers are answered within this time (stated target).
MAX_ANSWER_SECONDS: Final = 0.5
# What a node may use (docs/design.md).
MAX_GROWTH_BYTES: Final = 64_000_000
# Connections of callers whose requests cost more than their bytes.
_MANY: Final = 16


class TestEndlessRequests(TestCase):
    """An honest caller beside callers that never end a request."""

    def serve(self, shape: str, *, count: int = 1) -> ListenerReport:
        """Serve beside callers of a shape; check the memory."""
        report = serve_beside(shape, count)
        self.assertLess(report.growth_bytes, MAX_GROWTH_BYTES, report)
        return report

    def assert_others_are_answered(self, shape: str) -> None:
        """Check the answers beside one caller of a shape."""
        report = self.serve(shape)
        self.assertLess(
            report.largest_answer_seconds, MAX_ANSWER_SECONDS, report
        )

    def test_others_are_answered_beside_a_body_of_tiny_chunks(self) -> None:
        """Guards against a body that keeps the loop for itself."""
        self.assert_others_are_answered('tiny_chunks')

    def test_others_are_answered_beside_a_body_without_end(self) -> None:
        """Guards against the discard of a refused body, which has no end."""
        self.assert_others_are_answered('large_chunks')

    def test_others_are_answered_beside_trailers_without_end(self) -> None:
        """Guards against trailers that keep the loop for themselves."""
        self.assert_others_are_answered('trailers')

    def test_others_are_answered_beside_requests_without_end(self) -> None:
        """Guards against pipelined requests that keep the loop."""
        self.assert_others_are_answered('requests')

    def test_memory_with_heads_of_megabytes(self) -> None:
        """Guards against headers that fill the memory."""
        self.serve('long_headers', count=_MANY)

    def test_memory_with_bodies_of_tiny_chunks(self) -> None:
        """Guards against chunks that cost more than their bytes."""
        self.serve('tiny_chunks', count=_MANY)
