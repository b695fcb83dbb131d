"""Tests of log output, peer reports, membership, metrics and the registry."""

import itertools
import os
import time
from collections.abc import Callable, Mapping, Sequence, Set
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
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.peers.received_reports import (
    MAX_REPORT_PEERS,
    MISS_PROBABILITY,
    ReceivedReports,
    find_report_interval,
    find_silence_timeout,
)
from bronzepost._internal.gateway.servers import registry, return_grace
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.settings import GatewaySettings
from bronzepost._internal.node import clock
from bronzepost._internal.telemetry.exposition import GatewayMetrics
from bronzepost._internal.telemetry.output import BoundedOutput
from tests.builders_gateway import make_member, make_route, make_server

LOG_LINE = '{"event":"server_up"}\n'
SUCCESS_LINE = '{"event":"request_done"}\n'


class TestOutput(testtools.TestCase):
    """Log output is limited, and writers never wait for its reader."""

    def open_output(self, bytes_per_second: int) -> tuple[BoundedOutput, int]:
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        # Cleanups run in reverse order. The reader is closed first, which ends
        # the greenlet that waits to write; a descriptor closed while a greenlet
        # waits for it aborts the event loop of a later test.
        self.addCleanup(gevent.sleep, 0.01)
        self.addCleanup(os.close, reader)
        output = BoundedOutput(
            descriptor=writer, bytes_per_second=bytes_per_second
        )
        return output, reader

    def test_reader_that_stops_does_not_block(self) -> None:
        """A write to a full pipe would block the event loop."""
        output, _ = self.open_output(10_000_000)
        with gevent.Timeout(5):
            for _ in range(100_000):
                output.write(LOG_LINE)
                output.flush()
            gevent.sleep(0.01)
        self.assertTrue(output.left_out_count > 0)

    def test_close_writes_the_last_lines(self) -> None:
        """Guard against losing the log line that a process has stopped."""
        output, reader = self.open_output(1000)
        output.write(LOG_LINE)
        output.close()
        self.assertEqual(LOG_LINE.encode(), os.read(reader, 65536))

    def test_close_does_not_wait_for_a_reader_that_stops(self) -> None:
        """Guard against a process that waits to write until it is killed."""
        output, _ = self.open_output(10_000_000)
        for _line in range(1000):
            output.write(LOG_LINE * 100)
        with gevent.Timeout(5):
            output.close()

    def test_lines_of_successful_requests_are_left_out_first(self) -> None:
        output, reader = self.open_output(1000)
        for _ in range(60):
            output.write(SUCCESS_LINE)
        output.write(LOG_LINE)
        output.flush()
        gevent.sleep(0.01)
        written = os.read(reader, 65536).decode()
        self.assertIn(LOG_LINE.strip(), written)
        self.assertTrue(output.pop_left_out_count() > 0)
        self.assertEqual(0, output.left_out_count)

    def test_line_may_be_written_in_parts(self) -> None:
        output, reader = self.open_output(1000)
        for text in ('{"a":', '1}', '\n'):
            output.write(text)
        output.flush()
        gevent.sleep(0.01)
        self.assertEqual(b'{"a":1}\n', os.read(reader, 100))


class FakeFleet:
    """A fleet that counts member listings and records message receivers."""

    def __init__(self, *, members: int) -> None:
        """Start as the first VM of a fleet with this number of members."""
        self.own_name = 'vm-0'
        self.listings = 0
        self.receivers: list[str] = []
        self.receive: Any = None
        self._members = tuple(
            make_member(f'vm-{number}') for number in range(members)
        )

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Keep the function that receives reports."""
        self.receive = receive

    def send(self, name: str, message: Any) -> bool:
        """Record the receiver."""
        self.receivers.append(name)
        return True

    def list_live_peers(self) -> tuple[str, ...]:
        """Return the peers, one of which is leaving."""
        return (*self.list_serving_peers(), 'leaving')

    def list_serving(self) -> tuple[Member, ...]:
        """Return all members."""
        self.listings += 1
        return self._members

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of all members except the first."""
        return tuple(member.name for member in self.list_serving()[1:])


