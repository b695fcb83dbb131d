"""Short soak runs: gateways keep the platform's rules under random faults."""

import os
import random
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import msgspec
import testtools

from tests.soak.callers import Caller
from tests.soak.faults import kill_all
from tests.soak.lost_requests import (
    GO_ON_SECONDS,
    find_halted_programs,
    find_lost_requests,
)
from tests.soak.observations import Attempt, Observations
from tests.soak.world import World

ROOT = Path(__file__).resolve().parent.parent.parent
SEEDS_FILE = ROOT / 'tests' / 'soak_seeds.toml'
RUN_TIMEOUT_SECONDS = 300
DEFAULT_VMS = 3
# Short runs in calm times: every so many blocks of answers a connection is reset.
BLOCKS_PER_LOSS = 200
CALM_VMS = 2
CALM_CALLERS = 8
CALM_SECONDS = 6.0
# A refused program has its first five tries in calm times in this time.
REFUSAL_SECONDS = 8.0


def run_soak(
    seed: int, minutes: float, vms: int, mode: str = 'random'
) -> dict[str, Any]:
    """Run the soak in a new process and return its report."""
    paths = (ROOT / 'src', ROOT / 'platform', ROOT)
    finished = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'tests.soak',
            f'--seed={seed}',
            f'--minutes={minutes}',
            f'--vms={vms}',
            f'--mode={mode}',
        ],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(map(str, paths))},
        stdout=subprocess.PIPE,
        timeout=RUN_TIMEOUT_SECONDS,
        check=False,
    )
    report: dict[str, Any] = msgspec.json.decode(finished.stdout)
    return report


class TestSoak(testtools.TestCase):
    """Regression tests with the seeds that once found a fault."""

    def test_known_seeds_violate_no_rule(self) -> None:
        """Guard against any violation of the platform's rules under faults."""
        seeds = tomllib.loads(SEEDS_FILE.read_text(encoding='utf-8'))['seed']
        for entry in seeds:
            report = run_soak(
                entry['seed'],
                entry['minutes'],
                entry.get('vms', DEFAULT_VMS),
                entry.get('mode', 'random'),
            )
            self.assertEqual([], report['violations'], str(report))
            self.assertTrue(report['requests'] > 0)

    def test_planned_work_loses_no_request(self) -> None:
        """Guard against requests that stops or configurations leave unanswered."""
        report = run_soak(1, 0.2, DEFAULT_VMS, 'planned')
        self.assertEqual([], report['violations'], str(report))
        self.assertTrue(report['requests'] > 0)


class RefusedCaller(Caller):
    """Sends the turns of some programs with a key that VMs refuse."""

    def __init__(self, **fields: Any) -> None:
        """Refuse no program yet."""
        super().__init__(**fields)
        self.refused_programs: frozenset[str] = frozenset()

    def call(
        self, path: str, body: bytes, *headers: str, **fields: Any
    ) -> Attempt:
        """Send one request, with an unknown key for a refused program."""
        if fields.get('program_id') in self.refused_programs:
            fields['key'] = 'unknown-key'
        return super().call(path, body, *headers, **fields)


def find_served_programs(observations: Observations, since: float) -> set[str]:
    """Return the programs with a turn that reached a server since a time."""
    return {
        attempt.program_id
        for attempt in observations.attempts
        if attempt.sent_at > since
        and attempt.program_id
        and attempt.request_id in observations.runs_by_id
    }


@contextmanager
def run_calm_world() -> Iterator[World]:
    """Start VMs without faults; the VMs and links are closed afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(vms=CALM_VMS, folder=Path(folder))
        try:
            world.start()
            yield world
        finally:
            world.close()


class TestChecks(testtools.TestCase):
    """Tests that the checks of the soak find a fault that is put in."""

    def test_dropped_answers_are_found(self) -> None:
        """Guard against a soak that does not see requests without an answer."""
        with run_calm_world() as world:
            for vm in world.vms:
                vm.link.blocks_per_loss = BLOCKS_PER_LOSS
            world.start_callers(CALM_CALLERS)
            gevent.sleep(CALM_SECONDS)
            lost = list(find_lost_requests(world.observations))
        self.assertTrue(len(lost) > 1, lost)

    def test_calm_times_lose_nothing(self) -> None:
        """Guard against a check that reports requests that were answered."""
        with run_calm_world() as world:
            world.start_callers(CALM_CALLERS)
            gevent.sleep(CALM_SECONDS)
            lost = list(find_lost_requests(world.observations))
            attempts = world.observations.attempts
        self.assertEqual([], lost)
        self.assertTrue(attempts)

    def test_refused_programs_are_found_after_a_loss(self) -> None:
        """Guard against a soak that does not see programs that never go on."""
        with run_calm_world() as world:
            caller = RefusedCaller(
                vms=world.vms, observations=world.observations
            )
            world.caller = caller
            world.start_callers(CALM_CALLERS)
            gevent.sleep(CALM_SECONDS / 2)
            with world.observations.disturbances.note():
                kill_all(world, random.Random(1))
            started = list(world.observations.budgets_by_program)
            # The newest ones are under way; the others go on.
            caller.refused_programs = frozenset(started[-CALM_CALLERS // 2 :])
            gevent.sleep(GO_ON_SECONDS + REFUSAL_SECONDS)
            halted = {
                violation.split()[1]
                for violation in find_halted_programs(world.observations)
            }
            served = find_served_programs(
                world.observations, world.observations.losses[0] + GO_ON_SECONDS
            )
        self.assertTrue(caller.refused_programs & halted)
        self.assertTrue(served)
        self.assertEqual(set(), served & halted)
