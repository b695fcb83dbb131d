"""Tests of the software versions that streams are bound to."""

from typing import Final
from unittest import mock

import testtools
from testtools.matchers import HasLength

from bronzepost._internal.core.gateway.seen_versions import (
    MAX_LIST_AGE_SECONDS,
    STREAM_SECONDS,
    SeenVersions,
    find_only_version,
    record_read_versions,
    record_versions,
)
from bronzepost._internal.gateway.peers.messages import ReplicateStream
from bronzepost._internal.gateway.requests.stream_versions import (
    COPIES_PER_STREAM,
)
from tests.builders_gateway import make_server
from tests.builders_streams import StreamVm, make_vms

START: Final = 1000.0
POLL_SECONDS: Final = 0.4
SERVICE: Final = 'engines'


def read_lists(
    seen: SeenVersions, *versions: str, start: float, seconds: float
) -> float:
    """Record lists with servers of some versions; return the time after."""
    at = start
    while at < start + seconds:
        at += POLL_SECONDS
        servers = [make_server(name, version=name) for name in versions]
        record_versions(seen, servers, at=at)
    return at


class TestSeenVersions(testtools.TestCase):
    """A VM knows when all streams have one version."""

    def test_only_version(self) -> None:
        seen = SeenVersions()
        at = read_lists(seen, 'v1', start=START, seconds=STREAM_SECONDS + 1)
        self.assertEqual('v1', find_only_version(seen, SERVICE, at=at))

    def test_vm_that_has_just_started_is_not_certain(self) -> None:
        """Guard against streams of a version that was gone by the start."""
        seen = SeenVersions()
        at = read_lists(seen, 'v1', start=START, seconds=STREAM_SECONDS / 2)
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))

    def test_version_counts_until_its_streams_have_ended(self) -> None:
        seen = SeenVersions()
        at = read_lists(seen, 'v1', start=START, seconds=STREAM_SECONDS)
        at = read_lists(seen, 'v1', 'v2', start=at, seconds=1)
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))
        at = read_lists(seen, 'v2', start=at, seconds=STREAM_SECONDS - 1)
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))
        at = read_lists(seen, 'v2', start=at, seconds=2)
        self.assertEqual('v2', find_only_version(seen, SERVICE, at=at))

    def test_version_that_came_and_went_between_two_reads(self) -> None:
        """A VM that was out of step took the other version for the only one."""
        seen = SeenVersions()
        at = read_lists(seen, 'v1', start=START, seconds=STREAM_SECONDS + 1)
        record_read_versions(seen, {SERVICE: {'v2'}}, at=at)
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))

    def test_entries_that_could_not_be_read(self) -> None:
        """Guard against versions in entries that the registry has deleted."""
        seen = SeenVersions()
        at = read_lists(seen, 'v1', start=START, seconds=STREAM_SECONDS + 1)
        record_read_versions(seen, None, at=at)
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))
        at = read_lists(seen, 'v1', start=at, seconds=STREAM_SECONDS + 1)
        self.assertEqual('v1', find_only_version(seen, SERVICE, at=at))

    def test_old_list_is_not_certain(self) -> None:
        """Guard against versions that came while the store was away."""
        seen = SeenVersions()
        at = read_lists(seen, 'v1', start=START, seconds=STREAM_SECONDS + 1)
        at += MAX_LIST_AGE_SECONDS + 1
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))
        at = read_lists(seen, 'v1', start=at, seconds=1)
        self.assertIsNone(find_only_version(seen, SERVICE, at=at))


