"""What this VM has seen of its links to backend servers, with logs."""

from bronzepost._internal.core.gateway import server_links as rules
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


class LinkRecords:
    """The links of this VM; ``table`` has them by the id of their server."""

    def __init__(self) -> None:
        """Start without a connection."""
        self.table = rules.LinkTable()
        self._was_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM has lost its links to all servers."""
        return rules.is_cut_off(self.table)

    def list_failing(self) -> tuple[str, ...]:
        """Return the ids of the servers that cannot be connected to, sorted."""
        return tuple(sorted(self.table.failing_by_server))

    def record_heard(self, server_id: str) -> None:
        """Record bytes that a server has sent on a connection of this VM."""
        rules.record_heard(self.table, server_id, at=read_clock())

    def record_failed(
        self,
        server_id: str,
        *,
        tried_at: float,
        is_silent: bool,
        jitter_seconds: float = 0,
    ) -> None:
        """Record a connection that did not open, tried since ``tried_at``.

        It ``is_silent`` unless it was refused. The link is probed again
        ``jitter_seconds`` later than it would be.
        """
        is_news = rules.record_failed(
            self.table,
            server_id,
            tried_at=tried_at,
            at=read_clock() + jitter_seconds,
            is_silent=is_silent,
        )
        if is_news:
            emit(LogEvent.LINK_LOST, server=server_id, is_silent=is_silent)
        self._log_cut()

    def record_opened(self, server_id: str) -> None:
        """Record a connection that was opened."""
        failing = self.table.failing_by_server.get(server_id)
        now = read_clock()
        if rules.record_opened(self.table, server_id, at=now) and failing:
            seconds = round(now - failing.since, 3)
            emit(LogEvent.LINK_REGAINED, server=server_id, seconds=seconds)
        self._log_cut()

    def record_cut_off(self) -> None:
        """Record that none of the servers answered that were just tried."""
        rules.record_cut_off(self.table, at=read_clock())
        self._log_cut()

    def forget(self, server_id: str) -> None:
        """Discard what is known of a server that has left."""
        rules.remove_server(self.table, server_id)

    def _log_cut(self) -> None:
        if self.is_cut_off != self._was_cut_off:
            self._was_cut_off = self.is_cut_off
            emit(
                LogEvent.LINKS_LOST
                if self._was_cut_off
                else LogEvent.LINKS_REGAINED,
                failing=len(self.table.failing_by_server),
            )
