"""A VM that has met nobody does not count as the whole fleet."""

from typing import Any, cast
from unittest import mock

import testtools

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.fleet_size import count_vms
from bronzepost._internal.gateway.peers.lost_members import LostMembers
from bronzepost._internal.gateway.peers.member_list import (
    EXPIRY_SECONDS,
    LONE_READ_SECONDS,
    PARTITION,
    READ_SECONDS,
    TOPIC,
    MemberList,
)
from bronzepost._internal.gateway.peers.unmet_members import (
    SEEDS_COUNT_SECONDS,
    UnmetMembers,
)
from bronzepost._internal.gateway.peers.voters import Voters
from bronzepost._internal.gateway.programs.keyed_store import KeyedStore
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from tests.builders_gateway import MemoryStore, make_member, make_unmet

SEEDS = ('10.0.0.1:1', '10.0.0.2:1')
# The names that a VM with two seeds counts, with its own.
LONE_VOTERS = frozenset(('own', *SEEDS))


class FakeFleet:
    """A VM, the members that it has met, and those that are named to it."""

    own_name = 'own'

    def __init__(self, *met: str, seeds: tuple[str, ...] = ()) -> None:
        """Start with members that were met."""
        self.met = met
        self.lost_members = LostMembers()
        self.unmet: UnmetMembers = make_unmet(*met, seeds=seeds)

    def list_serving(self) -> tuple[Any, ...]:
        """Return the members, this one included."""
        return tuple(map(make_member, (self.own_name, *self.met)))

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the members that were met."""
        return self.met


class FakeFollower:
    """A store that answers."""

    store_lost_seconds: float = 0


class LoneVmCase(testtools.TestCase):
    """VMs with a clock and a store of the test."""

    def setUp(self) -> None:
        """Start at a time, with an empty list of VMs."""
        super().setUp()
        self.now = 100.0
        self.store = MemoryStore()
        for name in (
            'member_list.read_clock',
            'member_list.time.time',
            'unmet_members.read_clock',
        ):
            self.patch_clock(name)

    def patch_clock(self, name: str) -> None:
        """Replace a clock of a module by that of the test."""
        clock = mock.patch(
            f'bronzepost._internal.gateway.peers.{name}', lambda: self.now
        )
        clock.start()
        self.addCleanup(clock.stop)

    def make_list(self, fleet: FakeFleet, *, name: str = 'own') -> MemberList:
        """Return the list of a VM of a fleet."""
        fleet.own_name = name
        return MemberList(
            fleet=cast(Fleet, fleet),
            store=cast(KeyedStore, self.store),
            peer_address=f'10.0.0.9:{name}',
        )

    def list_voters(self, fleet: FakeFleet) -> set[str]:
        """Return the VMs that have to agree by most."""
        voters = Voters(
            fleet=cast(Fleet, fleet),
            follower=cast(RegistryFollower, FakeFollower()),
        )
        return set(voters.list_names('budgets-1'))


class TestUnmetMembers(LoneVmCase):
    """Guards against grants of a VM that others do not know."""

    def test_seeds_count_until_the_store_names_all(self) -> None:
        """A VM was a majority of one before it had found its seeds."""
        fleet = FakeFleet(seeds=SEEDS)
        self.assertEqual(LONE_VOTERS, self.list_voters(fleet))
        self.now += SEEDS_COUNT_SECONDS - 1
        fleet.unmet.put_list({})
        self.assertEqual(LONE_VOTERS, self.list_voters(fleet))
        self.now += 1
        fleet.unmet.put_list({})
        self.assertEqual({'own'}, self.list_voters(fleet))

    def test_vms_in_the_store_count(self) -> None:
        """A VM with stale seeds was the only voter, and had all of a quota."""
        fleet = FakeFleet(seeds=SEEDS)
        self.now += SEEDS_COUNT_SECONDS
        fleet.unmet.put_list({'a': '10.0.0.3:1', 'b': '10.0.0.4:1'})
        self.assertEqual({'own', 'a', 'b'}, self.list_voters(fleet))
        self.assertEqual(3, count_vms(cast(Fleet, fleet)))

    def test_two_vms_that_have_met_only_each_other(self) -> None:
        """Two VMs that were added at once were a majority of two."""
        fleet = FakeFleet('c')
        fleet.unmet.put_list({name: name for name in 'abc'})
        self.assertEqual({'own', 'a', 'b', 'c'}, self.list_voters(fleet))

    def test_members_that_were_met_are_not_counted_twice(self) -> None:
        """Guard against a majority that a fleet cannot reach any more."""
        fleet = FakeFleet('a', seeds=('a',))
        fleet.unmet.put_list({'a': 'a'})
        self.assertEqual({'own', 'a'}, self.list_voters(fleet))
        self.assertEqual(2, count_vms(cast(Fleet, fleet)))

    def test_unmet_vms_are_contacted(self) -> None:
        """Only the seeds of the start were contacted, for ever."""
        unmet = make_unmet(seeds=SEEDS)
        unmet.put_list({'a': '10.0.0.3:1'})
        unmet.use_seeds(('10.0.0.5:1', '127.0.0.1:1'))
        self.assertEqual(('10.0.0.3:1', '10.0.0.5:1'), unmet._members.seeds)


class TestMemberList(LoneVmCase):
    """Guards against VMs that do not find each other in the store."""

    def test_vms_find_each_other(self) -> None:
        one, other = FakeFleet(), FakeFleet()
        lists = [
            self.make_list(one, name='a'),
            self.make_list(other, name='b'),
        ]
        for _ in range(2):
            for vm in lists:
                vm.update()
            self.now += LONE_READ_SECONDS
        self.assertIn('b', one.unmet.list_names())
        self.assertIn('a', other.unmet.list_names())

    def test_entries_of_gone_vms_expire(self) -> None:
        """Guard against a fleet that counts machines removed long ago."""
        self.make_list(FakeFleet(), name='gone').update()
        self.now += EXPIRY_SECONDS + 1
        fleet = FakeFleet()
        self.make_list(fleet).update()
        self.assertEqual([], fleet.unmet.list_names())

    def test_leaving_vm_removes_its_entry(self) -> None:
        vm = self.make_list(FakeFleet(), name='a')
        vm.update()
        vm.leave()
        vm.update()
        self.assertEqual(
            (), self.store.read_partition(TOPIC, PARTITION).records
        )

    def test_list_is_read_seldom_with_peers(self) -> None:
        """Guard against a call of each VM every second."""
        fleet = FakeFleet('a')
        vm = self.make_list(fleet)
        vm.update()
        self.now += SEEDS_COUNT_SECONDS
        vm.update()
        with mock.patch.object(self.store, 'read_partition') as read:
            self.now += READ_SECONDS - 1
            vm.update()
            self.assertEqual(0, read.call_count)

    def test_store_that_is_down_is_tried_again(self) -> None:
        """Guard against a VM that stays alone after an outage at its start."""
        fleet = FakeFleet()
        vm = self.make_list(fleet)
        self.store.is_down = True
        vm.update()
        self.store.is_down = False
        vm.update()
        self.assertEqual(1, len(self.store.list_keys(TOPIC)))
