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
        self._run_at_by_request[request] = at
        self._run_at_by_request.move_to_end(request)
        if len(self._run_at_by_request) > MAX_RECENT:
            self._run_at_by_request.popitem(last=False)

    def has(self, request: str, *, at: float) -> bool:
        """Return whether a request ran well a short time before ``at``."""
        run_at = self._run_at_by_request.get(request)
        return run_at is not None and run_at > at - RECENT_SECONDS
