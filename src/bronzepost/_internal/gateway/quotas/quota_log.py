"""What operators see of quotas: log events and counts."""

from typing import Final

from bronzepost._internal.gateway.peers.quota_messages import RequestQuota
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit

# A workspace that asks for too much is logged again after this time without.
EXCEEDED_LOG_SECONDS: Final = 60.0


class QuotaLog:
    """Log what has changed since the last time."""

    def __init__(self) -> None:
        """Start as the owner of nothing."""
        self.owned: frozenset[int] = frozenset()
        self._exceeded_at_by_workspace: dict[str, float] = {}

    def log_owned(self, owned: frozenset[int]) -> None:
        """Log the partitions that this VM begins or ceases to decide on."""
        began, ended = owned - self.owned, self.owned - owned
        self.owned = owned
        if began:
            emit(LogEvent.QUOTAS_OWNED, partitions=sorted(began))
        if ended:
            emit(LogEvent.QUOTAS_GIVEN_UP, partitions=sorted(ended))

    def log_exceeded(self, request: RequestQuota) -> None:
        """Log a request over its quota, if it is the first one in a while."""
        now = read_clock()
        last_at = self._exceeded_at_by_workspace.get(request.workspace)
        self._exceeded_at_by_workspace[request.workspace] = now
        if last_at is None or now - last_at > EXCEEDED_LOG_SECONDS:
            emit(
                LogEvent.QUOTA_EXCEEDED,
                workspace=request.workspace,
                rate=request.rate,
                burst=request.burst,
            )


def count_outcome(request: RequestQuota, outcome: str) -> None:
    """Count a request by what was decided."""
    METRICS.quota_requests.labels(
        workspace=request.workspace, outcome=outcome
    ).inc()
