"""Run nodes of the ledger under random faults and print the counts.

Each run starts three new nodes and runs a fixed number of steps. Its seed is
derived from ``--seed`` and its number, so a violation can be repeated alone
with ``--first-run`` and ``--runs 1``.
"""

import argparse
import random
import sys
import time
from collections import Counter

from tests import fault_world

STEPS_PER_RUN = 1500
MAX_RUNS = 10_000_000
MAX_VIOLATED_RUNS = 20


def run_once(
    seed: str, totals: Counter[str], deadline: float
) -> tuple[int, list[str]]:
    """Run the steps of one run; return their number and violations."""
    world = fault_world.FaultWorld()
    rng = random.Random(seed)
    violations: list[str] = []
    steps = 0
    while (
        steps < STEPS_PER_RUN and not violations and time.monotonic() < deadline
    ):
        fault_world.run_random_step(world, rng)
        violations = world.find_violations()
        steps += 1
    totals.update(world.counts)
    totals['boots'] += world.boots
    totals['epochs'] += world.expected_state.epoch
    totals['records'] += world.log.next_offset
    totals['acknowledged calls'] += len(world.observations.acknowledged)
    totals['sent calls'] += len(world.observations.sent_attempts)
    totals['effects'] += sum(world.observations.effects_by_call.values())
    return steps, violations


def run_all(options: argparse.Namespace) -> int:
    """Run until the time is up; return the number of runs with violations."""
    deadline = time.monotonic() + options.minutes * 60
    totals: Counter[str] = Counter()
    for run in range(options.first_run, options.first_run + options.runs):
        if time.monotonic() >= deadline:
            break
        steps, violations = run_once(f'{options.seed}/{run}', totals, deadline)
        totals['runs'] += 1
        totals['steps'] += steps
        if violations:
            totals['violated runs'] += 1
            print(f'run {run}, step {steps}: {violations[0]}')
        if totals['violated runs'] >= MAX_VIOLATED_RUNS:
            break
    report(options.seed, totals)
    return totals['violated runs']


def report(seed: int, totals: Counter[str]) -> None:
    """Print the totals and the number of runs with violations."""
    violated = totals.pop('violated runs', 0)
    print(f'seed: {seed}')
    print(f'nodes a run: {len(fault_world.NODES)}')
    for kind, count in sorted(totals.items()):
        print(f'{kind}: {count}')
    print(f'violations: {violated}')


def main(arguments: list[str]) -> int:
    """Read the options and run; return the exit code."""
    parser = argparse.ArgumentParser(description='Run the ledger under faults.')
    parser.add_argument('--minutes', type=float, default=1)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--first-run', type=int, default=0)
    parser.add_argument('--runs', type=int, default=MAX_RUNS)
    return 1 if run_all(parser.parse_args(arguments)) else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
