"""Which loads the reports of a VM carry, by the size of the fleet."""

from types import SimpleNamespace
from typing import Any

import msgspec
import testtools

from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from tests.builders_gateway_servers import NoPeers

FOLLOWER = SimpleNamespace(is_store_lost=False, store_available_seconds=9.0)


class RecordingFleet(NoPeers):
    """A fleet whose VMs get messages that nobody sends on."""

    def __init__(self, peers: int) -> None:
        """Start with some peers."""
        super().__init__()
        self.sent: list[tuple[str, LoadReport]] = []
        self._receive: Any = None
        self._names = tuple(f'vm-{number}' for number in range(peers))

    def subscribe(self, _message_type: type, receive: Any) -> None:
        """Keep the function that receives reports."""
        self._receive = receive

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the peers."""
        return self._names

    def list_live_peers(self) -> tuple[str, ...]:
        """Return the peers."""
        return self._names

    def send(self, name: str, report: LoadReport) -> None:
        """Record a report."""
        self.sent.append((name, report))

    def receive(self, sender: str, **fields: Any) -> None:
        """Let a report arrive."""
        report = LoadReport(has_store=True, is_ready=True, version=1, **fields)
        self._receive(sender, report)


class TestPeerLoads(testtools.TestCase):
    """Loads are carried on where reports do not go to all peers."""

    def make_reports(self, peers: int) -> tuple[PeerReports, RecordingFleet]:
        fleet = RecordingFleet(peers)
        reports = PeerReports(
            fleet=fleet,  # type: ignore[arg-type]
            directory=Directory(pool=ConnectionPool()),
            follower=FOLLOWER,  # type: ignore[arg-type]
        )
        return reports, fleet

    def test_large_fleet_carries_loads_on(self) -> None:
        """Guard against placement by loads that are 1.4 s old at 90 VMs."""
        reports, fleet = self.make_reports(89)
        fleet.receive('vm-7', in_flight={'i-1': 2})
        reports.send()
        _, report = fleet.sent[0]
        self.assertEqual(['vm-7'], list(report.relayed_loads))

    def test_carried_load_counts_as_if_it_came_directly(self) -> None:
        reports, fleet = self.make_reports(89)
        fleet.receive(
            'vm-7',
            in_flight={'i-1': 2},
            relayed_loads={'vm-8': (9, {'i-1': 1})},
        )
        self.assertEqual(3, reports.count_in_flight('i-1'))

    def test_carried_load_says_nothing_of_who_is_silent(self) -> None:
        """A dead VM must not seem alive because its load goes round."""
        reports, fleet = self.make_reports(89)
        fleet.receive('vm-7', in_flight={}, relayed_loads={'vm-8': (9, {})})
        self.assertIsNone(reports.received.find('vm-8'))

    def test_carried_loads_cause_no_reports(self) -> None:
        """An idle VM sends no more messages than before."""
        reports, fleet = self.make_reports(30)
        for number in range(8):
            fleet.receive(f'vm-{number}', in_flight={'i-1': number})
            reports.send()
        names = [name for name, _ in fleet.sent]
        self.assertEqual(sorted(set(names)), sorted(names))

    def test_report_of_a_small_fleet_is_as_before(self) -> None:
        """Deployments with few VMs send no byte more."""
        reports, fleet = self.make_reports(12)
        fleet.receive('vm-7', in_flight={'i-1': 2})
        reports.send()
        _, report = fleet.sent[0]
        encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
        self.assertEqual(
            set(), {'relayed_loads', 'speeds_by_id'} & encoded.keys()
        )

    def test_report_of_an_older_version_is_read(self) -> None:
        """It has neither speeds nor carried loads."""
        old = {
            'type': 'load_report',
            'in_flight': {'i-1': 1},
            'has_store': True,
            'is_ready': True,
            'version': 1,
        }
        report = msgspec.msgpack.decode(
            msgspec.msgpack.encode(old), type=LoadReport
        )
        self.assertEqual({}, report.relayed_loads)
