"""Transition systems over an SMT solver: induction and bounded search."""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, Final

import z3

# State variables or inputs by name; z3 ships no types.
Values = dict[str, Any]

SOLVER_TIMEOUT_MS: Final = 30_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A named step: its guard, and the variables that it changes."""

    name: str
    guard: Any
    changes: Values


@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceStep:
    """A step of a counterexample with the inputs that were chosen."""

    name: str
    inputs: dict[str, str]


# Which step was chosen, the steps to choose from, and their inputs.
Pick = tuple[Any, list[Step], Values]


@dataclasses.dataclass(frozen=True, kw_only=True)
class System:
    """A protocol as a transition system.

    ``variables`` and ``inputs`` give the sort of each name. Inputs are chosen
    anew in each step. ``safety`` has to hold in every state that can be
    reached, and ``invariant`` is a stronger claim that induction can show.
    """

    variables: Values
    inputs: Values
    initial: Callable[[Values], Any]
    steps: Callable[[Values, Values], list[Step]]
    safety: Callable[[Values], Values]
    invariant: Callable[[Values], Values]


def declare(sorts: Values, suffix: str) -> Values:
    """Return constants for variables at a place in a run."""
    return {
        name: z3.Const(f'{name}@{suffix}', sort) for name, sort in sorts.items()
    }


def find_unproved(system: System) -> list[str]:
    """Return what induction cannot show; empty if safety always holds.

    The proof is for any number of steps: the invariant holds at first, every
    step keeps it, and it implies safety.
    """
    now = declare(system.variables, 'now')
    given = declare(system.inputs, 'in')
    claims = system.invariant(now)
    assumed = z3.And(*claims.values())
    unproved = [
        f'{name} does not hold at first'
        for name, claim in claims.items()
        if not _is_implied(system.initial(now), claim)
    ]
    unproved += [
        f'{name} does not follow'
        for name, claim in system.safety(now).items()
        if not _is_implied(assumed, claim)
    ]
    for step in system.steps(now, given):
        premise = z3.And(assumed, step.guard)
        after = system.invariant(now | step.changes)
        unproved += [
            f'{step.name} may break {name}'
            for name, claim in after.items()
            if not _is_implied(premise, claim)
        ]
    return unproved


def find_counterexample(system: System, depth: int) -> list[TraceStep]:
    """Return the steps to the nearest unsafe state within a depth."""
    return next(find_counterexamples(system, depth), [])


def find_counterexamples(
    system: System, depth: int
) -> Iterator[list[TraceStep]]:
    """Generate ways to unsafe states, the shortest first.

    Which of the ways of one length comes first may differ between runs.
    """
    solver = z3.Solver()
    solver.set('timeout', SOLVER_TIMEOUT_MS)
    now = declare(system.variables, '0')
    solver.add(system.initial(now))
    picks: list[Pick] = []
    for number in range(1, depth + 1):
        given = declare(system.inputs, str(number))
        steps = system.steps(now, given)
        pick = z3.Int(f'pick@{number}')
        picks.append((pick, steps, given))
        after = declare(system.variables, str(number))
        solver.add(z3.Or(*_list_choices(pick, steps, now, after)))
        now = after
        solver.push()
        solver.add(z3.Not(z3.And(*system.safety(now).values())))
        while solver.check() == z3.sat:
            model = solver.model()
            yield _read_trace(model, picks)
            solver.add(z3.Or(*(kept != model[kept] for kept, _, _ in picks)))
        solver.pop()


def _is_implied(premise: Any, claim: Any) -> bool:
    solver = z3.Solver()
    solver.set('timeout', SOLVER_TIMEOUT_MS)
    solver.add(premise, z3.Not(claim))
    return bool(solver.check() == z3.unsat)


def _list_choices(
    pick: Any, steps: list[Step], now: Values, after: Values
) -> list[Any]:
    return [
        z3.And(
            pick == number,
            step.guard,
            *(
                after[name] == step.changes.get(name, old)
                for name, old in now.items()
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
                for name, value in given.items()
            },
        )
        for pick, steps, given in picks
    ]
