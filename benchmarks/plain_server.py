"""Simulated server of a plain service."""

import collections
import functools
from collections.abc import Callable

from .clock import VirtualClock

QueuedCall = tuple[float, Callable[[], None]]


class PlainServer:
    """Run calls in the order of their arrival, one per slot."""

    def __init__(self, *, clock: VirtualClock, slots: int) -> None:
        """Start with free slots and an empty queue."""
        self.has_failed = False
        self.running = 0
        self._clock = clock
        self._slots = slots
        self._queue: collections.deque[QueuedCall] = collections.deque()

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a slot."""
        return len(self._queue)

    def submit(self, run_seconds: float, on_done: Callable[[], None]) -> None:
        """Queue a call with its run time; a failed server never answers."""
        if self.has_failed:
            return
        self._queue.append((run_seconds, on_done))
        self._start_queued_calls()

    def fail(self) -> None:
        """Stop permanently; running and waiting calls get no answer."""
        self.has_failed = True

    def _start_queued_calls(self) -> None:
        while self._queue and self.running < self._slots:
            self.running += 1
            run_seconds, on_done = self._queue.popleft()
            self._clock.call_later(
                run_seconds, functools.partial(self._finish, on_done)
            )

    def _finish(self, on_done: Callable[[], None]) -> None:
        if self.has_failed:
            return
        self.running -= 1
        self._start_queued_calls()
        on_done()
