"""The command line of the soak."""

import contextlib
import dataclasses
import random
import shutil
import tempfile
import time
import types
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, Final, Literal

import cappa
import msgspec

from tests.soak.faults import FAULTS, LOSSES, PLANNED_FAULTS, FaultSeries
from tests.soak.lost_requests import (
    find_halted_programs,
    find_lost_requests,
)
from tests.soak.world import World

SECONDS_PER_MINUTE = 60
Mode = Literal['random', 'planned', 'losses']
FAULTS_BY_MODE: Final = types.MappingProxyType({
    'random': FAULTS,
    'planned': PLANNED_FAULTS,
    'losses': LOSSES,
})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Soak:
    """Run gateways under random faults and check their guarantees.

    The timing of processes differs between runs, so a seed repeats the faults
    but not every outcome. The mode ``planned`` draws planned work alone, and
    ``losses`` kills all VMs again and again, with calm times between.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    minutes: Annotated[float, cappa.Arg(long=True)] = 1.0
    vms: Annotated[int, cappa.Arg(long=True)] = 3
    callers: Annotated[int, cappa.Arg(long=True)] = 8
    mode: Annotated[Mode, cappa.Arg(long=True)] = 'random'


def run_soak(options: Soak) -> dict[str, Any]:
    """Run one soak and return its report; keep the logs on violations."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{options.seed}-'))
    world = World(vms=options.vms, folder=folder)
    series = FaultSeries(
        world=world,
        rng=random.Random(options.seed),
        faults=FAULTS_BY_MODE[options.mode],
        is_sequential=options.mode == 'losses',
    )
    started_at = time.monotonic()
    with contextlib.closing(world):
        world.start()
        world.start_callers(options.callers)
        series.run(options.minutes * SECONDS_PER_MINUTE)
        world.finish()
        violations = [
            *world.observations.find_violations(),
            *find_lost_requests(world.observations),
            *find_halted_programs(world.observations),
        ]
    statuses = Counter(
        attempt.status for attempt in world.observations.attempts
    )
    ends = Counter(attempt.end.value for attempt in world.observations.attempts)
    report: dict[str, Any] = {
        'seed': options.seed,
        'mode': options.mode,
        'seconds': round(time.monotonic() - started_at, 1),
        'faults': dict(sorted(series.counts.items())),
        'requests': len(world.observations.attempts),
        'answers': {
            str(code): count for code, count in sorted(statuses.items())
        },
        'connections': dict(sorted(ends.items())),
        'violations': violations,
    }
    if violations:
        report['logs'] = str(folder)
        report['again'] = (
            f'scripts/soak --seed {options.seed} --minutes {options.minutes}'
            f' --vms {options.vms} --callers {options.callers}'
            f' --mode {options.mode}'
        )
    else:
        shutil.rmtree(folder)
    return report


def main(arguments: list[str]) -> int:
    """Run one soak, print its report and return 1 for violations."""
    options = cappa.parse(Soak, argv=arguments)
    report = run_soak(options)
    print(msgspec.json.encode(report).decode())  # noqa: T201, WPS421
    return 1 if report['violations'] else 0
