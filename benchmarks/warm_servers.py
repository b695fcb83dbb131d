"""Print what warm servers change for loads of requests about subjects.

Run it with ``python -m benchmarks.warm_servers``; it needs no network.
"""

import dataclasses
import sys
from typing import Final

from tests.builders_warm_load import WarmLoad, WarmOutcome, WarmReplay

WAYS: Final = ('none', 'hashing', 'warm')
MILLISECONDS: Final = 1000
BASE: Final = WarmLoad()
LARGE: Final = dataclasses.replace(
    BASE, vms=195, servers=120, subjects=30_000, seconds=20, measured_from=8
)
LOADS: Final = {
    'uniform': BASE,
    'Zipf 0.7': dataclasses.replace(BASE, skew=0.7),
    'Zipf 1.2': dataclasses.replace(BASE, skew=1.2),
    'half for one': dataclasses.replace(
        BASE, skew=0.7, hot_from=15, hot_until=30
    ),
    'slow server': dataclasses.replace(
        BASE, skew=0.7, slow_from=15, slow_factor=4
    ),
    'server restarts': dataclasses.replace(
        BASE, skew=0.7, gone_from=15, gone_until=20
    ),
    'no gain': dataclasses.replace(BASE, skew=0.7, gain=0, seconds=100, measured_from=70),
    '3 servers': dataclasses.replace(
        BASE, servers=3, vms=10, view_seconds=0.4, subjects=1000, skew=0.7
    ),
    '195 VMs, Zipf 0.7': dataclasses.replace(LARGE, skew=0.7),
    '195 VMs, half for one': dataclasses.replace(
        LARGE, skew=0.7, hot_from=8, hot_until=16
    ),
}


def describe(name: str, way: str, outcome: WarmOutcome) -> str:
    """Return one row of the table."""
    cells = (
        name,
        way,
        f'{outcome.mean_seconds * MILLISECONDS:.1f}',
        f'{outcome.p99_seconds * MILLISECONDS:.0f}',
        f'{outcome.peak_ratio:.2f}',
        f'{outcome.hit_share:.2f}',
        f'{outcome.phase} {outcome.gain:.2f}' if way == 'warm' else '',
    )
    return f'| {" | ".join(cells)} |'


def run(names: list[str]) -> None:
    """Print the table of the loads in ``names``, of all if it is empty."""
    print('| load | way | mean ms | p99 ms | busiest/mean | warm | learned |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for name, load in LOADS.items():
        if names and name not in names:
            continue
        for way in WAYS:
            outcome = WarmReplay(load=load, way=way).run()
            print(describe(name, way, outcome), flush=True)


if __name__ == '__main__':
    run(sys.argv[1:])
