"""Clock of the simulation, which runs events in virtual time."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class VirtualClock:
    """Run callbacks by due time; equal times keep scheduling order."""

    def __init__(self) -> None:
        """Start at zero seconds."""
        self.now: float = 0
        self._tie_breakers = itertools.count()
        self._heap: list[tuple[float, int, Callback]] = []

    def call_at(self, at: float, callback: Callback) -> None:
        """Schedule the callback for ``at``, or for now if that has passed."""
        entry = (max(at, self.now), next(self._tie_breakers), callback)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay_seconds: float, callback: Callback) -> None:
        """Schedule the callback after a delay."""
        self.call_at(self.now + delay_seconds, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due by ``until``."""
        while self._heap and self._heap[0][0] <= until:
            at, _, callback = heapq.heappop(self._heap)
            self.now = at
            callback()
