"""Rate limits and values that are reported with a lag."""

import time
from collections import deque
from collections.abc import Callable
from itertools import repeat
from typing import Generic, TypeVar

import gevent

from standins.web import RequestError

ValueT = TypeVar('ValueT')
# Two minutes of samples every 50 ms, longer than any lag that tests set.
MAX_SAMPLES = 2400


def repeat_forever(
    function: Callable[[], None], *, pause_seconds: float
) -> None:
    """Call a function forever, with a pause after each call."""
    for _ in repeat(None):
        function()
        gevent.sleep(pause_seconds)


class RateLimit:
    """Token bucket that holds at most the operations of one second."""

    def __init__(self, *, per_second: float) -> None:
        """Start with a full bucket."""
        self._per_second = per_second
        self._available = max(per_second, 1)
        self._updated_at = time.monotonic()

    def acquire(self) -> None:
        """Use up one operation.

        Raises:
            RequestError: with status 429 if the rate is exceeded.
        """
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
    """History of a value, which reports the one current a given time ago."""

    def __init__(self, *, initial: ValueT) -> None:
        """Start with a value older than any lag."""
        self._samples: deque[tuple[float, ValueT]] = deque(
            [(float('-inf'), initial)], maxlen=MAX_SAMPLES
        )

    def record(self, value: ValueT) -> None:
        """Add the value that is current from now on."""
        self._samples.append((time.monotonic(), value))

    def read(self, *, lag_seconds: float) -> ValueT:
        """Return the value that was current ``lag_seconds`` ago.

        If no kept value is that old, the oldest one is returned.
        """
        visible_until = time.monotonic() - lag_seconds
        for recorded_at, value in reversed(self._samples):
            if recorded_at <= visible_until:
                return value
        return self._samples[0][1]
