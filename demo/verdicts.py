"""Compare what happened to a program with what its line states."""

from collections.abc import Iterator, Mapping

from demo.observations import Observation
from demo.program_run import RunResult
from demo.trace import Outcome


def find_problems(result: RunResult, observation: Observation) -> list[str]:
    """Return what differs from the stated outcome."""
    outcome = result.program.outcome
    return [
        *result.problems,
        *_compare_answers(result, outcome),
        *_compare_refusal(result, outcome),
        *_compare_effects(result, observation),
        *_compare_spending(result, outcome),
    ]


def count_double_effects(
    stated: Mapping[str, int], runs_by_key: Mapping[str, int]
) -> int:
    """Return how many runs there were beyond the stated ones."""
    return sum(
        max(0, runs_by_key.get(key, 0) - runs) for key, runs in stated.items()
    )


def _compare_answers(result: RunResult, outcome: Outcome) -> Iterator[str]:
    if result.answers != outcome.answers:
        yield f'{result.answers} answers, not {outcome.answers}'


def _compare_refusal(result: RunResult, outcome: Outcome) -> Iterator[str]:
    stated = outcome.refusal
    seen = result.refusal
    if seen is None:
        if stated is not None:
            yield f'not refused with {stated.code}'
        elif not result.is_finished:
            yield 'not finished'
        return
    if stated is None:
        yield f'refused: {seen}'
    elif (seen.code, seen.run) != (stated.code, stated.run):
        yield f'refused with {seen.code}, {seen.run}: {seen}'


def _compare_effects(
    result: RunResult, observation: Observation
) -> Iterator[str]:
    outcome = result.program.outcome
    for key, stated in outcome.effects.items():
        seen = observation.runs_by_key.get(key, 0)
        if seen != stated:
            yield f'{seen} effects of {key}, not {stated}'
    runs = observation.runs_by_program.get(result.program.name, 0)
    if runs and outcome.refusal and not outcome.answers:
        yield f'{runs} runs of a refused program'


def _compare_spending(result: RunResult, outcome: Outcome) -> Iterator[str]:
    for name in result.overspent_programs:
        yield f'{name} spent {result.spent_by_program[name]}'
    bound = outcome.spent_at_most
    if bound is None:
        return
    spent = result.spent_by_program.get(result.program.name, 0)
    # The tokens that the caller was told of are counted as well, since a
    # node that loses count would state too little.
    if max(spent, result.tokens) > bound:
        yield f'spent {spent}, answered {result.tokens}, bound {bound}'
