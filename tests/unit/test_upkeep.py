"""Tests of the periodic upkeep of an owner's programs."""

from typing import Any

from testtools import TestCase

from bronzepost._internal.core.ledger import records, upkeep
from tests import builders_ledger as builders

PROGRAM = 'p'
LIMITS = upkeep.ProgramLimits(turn_limit=3, idle_seconds=60)


class UpkeepTest(TestCase):
    """Start with an owner of one program."""

    def setUp(self) -> None:
        """Start a program."""
        super().setUp()
        self.log = builders.FakeLog()
        self.owner = builders.build_owner(self.log)
        self.activity: dict[str, upkeep.Activity] = {}
        self.start(PROGRAM)

    def start(self, program: str) -> None:
        """Start a program with a budget."""
        self.append(
            records.ProgramStarted,
            program=program,
            organisation='kostiumy',
            service='pass-assistant',
            budget=100,
            granted=40,
            parent=program.rpartition('.')[0],
        )

    def append(self, kind: type[records.Record], **fields: Any) -> None:
        """Append a record."""
        record = builders.build_record(self.owner, kind, **fields)
        verdict = self.owner.submit(record)
        assert verdict.valid, verdict
        self.owner.run()

    def finish_turns(self, count: int) -> None:
        """Finish ``count`` calls of the program."""
        for _ in range(count):
            entry = self.owner.journal.view.programs_by_id[PROGRAM]
            turn = builders.build_turn(
                self.owner, PROGRAM, spent=entry.spent + 1
            )
            assert self.owner.submit(turn).valid
            self.owner.run()

    def find_programs_to_end(self, at: float, *running: str) -> dict[str, str]:
        """Return the programs that have to end at a time."""
        return upkeep.find_programs_to_end(
            self.owner.journal,
            self.activity,
            at=at,
            running=running,
            find_limits=lambda _program: LIMITS,
        )

    def test_runaway_program_ends_at_its_turn_limit(self) -> None:
        """Guard against a program that loops endlessly."""
        self.finish_turns(2)
        self.assertEqual({}, self.find_programs_to_end(1))
        self.finish_turns(1)
        self.assertEqual(
            {PROGRAM: upkeep.TURN_LIMIT_REASON}, self.find_programs_to_end(2)
        )

    def test_runaway_program_is_not_ended_during_a_call(self) -> None:
        """Guard against ending a program while its call runs."""
        self.finish_turns(3)
        self.assertEqual({}, self.find_programs_to_end(1, PROGRAM))

    def test_abandoned_program_ends(self) -> None:
        """Guard against memory held for a program whose caller has died."""
        self.assertEqual({}, self.find_programs_to_end(10))
        self.assertEqual({}, self.find_programs_to_end(69))
        self.assertEqual(
            {PROGRAM: upkeep.IDLE_REASON}, self.find_programs_to_end(70)
        )

    def test_sub_agent_keeps_its_parent_alive(self) -> None:
        """Guard against ending a parent that waits for its sub-agent."""
        self.find_programs_to_end(10)
        self.append(
            records.ProgramStarted,
            program=f'{PROGRAM}.child',
            organisation='kostiumy',
            service='pass-assistant',
            budget=10,
            granted=5,
            parent=PROGRAM,
        )
        self.find_programs_to_end(60)
        self.assertEqual({}, self.find_programs_to_end(100))

    def test_retention_names_aging_histories(self) -> None:
        """Guard against losing the oldest turns of a live program."""
        self.finish_turns(2)
        self.log.retain(2)
        self.owner.refresh()
        aging = upkeep.list_aging_histories(self.owner.journal)
        self.assertEqual([PROGRAM], [entry.program for entry in aging])

    def test_retention_does_not_keep_ended_programs(self) -> None:
        """Guard against tables that grow with every program ever run."""
        self.append(records.ProgramEnded, program=PROGRAM, reason='done')
        self.assertEqual(0, upkeep.prune_ended_programs(self.owner.journal))
        self.start('other')
        self.log.retain(1)
        self.owner.refresh()
        self.assertEqual(1, upkeep.prune_ended_programs(self.owner.journal))
        self.assertNotIn(PROGRAM, self.owner.journal.state.programs_by_id)