class ReachableStore:
    """The state of a follower whose store is reachable."""

    is_store_lost = False


class TestRanking(testtools.TestCase):
    """The order in which members are asked to be the home of a key."""

    def make_reports(self, fleet: FakeFleet) -> PeerReports:
        return PeerReports(
            fleet=cast(Fleet, fleet),
            directory=Directory(pool=ConnectionPool()),
            follower=cast(registry.RegistryFollower, ReachableStore()),
        )

    def test_ranking_lists_the_members_once(self) -> None:
        """A list of all peers for each member takes 7 ms with 90 VMs."""
        fleet = FakeFleet(members=90)
        ranked = self.make_reports(fleet).rank_homes('budgets-1')
        self.assertEqual(90, len(ranked))
        self.assertEqual(1, fleet.listings)

    def test_first_home_is_the_first_of_the_ranking(self) -> None:
        """Guard against requests and hand-overs that use different homes."""
        for states in itertools.product(('', 'lacking', 'silent'), repeat=3):
            fleet = FakeFleet(members=4)
            reports = self.make_reports(fleet)
            with advance_clock(2):
                report_states(fleet, states)
                for key in map(str, range(8)):
                    ranked = reports.sort_by_store_access(
                        reports.rank_homes(key)
                    )
                    self.assertEqual(ranked[0], reports.find_home(key))

    def test_finding_a_home_does_not_check_all_members(self) -> None:
        """VMs look up the home of each partition twice a second."""
        fleet = FakeFleet(members=90)
        reports = self.make_reports(fleet)
        reports.find_home('a')
        with mock.patch.object(
            PeerReports, 'lacks_store', return_value=False
        ) as store_checks:
            reports.find_home('a')
        self.assertEqual(1, store_checks.call_count)

    def test_leaving_vm_receives_reports(self) -> None:
        """It would treat its peers as silent and use other homes than they."""
        fleet = FakeFleet(members=2)
        self.make_reports(fleet).send()
        self.assertEqual(['vm-1', 'leaving'], fleet.receivers)

    def test_ranking_is_the_same_for_the_same_members(self) -> None:
        fleet = FakeFleet(members=5)
        reports = self.make_reports(fleet)
        self.assertIs(reports.rank_homes('a'), reports.rank_homes('a'))


class TestReceivedReports(testtools.TestCase):
    """The load of servers, as the peers report it."""

    def test_load_is_the_sum_of_the_last_reports(self) -> None:
        """Guard against counts of reports that have been replaced."""
        reports = ReceivedReports(own_name='vm-0')
        for count in (3, 1, 2):
            reports.put('vm-1', make_report(in_flight={'a': count}))
            reports.put('vm-2', make_report(in_flight={'b': count, 'a': 1}))
        reports.put('vm-2', make_report(in_flight={'c': 4}))
        self.assertEqual({'a': 2, 'c': 4}, dict(+reports.in_flight))
        reports.recount_in_flight()
        self.assertEqual({'a': 2, 'c': 4}, dict(reports.in_flight))

    def test_new_vm_does_not_treat_its_peers_as_silent(self) -> None:
        """They need time to send their first report."""
        reports = ReceivedReports(own_name='vm-0')
        names = ('vm-0', 'vm-1')
        self.assertEqual(frozenset(), reports.list_silent(names))
        for seconds, silent in ((0.9, set()), (1.1, {'vm-1'})):
            with advance_clock(seconds):
                self.assertEqual(silent, reports.list_silent(names))


def advance_clock(seconds: float) -> Any:
    """Return a context in which the clock of reports is ahead."""
    return mock.patch(
        'bronzepost._internal.gateway.peers.received_reports.read_clock',
        return_value=clock.read_clock() + seconds,
    )


