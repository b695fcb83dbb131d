"""Tests of loading a partition from a log with limited retention."""

from testtools import TestCase

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import (
    build_checkpoint,
)
from tests import builders_ledger as builders


def fill(owner: builders.Member, programs: int) -> None:
    """Start programs and finish a turn of each."""
    for number in range(programs):
        start = builders.build_record(
            owner,
            records.ProgramStarted,
            program=f'p{number}',
            organisation='kostiumy',
            service='pass-assistant',
            budget=100,
            granted=40,
        )
        owner.submit(start)
        owner.submit(builders.build_turn(owner, f'p{number}', spent=number))
    owner.run()


class RetentionTest(TestCase):
    """Guard the state of a node that reads only a part of the log."""

    def setUp(self) -> None:
        """Start with an owner of several programs."""
        super().setUp()
        self.log = builders.FakeLog(read_limit=7)
        self.owner = builders.build_owner(self.log)
        fill(self.owner, 12)

    def load(self, node: str = 'hall-b-1') -> builders.Member:
        """Return a node that has just loaded the partition."""
        member = builders.build_member(self.log, node)
        member.journal.loading.window = 4
        member.run()
        return member

    def add_checkpoint(self) -> None:
        """Bring a checkpoint to the log."""
        self.owner.submit(build_checkpoint(self.owner.journal))
        self.owner.run()

    def test_retention_checkpoint_equals_full_replay(self) -> None:
        """Guard against a checkpoint that omits a part of the state."""
        intent = builders.build_record(
            self.owner,
            records.Intent,
            program='p3',
            sequence=2,
            key='k',
            service='pass-registry',
            path='issue',
        )
        self.owner.submit(intent)
        self.owner.run()
        self.add_checkpoint()
        fill_more = builders.build_turn(self.owner, 'p1', spent=9)
        self.owner.submit(fill_more)
        self.owner.run()
        expected = self.log.replay()
        self.assertEqual(expected, self.load().journal.state)
        self.log.retain(4)
        self.assertEqual(expected, self.load().journal.state)

    def test_retention_window_grows_to_the_checkpoint(self) -> None:
        """Guard against a start in the middle of the stream."""
        self.add_checkpoint()
        for _ in range(30):
            entry = self.owner.journal.view.programs_by_id['p1']
            turn = builders.build_turn(self.owner, 'p1', spent=entry.spent)
            self.owner.submit(turn)
        self.owner.run()
        self.assertEqual(self.log.replay(), self.load().journal.state)

    def test_retention_skipped_records_are_reported(self) -> None:
        """Guard against a node that goes on with a gap in what it read."""
        other = self.load()
        fill_more = builders.build_turn(self.owner, 'p1', spent=9)
        self.owner.submit(fill_more)
        self.owner.run()
        self.add_checkpoint()
        self.log.retain(1)
        other.refresh()
        self.assertIsInstance(other.notices[-1], events.RecordsSkipped)
        self.assertEqual(self.log.replay(), other.journal.state)
