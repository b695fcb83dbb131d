"""Tests of which journals the periodic work touches."""

from testtools import TestCase

from bronzepost._internal.core.ownership import find_preferred_owner
from bronzepost._internal.core.rendezvous import PARTITION_COUNT
from bronzepost._internal.node.partitions import Partitions
from tests.builders_node import build_keeper, build_log_client


class TickTest(TestCase):
    """Guard what a node reads that owns few partitions."""

    def test_tick_does_not_read_what_was_only_looked_up(self) -> None:
        """Guard against nodes that load the programs of all partitions."""
        keeper = build_keeper('hall-a-1', build_log_client())
        journal = keeper.get_or_create_journal(7)
        keeper.tick()
        self.assertFalse(journal.requests.busy)

    def test_tick_goes_on_with_a_read_that_failed(self) -> None:
        """Guard against a partition that is never loaded after an outage."""
        keeper = build_keeper('hall-a-1', build_log_client())
        journal = keeper.get_or_create_journal(7)
        journal.requests.refresh_wanted = True
        keeper.tick()
        self.assertTrue(journal.requests.busy)


class ForgetTest(TestCase):
    """Guard the memory that partitions of others take."""

    def setUp(self) -> None:
        """Read a partition that another node owns."""
        super().setUp()
        self.keeper = build_keeper('hall-a-1', build_log_client())
        self.journal = self.keeper.get_or_create_journal(7)
        self.journal.loading.done = True

    def test_record_identifiers_are_not_given_out_again(self) -> None:
        """Guard against two records of one boot with the same identifier."""
        first = self.journal.next_record_id()
        self.keeper.drop_unused_journal(7)
        again = self.keeper.get_or_create_journal(7)
        self.assertIsNot(self.journal, again)
        self.assertNotEqual(first, again.next_record_id())

    def test_journal_with_a_request_under_way_stays(self) -> None:
        """Guard against an answer of the log that nobody waits for."""
        self.journal.requests.busy = True
        self.keeper.drop_unused_journal(7)
        self.assertIs(self.journal, self.keeper.get_or_create_journal(7))


class RefreshTest(TestCase):
    """Guard what a node reads again of the partitions of others."""

    def test_first_choice_reads_what_another_owns(self) -> None:
        """Guard against a handed-over partition that nobody claims."""
        keeper = build_keeper('hall-a-1', build_log_client())
        serving = frozenset(('hall-a-1', 'hall-b-1'))
        for partition in range(PARTITION_COUNT):
            journal = keeper.get_or_create_journal(partition)
            journal.loading.done = True
            journal.state.owner = 'hall-b-1'
            journal.state.claim_id = 'y-stream-1'
        partitions = Partitions(
            node='hall-a-1',
            keeper=keeper,
            list_serving=lambda: serving,
            list_boots=lambda: {'hall-a-1': 'x', 'hall-b-1': 'y'},
            may_claim=lambda: True,
            list_running=tuple,
        )
        partitions.tick()
        for journal in keeper.journals_by_partition.values():
            is_first = (
                find_preferred_owner(journal.stream, serving) == 'hall-a-1'
            )
            self.assertEqual(is_first, journal.requests.busy)


class FirstChoiceTest(TestCase):
    """Guard the first choice, which is kept from check to check."""

    def test_choice_follows_the_members(self) -> None:
        """Guard against a choice that stays with a member that is gone."""
        serving = frozenset(('hall-a-1', 'hall-b-1', 'hall-c-1'))
        first = find_preferred_owner('programs-07', serving)
        left = serving - {first}
        second = find_preferred_owner('programs-07', left)
        self.assertIn(second, left)
        self.assertEqual('', find_preferred_owner('programs-07', frozenset()))
