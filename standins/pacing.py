"""Rate limits and values that are reported with a lag."""

import time
from collections import deque
from collections.abc import Callable
from itertools import repeat
from typing import Generic, TypeVar

import gevent

from standins.web import RequestError

ValueT = TypeVar('ValueT')
# One sample each 50 ms for two minutes: more than any lag that tests set.
SAMPLE_LIMIT = 2400


def repeat_forever(function: Callable[[], None], *, pause: float) -> None:
    """Call a function for ever, with a pause in seconds after each call."""
    for _ in repeat(None):
        function()
        gevent.sleep(pause)


class RateLimit:
    """Allow a number of operations a second, at most one second's at once."""

    def __init__(self, *, per_second: float) -> None:
        """Start with a full second's allowance."""
        self._per_second = per_second
        self._available = max(per_second, 1)
        self._updated_at = time.monotonic()

    def take(self) -> None:
        """Count one operation; refuse it with 429 above the rate."""
        now = time.monotonic()
        earned = (now - self._updated_at) * self._per_second
        self._available = min(
            self._available + earned, max(self._per_second, 1)
        )
        self._updated_at = now
        if self._available < 1:
            raise RequestError(429, 'rate limit', retry_after_seconds=1)
        self._available -= 1


class LaggedValue(Generic[ValueT]):
    """Keep past values and report the one that was current a while ago."""

    def __init__(self, *, initial: ValueT) -> None:
        """Start with a value that counts as old."""
        self._samples: deque[tuple[float, ValueT]] = deque(
            [(float('-inf'), initial)], maxlen=SAMPLE_LIMIT
        )

    def record(self, value: ValueT) -> None:
        """Add the value that is current from now on."""
        self._samples.append((time.monotonic(), value))

    def read(self, *, lag_seconds: float) -> ValueT:
        """Return the value that was current ``lag_seconds`` ago.

        The oldest value kept is returned if that is longer than its age.
        """
        visible_until = time.monotonic() - lag_seconds
        for recorded_at, value in reversed(self._samples):
            if recorded_at <= visible_until:
                return value
        return self._samples[0][1]
