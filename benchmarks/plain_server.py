"""Server of a plain service, in virtual time."""

import collections
import functools
from collections.abc import Callable

from .clock import VirtualClock

QueuedCall = tuple[float, Callable[[], None]]


class PlainServer:
    """Run calls in the order of their arrival, a few at a time."""

    def __init__(self, *, clock: VirtualClock, slots: int) -> None:
        """Start idle."""
        self.has_failed = False
        self.running = 0
        self._clock = clock
        self._slots = slots
        self._queue: collections.deque[QueuedCall] = collections.deque()

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a slot."""
        return len(self._queue)

    def submit(self, seconds: float, on_done: Callable[[], None]) -> None:
        """Queue a call that takes some seconds; a failed server is silent."""
        if self.has_failed:
            return
        self._queue.append((seconds, on_done))
        self._start_waiting()

    def fail(self) -> None:
        """Stop for good without answering."""
        self.has_failed = True

    def _start_waiting(self) -> None:
        while self._queue and self.running < self._slots:
            self.running += 1
            seconds, on_done = self._queue.popleft()
            self._clock.call_later(
                seconds, functools.partial(self._finish, on_done)
            )

    def _finish(self, on_done: Callable[[], None]) -> None:
        if self.has_failed:
            return
        self.running -= 1
        self._start_waiting()
        on_done()
