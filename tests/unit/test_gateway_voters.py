"""The members that have to agree are the same on both sides of a cut."""

from typing import Any, cast
from unittest import mock

import testtools

from bronzepost._internal.core.membership import MemberChanged, MemberState
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.lost_members import (
    LOST_SECONDS,
    LostMembers,
)
from bronzepost._internal.gateway.peers.voters import MAX_VOTERS, Voters
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from tests.builders_gateway import make_member, make_unmet


class FakeFleet:
    """The members that are alive, and those that were lost."""

    def __init__(self, *, names: tuple[str, ...]) -> None:
        """Start with members that are alive."""
        self.names = names
        self.lost_members = LostMembers()
        self.unmet = make_unmet()

    def list_serving(self) -> tuple[Any, ...]:
        """Return the members that are alive."""
        return tuple(map(make_member, self.names))

    def lose(self, name: str) -> None:
        """Declare a member dead."""
        self.names = tuple(left for left in self.names if left != name)
        self.lost_members.record(
            MemberChanged(
                name=name,
                incarnation=1,
                previous=MemberState.SUSPECTED,
                current=MemberState.DEAD,
            )
        )


class FakeFollower:
    """A store that has not answered for some time."""

    store_lost_seconds: float = 0


class TestVoters(testtools.TestCase):
    """Guards against two groups of VMs that each count as most of them."""

    def setUp(self) -> None:
        """Start five VMs and lose three of them."""
        super().setUp()
        self.now = 100.0
        clock = mock.patch(
            'bronzepost._internal.gateway.peers.lost_members.read_clock',
            lambda: self.now,
        )
        clock.start()
        self.addCleanup(clock.stop)
        self.fleet = FakeFleet(names=tuple('abcde'))
        self.follower = FakeFollower()
        self.voters = Voters(
            fleet=cast(Fleet, self.fleet),
            follower=cast(RegistryFollower, self.follower),
        )
        for name in 'cde':
            self.fleet.lose(name)

    def list_names(self) -> set[str]:
        """Return the names of the voters."""
        return set(self.voters.list_names('budgets-1'))

    def test_members_that_were_lost_lately_vote(self) -> None:
        self.assertEqual(set('abcde'), self.list_names())

    def test_members_lost_long_ago_do_not_vote(self) -> None:
        """Guard against a fleet that can never agree after a loss of most."""
        self.now += LOST_SECONDS + 1
        self.assertEqual(set('ab'), self.list_names())

    def test_vm_without_the_store_counts_all(self) -> None:
        """After a long cut each side took the other one for gone."""
        self.follower.store_lost_seconds = 3600
        self.now += 3600
        self.assertEqual(set('abcde'), self.list_names())

    def test_messages_are_bounded(self) -> None:
        """Guard against a message to each of 410 VMs for each claim."""
        self.fleet.names = tuple(map(str, range(410)))
        self.assertEqual(MAX_VOTERS, len(self.list_names()))
