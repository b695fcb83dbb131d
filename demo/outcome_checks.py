"""Comparison of a program's results with the outcome in the trace."""

from collections.abc import Iterator, Mapping

from demo.observations import Observation
from demo.program_run import RunResult
from demo.trace import Outcome


def find_problems(result: RunResult, observation: Observation) -> list[str]:
    """Return the differences from the expected outcome."""
    outcome = result.program.outcome
    return [
        *result.problems,
        *_compare_answers(result, outcome),
        *_compare_refusal(result, outcome),
        *_compare_effects(result, observation),
        *_compare_spending(result, outcome),
    ]


def count_double_effects(
    expected: Mapping[str, int], runs_by_key: Mapping[str, int]
) -> int:
    """Return the number of runs beyond the expected ones."""
    return sum(
        max(0, runs_by_key.get(key, 0) - runs) for key, runs in expected.items()
    )


def _compare_answers(result: RunResult, outcome: Outcome) -> Iterator[str]:
    if result.answers != outcome.answers:
        yield f'{result.answers} answers, not {outcome.answers}'


def _compare_refusal(result: RunResult, outcome: Outcome) -> Iterator[str]:
    expected = outcome.refusal
    actual = result.refusal
    if actual is None:
        if expected is not None:
            yield f'not refused with {expected.code}'
        elif not result.is_finished:
            yield 'not finished'
        return
    if expected is None:
        yield f'refused: {actual}'
    elif (actual.code, actual.run) != (expected.code, expected.run):
        yield f'refused with {actual.code}, {actual.run}: {actual}'


def _compare_effects(
    result: RunResult, observation: Observation
) -> Iterator[str]:
    outcome = result.program.outcome
    for key, expected in outcome.effects.items():
        actual = observation.runs_by_key.get(key, 0)
        if actual != expected:
            yield f'{actual} effects of {key}, not {expected}'
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
    # The tokens reported in the answers are checked too, since a node that
    # miscounts could report a spent amount that is too low.
    if max(spent, result.tokens) > bound:
        yield f'spent {spent}, answered {result.tokens}, bound {bound}'
