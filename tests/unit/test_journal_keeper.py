"""Tests of the periodic work on journals, and which ones are kept."""

from testtools import TestCase

from bronzepost._internal.core.ownership import find_preferred_owner
from bronzepost._internal.core.rendezvous import PARTITION_COUNT
from bronzepost._internal.node.ledger.partitions import Partitions
from tests.builders_node import build_keeper, build_log_client


class TickTest(TestCase):
    """Guard against reads of partitions that a node does not own."""

    def test_tick_does_not_read_journals_without_work(self) -> None:
        """Guard against nodes that load the programs of all partitions."""
        journal_keeper = build_keeper('hall-a-1', build_log_client())
        journal = journal_keeper.get_or_create_journal(7)
        journal_keeper.tick()
        self.assertFalse(journal.requests.busy)

    def test_tick_repeats_a_read_that_failed(self) -> None:
        """Guard against a partition that is never read after an outage."""
        journal_keeper = build_keeper('hall-a-1', build_log_client())
        journal = journal_keeper.get_or_create_journal(7)
        journal.requests.refresh_wanted = True
        journal_keeper.tick()
        self.assertTrue(journal.requests.busy)


class DropJournalTest(TestCase):
    """Guard how journals of partitions that others own are dropped."""

    def setUp(self) -> None:
        """Build the journal of a partition that another node owns."""
        super().setUp()
        self.journal_keeper = build_keeper('hall-a-1', build_log_client())
        self.journal = self.journal_keeper.get_or_create_journal(7)
        self.journal.loading.done = True

    def test_record_identifiers_are_not_reused(self) -> None:
        """Guard against two records of one boot with the same identifier."""
        first = self.journal.next_record_id()
        self.journal_keeper.drop_unused_journal(7)
        again = self.journal_keeper.get_or_create_journal(7)
        self.assertIsNot(self.journal, again)
        self.assertNotEqual(first, again.next_record_id())

    def test_journal_with_a_request_in_progress_is_kept(self) -> None:
        """Guard against an answer of the log for a journal that is gone."""
        self.journal.requests.busy = True
        self.journal_keeper.drop_unused_journal(7)
        self.assertIs(
            self.journal, self.journal_keeper.get_or_create_journal(7)
        )


class RefreshTest(TestCase):
    """Guard which partitions of others a node reads periodically."""

    def test_preferred_owner_reads_partitions_of_others(self) -> None:
        """Guard against a released partition that no node claims."""
        journal_keeper = build_keeper('hall-a-1', build_log_client())
        serving = frozenset(('hall-a-1', 'hall-b-1'))
        for partition in range(PARTITION_COUNT):
            journal = journal_keeper.get_or_create_journal(partition)
            journal.loading.done = True
            journal.state.owner = 'hall-b-1'
            journal.state.claim_id = 'y-stream-1'
        partitions = Partitions(
            node='hall-a-1',
            journal_keeper=journal_keeper,
            list_serving=lambda: serving,
            list_boots=lambda: {'hall-a-1': 'x', 'hall-b-1': 'y'},
            may_claim=lambda: True,
            list_running=tuple,
        )
        partitions.tick()
        for journal in journal_keeper.journals_by_partition.values():
            is_preferred = (
                find_preferred_owner(journal.stream, serving) == 'hall-a-1'
            )
            self.assertEqual(is_preferred, journal.requests.busy)


class PreferredOwnerTest(TestCase):
    """Guard the preferred owner, which is cached between calls."""

    def test_preferred_owner_follows_the_members(self) -> None:
        """Guard against a cached owner that has left the cluster."""
        serving = frozenset(('hall-a-1', 'hall-b-1', 'hall-c-1'))
        first = find_preferred_owner('programs-07', serving)
        remaining = serving - {first}
        second = find_preferred_owner('programs-07', remaining)
        self.assertIn(second, remaining)
        self.assertEqual('', find_preferred_owner('programs-07', frozenset()))
