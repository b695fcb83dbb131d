"""Replay the programs of one organisation against its deployment."""

from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Final

import gevent

from demo.observations import (
    Observation,
    observe,
    set_value,
    wait_until_ready,
)
from demo.program_run import RunResult, run_program
from demo.trace import Program, Trace
from standins.deployment import Deployment
from standins.organisations import Organisation

Options = Mapping[str, Sequence[str]]

NODES: Final = 3
SCALE: Final = 0.5
REPLAY_TIMEOUT_SECONDS: Final = 40.0
# Less than the 500 to 800 tokens that the default trace fills at each engine,
# so that evictions occur.
OPTIONS: Final[Options] = MappingProxyType({
    'engine': ('--cache-tokens', '300'),
})

ProgressCallback = Callable[[str], None]


def replay(
    organisation: Organisation,
    trace: Trace,
    report_progress: ProgressCallback,
    *,
    binary: Path | None = None,
) -> tuple[list[RunResult], Observation]:
    """Start a deployment, replay the organisation's programs and stop it.

    The nodes run ``binary`` if it is given, else the worktree.

    Raises:
        TimeoutError: if the nodes do not become ready, or a setting does
            not reach all of them.
        LaunchError: if a process does not become ready.
    """
    name = organisation.name
    programs = [
        program for program in trace.programs if program.organisation == name
    ]
    report_progress(f'{name}: starting {NODES} nodes')
    with Deployment(
        organisation=organisation,
        nodes=NODES,
        scale=SCALE,
        options=OPTIONS,
        binary=binary,
    ) as deployment:
        wait_until_ready(deployment)
        for setting in trace.settings:
            if setting.organisation == name:
                set_value(deployment, setting.path, setting.value)
        report_progress(f'{name}: replaying {len(programs)} programs')
        results = _run_programs(programs, deployment, report_progress)
        report_progress(f'{name}: waiting for the sweep')
        observation = observe(deployment)
    report_progress(
        f'{name}: {observation.filled_tokens} tokens filled, '
        f'{observation.evicted_unused_tokens} evicted unused'
    )
    return results, observation


def _run_programs(
    programs: Sequence[Program],
    deployment: Deployment,
    report_progress: ProgressCallback,
) -> list[RunResult]:
    model = find_model(deployment.organisation)
    addresses = [node.caller_address for node in deployment.nodes]
    greenlets = [
        gevent.spawn(
            run_program, program, model=model, entry_addresses=addresses
        )
        for program in programs
    ]
    for finished in gevent.iwait(greenlets, timeout=REPLAY_TIMEOUT_SECONDS):
        report_progress(describe_result(finished.get()))
    gevent.killall([greenlet for greenlet in greenlets if not greenlet.ready()])
    return list(map(_get_result, programs, greenlets))


def describe_result(result: RunResult) -> str:
    """Return one line that describes the result of a program."""
    name = result.program.name
    description = f'{name}: {result.answers} answers in {result.seconds:.1f} s'
    if result.refusal is not None:
        description = f'{description}, refused with {result.refusal.code}'
    return '; '.join([description, *result.problems])


def find_model(organisation: Organisation) -> str:
    """Return the model that the organisation's engines serve."""
    return next(
        group.service
        for group in organisation.runner_groups
        if group.kind == 'engine'
    )


def _get_result(program: Program, greenlet: gevent.Greenlet) -> RunResult:
    if isinstance(greenlet.value, RunResult):
        return greenlet.value
    problem = f'not finished after {REPLAY_TIMEOUT_SECONDS:g} s'
    return RunResult(program=program, problems=[problem])
