"""Acceptance of configuration changes of one path, by base revision.

Three changes by any operators, submitted through any nodes. A change may reach
the log late, more than once or never, and the answer to an append may be lost.
The revision of the path is the offset of its last accepted change.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

CHANGES: Final = 3
IDLE, SUBMITTED, ANSWERED_ACCEPTED, ANSWERED_REJECTED = range(4)

BASE_REVISION: Final = 'base revision'
READ_BACK: Final = 'read back'
FIRST_COPY: Final = 'first copy decides'
GUARDS: Final = (BASE_REVISION, READ_BACK, FIRST_COPY)


def build_configuration(*, without: str = '') -> System:
    """Return the system, without one of its guards if one is named."""
    variables: Values = {'revision': z3.IntSort(), 'offset': z3.IntSort()}
    for slot in range(CHANGES):
        variables |= {
            f'phase{slot}': z3.IntSort(),
            f'base{slot}': z3.IntSort(),
            f'accepted{slot}': z3.BoolSort(),
            f'stored{slot}': z3.BoolSort(),
            f'refused{slot}': z3.BoolSort(),
        }
    return System(
        variables=variables,
        inputs={'seen': z3.IntSort()},
        initial=_initial_state,
        steps=lambda state, inputs: [
            step
            for slot in range(CHANGES)
            for step in _list_steps(state, inputs, slot, without)
        ],
        safety=_state_safety,
        invariant=_state_invariant,
    )


def _initial_state(state: Values) -> Any:
    return z3.And(
        state['revision'] == 0,
        state['offset'] == 1,
        *(
            z3.And(
                state[f'phase{slot}'] == IDLE,
                z3.Not(state[f'accepted{slot}']),
                z3.Not(state[f'stored{slot}']),
                z3.Not(state[f'refused{slot}']),
            )
            for slot in range(CHANGES)
        ),
    )


def _list_steps(
    state: Values, inputs: Values, slot: int, without: str
) -> list[Step]:
    phase = state[f'phase{slot}']
    accepted = state[f'accepted{slot}']
    is_decided = z3.Or(accepted, state[f'refused{slot}'])
    answer_phase = z3.If(accepted, ANSWERED_ACCEPTED, ANSWERED_REJECTED)
    if without == READ_BACK:
        # A stored change is reported as accepted.
        is_decided = state[f'stored{slot}']
        answer_phase = z3.IntVal(ANSWERED_ACCEPTED)
    if without == FIRST_COPY:
        # The refusal of a second copy is reported for the change itself.
        answer_phase = z3.If(
            state[f'refused{slot}'], ANSWERED_REJECTED, ANSWERED_ACCEPTED
        )
    return [
        Step(
            name=f'submit {slot}',
            guard=z3.And(
                phase == IDLE,
                inputs['seen'] >= 0,
                inputs['seen'] <= state['revision'],
            ),
            changes={
                f'phase{slot}': z3.IntVal(SUBMITTED),
                f'base{slot}': inputs['seen'],
            },
        ),
        _store(state, slot, without),
        Step(
            name=f'answer {slot}',
            guard=z3.And(phase == SUBMITTED, is_decided),
            changes={f'phase{slot}': answer_phase},
        ),
    ]


def _store(state: Values, slot: int, without: str) -> Step:
    is_accepted = state[f'base{slot}'] == state['revision']
    if without == BASE_REVISION:
        is_accepted = z3.Not(state[f'accepted{slot}'])
    return Step(
        name=f'store {slot}',
        guard=state[f'phase{slot}'] != IDLE,
        changes={
            'offset': state['offset'] + 1,
            'revision': z3.If(is_accepted, state['offset'], state['revision']),
            f'accepted{slot}': z3.Or(state[f'accepted{slot}'], is_accepted),
            f'refused{slot}': z3.Or(
                state[f'refused{slot}'], z3.Not(is_accepted)
            ),
            f'stored{slot}': z3.BoolVal(True),
        },
    )


def _list_pairs() -> list[tuple[int, int]]:
    return [(one, other) for one in range(CHANGES) for other in range(one)]


def _state_safety(state: Values) -> Values:
    claims: Values = {
        f'one accepted change {one} {other}': z3.Implies(
            z3.And(state[f'accepted{one}'], state[f'accepted{other}']),
            state[f'base{one}'] != state[f'base{other}'],
        )
        for one, other in _list_pairs()
    }
    for slot in range(CHANGES):
        phase = state[f'phase{slot}']
        accepted = state[f'accepted{slot}']
        claims |= {
            f'told acceptance {slot}': z3.Implies(
                phase == ANSWERED_ACCEPTED, accepted
            ),
            f'told rejection {slot}': z3.Implies(
                phase == ANSWERED_REJECTED, z3.Not(accepted)
            ),
        }
    return claims


def _state_invariant(state: Values) -> Values:
    claims = _state_safety(state)
    claims['offsets are new'] = state['revision'] < state['offset']
    for slot in range(CHANGES):
        base = state[f'base{slot}']
        is_begun = state[f'phase{slot}'] != IDLE
        accepted = state[f'accepted{slot}']
        is_decided = z3.Or(accepted, state[f'refused{slot}'])
        rejected = state[f'phase{slot}'] == ANSWERED_REJECTED
        claims |= {
            f'bases are past {slot}': z3.Implies(
                is_begun, base <= state['revision']
            ),
            f'decided for good {slot}': z3.Implies(
                is_decided, z3.And(is_begun, base < state['revision'])
            ),
            f'rejected for good {slot}': z3.Implies(
                rejected, base < state['revision']
            ),
        }
    return claims
