"""The last report of each gateway process, and who has gone silent."""

import functools
import math
from collections import Counter
from collections.abc import Sequence
from typing import Final

from bronzepost._internal.core.gateway.load_view import LoadView, RelayedLoads
from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.node.clock import read_clock

# The interval between the reports of a VM with up to ``FULL_RATE_PEERS`` peers.
# Reports show a burst of other VMs before it fills a server, at 40 bytes for
# each busy server. VMs with more peers report less often, so that each receives
# at most 60 reports a second; twice as many double the CPU time of a VM.
REPORT_INTERVAL_SECONDS: Final = 0.2
FULL_RATE_PEERS: Final = 12
# A VM without a report for this long, or for this number of report intervals if
# that is longer, is silent and asked last.
SILENCE_TIMEOUT_SECONDS: Final = 0.8
SILENCE_MISSED_REPORTS: Final = 3
# Where each report goes to some of the peers only, a VM is silent after the
# time in which peers chosen at random would leave it out with this probability.
# VMs that disagree on which ones are silent use two homes for one program, and
# SWIM detects a dead VM within two seconds anyway.
MISS_PROBABILITY: Final = 0.0001
# Limits the messages that a VM sends; with more peers each report goes to some
# of them in turn.
MAX_REPORT_PEERS: Final = 24
# A VM that has just joined has not reported yet.
JOIN_GRACE_SECONDS: Final = 1.0


class ReceivedReports:
    """Reports by name, with the time at which each was received."""

    def __init__(self, *, own_name: str) -> None:
        """Start without a report."""
        self._own_name = own_name
        self._started_at = read_clock()
        self._received_by_name: dict[str, tuple[float, LoadReport]] = {}
        # Kept for silent members too: silence says nothing about a build.
        self._protocols_by_name: dict[str, int] = {}
        self._loads = LoadView()

    @property
    def in_flight(self) -> Counter[str]:
        """Return the requests in flight of all peers by backend server."""
        return self._loads.in_flight

    def find(self, name: str) -> LoadReport | None:
        """Return the last report of a member."""
        received = self._received_by_name.get(name)
        return None if received is None else received[1]

    def find_protocol(self, name: str) -> int:
        """Return the version of the messages that a member understands.

        0 if its build states none, or if it has not reported yet.
        """
        return self._protocols_by_name.get(name, 0)

    def put(self, name: str, report: LoadReport) -> None:
        """Replace the report of a member by one that has just arrived."""
        self._protocols_by_name[name] = report.protocol
        at = read_clock()
        self._received_by_name[name] = (at, report)
        self._loads.put(name, report.in_flight, at=at)
        self._loads.put_relayed(
            report.relayed_loads, own_name=self._own_name, at=at
        )

    def forget(self, name: str) -> None:
        """Drop the report of a member, so that it counts as silent.

        Its requests stay in ``in_flight`` until the next recount.
        """
        self._received_by_name.pop(name, None)
        self._loads.forget(name)

    def recount_in_flight(self) -> None:
        """Sum the requests in flight of all loads that are not stale."""
        self._loads.recount(at=read_clock())

    def list_relayed(self) -> RelayedLoads:
        """Return the loads of other VMs that a report carries on."""
        return self._loads.list_relayed(at=read_clock())

    def list_silent(self, names: Sequence[str]) -> frozenset[str]:
        """Return the silent ones of ``names``, which are all members."""
        cutoff = find_silence_cutoff(names)
        return frozenset(name for name in names if self.is_silent(name, cutoff))

    def is_silent(self, name: str, cutoff: float) -> bool:
        """Return whether a member's last report is older than ``cutoff``."""
        if name == self._own_name:
            return False
        received = self._received_by_name.get(name)
        if received is None:
            # A VM that has never reported is silent only after this process
            # has run for longer than both the timeout and the join grace.
            grace_cutoff = read_clock() - JOIN_GRACE_SECONDS
            return self._started_at < min(grace_cutoff, cutoff)
        return received[0] < cutoff


def find_silence_cutoff(names: Sequence[str]) -> float:
    """Return the time after which each of all members should have reported."""
    return read_clock() - find_silence_timeout(len(names) - 1)


def find_report_interval(peers: int) -> float:
    """Return the seconds between two reports of a VM with ``peers`` peers."""
    return REPORT_INTERVAL_SECONDS * max(
        1, min(peers, MAX_REPORT_PEERS) / FULL_RATE_PEERS
    )


def find_report_age(peers: int) -> float:
    """Return the seconds in which each of ``peers`` reports to all others."""
    rounds = max(peers / MAX_REPORT_PEERS, 1)
    return rounds * find_report_interval(peers)


def find_load_age(peers: int) -> float:
    """Return how old the loads of ``peers`` may be, in seconds.

    Peers carry loads on, so most have come after two report intervals even if
    it takes longer until each VM has reported to all others itself.
    """
    return min(find_report_age(peers), 2 * find_report_interval(peers))


@functools.lru_cache
def find_silence_timeout(peers: int) -> float:
    """Return the seconds without a report after which a peer is silent.

    They are longer where each report goes to some of the ``peers`` only.
    """
    intervals = SILENCE_MISSED_REPORTS
    if peers > MAX_REPORT_PEERS:
        log_miss = math.log(1 - MAX_REPORT_PEERS / peers)
        intervals = max(
            intervals, math.ceil(math.log(MISS_PROBABILITY) / log_miss)
        )
    return max(SILENCE_TIMEOUT_SECONDS, intervals * find_report_interval(peers))
