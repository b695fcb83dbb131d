"""Backend servers that stay in use without an entry after an outage."""

from collections.abc import Iterable, Sequence
from typing import Final

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Entries that expired while the store was unavailable are registered again
# within two seconds of its return (guaranteed by the platform); a server that
# is missing after that is gone.
RETURN_GRACE_SECONDS: Final = 2.5


class ReturnGrace:
    """Keep servers in use whose entries may have expired in an outage."""

    def __init__(self) -> None:
        """Keep no server."""
        self.kept_ids: frozenset[str] = frozenset()

    def list_kept(
        self, missing: Iterable[BackendServer], regained_at: float
    ) -> Sequence[BackendServer]:
        """Return which of the servers without an entry stay in use.

        The store answers since ``regained_at``, in monotonic seconds.
        """
        seconds = read_clock() - regained_at
        kept = tuple(missing) if seconds < RETURN_GRACE_SECONDS else ()
        for server in kept:
            if server.server_id not in self.kept_ids:
                emit(
                    LogEvent.SERVER_KEPT,
                    server=server.server_id,
                    service=server.service,
                    regained_seconds=round(seconds, 3),
                )
        self.kept_ids = frozenset(used.server_id for used in kept)
        return kept
