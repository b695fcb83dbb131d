"""Short soak runs: gateways keep the platform's rules under random faults."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import testtools

ROOT = Path(__file__).resolve().parent.parent.parent
SEEDS_FILE = ROOT / 'tests' / 'soak_seeds.toml'
RUN_TIMEOUT_SECONDS = 300
DEFAULT_VMS = 3


def run_soak(seed: int, minutes: float, vms: int) -> dict[str, Any]:
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
                entry['seed'], entry['minutes'], entry.get('vms', DEFAULT_VMS)
            )
            self.assertEqual([], report['violations'], str(report))
            self.assertTrue(report['requests'] > 0)
