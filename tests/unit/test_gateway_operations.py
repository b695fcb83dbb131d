"""What keeps a gateway going: logs, the registry, homes that change."""

import itertools
import os
import time
from collections.abc import Sequence
from typing import Any, cast
from unittest import mock

import gevent
import testtools
from prometheus_client.parser import text_string_to_metric_families

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallerLimits,
    GatewayConfiguration,
)
from bronzepost._internal.core.membership import (
    Ack,
    Member,
    MemberEntry,
    MemberState,
)
from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.gateway import registry
from bronzepost._internal.gateway.backend_connections import ConnectionPool
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.messages import LoadReport
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.gateway.received_reports import (
    MAX_REPORT_PEERS,
    MISS_PROBABILITY,
    ReceivedReports,
    find_report_interval,
    find_silence_timeout,
)
from bronzepost._internal.gateway.settings import GatewaySettings
from bronzepost._internal.node import clock
from bronzepost._internal.telemetry.exposition import GatewayMetrics
from bronzepost._internal.telemetry.output import BoundedOutput
from tests.builders_gateway import make_member, make_route, make_server

LINE = '{"event":"server_up"}\n'
GOOD_LINE = '{"event":"request_done"}\n'


class TestOutput(testtools.TestCase):
    """Logs are bounded, and never wait for their reader."""

    def open_output(self, bytes_per_second: int) -> tuple[BoundedOutput, int]:
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        # The waiting greenlet ends with its reader; a descriptor that is
        # closed while it is waited for aborts the loop of a later test.
        self.addCleanup(gevent.sleep, 0.01)
        self.addCleanup(os.close, reader)
        output = BoundedOutput(
            descriptor=writer, bytes_per_second=bytes_per_second
        )
        return output, reader

    def test_reader_that_stops_does_not_block(self) -> None:
        """A full pipe stopped the whole loop."""
        output, _ = self.open_output(10_000_000)
        with gevent.Timeout(5):
            for _ in range(100_000):
                output.write(LINE)
                output.flush()
            gevent.sleep(0.01)
        self.assertTrue(output.left_out > 0)

    def test_last_lines_are_written_before_the_end(self) -> None:
        """The line that a process has stopped was lost with the process."""
        output, reader = self.open_output(1000)
        output.write(LINE)
        output.close()
        self.assertEqual(LINE.encode(), os.read(reader, 65536))

    def test_end_does_not_wait_for_a_reader_that_stops(self) -> None:
        """A process was killed while it waited to write its last lines."""
        output, _ = self.open_output(10_000_000)
        for _line in range(1000):
            output.write(LINE * 100)
        with gevent.Timeout(5):
            output.close()

    def test_good_requests_are_left_out_first(self) -> None:
        output, reader = self.open_output(1000)
        for _ in range(60):
            output.write(GOOD_LINE)
        output.write(LINE)
        output.flush()
        gevent.sleep(0.01)
        written = os.read(reader, 65536).decode()
        self.assertIn(LINE.strip(), written)
        self.assertTrue(output.take_left_out() > 0)
        self.assertEqual(0, output.left_out)

    def test_print_of_a_logger_is_one_line(self) -> None:
        output, reader = self.open_output(1000)
        for text in ('{"a":', '1}', '\n'):
            output.write(text)
        output.flush()
        gevent.sleep(0.01)
        self.assertEqual(b'{"a":1}\n', os.read(reader, 100))


class CountingFleet:
    """A fleet of many VMs that notes listings and receivers of messages."""

    def __init__(self, *, members: int) -> None:
        """Start as the first of so many VMs."""
        self.own_name = 'vm-0'
        self.listings = 0
        self.receivers: list[str] = []
        self.receive: Any = None
        self._members = tuple(
            make_member(f'vm-{number}') for number in range(members)
        )

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Keep the function that takes reports."""
        self.receive = receive

    def send(self, name: str, message: Any) -> bool:
        """Note the receiver."""
        self.receivers.append(name)
        return True

    def list_live_peers(self) -> tuple[str, ...]:
        """Return the others, and one that leaves."""
        return (*self.list_serving_peers(), 'leaving')

    def list_serving(self) -> tuple[Member, ...]:
        """Return all members."""
        self.listings += 1
        return self._members

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of all members but the first."""
        return tuple(member.name for member in self.list_serving()[1:])


