"""Tests of programs with budgets after a loss of all VMs, with processes."""

import random
import shutil
from typing import Final

import gevent
import testtools

from tests.platform.builders_losses_of_processes import PROGRAMS, LossWorld

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
        refused = list(world.find_refused())
        self.assertEqual(([], []), (violations, refused), f'{world.folder}')
        shutil.rmtree(world.folder)

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