def report_states(fleet: FakeFleet, states: Sequence[str]) -> None:
    """Deliver reports of the peers, except of those that are silent."""
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
    """The members that a VM knows, and how VMs are told apart."""

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
            relay_address=address,
            metrics_address=address,
            store_address=address,
            store_partitions=1,
        )
        return Fleet(settings=settings)

    def test_last_vm_that_leaves_has_an_age(self) -> None:
        """Turns that it still serves would fail without any member."""
        fleet = self.make_fleet('a')
        fleet.leave()
        self.assertEqual((), fleet.list_serving())
        self.assertTrue(fleet.age_seconds < 60)

    def test_list_of_peers_follows_changes(self) -> None:
        """Guard against a cached list from before a VM joined or left."""
        fleet = self.make_fleet('a')
        self.assertEqual(
            ((), ()), (fleet.list_serving_peers(), fleet.list_live_peers())
        )
        for state, expected_names in (('alive', ('b',)), ('leaving', ())):
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
            self.assertEqual(expected_names, fleet.list_serving_peers())
            self.assertEqual(('b',), fleet.list_live_peers())

    def test_vms_that_start_together_have_different_boots(self) -> None:
        """With equal boots, two VMs would spend the same allowance."""
        with mock.patch.object(time, 'time', lambda: 1_780_000_000.25):
            boots = {self.make_fleet(name).own_boot for name in ('a', 'b')}
        self.assertEqual(2, len(boots))


class TestMetrics(testtools.TestCase):
    """Metrics are served in the Prometheus text format."""

    def test_refusals_are_counted_by_code(self) -> None:
        metrics = GatewayMetrics()
        metrics.refusals.labels(code='no_server', run='not_run').inc()
        expected = (
            b'bronzepost_refusals_total{code="no_server",run="not_run"} 1.0'
        )
        self.assertIn(expected, metrics.render())

    def test_metrics_are_parsed_by_the_prometheus_client(self) -> None:
        """One malformed label or bucket would make all metrics unreadable."""
        metrics = GatewayMetrics()
        kind = 'a"b/c\\'
        metrics.requests.labels(kind=kind, outcome='ok').inc()
        for seconds in (0.3, 0.5, 5.0):
            metrics.request_seconds.labels(kind='stream').observe(seconds)
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

    def test_missing_labels_are_refused(self) -> None:
        """A sample without a label would be counted with others."""
        metrics = GatewayMetrics()
        self.assertRaises(KeyError, metrics.refusals.labels, code='no_server')


class ScriptedRegistry:
    """A registry whose servers and failures are set by the test."""

    def __init__(self) -> None:
        """Start with one server."""
        self.servers: list[BackendServer] = [make_server('a')]
        self.expiry_seconds: float = 0.2
        self.is_down = False
        self.read_seconds = 0.01
        self.server_reads = 0
        self.past_versions: Mapping[str, Set[str]] | None = None
        self.configuration: GatewayConfiguration | None = None

    def wait_for_configuration(
        self, timeout_seconds: float
    ) -> GatewayConfiguration | None:
        """Return the configuration of the test after a short wait."""
        gevent.sleep(0.01)
        self._check()
        return self.configuration

    def pop_versions(self) -> Mapping[str, Set[str]] | None:
        """Return nothing beyond what is listed."""
        return {}

    def read_servers(self) -> Sequence[BackendServer]:
        """Return the servers of the test."""
        self.server_reads += 1
        gevent.sleep(self.read_seconds)
        self._check()
        return tuple(self.servers)

    def read_past_versions(
        self, seconds: float
    ) -> Mapping[str, Set[str]] | None:
        """Return the versions of the test."""
        self._check()
        return self.past_versions

    def _check(self) -> None:
        if self.is_down:
            raise LogServiceError('down', step='read')


