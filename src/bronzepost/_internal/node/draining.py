"""Stop a node without cutting a request."""

from collections.abc import Callable
from typing import Final

import gevent

from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.partitions import Partitions
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Callers keep an endpoint answer for 5 s and may connect at its end.
DRAIN_SECONDS: Final = 6.0
# A drain that hangs on a call without end is cut here.
MAX_DRAIN_SECONDS: Final = 600.0

_POLL_SECONDS: Final = 0.05


class Drain:
    """Leave, hand the partitions over, and wait for callers and streams.

    ``is_idle`` returns whether no call runs and no answer is being sent.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        partitions: Partitions,
        is_idle: Callable[[], bool],
    ) -> None:
        """Use the parts of the node that hold work."""
        self._cluster = cluster
        self._partitions = partitions
        self._is_idle = is_idle

    def run(self) -> None:
        """Return when the node may stop."""
        emit(LogEvent.DRAIN_STARTED)
        self._cluster.leave()
        self._partitions.is_draining = True
        started = read_clock()
        while read_clock() < started + MAX_DRAIN_SECONDS:
            is_released = self._partitions.release_idle()
            is_due = read_clock() >= started + DRAIN_SECONDS
            if is_released and is_due and self._is_idle():
                break
            gevent.sleep(_POLL_SECONDS)
        emit(LogEvent.DRAIN_FINISHED)
