"""VMs that do not get the newest configuration from the store get it from peers."""

import time
from typing import Any

import gevent
import testtools
from testtools.matchers import LessThan

from bronzepost._internal.core.gateway.entities import GatewayConfiguration
from bronzepost._internal.core.gateway.workspaces import digest_key
from bronzepost._internal.gateway.servers import registry
from tests.builders_lagging_vms import EarlierVm, LaggingVm, count_requests
from tests.builders_workspaces import make_keyed_configuration, make_workspace

# By rule, a VM hears of a newer configuration within about a second.
HEARD_SECONDS = 1.0
POLL_SECONDS = 0.01
OLD = make_keyed_configuration(make_workspace('tarn'), version=7)
NEW = make_keyed_configuration(make_workspace('fell'), version=8)
WITHOUT = make_keyed_configuration(version=7, workspaces=None)
OTHER = 'b'


class TestLaggingVm(testtools.TestCase):
    """A VM to which the store says nothing, and peers with newer routes."""

    def setUp(self) -> None:
        """Start without VMs."""
        super().setUp()
        self.vms_by_name: dict[str, Any] = {}

    def make_vm(
        self,
        name: str,
        configuration: GatewayConfiguration | None,
        kind: type[LaggingVm] = LaggingVm,
    ) -> LaggingVm:
        return kind(
            name=name,
            vms_by_name=self.vms_by_name,
            configuration=configuration,
        )

    def wait_for(self, vm: LaggingVm, version: int) -> float:
        """Return the seconds until a VM has a version."""
        started_at = time.monotonic()
        with gevent.Timeout(3 * HEARD_SECONDS):
            while vm.directory.version < version:
                gevent.sleep(POLL_SECONDS)
        return time.monotonic() - started_at

    def test_vm_that_hears_nothing_gets_the_newer_routes(self) -> None:
        """Guard against keys that work on after they were taken away.

        No read of a feed has failed: the store is silent.
        """
        vm = self.make_vm('a', OLD)
        peer = self.make_vm(OTHER, NEW)
        vm.start()
        self.assertIs(False, vm.follower.needs_snapshot)
        peer.report_to('a')
        self.assertThat(self.wait_for(vm, 8), LessThan(HEARD_SECONDS))
        self.assertEqual(
            {digest_key(b'fell-key')},
            set(vm.directory.workspaces.workspaces_by_digest),
        )

    def test_silent_peer_is_not_waited_for(self) -> None:
        """Guard against a VM that asks one lost peer again and again."""
        vm = self.make_vm('a', OLD)
        self.make_vm('c', NEW).report_to('a', version=9)
        self.make_vm(OTHER, NEW).report_to('a')
        vm.cut_off.add('c')
        vm.start()
        self.assertThat(self.wait_for(vm, 8), LessThan(HEARD_SECONDS))

    def test_vm_that_keeps_up_asks_nobody(self) -> None:
        """Guard against messages while all VMs hear of versions in time."""
        vm = self.make_vm('a', OLD)
        peer = self.make_vm(OTHER, NEW)
        vm.start()
        peer.report_to('a')
        self.assertIs(True, vm.snapshots.may_lag)
        gevent.sleep(0.1)
        vm.directory.put_configuration(NEW)
        gevent.sleep(0.5)
        self.assertEqual(0, count_requests(vm))
        self.assertIs(False, vm.snapshots.may_lag)

    def test_requests_share_a_fetch(self) -> None:
        """Guard against a message for each request with an unknown key."""
        vm = self.make_vm('a', OLD)
        self.make_vm(OTHER, OLD).report_to('a', version=8)
        waiting = [gevent.spawn(vm.snapshots.catch_up) for _ in range(50)]
        gevent.joinall(waiting, raise_error=True)
        for _ in range(50):
            vm.snapshots.catch_up()
        self.assertEqual(1, count_requests(vm))

    def test_vm_may_lag_once_the_store_is_silent(self) -> None:
        """Guard against 401 and 404 while the store withholds its answers."""
        self.patch(registry, 'CURRENT_SECONDS', 0.2)
        vm = self.make_vm('a', OLD)
        self.assertIs(True, vm.snapshots.may_lag)
        vm.start()
        self.assertIs(False, vm.snapshots.may_lag)
        gevent.sleep(0.3)
        self.assertIs(True, vm.snapshots.may_lag)

    def test_copies_have_digests_and_no_keys(self) -> None:
        """Guard against keys that leave a VM; only operators have them."""
        vm = self.make_vm('a', OLD)
        peer = self.make_vm(OTHER, NEW)
        peer.report_to('a')
        vm.snapshots.catch_up()
        self.assertEqual(8, vm.directory.version)
        self.assertNotIn(b'fell-key', peer.contents[0])
        self.assertIn(digest_key(b'fell-key').encode(), peer.contents[0])

    def test_earlier_build_does_not_end_workspaces(self) -> None:
        """Guard against requests served without a key after an upgrade."""
        vm = self.make_vm('a', OLD)
        self.make_vm(OTHER, NEW, EarlierVm).report_to('a')
        vm.start()
        vm.snapshots.catch_up()
        self.assertEqual(1, count_requests(vm))
        self.assertEqual(7, vm.directory.version)
        self.assertIs(True, vm.snapshots.may_lag)

    def test_vm_without_routes_waits_for_a_peer_with_workspaces(self) -> None:
        """Guard against routes without keys at a VM that starts in an outage."""
        vm = self.make_vm('a', None)
        self.make_vm(OTHER, NEW, EarlierVm).report_to('a')
        vm.snapshots.start()
        gevent.sleep(0.5)
        self.assertIsNone(vm.directory.configuration)
        self.make_vm('c', NEW).report_to('a', has_store=False)
        self.wait_for(vm, 8)
        self.assertIs(True, vm.directory.workspaces.is_in_force)

    def test_routes_of_an_earlier_build_are_completed(self) -> None:
        """Guard against workspaces that are in force one version late."""
        vm = self.make_vm('a', WITHOUT)
        self.make_vm(OTHER, NEW, EarlierVm).report_to('a')
        vm.snapshots.catch_up()
        self.assertEqual(8, vm.directory.version)
        self.assertIs(False, vm.directory.workspaces.is_in_force)
        vm.directory.put_configuration(NEW)
        self.assertIs(True, vm.directory.workspaces.is_in_force)
        vm.directory.put_configuration(WITHOUT)
        self.assertEqual(8, vm.directory.version)
