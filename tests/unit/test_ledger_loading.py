"""Tests of loading a partition from a log with limited retention."""

import dataclasses

from testtools import TestCase

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import (
    build_checkpoint,
    is_checkpoint_due,
)
from tests import builders_ledger as builders
from tests.builders_ledger import Delivery


def start_programs_with_turns(owner: builders.Member, programs: int) -> None:
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
    """Guard the state of a node that reads only part of the log."""

    def setUp(self) -> None:
        """Start with an owner of several programs."""
        super().setUp()
        self.log = builders.FakeLog(read_limit=7)
        self.owner = builders.build_owner(self.log)
        start_programs_with_turns(self.owner, 12)

    def load(self, node: str = 'hall-b-1') -> builders.Member:
        """Return a node that has just loaded the partition."""
        member = builders.build_member(self.log, node)
        member.journal.loading.window = 4
        member.run()
        return member

    def add_checkpoint(self) -> None:
        """Append a checkpoint."""
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
        turn = builders.build_turn(self.owner, 'p1', spent=9)
        self.owner.submit(turn)
        self.owner.run()
        expected = self.log.replay()
        self.assertEqual(expected, self.load().journal.state)
        self.log.retain(4)
        self.assertEqual(expected, self.load().journal.state)

    def test_retention_window_grows_to_the_checkpoint(self) -> None:
        """Guard against loading a part of the stream without a checkpoint."""
        self.add_checkpoint()
        for _ in range(30):
            entry = self.owner.journal.view.programs_by_id['p1']
            turn = builders.build_turn(self.owner, 'p1', spent=entry.spent)
            self.owner.submit(turn)
        self.owner.run()
        self.assertEqual(self.log.replay(), self.load().journal.state)

    def test_retention_drops_records_while_loading(self) -> None:
        """Guard against a state that omits records between two reads.

        The checkpoint was read before the records that follow it left the log,
        so the state of the program is no longer known.
        """
        self.add_checkpoint()
        for _ in range(20):
            self.owner.submit(builders.build_turn(self.owner, 'p1', spent=1))
        self.owner.run()
        member = builders.build_member(self.log, 'hall-b-1')
        member.journal.loading.window = 30
        member.tick()
        for _ in range(3):
            member.deliver()
        self.log.retain(3)
        member.run()
        self.assertNotIn('p1', member.journal.state.programs_by_id)
        self.assertEqual(1, member.journal.state.epoch)

    def test_retention_skipped_records_are_reported(self) -> None:
        """Guard against a node that ignores a gap in the records it read."""
        other = self.load()
        turn = builders.build_turn(self.owner, 'p1', spent=9)
        self.owner.submit(turn)
        self.owner.run()
        self.add_checkpoint()
        self.log.retain(1)
        other.refresh()
        self.assertIsInstance(other.notices[-1], events.RecordsSkipped)
        self.assertEqual(self.log.replay(), other.journal.state)

    def test_retention_submitted_records_survive_a_reload(self) -> None:
        """Guard against losing submitted spending when records are skipped."""
        turn = builders.build_turn(self.owner, 'p1', spent=9)
        self.owner.submit(turn)
        self.owner.tick()
        self.owner.deliver(Delivery.LOST_REQUEST)
        checkpoint = build_checkpoint(self.owner.journal)
        later_offset = checkpoint.covers_offset + 1
        self.log.append([
            builders.to_wire(checkpoint),
            builders.to_wire(
                dataclasses.replace(checkpoint, covers_offset=later_offset)
            ),
        ])
        self.log.retain(1)
        self.owner.deliver()
        self.assertFalse(self.owner.journal.loading.done)
        for _ in range(5):
            if not self.owner.journal.loading.done:
                self.owner.deliver()
        view = self.owner.journal.view
        self.assertEqual(9, view.programs_by_id['p1'].spent)

    def test_retention_reload_settles_what_the_log_holds(self) -> None:
        """Guard against reporting a turn on the log as invalid."""
        self.add_checkpoint()
        turn = builders.build_turn(self.owner, 'p1', spent=9)
        self.owner.submit(turn)
        self.owner.tick()
        checkpoint = build_checkpoint(self.owner.journal)
        later_offset = checkpoint.covers_offset + 1
        self.log.append([
            builders.to_wire(checkpoint),
            builders.to_wire(
                dataclasses.replace(checkpoint, covers_offset=later_offset)
            ),
        ])
        self.owner.deliver(Delivery.LOST_ANSWER)
        self.log.retain(2)
        self.owner.run()
        self.assertTrue(self.owner.is_settled_valid(turn.record_id))

    def test_retention_stale_record_does_not_set_the_epoch(self) -> None:
        """Guard against claiming an epoch that was in force before.

        The oldest retained record may come from an owner that had already been
        replaced.
        """
        late = builders.build_turn(self.owner, 'p1', spent=9)
        second = self.load()
        second.claim()
        second.journal.loading.done = True
        self.log.append([builders.to_wire(late)])
        second.refresh()
        start_programs_with_turns(second, 1)
        start = builders.build_record(
            second,
            records.ProgramStarted,
            program='q',
            organisation='kostiumy',
            service='pass-assistant',
            budget=100,
            granted=40,
        )
        second.submit(start)
        second.run()
        self.log.retain(self.log.next_offset - 26)
        third = self.load('hall-c-1')
        self.assertEqual(2, third.journal.state.epoch)

    def test_retention_checkpoint_is_due_before_records_age_out(self) -> None:
        """Guard against an idle partition whose checkpoint leaves the log."""
        self.assertFalse(is_checkpoint_due(self.owner.journal))
        self.log.retain(self.log.next_offset - 2)
        self.owner.refresh()
        self.assertTrue(is_checkpoint_due(self.owner.journal))
        self.add_checkpoint()
        self.assertFalse(is_checkpoint_due(self.owner.journal))
        self.log.retain(1)
        self.owner.refresh()
        self.assertTrue(is_checkpoint_due(self.owner.journal))
