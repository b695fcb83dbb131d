"""Choose the peers that get the next report of this VM."""

import random
from collections.abc import Sequence
from typing import Final

from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.received_reports import (
    MAX_REPORT_PEERS,
    find_silence_timeout,
)

# An unchanged report is sent this many times in the time after which a VM
# counts as silent, so that one of them may be lost.
_REFRESHES_PER_TIMEOUT: Final = 4
# The longest time until an unchanged report is sent again. Shared prompt parts
# count as in use for 20 s after a report.
_MAX_REFRESH_SECONDS: Final = 5.0


class ReportRounds:
    """Choose peers in turn, and skip those that have the same report already.

    With few peers all of them get each report, so that a silent VM is detected
    soon.
    """

    def __init__(self) -> None:
        """Start without peers."""
        self._names: Sequence[str] = ()
        self._order: list[str] = []
        self._position = 0
        self._sent_by_name: dict[str, tuple[float, LoadReport]] = {}

    def choose(
        self, names: Sequence[str], report: LoadReport, *, at: float
    ) -> Sequence[str]:
        """Return the peers that get a report, at most ``MAX_REPORT_PEERS``.

        ``names`` is the same object until a member changes. After a change all
        peers get a report again, since a process of the same name may be a
        new one. ``at`` is the time in seconds of the report.
        """
        if len(names) <= MAX_REPORT_PEERS:
            return names
        if names is not self._names:
            self._names = names
            self._order = random.sample(names, len(names))
            self._sent_by_name = {}
        timeout_seconds = find_silence_timeout(len(names))
        cutoff = at - min(
            timeout_seconds / _REFRESHES_PER_TIMEOUT, _MAX_REFRESH_SECONDS
        )
        chosen = [
            name
            for name in self._advance_round()
            if self._needs_report(name, report, cutoff)
        ]
        self._sent_by_name.update(dict.fromkeys(chosen, (at, report)))
        return chosen

    def _advance_round(self) -> list[str]:
        count = len(self._order)
        first = self._position
        self._position = (first + MAX_REPORT_PEERS) % count
        return [
            self._order[position % count]
            for position in range(first, first + MAX_REPORT_PEERS)
        ]

    def _needs_report(
        self, name: str, report: LoadReport, cutoff: float
    ) -> bool:
        # Peers leave requests in flight that are not reported again out of the
        # load as stale.
        if report.in_flight or name not in self._sent_by_name:
            return True
        sent_at, sent = self._sent_by_name[name]
        return sent_at < cutoff or sent != report
