"""Tests of programs with budgets after a loss of all VMs, with processes."""

import random
import shutil
from http import HTTPStatus
from typing import Final

import gevent
import testtools

from tests.platform.builders_losses_of_processes import (
    PROGRAMS,
    RECOVERY_SECONDS,
    REFUSED_TRIES,
    LossWorld,
    find_refused,
)
from tests.soak.backends import MAX_EVENTS
from tests.soak.callers import TURN_TOKENS
from tests.soak.observations import Attempt, Observations, Run
from tests.soak.workspaces import KeyRing, draw_lasting_key

LATE_SECONDS: Final = 0.8
SECONDS_BETWEEN_LOSSES: Final = 6.0
# The share of a budget that half of the programs have used at the first loss. They
# reach the end of their budgets while they are watched.
USED_SHARE: Final = 2 / 3
# They go on between two losses, and have tokens left at the second.
USED_SHARE_BEFORE_TWO: Final = 0.4


class LossOfAllProcessesTests(testtools.TestCase):
    """Eight VMs and forty programs, most in the last third of a budget."""

    def start_world(self, *, seed: int) -> LossWorld:
        """Start the VMs and programs; the logs are kept if the test fails."""
        self.addCleanup(random.setstate, random.getstate())
        world = LossWorld(seed=seed)
        self.addCleanup(world.close)
        world.start()
        return world

    def check(self, world: LossWorld) -> None:
        """Check the programs after the last loss, and all that they got."""
        world.watch()
        self.assertGreater(2 * len(world.list_unspent()), PROGRAMS)
        violations = world.observations.find_violations()
        refused = world.find_refused()
        self.assertEqual(([], []), (violations, refused), f'{world.folder}')
        shutil.rmtree(world.folder)

    def test_no_loss(self) -> None:
        """Guards against a loss that is assumed where VMs have only started."""
        world = self.start_world(seed=4)
        world.wait_until_used(USED_SHARE)
        world.lose_none()
        self.check(world)

    def test_one_loss(self) -> None:
        """Guards against budgets that nobody can use after a loss in calm."""
        world = self.start_world(seed=1)
        world.wait_until_used(USED_SHARE)
        world.lose_all()
        self.check(world)

    def test_two_losses(self) -> None:
        """Guards against losses that add up to unusable or exceeded budgets."""
        world = self.start_world(seed=2)
        world.wait_until_used(USED_SHARE_BEFORE_TWO)
        world.lose_all()
        gevent.sleep(SECONDS_BETWEEN_LOSSES)
        world.lose_all()
        self.check(world)

    def test_loss_with_late_store(self) -> None:
        """Guards against the same where the store was late until the loss."""
        world = self.start_world(seed=3)
        world.store.delay_seconds = LATE_SECONDS
        world.wait_until_used(USED_SHARE)
        world.store.end_failures()
        world.lose_all()
        self.check(world)


class CheckTests(testtools.TestCase):
    """The check of refused programs, without processes.

    The program has a budget of two turns, and all VMs are lost at 0 s.
    """

    def setUp(self) -> None:
        """Start without tries."""
        super().setUp()
        self.observations = Observations(turn_tokens=TURN_TOKENS)
        self.observations.budgets_by_program['p'] = 2 * TURN_TOKENS

    def add_run(self, *, is_complete: bool) -> None:
        """Add a turn of one event that reached a server before the loss."""
        self.add_try('run', status=HTTPStatus.OK, is_complete=is_complete)
        run = Run(
            request_id='run', server_id='i', body=b'', answer=b'data: a\n\n'
        )
        self.observations.record_run(run)

    def add_try(
        self,
        request_id: str,
        *,
        status: int = 503,
        is_complete: bool = True,
        sent_at: float = 0.1,
    ) -> None:
        """Add a try that has ended."""
        attempt = Attempt(
            request_id=request_id,
            kind='turn',
            program_id='p',
            status=status,
            is_complete=is_complete,
            sent_at=sent_at,
            ended_at=sent_at + 0.1,
        )
        self.observations.record_attempt(attempt)

    def add_handed(self, events: int) -> None:
        """Add an answer that broke off after so many events."""
        attempt = Attempt(
            request_id='handed',
            kind='turn',
            key=draw_lasting_key(),
            program_id='p',
            status=HTTPStatus.OK,
            body=b'data: a\n\n' * events,
        )
        self.observations.record_attempt(attempt)

    def add_refused(self, count: int, *, since: float) -> None:
        """Add tries that are refused a second after each other."""
        for number in range(count):
            self.add_try(f'{since}-{number}', sent_at=since + number)

    def is_refused(self) -> bool:
        """Return whether the check finds the program."""
        return find_refused(self.observations, 'p', lost_at=0) is not None

    def is_exceeded(self) -> bool:
        """Return whether the program was handed more than the rule allows."""
        self.observations.records_by_key = KeyRing().records_by_key
        return any(
            violation.startswith('program p got')
            for violation in self.observations.find_violations()
        )

    def test_refused_for_good(self) -> None:
        """Guards against a check that overlooks the symptom."""
        self.add_run(is_complete=True)
        self.add_refused(REFUSED_TRIES, since=RECOVERY_SECONDS)
        self.assertTrue(self.is_refused())

    def test_refused_once_less(self) -> None:
        """Guards against a check that is stricter than the rule."""
        self.add_run(is_complete=True)
        self.add_refused(REFUSED_TRIES - 1, since=RECOVERY_SECONDS)
        self.assertFalse(self.is_refused())

    def test_refused_before_the_end_of_the_recovery(self) -> None:
        """Guards against a check of the time in which VMs start again."""
        self.add_refused(REFUSED_TRIES, since=RECOVERY_SECONDS - 1)
        self.assertFalse(self.is_refused())

    def test_turn_that_broke_off_counts_at_its_most(self) -> None:
        """Guards against tokens that were lost and are taken for unused."""
        self.observations.budgets_by_program['p'] -= 1
        self.add_run(is_complete=False)
        self.add_refused(REFUSED_TRIES, since=RECOVERY_SECONDS)
        self.assertFalse(self.is_refused())

    def test_turn_that_is_served_ends_the_series(self) -> None:
        """Guards against tries that are counted though a turn came between."""
        self.add_refused(REFUSED_TRIES - 1, since=RECOVERY_SECONDS)
        self.add_run(is_complete=True)
        self.add_refused(REFUSED_TRIES - 1, since=2 * RECOVERY_SECONDS)
        self.assertFalse(self.is_refused())

    def test_budget_and_one_turn(self) -> None:
        """Guards against a check of budgets that is stricter than the rule."""
        self.add_handed(3 * MAX_EVENTS)
        self.assertFalse(self.is_exceeded())

    def test_more_than_budget_and_one_turn(self) -> None:
        """Guards against a check that overlooks a budget that is exceeded."""
        self.add_handed(3 * MAX_EVENTS + 1)
        self.assertTrue(self.is_exceeded())