class TestRegistryFollower(testtools.TestCase):
    """Servers stay in use during an outage of the registry."""

    def setUp(self) -> None:
        """Follow a registry with short poll intervals."""
        super().setUp()
        self.patch(registry, 'SERVERS_POLL_SECONDS', 0.01)
        self.patch(registry, 'RETRY_SECONDS', 0.01)
        self.patch(return_grace, 'RETURN_GRACE_SECONDS', 0.3)
        self.patch(registry, 'start_loop', self.start_loop)
        self._spawn_later = gevent.spawn_later
        self.patch(gevent, 'spawn_later', self.spawn_later)
        self.registry = ScriptedRegistry()
        self.follow()

    def start_loop(self, step: Callable[[], None], pause_seconds: float) -> Any:
        """Start a loop that ends with the test: it would log into later ones."""
        loop = start_loop(step, pause_seconds)
        self.addCleanup(loop.kill)
        return loop

    def spawn_later(self, seconds: float, task: Callable[[], None]) -> Any:
        """Start a timer that ends with the test."""
        timer = self._spawn_later(seconds, task)
        self.addCleanup(timer.kill)
        return timer

    def follow(self) -> None:
        """Follow the registry as a VM does that has just started."""
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

    def test_expired_entries_are_used_for_a_time_after_an_outage(self) -> None:
        """Servers could not renew them, and are listed again soon."""
        self.registry.is_down = True
        gevent.sleep(0.3)
        self.assertTrue(self.follower.is_store_lost)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual(['a'], self.list_ids())
        gevent.sleep(0.5)
        self.assertEqual([], self.list_ids())

    def test_server_that_leaves_after_a_start_is_dropped_at_once(self) -> None:
        """Guard against a start that counts as the end of an outage."""
        self.registry.servers = []
        gevent.sleep(0.1)
        self.assertEqual([], self.list_ids())

    def test_server_that_leaves_after_a_failed_read_is_dropped_at_once(
        self,
    ) -> None:
        """Guard against an outage in which no entry can have expired."""
        self.registry.expiry_seconds = 30
        self.follow()
        self.registry.is_down = True
        gevent.sleep(0.1)
        self.assertTrue(self.follower.is_store_lost)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual([], self.list_ids())

    def test_grace_period_ends_while_a_read_hangs(self) -> None:
        """Guard against a server that is kept until the next answer."""
        self.registry.is_down = True
        gevent.sleep(0.3)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual(['a'], self.list_ids())
        self.registry.read_seconds = 30
        gevent.sleep(0.4)
        self.assertEqual([], self.list_ids())

    def test_servers_stay_if_the_store_is_lost_again_in_the_grace_period(
        self,
    ) -> None:
        """Guard against a VM without servers when the store flaps."""
        self.registry.is_down = True
        gevent.sleep(0.3)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.registry.is_down = True
        gevent.sleep(0.5)
        self.assertEqual(['a'], self.list_ids())
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual(['a'], self.list_ids())

    def test_list_of_a_vm_that_has_the_store_ends_an_outage(self) -> None:
        """Guard against a cut of one VM that counts as an outage of the store."""
        self.registry.is_down = True
        gevent.sleep(0.3)
        self.follower.grace.record_copy(is_current=True)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual([], self.list_ids())

    def test_vm_that_starts_in_an_outage_keeps_copied_servers(self) -> None:
        """Guard against refusals by VMs that have never read the list."""
        self.registry.is_down = True
        self.follow()
        self.directory.put_servers([make_server('a')])
        self.follower.grace.record_copy(is_current=False)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertEqual(['a'], self.list_ids())

    def test_servers_that_are_kept_are_not_told_as_current(self) -> None:
        """Guard against a peer that takes them for registered ones."""
        self.assertTrue(self.follower.has_current_servers)
        self.registry.is_down = True
        gevent.sleep(0.3)
        self.assertFalse(self.follower.has_current_servers)
        self.registry.servers = []
        self.registry.is_down = False
        gevent.sleep(0.1)
        self.assertFalse(self.follower.has_current_servers)
        gevent.sleep(0.4)
        self.assertTrue(self.follower.has_current_servers)

    def test_draining_server_gets_no_requests(self) -> None:
        self.registry.servers = [make_server('a', is_draining=True)]
        gevent.sleep(0.1)
        self.assertEqual([], self.list_ids())

    def test_reads_of_the_servers_on_demand_are_shared(self) -> None:
        """Guard against a call to the store for each of many take-ups."""
        asked_at = clock.read_clock()
        before = self.registry.server_reads
        gevent.joinall([
            gevent.spawn(self.follower.refresh_servers) for _ in range(20)
        ])
        self.assertGreaterEqual(self.follower.servers_read_at, asked_at)
        self.assertLessEqual(self.registry.server_reads - before, 3)

    def test_read_that_fails_is_not_taken_for_a_new_list(self) -> None:
        self.registry.is_down = True
        asked_at = clock.read_clock()
        self.follower.refresh_servers()
        self.assertLess(self.follower.servers_read_at, asked_at)

    def test_past_versions_count_as_watched(self) -> None:
        """Guard against take-ups at the only version of a new VM's list."""
        self.assertIsNone(self.directory.versions.find_only('engines'))
        self.registry.past_versions = {'engines': frozenset(('',))}
        self.follower.read_past_versions()
        self.assertEqual('', self.directory.versions.find_only('engines'))
        self.registry.past_versions = {'engines': frozenset(('', 'v0'))}
        self.follower.read_past_versions()
        self.assertIsNone(self.directory.versions.find_only('engines'))

    def test_registry_that_fails_tells_no_past_versions(self) -> None:
        self.registry.is_down = True
        self.follower.read_past_versions()
        self.assertIsNone(self.directory.versions.find_only('engines'))


