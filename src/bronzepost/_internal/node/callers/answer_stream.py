"""The chunks of an answer, kept in memory during and after its production.

Each chunk has an offset. A caller that reconnects, to this node or to another
one that forwards the request, continues after the last chunk it received.
"""

from collections.abc import Callable, Iterator

from gevent.event import Event

from bronzepost._internal.exceptions import RefusedError


class AnswerStream:
    """Chunks that one greenlet appends and any number of greenlets read."""

    def __init__(self) -> None:
        """Start with no chunk."""
        self.chunks: list[bytes] = []
        self.error: RefusedError | None = None
        self.is_finished = False
        self.is_durable = True
        self.upstream = ''
        self.status = 200
        self.sequence = 0
        self.size_bytes = 0
        self._changed = Event()
        self._finished = Event()

    def append(self, chunk: bytes) -> None:
        """Add a chunk and wake the readers."""
        self.chunks.append(chunk)
        self.size_bytes += len(chunk)
        self._wake_readers()

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.is_finished = True
        self._finished.set()
        self._wake_readers()

    def fail(self, error: RefusedError) -> None:
        """End the answer with an error that is raised to every reader."""
        self.error = error
        self.finish()

    def when_finished(self, callback: Callable[[], object]) -> None:
        """Call a function once the answer has ended."""
        self._finished.rawlink(lambda _event: callback())

    def wait_finished(self, timeout_seconds: float | None = None) -> bool:
        """Wait until the answer has ended; return whether it has."""
        return bool(self._finished.wait(timeout_seconds))

    def wait_started(self, timeout_seconds: float | None = None) -> bool:
        """Wait for the first chunk or the end; return whether either came."""
        if not self.chunks and not self.is_finished:
            self._changed.wait(timeout_seconds)
        return bool(self.chunks) or self.is_finished

    def read_from(
        self, offset: int = 0, idle_timeout_seconds: float | None = None
    ) -> Iterator[tuple[int, bytes | None]]:
        """Yield the chunks from an offset on, as they are appended.

        None is yielded after each ``idle_timeout_seconds`` without a chunk.

        Raises:
            RefusedError: if the answer ended with an error.
        """
        while True:
            while offset < len(self.chunks):
                yield offset, self.chunks[offset]
                offset += 1
            if self.is_finished:
                break
            if not self._changed.wait(idle_timeout_seconds):
                yield offset, None
        if self.error is not None:
            raise self.error

    def _wake_readers(self) -> None:
        # Waiting readers hold a reference to the old event, so it can be
        # replaced before it is set.
        changed = self._changed
        self._changed = Event()
        changed.set()
