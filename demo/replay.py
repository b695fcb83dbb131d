"""Replay the programs of one organisation against its deployment."""

from collections.abc import Callable, Mapping, Sequence
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
REPLAY_SECONDS: Final = 40.0
# The default trace fills 500 to 800 tokens at each engine, so that less makes
# evictions occur.
OPTIONS: Final[Options] = MappingProxyType({
    'engine': ('--cache-tokens', '300'),
})

Show = Callable[[str], None]


def replay(
    organisation: Organisation, trace: Trace, show: Show
) -> tuple[list[RunResult], Observation]:
    """Start a deployment, replay the organisation's programs and stop it.

    Raises:
        TimeoutError: if the nodes do not find each other.
        LaunchError: if a process does not become ready.
    """
    name = organisation.name
    programs = [it for it in trace.programs if it.organisation == name]
    show(f'{name}: starting {NODES} nodes')
    with Deployment(
        organisation=organisation, nodes=NODES, scale=SCALE, options=OPTIONS
    ) as deployment:
        wait_until_ready(deployment)
        for setting in trace.settings:
            if setting.organisation == name:
                set_value(deployment, setting.path, setting.value)
        show(f'{name}: replaying {len(programs)} programs')
        results = _run_programs(programs, deployment, show)
        show(f'{name}: waiting for the sweep')
        observation = observe(deployment)
    show(
        f'{name}: {observation.filled_tokens} tokens filled, '
        f'{observation.evicted_unused_tokens} evicted unused'
    )
    return results, observation


def _run_programs(
    programs: Sequence[Program], deployment: Deployment, show: Show
) -> list[RunResult]:
    model = find_model(deployment.organisation)
    addresses = [node.caller_address for node in deployment.nodes]
    greenlets = [
        gevent.spawn(
            run_program, program, model=model, entry_addresses=addresses
        )
        for program in programs
    ]
    for finished in gevent.iwait(greenlets, timeout=REPLAY_SECONDS):
        show(describe(finished.get()))
    gevent.killall([it for it in greenlets if not it.ready()])
    return list(map(_take_result, programs, greenlets))


def describe(result: RunResult) -> str:
    """Return one line on what a caller saw."""
    name = result.program.name
    seen = f'{name}: {result.answers} answers in {result.seconds:.1f} s'
    if result.refusal is not None:
        seen = f'{seen}, refused with {result.refusal.code}'
    return '; '.join([seen, *result.problems])


def find_model(organisation: Organisation) -> str:
    """Return the model that the organisation's engines serve."""
    return next(
        group.service
        for group in organisation.runner_groups
        if group.kind == 'engine'
    )


def _take_result(program: Program, greenlet: gevent.Greenlet) -> RunResult:
    if isinstance(greenlet.value, RunResult):
        return greenlet.value
    problem = f'not finished after {REPLAY_SECONDS:g} s'
    return RunResult(program=program, problems=[problem])