class StoreState:
    """A follower of a store that answers."""

    is_store_lost = False


class TestRanking(testtools.TestCase):
    """The order of homes, which each turn asks for."""

    def make_reports(self, fleet: CountingFleet) -> PeerReports:
        return PeerReports(
            fleet=cast(Fleet, fleet),
            directory=Directory(pool=ConnectionPool()),
            follower=cast(registry.RegistryFollower, StoreState()),
        )

    def test_ranking_lists_the_members_once(self) -> None:
        """Each member was compared by a list of all others: 7 ms at 90 VMs."""
        fleet = CountingFleet(members=90)
        ranked = self.make_reports(fleet).rank_homes('budgets-1')
        self.assertEqual(90, len(ranked))
        self.assertEqual(1, fleet.listings)

    def test_first_home_is_the_first_of_the_ranking(self) -> None:
        """Guard against two orders of homes, one of them for hand-overs."""
        for states in itertools.product(('', 'lacking', 'silent'), repeat=3):
            fleet = CountingFleet(members=4)
            reports = self.make_reports(fleet)
            with move_clock(2):
                put_states(fleet, states)
                for key in map(str, range(8)):
                    ranked = reports.sort_by_store_access(
                        reports.rank_homes(key)
                    )
                    self.assertEqual(ranked[0], reports.find_home(key))

    def test_look_at_a_home_does_not_grow_with_the_vms(self) -> None:
        """At 90 VMs each looked at all 90 for each partition, twice a second."""
        fleet = CountingFleet(members=90)
        reports = self.make_reports(fleet)
        reports.find_home('a')
        with mock.patch.object(
            PeerReports, 'lacks_store', return_value=False
        ) as looks:
            reports.find_home('a')
        self.assertEqual(1, looks.call_count)

    def test_vm_that_leaves_is_told_of_the_others(self) -> None:
        """It took all others for silent and asked other homes than they."""
        fleet = CountingFleet(members=2)
        self.make_reports(fleet).send()
        self.assertEqual(['vm-1', 'leaving'], fleet.receivers)

    def test_ranking_is_the_same_for_the_same_members(self) -> None:
        fleet = CountingFleet(members=5)
        reports = self.make_reports(fleet)
        self.assertIs(reports.rank_homes('a'), reports.rank_homes('a'))


class TestHeardReports(testtools.TestCase):
    """The load of servers as the other VMs report it."""

    def test_load_is_that_of_the_last_reports(self) -> None:
        """Guard against counts that stay after a VM has reported others."""
        heard = ReceivedReports(own_name='vm-0')
        for count in (3, 1, 2):
            heard.put('vm-1', make_report(in_flight={'a': count}))
            heard.put('vm-2', make_report(in_flight={'b': count, 'a': 1}))
        heard.put('vm-2', make_report(in_flight={'c': 4}))
        self.assertEqual({'a': 2, 'c': 4}, dict(+heard.in_flight))
        heard.recount_in_flight()
        self.assertEqual({'a': 2, 'c': 4}, dict(heard.in_flight))

    def test_vm_that_was_never_heard_of_has_time_to_join(self) -> None:
        """All others seemed silent to a VM that had just started."""
        heard = ReceivedReports(own_name='vm-0')
        names = ('vm-0', 'vm-1')
        self.assertEqual(frozenset(), heard.list_silent(names))
        for seconds, silent in ((0.9, set()), (1.1, {'vm-1'})):
            with move_clock(seconds):
                self.assertEqual(silent, heard.list_silent(names))


def move_clock(seconds: float) -> Any:
    """Return a context in which reports are read so much later."""
    return mock.patch(
        'bronzepost._internal.gateway.received_reports.read_clock',
        return_value=clock.read_clock() + seconds,
    )


def put_states(fleet: CountingFleet, states: Sequence[str]) -> None:
    """Hear of the others; the silent ones were never heard of."""
    for number, state in enumerate(states, 1):
        if state != 'silent':
            report = make_report(has_store=state != 'lacking')
            fleet.receive(f'vm-{number}', report)


