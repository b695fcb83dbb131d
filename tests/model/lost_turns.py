"""Turns that are lost with the VMs that serve them, while the store answers.

Two turns at a time are admitted, begin, hand out and end; any number of turns and
losses follow each other. ``net`` is what the record counts as granted and not
returned, ``recorded`` what it counts as spent, and ``real`` what was handed out. A
turn that is lost after it has begun adds ``turn`` tokens to ``uncertain``; its VM
may only be paused, so what it has left of them may still be handed out.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

TURNS: Final = (1, 2)

# Stages of a turn: none, admitted, and begun: its first event has come.
IDLE: Final = 0
ADMITTED: Final = 1
BEGUN: Final = 2

GRANT_AT_EVENT: Final = 'a turn is granted its tokens when it begins'
GRANT_BEFORE_EVENT: Final = 'a turn hands nothing out before its grant'
BEGUN_COUNTS: Final = 'a turn that has begun counts as spent if it is lost'
FORGIVES_ONCE: Final = 'at most one turn is forgiven in all'
FORGIVES: Final = 'what lost turns may have handed out is forgiven once'
GUARDS: Final = (
    GRANT_AT_EVENT,
    GRANT_BEFORE_EVENT,
    BEGUN_COUNTS,
    FORGIVES_ONCE,
    FORGIVES,
)

NUMBERS: Final = ('net', 'recorded', 'real', 'uncertain', 'paused')


def build_lost_turns(*, without: str = '') -> System:
    """Return the system, without one of its guards if one is named."""
    names = [
        *NUMBERS,
        *(f'{name}{turn}' for turn in TURNS for name in ('stage', 'used')),
    ]
    return System(
        variables={name: z3.IntSort() for name in ('budget', 'turn', *names)},
        inputs={'units': z3.IntSort()},
        initial=lambda state: z3.And(
            state['turn'] > 0,
            state['budget'] >= 0,
            *(state[name] == 0 for name in names),
        ),
        steps=lambda state, inputs: [
            _build_late_step(state, inputs['units']),
            *(
                step
                for turn in TURNS
                for step in (
                    *_list_steps(state, inputs['units'], turn, without),
                    *_list_losses(state, turn, without),
                )
            ),
        ],
        safety=lambda state: {
            'at most one turn beyond the budget': state['real']
            <= state['budget'] + state['turn'],
            'a turn without an event costs nothing': state['net']
            <= state['recorded'] + state['uncertain'] + _count_begun(state),
            'a turn that fits may begin': z3.Implies(
                z3.And(
                    _count_begun(state) == 0,
                    state['recorded']
                    + state['uncertain']
                    - _find_least(state['turn'], state['uncertain'])
                    + state['turn']
                    <= state['budget'],
                ),
                _may_begin(state, without),
            ),
        },
        invariant=_state_invariant,
    )


def _find_least(one: Any, other: Any) -> Any:
    return z3.If(one < other, one, other)


def _count_begun(state: Values) -> Any:
    return sum(
        z3.If(state[f'stage{turn}'] == BEGUN, state['turn'], 0)
        for turn in TURNS
    )


def _may_begin(state: Values, without: str) -> Any:
    forgiven = _find_least(state['turn'], state['uncertain'])
    if without == FORGIVES_ONCE:
        forgiven = state['uncertain']
    if without == FORGIVES:
        forgiven = z3.IntVal(0)
    return state['net'] + state['turn'] <= state['budget'] + forgiven


def _build_late_step(state: Values, units: Any) -> Step:
    return Step(
        name='paused VM hands out',
        guard=z3.And(units > 0, units <= state['paused']),
        changes={
            'paused': state['paused'] - units,
            'real': state['real'] + units,
        },
    )


def _list_steps(
    state: Values, units: Any, turn: int, without: str
) -> list[Step]:
    stage, used = f'stage{turn}', f'used{turn}'
    granted = state['net'] + state['turn']
    at_admission: Values = {}
    at_begin: Values = {'net': granted}
    begins = _may_begin(state, without)
    if without == GRANT_AT_EVENT:
        at_admission, at_begin = {'net': granted}, {}
        begins = z3.BoolVal(True)
    serves = state[stage] == BEGUN
    if without == GRANT_BEFORE_EVENT:
        serves = state[stage] != IDLE
    return [
        Step(
            name=f'turn {turn} is admitted',
            guard=z3.And(state[stage] == IDLE, _may_begin(state, without)),
            changes={
                stage: z3.IntVal(ADMITTED),
                used: z3.IntVal(0),
                **at_admission,
            },
        ),
        Step(
            name=f'turn {turn} begins',
            guard=z3.And(state[stage] == ADMITTED, begins),
            changes={stage: z3.IntVal(BEGUN), **at_begin},
        ),
        Step(
            name=f'turn {turn} hands out',
            guard=z3.And(
                serves, units > 0, state[used] + units <= state['turn']
            ),
            changes={
                used: state[used] + units,
                'real': state['real'] + units,
            },
        ),
        Step(
            name=f'turn {turn} ends',
            guard=state[stage] == BEGUN,
            changes={
                stage: z3.IntVal(IDLE),
                'net': state['net'] - state['turn'] + state[used],
                'recorded': state['recorded'] + state[used],
            },
        ),
    ]


def _list_losses(state: Values, turn: int, without: str) -> list[Step]:
    """List the loss of the VM of a turn, with or without its home."""
    stage, used = f'stage{turn}', f'used{turn}'
    left = state['turn'] - state[used]
    counted: Values = {'uncertain': state['uncertain'] + state['turn']}
    if without == BEGUN_COUNTS:
        counted = {'net': state['net'] - state['turn']}
    return [
        Step(
            name=f'the VM of turn {turn} is lost before its first event',
            guard=state[stage] == ADMITTED,
            changes={stage: z3.IntVal(IDLE)},
        ),
        Step(
            name=f'the VM of turn {turn} is lost or paused',
            guard=state[stage] == BEGUN,
            changes={
                stage: z3.IntVal(IDLE),
                'paused': state['paused'] + left,
                **counted,
            },
        ),
    ]


def _state_invariant(state: Values) -> Values:
    used = sum(
        z3.If(state[f'stage{turn}'] == BEGUN, state[f'used{turn}'], 0)
        for turn in TURNS
    )
    return {
        'amounts': z3.And(
            state['turn'] > 0,
            state['budget'] >= 0,
            *(state[name] >= 0 for name in NUMBERS),
        ),
        'stages': z3.And(
            *(
                z3.And(
                    state[f'stage{turn}'] >= IDLE,
                    state[f'stage{turn}'] <= BEGUN,
                    state[f'used{turn}'] >= 0,
                    state[f'used{turn}'] <= state['turn'],
                    z3.Implies(
                        state[f'stage{turn}'] == ADMITTED,
                        state[f'used{turn}'] == 0,
                    ),
                )
                for turn in TURNS
            ),
        ),
        'the record has all that is granted': state['net']
        == state['recorded'] + state['uncertain'] + _count_begun(state),
        'the store grants one turn beyond the budget': state['net']
        <= state['budget'] + state['turn'],
        'all tokens are granted': state['real'] + state['paused']
        <= state['recorded'] + state['uncertain'] + used,
    }
