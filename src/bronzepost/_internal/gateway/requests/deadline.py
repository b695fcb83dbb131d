"""The time limit of a request, which pauses while its caller does not read."""

import contextlib
from collections.abc import Iterator
from typing import Any

import gevent

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.gateway.requests.pending_call import (
    DeadlinePassedError,
    PendingCall,
)
from bronzepost._internal.node.clock import read_clock


class Deadline:
    """Raise an error in the greenlet that enters it, after a time.

    Another greenlet may pause it.
    """

    def __init__(self, seconds: float, error: Exception) -> None:
        """Start with ``seconds`` left."""
        self._remaining_seconds = max(seconds, 0)
        self._error = error
        self._started_at: float = 0
        self._greenlet: Any = None
        self._timer: Any = None
        self._pauses = 0

    def __enter__(self) -> 'Deadline':
        """Start the time."""
        self._greenlet = gevent.getcurrent()
        self._start()
        return self

    def __exit__(self, *_exception: object) -> None:
        """End the limit."""
        self._stop()
        self._greenlet = None

    @contextlib.contextmanager
    def pause(self) -> Iterator[None]:
        """Let no time pass within the block."""
        self._pauses += 1
        self._stop()
        try:
            yield
        finally:
            self._pauses -= 1
            if self._greenlet is not None and not self._pauses:
                self._start()

    def _start(self) -> None:
        self._started_at = read_clock()
        timer = gevent.get_hub().loop.timer(self._remaining_seconds)
        timer.start(self._greenlet.throw, self._error)
        self._timer = timer

    def _stop(self) -> None:
        if self._timer is None:
            return
        self._timer.close()
        self._timer = None
        elapsed_seconds = read_clock() - self._started_at
        self._remaining_seconds = max(
            self._remaining_seconds - elapsed_seconds, 0
        )


def start_deadline(pending: PendingCall) -> Deadline:
    """Return the limit of the time of a request."""
    deadline = Deadline(pending.remaining_seconds, DeadlinePassedError())
    if pending.route.kind is not RouteKind.STREAM:
        # The server has done its work when a large answer arrives, and the time in
        # which the caller does not read is not the server's.
        pending.answer.wait_in(deadline.pause)
    return deadline
