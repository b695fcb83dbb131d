"""Print what warm servers change for loads of requests about subjects.

Run it with ``python -m benchmarks.warm_servers``; it needs no network.
"""

import sys
from typing import Final

from tests.builders_warm_load import LOADS, WarmOutcome, WarmReplay

WAYS: Final = ('none', 'hashing', 'warm')
MILLISECONDS: Final = 1000
HEAD: Final = (
    '| load | way | mean ms | p99 ms | busiest/mean | warm | learned |\n'
    '| --- | --- | --- | --- | --- | --- | --- |\n'
)


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
    return f'| {" | ".join(cells)} |\n'


def run(names: list[str]) -> None:
    """Print the table of the loads in ``names``, of all if it is empty."""
    sys.stdout.write(HEAD)
    for name, load in LOADS.items():
        if names and name not in names:
            continue
        for way in WAYS:
            outcome = WarmReplay(load=load, way=way).run()
            sys.stdout.write(describe(name, way, outcome))
            sys.stdout.flush()


if __name__ == '__main__':
    run(sys.argv[1:])
