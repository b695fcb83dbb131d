"""Drain a node before it stops, so that no request is interrupted."""

from collections.abc import Callable
from typing import Final

import gevent

from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.partitions import Partitions
from bronzepost._internal.node.peers.cluster import Cluster
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Callers use an endpoint answer for 5 s and may connect at the end of that
# time.
MIN_DRAIN_SECONDS: Final = 6.0
# A call that never ends must not prevent the node from stopping.
MAX_DRAIN_SECONDS: Final = 600.0

_POLL_INTERVAL_SECONDS: Final = 0.05


class Drain:
    """Leaves the cluster, releases the partitions and waits for calls to end.

    ``is_idle`` returns whether no call runs and no answer is being sent.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        partitions: Partitions,
        is_idle: Callable[[], bool],
    ) -> None:
        """Use the membership and the partitions of the node."""
        self._cluster = cluster
        self._partitions = partitions
        self._is_idle = is_idle

    def run(self) -> None:
        """Drain the node; return when it may stop."""
        emit(LogEvent.DRAIN_STARTED)
        self._cluster.leave()
        self._partitions.is_draining = True
        started = read_clock()
        while read_clock() < started + MAX_DRAIN_SECONDS:
            is_released = self._partitions.release_idle()
            is_minimum_over = read_clock() >= started + MIN_DRAIN_SECONDS
            if is_released and is_minimum_over and self._is_idle():
                break
            gevent.sleep(_POLL_INTERVAL_SECONDS)
        emit(LogEvent.DRAIN_FINISHED)
