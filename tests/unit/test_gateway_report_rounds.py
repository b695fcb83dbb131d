"""Tests of the choice of peers that get the next report of a VM."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

import testtools

from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.received_reports import (
    MAX_REPORT_PEERS,
    find_report_interval,
    find_silence_timeout,
)
from bronzepost._internal.gateway.peers.report_rounds import ReportRounds

PEERS = tuple(f'vm-{number}' for number in range(89))
# Reports until each of the peers has had its turn.
CYCLE_REPORTS = 4
REPORTS = 150
# Rounding error of times that are sums of many intervals.
TOLERANCE_SECONDS = 0.001
# Reports that differ from the one before, each in some fields.
CHANGES: tuple[dict[str, Any], ...] = (
    {'in_flight': {'i-1': 1}},
    {'in_flight': {}},
    {'has_store': False},
    {'has_store': False, 'is_ready': False},
    {'has_store': True, 'version': 8},
    {'uses_by_part': {'5c1e07a2': (800, 1.5)}},
)


def make_report(**changes: Any) -> LoadReport:
    """Return the report of a VM without requests in flight."""
    fields: dict[str, Any] = {
        'in_flight': {},
        'has_store': True,
        'is_ready': True,
        'version': 7,
    }
    return LoadReport(**{**fields, **changes})


class Sender:
    """A VM that reports, with the times of the reports to each peer."""

    def __init__(self) -> None:
        """Start without reports."""
        self.rounds = ReportRounds()
        self.now: float = 0
        self.times_by_name: dict[str, list[float]] = defaultdict(list)

    def send(self, names: Sequence[str], report: LoadReport) -> Sequence[str]:
        """Send a report after the report interval; return its receivers."""
        self.now += find_report_interval(len(names))
        chosen = self.rounds.choose(names, report, at=self.now)
        for name in chosen:
            self.times_by_name[name].append(self.now)
        return chosen

    def send_cycle(self, names: Sequence[str], report: LoadReport) -> set[str]:
        """Send as many reports as it takes to reach all peers."""
        return {
            name
            for _ in range(CYCLE_REPORTS)
            for name in self.send(names, report)
        }

    def list_gaps(self) -> Iterator[float]:
        """Yield the seconds between two successive reports to one peer."""
        for times in self.times_by_name.values():
            for index, time in enumerate(times[1:]):
                yield time - times[index]


class TestReportRounds(testtools.TestCase):
    """The number of receivers is limited, and no peer is left out."""

    def test_few_peers_get_each_report(self) -> None:
        """A VM counts as silent after 0.8 s, so no report is skipped."""
        sender = Sender()
        names = PEERS[:MAX_REPORT_PEERS]
        for _ in range(3):
            self.assertEqual(names, sender.send(names, make_report()))

    def test_each_peer_gets_the_load_in_its_turn(self) -> None:
        """A random choice would leave many VMs out of the load of a peer."""
        sender = Sender()
        for number in range(REPORTS):
            report = make_report(in_flight={'i-1': 1 + number % 2})
            chosen = sender.send(PEERS, report)
            self.assertEqual(MAX_REPORT_PEERS, len(set(chosen)))
        self.assertEqual(len(PEERS), len(sender.times_by_name))
        cycle_seconds = CYCLE_REPORTS * find_report_interval(len(PEERS))
        self.assertTrue(
            max(sender.list_gaps()) <= cycle_seconds + TOLERANCE_SECONDS
        )

    def test_same_load_is_reported_again(self) -> None:
        """Load that is not reported again is left out as stale."""
        sender = Sender()
        report = make_report(in_flight={'i-1': 1})
        for _ in range(CYCLE_REPORTS):
            self.assertEqual(set(PEERS), sender.send_cycle(PEERS, report))

    def test_unchanged_report_is_seldom_sent(self) -> None:
        """Idle VMs would send 60 messages a second without new content."""
        sender = Sender()
        sent = sum(
            len(sender.send(PEERS, make_report())) for _ in range(REPORTS)
        )
        self.assertTrue(sent < REPORTS * MAX_REPORT_PEERS / 2)
        # One of two successive reports may be lost.
        max_gap = find_silence_timeout(len(PEERS)) / 2
        self.assertTrue(max(sender.list_gaps()) < max_gap)

    def test_changed_report_reaches_all_in_one_cycle(self) -> None:
        """Guard against a change that is not sent, to save a message."""
        sender = Sender()
        for _ in range(REPORTS):
            sender.send(PEERS, make_report())
        for changes in CHANGES:
            report = make_report(**changes)
            self.assertEqual(set(PEERS), sender.send_cycle(PEERS, report))

    def test_all_peers_get_a_report_after_a_member_changes(self) -> None:
        """A restarted VM has no reports of idle VMs."""
        sender = Sender()
        for _ in range(REPORTS):
            sender.send(PEERS, make_report())
        changed = (*PEERS[1:], PEERS[0])
        receivers = sender.send_cycle(changed, make_report())
        self.assertEqual(set(changed), receivers)
