"""A short soak: real gateways keep their promises under random faults."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import testtools

ROOT = Path(__file__).resolve().parent.parent.parent
SEEDS = ROOT / 'tests' / 'soak_seeds.toml'
RUN_SECONDS = 300


def run_soak(seed: int, minutes: float) -> dict[str, Any]:
    """Run the soak as a process of its own and return its report."""
    paths = (ROOT / 'src', ROOT / 'platform', ROOT)
    ended = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'tests.soak',
            f'--seed={seed}',
            f'--minutes={minutes}',
        ],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(map(str, paths))},
        stdout=subprocess.PIPE,
        timeout=RUN_SECONDS,
        check=False,
    )
    report: dict[str, Any] = msgspec.json.decode(ended.stdout)
    return report


class TestSoak(testtools.TestCase):
    """Seeds that found a fault stay here, so that it does not come back."""

    def test_seeds_keep_all_promises(self) -> None:
        """Any promise of the platform's rules may break under faults."""
        seeds = tomllib.loads(SEEDS.read_text(encoding='utf-8'))['seed']
        for entry in seeds:
            report = run_soak(entry['seed'], entry['minutes'])
            self.assertEqual([], report['violations'], str(report))
            self.assertTrue(report['requests'] > 0)
