"""Requests that ran well a short time ago.

What has just run well elsewhere is not what crashes a server.
"""

import collections
from typing import Final

# Requests that many callers send come at least this often. A release of a server
# that can no longer run them is noticed after this time.
RECENT_SECONDS: Final = 10.0
MAX_RECENT: Final = 1024


class RecentRuns:
    """The times at which requests last ran well, the oldest first."""

    def __init__(self) -> None:
        """Start without a request."""
        self._run_at_by_request: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, request: str, *, at: float) -> None:
        """Record a run, in monotonic seconds."""
        known = self._run_at_by_request.get(request, at)
        self._run_at_by_request[request] = max(known, at)
        self._run_at_by_request.move_to_end(request)
        if len(self._run_at_by_request) > MAX_RECENT:
            self._run_at_by_request.popitem(last=False)

    def find(self, request: str, *, at: float) -> float | None:
        """Return when a request ran well, if that was a short time before ``at``."""
        run_at = self._run_at_by_request.get(request)
        if run_at is None or run_at <= at - RECENT_SECONDS:
            return None
        return run_at