class TestDirectory(testtools.TestCase):
    """Changes of the configuration and of registered servers."""

    def make_configuration(self, version: int) -> GatewayConfiguration:
        return GatewayConfiguration(
            version=version,
            routes=(make_route(name=f'v{version}'),),
            services_by_name={},
            limits=CallerLimits(),
        )

    def test_older_version_is_ignored(self) -> None:
        """A read of the store or the snapshot of a peer may be stale."""
        directory = Directory(pool=ConnectionPool())
        for version in (7, 5, 7):
            directory.put_configuration(self.make_configuration(version))
        self.assertEqual(7, directory.version)

    def test_misplaced_server_is_not_used_until_its_entry_changes(
        self,
    ) -> None:
        directory = Directory(pool=ConnectionPool())
        server = make_server('a')
        directory.put_servers([server])
        directory.report_misplaced(server)
        self.assertEqual((), directory.list_servers('engines'))
        directory.put_servers([make_server('a', born=2)])
        self.assertEqual(1, len(directory.list_servers('engines')))


class TestReports(testtools.TestCase):
    """The interval of reports, and when a VM counts as silent."""

    def test_silent_vm_among_few_is_detected_soon(self) -> None:
        self.assertEqual(0.8, find_silence_timeout(12))

    def test_vm_among_many_is_not_silent_between_its_reports(self) -> None:
        """Each of 89 peers gets a report of a VM every 1.5 s on average."""
        peer_count = 89
        rounds = peer_count / MAX_REPORT_PEERS
        expected = find_report_interval(peer_count) * rounds
        self.assertTrue(find_silence_timeout(peer_count) >= 3 * expected)

    def test_reporting_vm_is_seldom_treated_as_silent(self) -> None:
        """VMs that disagree on it use different homes for one program."""
        for peer_count in (25, 89, 409):
            reports = find_silence_timeout(peer_count) / find_report_interval(
                peer_count
            )
            missed = (1 - MAX_REPORT_PEERS / peer_count) ** reports
            self.assertTrue(missed <= MISS_PROBABILITY)

    def test_reports_per_second_are_limited(self) -> None:
        for peer_count in (9, 89, 409):
            sent = min(peer_count, MAX_REPORT_PEERS) / find_report_interval(
                peer_count
            )
            self.assertTrue(sent <= 60)
