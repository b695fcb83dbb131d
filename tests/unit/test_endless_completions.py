"""Tests of completions whose chunks never end."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, Final

from testtools import TestCase

from bronzepost._internal.exceptions import BackendServerError
from bronzepost._internal.node.engines import engine_client

_REQUEST_ID: Final = 'r'
# Bounds the test where completions have no bound.
_MAX_CHUNKS: Final = 400_000
_LARGE_CHUNK_BYTES: Final = 200_000
_LONG_ANSWER_TOKENS: Final = 60_000


class FakeEngine:
    """An engine, and its stream, with as many chunks as are read."""

    status = HTTPStatus.OK
    address = '127.0.0.1:1'

    def __init__(self, *, content_bytes: int, count: int = _MAX_CHUNKS) -> None:
        """Send ``count`` chunks with a content of the given size."""
        self._text = 'x' * content_bytes
        self._count = count

    def __enter__(self) -> 'FakeEngine':
        """Return the stream."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Close nothing."""

    def open_stream(self, *_request: Any, **_options: Any) -> 'FakeEngine':
        """Return the stream of a completion."""
        return self

    def read_lines(self) -> Iterator[bytes]:
        """Yield the lines of numbered events."""
        choices = f'[{{"delta": {{"content": "{self._text}"}}}}]'
        body = f'{{"id": "{_REQUEST_ID}", "choices": {choices}}}'.encode()
        for offset in range(self._count):
            yield b'id: %d' % offset
            yield b'data: %b' % body
            yield b''
        yield b'data: [DONE]'


def _read_until_refused(engine: FakeEngine) -> int:
    """Return the bytes of the chunks that came before the refusal."""
    call = engine_client.EngineCall(
        request_id=_REQUEST_ID, session='s', priority=0, body={}
    )
    client: Any = engine
    chunks = engine_client.stream_completion(client, call)
    return sum(len(chunk.raw) for chunk in chunks)


class TestEndlessCompletions(TestCase):
    """A node keeps the chunks of a running answer for callers that resume."""

    def test_chunks_without_end_end_the_completion(self) -> None:
        """Guards against an engine that fills the memory with its chunks."""
        for content_bytes in (0, _LARGE_CHUNK_BYTES):
            engine = FakeEngine(content_bytes=content_bytes)
            error = self.assertRaises(
                BackendServerError, _read_until_refused, engine
            )
            self.assertIn('completion', str(error))
            self.assertIn(engine.address, str(error))

    def test_long_completion_arrives(self) -> None:
        """Guards against a bound below long answers."""
        engine = FakeEngine(content_bytes=100, count=_LONG_ANSWER_TOKENS)
        self.assertLess(100 * _LONG_ANSWER_TOKENS, _read_until_refused(engine))