class StreamVersionCase(testtools.TestCase):
    """VMs before a list of servers that the test sets."""

    def setUp(self) -> None:
        """Start VMs whose clock the test sets."""
        super().setUp()
        self.now = START
        for module in (
            'servers.service_versions',
            'requests.stream_versions',
            'requests.past_versions',
        ):
            patch = mock.patch(
                f'bronzepost._internal.gateway.{module}.read_clock',
                self.read_clock,
            )
            patch.start()
            self.addCleanup(patch.stop)
        self.vms = make_vms(6)

    def read_clock(self) -> float:
        return self.now

    def read_lists(self, *versions: str, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += POLL_SECONDS
            for vm in self.vms.values():
                vm.list_servers(*versions)

    def begin(self, name: str, request_id: str = 'q-1') -> None:
        self.vms[name].streams.begin(
            request_id, service=SERVICE, version='v1', remaining_seconds=3
        )

    def find(self, name: str, request_id: str = 'q-1') -> str | None:
        stream = self.vms[name].streams.find(request_id, SERVICE)
        return stream.version if stream else None


class TestStreamVersions(StreamVersionCase):
    """Each VM finds the version of a stream that began at another one."""

    def test_every_vm_finds_a_stream(self) -> None:
        self.read_lists('v1', 'v2', seconds=1)
        self.begin('a')
        self.assertEqual({'v1'}, {self.find(name) for name in self.vms})

    def test_stream_outlives_its_vm_and_some_copies(self) -> None:
        """Guard against a stream that only the VM which is lost knows."""
        self.read_lists('v1', 'v2', seconds=1)
        self.begin('a')
        for name in 'abc'[:COPIES_PER_STREAM]:
            self.vms.pop(name)
        self.assertEqual('v1', self.find('f'))

    def test_version_that_this_vm_has_not_read_yet(self) -> None:
        """Guard against a list older than that of the VM which was lost."""
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        self.vms['a'].next_versions = ('v1', 'v2')
        self.assertIsNone(self.find('a', request_id=''))

    def test_list_that_cannot_be_read_now(self) -> None:
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        self.vms['a'].next_versions = None
        self.assertIsNone(self.find('a', request_id=''))

    def test_no_copies_are_sent_for_a_single_version(self) -> None:
        """Guard against messages that grow with the requests."""
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        self.begin('a')
        self.assertEqual([], self.vms['a'].sent)
        self.vms.pop('a')
        self.assertEqual('v1', self.find('b'))

    def test_copies_are_sent_once_a_second_version_appears(self) -> None:
        """Guard against streams that began just before a release."""
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        self.begin('a')
        self.read_lists('v1', 'v2', seconds=1)
        self.vms['a'].streams.refresh()
        sent = self.vms['a'].sent
        self.assertEqual({ReplicateStream}, set(sent))
        self.assertThat(sent, HasLength(COPIES_PER_STREAM))
        self.vms.pop('a')
        self.assertEqual('v1', self.find('f'))

    def test_stream_that_no_vm_knows(self) -> None:
        self.read_lists('v1', 'v2', seconds=1)
        self.assertIsNone(self.find('a'))

    def test_caller_that_does_not_name_its_stream(self) -> None:
        """Guard against guessing among several versions."""
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        self.assertEqual('v1', self.find('a', request_id=''))
        self.read_lists('v1', 'v2', seconds=1)
        self.assertIsNone(self.find('a', request_id=''))

    def test_version_that_has_just_left_counts(self) -> None:
        """Guard against joining the old version's part and the new one's."""
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        self.read_lists('v2', seconds=1)
        self.assertIsNone(self.find('a', request_id=''))
        self.read_lists('v2', seconds=STREAM_SECONDS)
        self.assertEqual('v2', self.find('a', request_id=''))

    def test_streams_are_forgotten(self) -> None:
        """Guard against a table that grows with every stream."""
        self.read_lists('v1', 'v2', seconds=1)
        self.begin('a')
        self.now += STREAM_SECONDS + 4
        self.read_lists('v1', 'v2', seconds=1)
        for vm in self.vms.values():
            vm.streams.refresh()
            self.assertEqual(0, vm.streams.count())


class TestLossOfAllVms(StreamVersionCase):
    """VMs that have just started learn what was in service before."""

    def test_version_that_left_before_the_start(self) -> None:
        """Guard against a take-up at the only version that a VM has seen."""
        self.read_lists('v2', seconds=1)
        for request_id in ('', 'unknown'):
            found = {self.find(name, request_id) for name in self.vms}
            self.assertEqual({None}, found)

    def test_old_entries_name_one_version(self) -> None:
        """Guard against refusals on deployments with a single version."""
        self.put_past_versions('v1')
        self.read_lists('v1', seconds=1)
        for request_id in ('', 'unknown'):
            found = {self.find(name, request_id) for name in self.vms}
            self.assertEqual({'v1'}, found)

    def test_old_entries_name_another_version(self) -> None:
        self.put_past_versions('v1', 'v2')
        self.read_lists('v2', seconds=1)
        self.assertIsNone(self.find('a', request_id=''))
        self.assertIsNone(self.find('f', request_id=''))

    def test_version_that_came_after_the_old_entries(self) -> None:
        """Guard against an answer of a peer whose list is older."""
        self.put_past_versions('v1')
        self.read_lists('v1', seconds=1)
        self.vms['f'].list_servers('v1', 'v2')
        self.assertIsNone(self.find('f', request_id=''))

    def test_list_that_is_not_read_any_more(self) -> None:
        self.put_past_versions('v1')
        self.read_lists('v1', seconds=1)
        self.now += MAX_LIST_AGE_SECONDS + 1
        self.assertIsNone(self.find('a', request_id=''))

    def test_few_vms_read_old_entries(self) -> None:
        """Guard against reads by every VM, for every take-up."""
        self.read_lists('v1', seconds=1)
        for name in (*self.vms, *self.vms):
            self.find(name, request_id='')
        reads = sorted(vm.history_reads for vm in self.vms.values())
        self.assertEqual([0, 0, 0, 1, 1, 1], reads)

    def test_mixed_versions_ask_nobody(self) -> None:
        """Guard against messages for each take-up during a release."""
        self.read_lists('v1', 'v2', seconds=1)
        self.find('a', request_id='')
        self.assertEqual([], self.vms['a'].sent)
        self.assertEqual(0, self.vms['a'].servers_read_at)

    def test_peer_with_another_version(self) -> None:
        """Guard against an answer of a peer that has missed a version."""
        self.put_past_versions('v1')
        self.read_lists('v1', seconds=1)
        new = StreamVm(name='g', vms_by_name=self.vms)
        new.list_servers('v2')
        self.assertIsNone(self.find('g', request_id=''))

    def test_older_vm_that_has_watched_tells_a_new_one(self) -> None:
        self.read_lists('v1', seconds=STREAM_SECONDS + 1)
        new = StreamVm(name='g', vms_by_name=self.vms)
        new.list_servers('v1')
        self.assertEqual('v1', self.find('g', request_id=''))
        self.assertEqual(0, new.history_reads)

    def put_past_versions(self, *versions: str) -> None:
        for vm in self.vms.values():
            vm.past_versions = versions