def make_report(**changes: Any) -> LoadReport:
    """Return the report of a VM that serves callers."""
    fields: dict[str, Any] = {
        'in_flight': {},
        'has_store': True,
        'is_ready': True,
        'version': 7,
    }
    return LoadReport(**{**fields, **changes})


class TestFleet(testtools.TestCase):
    """Names under which VMs hold allowances."""

    def make_fleet(self, name: str) -> Fleet:
        address = '127.0.0.1:1'
        settings = GatewaySettings(
            name=name,
            availability_zone='hall-a',
            region='r',
            caller_address=address,
            readiness_address=address,
            directory_address=address,
            peer_address=address,
            metrics_address=address,
            store_address=address,
            store_partitions=1,
        )
        return Fleet(settings=settings)

    def test_last_vm_that_leaves_has_an_age(self) -> None:
        """Turns that it still served failed for want of a member."""
        fleet = self.make_fleet('a')
        fleet.leave()
        self.assertEqual((), fleet.list_serving())
        self.assertTrue(fleet.age_seconds < 60)

    def test_others_are_listed_again_after_a_change(self) -> None:
        """Guard against a list of others from before a VM joined or left."""
        fleet = self.make_fleet('a')
        self.assertEqual(
            ((), ()), (fleet.list_serving_peers(), fleet.list_live_peers())
        )
        for state, others in (('alive', ('b',)), ('leaving', ())):
            entry = MemberEntry(
                name='b',
                peer_address='127.0.0.1:2',
                forward_address='',
                caller_address='127.0.0.1:2',
                availability_zone='hall-a',
                region='r',
                incarnation=1,
                state=MemberState(state),
            )
            fleet._receive(
                'b', Ack(sender=entry, sequence=0, configuration_offset=0)
            )
            self.assertEqual(others, fleet.list_serving_peers())
            self.assertEqual(('b',), fleet.list_live_peers())

    def test_vms_that_start_together_differ(self) -> None:
        """Two VMs spent the same allowance, each as if it were its own."""
        with mock.patch.object(time, 'time', lambda: 1_780_000_000.25):
            boots = {self.make_fleet(name).own_boot for name in ('a', 'b')}
        self.assertEqual(2, len(boots))


class TestMetrics(testtools.TestCase):
    """Figures are served as text."""

    def test_refusals_are_counted_by_code(self) -> None:
        metrics = GatewayMetrics()
        metrics.refusals.labels(code='no_server', run='not_run').inc()
        expected = (
            b'bronzepost_refusals_total{code="no_server",run="not_run"} 1.0'
        )
        self.assertIn(expected, metrics.render())

    def test_figures_are_read_by_the_library(self) -> None:
        """A label or a bucket that is written wrongly hides all figures."""
        metrics = GatewayMetrics()
        kind = 'a"b/c\\'
        metrics.requests.labels(kind=kind, outcome='ok').inc()
        for seconds in (0.3, 0.5, 5.0):
            metrics.seconds.labels(kind='stream').observe(seconds)
        metrics.logs_left_out.inc(4)
        metrics.state.labels(name='members').set(2)
        found = {
            (sample.name, *sample.labels.values()): sample.value
            for family in text_string_to_metric_families(
                metrics.render().decode()
            )
            for sample in family.samples
        }
        name = 'bronzepost_request_seconds'
        expected = {
            ('bronzepost_requests_total', kind, 'ok'): 1,
            ('bronzepost_log_lines_left_out_total',): 4,
            ('bronzepost_state', 'members'): 2,
            (f'{name}_bucket', 'stream', '0.25'): 0,
            (f'{name}_bucket', 'stream', '0.5'): 2,
            (f'{name}_bucket', 'stream', '4.0'): 2,
            (f'{name}_bucket', 'stream', '+Inf'): 3,
            (f'{name}_count', 'stream'): 3,
            (f'{name}_sum', 'stream'): 5.8,
        }
        self.assertEqual(expected, {key: found.get(key) for key in expected})

    def test_labels_are_checked(self) -> None:
        """A figure without a label would be added to another one."""
        metrics = GatewayMetrics()
        self.assertRaises(KeyError, metrics.refusals.labels, code='no_server')


