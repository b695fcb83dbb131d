"""Command line of the benchmark."""

import dataclasses
import itertools
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import cappa

from .figures import POLICIES, RunFigures, run_case
from .replay import Case
from .report import list_rows, write_json, write_table
from .settings import load_shapes

DEFAULT_SEEDS = 3
# Half the cores of the smallest development machine. The number of workers
# does not affect the results.
WORKER_COUNT = 4


@cappa.command(name='bench')
@dataclasses.dataclass(frozen=True, kw_only=True)
class Bench:
    """Replay traces against the scheduling decisions in virtual time."""

    as_json: Annotated[
        bool,
        cappa.Arg(long='--json', help='Print JSON instead of a table.'),
    ] = False
    seeds: Annotated[
        int,
        cappa.Arg(long=True, help='Number of seeds; runs use seeds 1 to N.'),
    ] = DEFAULT_SEEDS
    trace: Annotated[
        str,
        cappa.Arg(long=True, help='Only this trace.'),
    ] = ''
    policy: Annotated[
        str,
        cappa.Arg(long=True, help='Only this policy.'),
    ] = ''
    deployment: Annotated[
        str,
        cappa.Arg(long=True, help='Only this deployment.'),
    ] = ''
    nodes: Annotated[
        int,
        cappa.Arg(
            long=True,
            help='Scheduler instances; each knows only its own calls.',
        ),
    ] = 1
    plot: Annotated[
        str,
        cappa.Arg(long=True, help='Write a plot of the ratios to this file.'),
    ] = ''
    decisions: Annotated[
        bool,
        cappa.Arg(long=True, help='Measure the time of a routing decision.'),
    ] = False


def list_cases(options: Bench) -> list[Case]:
    """Return the cases that the options select, in a fixed order."""
    shapes = load_shapes()
    combinations = itertools.product(
        select([each.name for each in shapes.deployments], options.deployment),
        select([each.name for each in shapes.traces], options.trace),
        select(POLICIES, options.policy),
        range(1, options.seeds + 1),
    )
    return [
        Case(
            deployment=deployment,
            trace=trace,
            policy=policy,
            seed=seed,
            nodes=options.nodes,
        )
        for deployment, trace, policy, seed in combinations
    ]


def select(names: Sequence[str], wanted: str) -> list[str]:
    """Return the wanted name, or all names if ``wanted`` is empty."""
    return [name for name in names if wanted in {'', name}]


def run_cases(cases: Sequence[Case]) -> dict[Case, RunFigures]:
    """Run all cases in a pool of worker processes."""
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        return dict(zip(cases, pool.map(run_case, cases), strict=True))


def run_command_line(arguments: Sequence[str]) -> int:
    """Run the benchmark and return the exit code."""
    options = cappa.parse(Bench, argv=list(arguments))
    if options.decisions:
        return run_decisions()
    cases = list_cases(options)
    if not cases:
        sys.stderr.write('bench: no case matches; check the names given\n')
        return 2
    rows = list_rows(run_cases(cases))
    if options.plot:
        from .plot import write_plot  # noqa: PLC0415

        write_plot(rows, options.plot)
    write = write_json if options.as_json else write_table
    write(rows, sys.stdout)
    return 0


def run_decisions() -> int:
    """Measure and print the time of routing decisions."""
    from .decisions import measure_decisions  # noqa: PLC0415

    for line in measure_decisions():
        sys.stdout.write(f'{line}\n')
    return 0
