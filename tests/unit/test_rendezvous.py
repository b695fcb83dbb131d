"""Tests of rendezvous hashing."""

from testtools import TestCase

from bronzepost._internal.core import rendezvous

MEMBERS = tuple(f'node-{index}' for index in range(12))
KEYS = tuple(f'programs-{index:02}' for index in range(48))


class RankMembersTest(TestCase):
    """Guard the ranking on which all nodes must agree."""

    def test_order_of_input_does_not_matter(self) -> None:
        """Guard against nodes that disagree on the owner of a partition."""
        self.assertEqual(
            rendezvous.rank_members(MEMBERS, 'key'),
            rendezvous.rank_members(reversed(MEMBERS), 'key'),
        )

    def test_only_keys_of_the_lost_member_move(self) -> None:
        """Guard against needless takeovers when one member leaves."""
        for key in KEYS:
            ranking = rendezvous.rank_members(MEMBERS, key)
            survivors = [name for name in MEMBERS if name != ranking[0]]
            self.assertEqual(
                ranking[1:], rendezvous.rank_members(survivors, key)
            )

    def test_keys_spread_over_members(self) -> None:
        """Guard against a weight that favours some members."""
        owners = {rendezvous.rank_members(MEMBERS, key)[0] for key in KEYS}
        self.assertGreater(len(owners), 9)

    def test_first_members_agree_with_ranking(self) -> None:
        """Guard against a difference between the partial and full ranking."""
        for key in KEYS:
            self.assertEqual(
                rendezvous.rank_members(MEMBERS, key)[:3],
                rendezvous.first_members(MEMBERS, key, 3),
            )

    def test_no_members_yield_no_ranking(self) -> None:
        """Guard against an error while a node knows no member."""
        self.assertEqual((), rendezvous.first_members((), 'key', 2))


class PartitionOfTest(TestCase):
    """Guard the partition of a program."""

    def test_sub_agents_share_the_partition(self) -> None:
        """Guard against a program tree with several owners."""
        self.assertEqual(
            rendezvous.partition_of('p-1'),
            rendezvous.partition_of('p-1.child.child'),
        )

    def test_partition_is_stable(self) -> None:
        """Guard against a change of hash that would lose programs."""
        self.assertEqual(2, rendezvous.partition_of('p-1'))

    def test_partition_follows_published_hash(self) -> None:
        """Guard against a hash other than xxh64, which is documented."""
        # The test vector that xxHash publishes for the empty input, seed 0.
        self.assertEqual(0xEF46DB3751D8E999 % 48, rendezvous.partition_of(''))