class ScriptedRegistry:
    """A registry whose servers and failures the test sets."""

    def __init__(self) -> None:
        """Start with one server."""
        self.servers: list[BackendServer] = [make_server('a')]
        self.is_down = False
        self.configuration: GatewayConfiguration | None = None

    def wait_for_configuration(
        self, timeout_seconds: float
    ) -> GatewayConfiguration | None:
        """Return nothing new after a moment."""
        gevent.sleep(0.01)
        self._check()
        return self.configuration

    def read_servers(self) -> Sequence[BackendServer]:
        """Return the servers that are set."""
        self._check()
        return tuple(self.servers)

    def _check(self) -> None:
        if self.is_down:
            raise LogServiceError('down', step='read')


class TestRegistryFollower(testtools.TestCase):
    """Servers that live are used through an outage of the registry."""

    def setUp(self) -> None:
        """Follow a registry with quick polls."""
        super().setUp()
        self.patch(registry, 'SERVERS_POLL_SECONDS', 0.01)
        self.patch(registry, 'RETRY_SECONDS', 0.01)
        self.patch(registry, 'RETURN_GRACE_SECONDS', 0.3)
        self.registry = ScriptedRegistry()
        self.directory = Directory(pool=ConnectionPool())
        self.follower = registry.RegistryFollower(
            registry=self.registry, directory=self.directory
        )
        self.follower.start()
        gevent.sleep(0.1)

    def list_ids(self) -> list[str]:
        return [
            server.server_id
            for server in self.directory.list_servers('engines')
        ]

    def test_entries_that_lapsed_are_used_until_they_are_back(self) -> None:
        """All servers seemed gone right after an outage."""
        self.registry.is_down = True
        gevent.sleep(0.1)
        self.assertTrue(self.follower.is_store_lost)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual(['a'], self.list_ids())
        gevent.sleep(0.5)
        self.assertEqual([], self.list_ids())

    def test_draining_server_gets_no_requests(self) -> None:
        self.registry.servers = [make_server('a', is_draining=True)]
        gevent.sleep(0.1)
        self.assertEqual([], self.list_ids())


class TestDirectory(testtools.TestCase):
    """A configuration never goes back."""

    def make_configuration(self, version: int) -> GatewayConfiguration:
        return GatewayConfiguration(
            version=version,
            routes=(make_route(name=f'v{version}'),),
            services_by_name={},
            limits=CallerLimits(),
        )

    def test_older_version_is_ignored(self) -> None:
        """A stale read of the store, or another VM's snapshot."""
        directory = Directory(pool=ConnectionPool())
        for version in (7, 5, 7):
            directory.put_configuration(self.make_configuration(version))
        self.assertEqual(7, directory.version)

    def test_server_at_a_used_address_waits_for_a_new_entry(self) -> None:
        directory = Directory(pool=ConnectionPool())
        server = make_server('a')
        directory.put_servers([server])
        directory.report_misplaced(server)
        self.assertEqual([], directory.list_servers('engines'))
        directory.put_servers([make_server('a', born=2)])
        self.assertEqual(1, len(directory.list_servers('engines')))


class TestReports(testtools.TestCase):
    """Messages of a VM are bounded, whatever the number of VMs."""

    def test_few_vms_notice_a_silent_one_at_once(self) -> None:
        self.assertEqual(0.8, find_silence_timeout(12))

    def test_vm_among_many_is_not_silent_between_its_reports(self) -> None:
        """Of 89 others each hears of a VM every 1.5 s on average."""
        others = 89
        rounds = others / MAX_REPORT_PEERS
        expected = find_report_interval(others) * rounds
        self.assertTrue(find_silence_timeout(others) >= 3 * expected)

    def test_vm_that_reports_is_seldom_taken_for_silent(self) -> None:
        """3 of 100 were, so VMs asked different homes for one program."""
        for others in (25, 89, 409):
            reports = find_silence_timeout(others) / find_report_interval(
                others
            )
            missed = (1 - MAX_REPORT_PEERS / others) ** reports
            self.assertTrue(missed <= MISS_PROBABILITY)

    def test_reports_of_a_vm_are_bounded(self) -> None:
        for others in (9, 89, 409):
            sent = min(others, MAX_REPORT_PEERS) / find_report_interval(others)
            self.assertTrue(sent <= 60)
