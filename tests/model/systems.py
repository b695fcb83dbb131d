"""Transition systems for an SMT solver: induction and bounded search."""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, Final

import z3

# State variables or inputs by name; z3 ships no types.
Values = dict[str, Any]

SOLVER_TIMEOUT_MS: Final = 30_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A named step: its guard, and the new values of variables."""

    name: str
    guard: Any
    changes: Values


@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceStep:
    """A step of a counterexample, with its inputs."""

    name: str
    inputs: dict[str, str]


# The number of the chosen step, the steps to choose from, and their inputs.
Pick = tuple[Any, list[Step], Values]


@dataclasses.dataclass(frozen=True, kw_only=True)
class System:
    """A protocol as a transition system.

    ``variables`` and ``inputs`` give the sort of each name. Inputs have new
    values in each step. ``safety`` has to hold in every reachable state, and
    ``invariant`` is a stronger claim that can be proved by induction.
    """

    variables: Values
    inputs: Values
    initial: Callable[[Values], Any]
    steps: Callable[[Values, Values], list[Step]]
    safety: Callable[[Values], Values]
    invariant: Callable[[Values], Values]


def declare(sorts: Values, suffix: str) -> Values:
    """Return solver constants for the variables at one step of a run."""
    return {
        name: z3.Const(f'{name}@{suffix}', sort) for name, sort in sorts.items()
    }


def find_unproved(system: System) -> list[str]:
    """Return what induction cannot prove; empty if safety always holds.

    The proof is for any number of steps: the invariant holds initially, every
    step preserves it, and it implies safety.
    """
    state = declare(system.variables, 'now')
    inputs = declare(system.inputs, 'in')
    claims = system.invariant(state)
    assumed = z3.And(*claims.values())
    unproved = [
        f'{name} does not hold initially'
        for name, claim in claims.items()
        if not _is_implied(system.initial(state), claim)
    ]
    unproved += [
        f'{name} does not follow'
        for name, claim in system.safety(state).items()
        if not _is_implied(assumed, claim)
    ]
    for step in system.steps(state, inputs):
        premise = z3.And(assumed, step.guard)
        after = system.invariant(state | step.changes)
        unproved += [
            f'{step.name} may break {name}'
            for name, claim in after.items()
            if not _is_implied(premise, claim)
        ]
    return unproved


def find_counterexample(system: System, depth: int) -> list[TraceStep]:
    """Return the shortest run to an unsafe state; empty if there is none.

    Runs of up to ``depth`` steps are searched.
    """
    return next(find_counterexamples(system, depth), [])


def find_counterexamples(
    system: System, depth: int
) -> Iterator[list[TraceStep]]:
    """Generate runs that end in unsafe states, shortest first.

    The order of runs of the same length may differ between processes.
    """
    solver = z3.Solver()
    solver.set('timeout', SOLVER_TIMEOUT_MS)
    state = declare(system.variables, '0')
    solver.add(system.initial(state))
    picks: list[Pick] = []
    for number in range(1, depth + 1):
        inputs = declare(system.inputs, str(number))
        steps = system.steps(state, inputs)
        pick = z3.Int(f'pick@{number}')
        picks.append((pick, steps, inputs))
        after = declare(system.variables, str(number))
        solver.add(z3.Or(*_list_choices(pick, steps, state, after)))
        state = after
        solver.push()
        solver.add(z3.Not(z3.And(*system.safety(state).values())))
        while solver.check() == z3.sat:
            model = solver.model()
            yield _read_trace(model, picks)
            solver.add(z3.Or(*(pick != model[pick] for pick, _, _ in picks)))
        solver.pop()


def _is_implied(premise: Any, claim: Any) -> bool:
    solver = z3.Solver()
    solver.set('timeout', SOLVER_TIMEOUT_MS)
    solver.add(premise, z3.Not(claim))
    return bool(solver.check() == z3.unsat)


def _list_choices(
    pick: Any, steps: list[Step], state: Values, after: Values
) -> list[Any]:
    return [
        z3.And(
            pick == number,
            step.guard,
            *(
                after[name] == step.changes.get(name, old)
                for name, old in state.items()
            ),
        )
        for number, step in enumerate(steps)
    ]


def _read_trace(model: Any, picks: list[Pick]) -> list[TraceStep]:
    return [
        TraceStep(
            name=steps[model[pick].as_long()].name,
            inputs={
                name: str(model.eval(value, model_completion=True))
                for name, value in inputs.items()
            },
        )
        for pick, steps, inputs in picks
    ]
