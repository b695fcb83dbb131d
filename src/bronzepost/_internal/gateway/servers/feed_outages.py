"""Outages of the feeds of the registry, as one VM sees them."""

from typing import Final

from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

CONFIGURATION: Final = 'configuration'
SERVERS: Final = 'servers'
_FEEDS: Final = (CONFIGURATION, SERVERS)


class FeedOutages:
    """Which feeds of the registry do not answer, and since when.

    ``regained_at`` is when the first feed answered again after an outage of
    all, in monotonic seconds.
    """

    def __init__(self) -> None:
        """Count each feed as lost until its first answer."""
        self._lost_at_by_feed = dict.fromkeys(_FEEDS, read_clock())
        self.regained_at = read_clock()

    @property
    def is_store_lost(self) -> bool:
        """Return whether reads of all feeds fail."""
        return len(self._lost_at_by_feed) == len(_FEEDS)

    @property
    def lost_seconds(self) -> float:
        """Return for how long reads of all feeds have failed, 0 if one works."""
        if not self.is_store_lost:
            return 0
        return read_clock() - max(self._lost_at_by_feed.values())

    @property
    def is_any_lost(self) -> bool:
        """Return whether reads of a feed fail."""
        return bool(self._lost_at_by_feed)

    def is_lost(self, feed: str) -> bool:
        """Return whether reads of a feed fail."""
        return feed in self._lost_at_by_feed

    def mark_lost(self, feed: str, error: LogServiceError) -> None:
        """Record that a read of a feed has failed."""
        if feed not in self._lost_at_by_feed:
            self._lost_at_by_feed[feed] = read_clock()
            emit(LogEvent.STORE_LOST, feed=feed, error=error)

    def mark_available(self, feed: str) -> None:
        """Record that a feed has answered."""
        lost_at = self._lost_at_by_feed.pop(feed, None)
        if lost_at is None:
            return
        now = read_clock()
        if len(self._lost_at_by_feed) == len(_FEEDS) - 1:
            self.regained_at = now
        emit(
            LogEvent.STORE_REGAINED,
            feed=feed,
            away_seconds=round(now - lost_at, 3),
        )
