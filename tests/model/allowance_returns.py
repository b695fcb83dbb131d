"""Returns of what turns did not use, while the store answers.

Two turns at a time ask for grants, hand out and return what they did not use;
any number of turns follow each other. ``net`` is what the record counts as
granted and not returned, ``recorded`` what it counts as spent, and ``real`` what
was handed out. A turn that a loss breaks off adds ``turn`` tokens to ``broken``.
Its holder may only be paused, so that ``late`` grants and ``late_returns`` still
take effect, and ``paused`` tokens are still handed out. Nothing is provisional.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

TURNS: Final = (1, 2)

# Stages of a turn: none, the grant is asked for, stored, answered, and the
# return is queued.
IDLE: Final = 0
ASKED: Final = 1
STORED: Final = 2
GRANTED: Final = 3
ENDED: Final = 4

GRANT_FOR_TURN: Final = 'a grant covers just the turn that asks'
WHOLE_RETURN: Final = 'a turn returns all that it did not use'
RETRIED_RETURN: Final = 'a return is repeated until it is stored'
READ_BACK: Final = 'a turn that is given up waits for its grant'
ONE_GRANT: Final = 'one of several appends for a turn takes effect'
ENDED_COUNTS: Final = 'a turn counts as broken off until its return is stored'
GUARDS: Final = (
    GRANT_FOR_TURN,
    WHOLE_RETURN,
    RETRIED_RETURN,
    READ_BACK,
    ONE_GRANT,
    ENDED_COUNTS,
)

NUMBERS: Final = (
    'net',
    'recorded',
    'real',
    'broken',
    'late',
    'late_returns',
    'paused',
)


def build_returns(*, without: str = '') -> System:
    """Return the system, without one of its guards if one is named."""
    names = [
        *NUMBERS,
        *(
            f'{name}{turn}'
            for turn in TURNS
            for name in ('stage', 'allowed', 'used')
        ),
    ]
    return System(
        variables={name: z3.IntSort() for name in ('turn', *names)},
        inputs={'units': z3.IntSort()},
        initial=lambda state: z3.And(
            state['turn'] > 0, *(state[name] == 0 for name in names)
        ),
        steps=lambda state, inputs: [
            *_list_late_steps(state, inputs['units']),
            *(
                step
                for turn in TURNS
                for step in (
                    *_list_grant_steps(state, inputs['units'], turn, without),
                    *_list_end_steps(state, inputs['units'], turn, without),
                    _build_loss(state, turn, without),
                )
            ),
        ],
        safety=lambda state: {
            'all tokens are granted': state['real'] <= state['net'],
            'unused tokens are free again': z3.Implies(
                z3.And(*(state[f'stage{turn}'] == IDLE for turn in TURNS)),
                z3.And(
                    state['net'] <= state['real'] + state['broken'],
                    state['net'] <= state['recorded'] + state['broken'],
                ),
            ),
        },
        invariant=_state_invariant,
    )


def _list_late_steps(state: Values, units: Any) -> list[Step]:
    """List what happens for turns that were broken off."""
    steps = {
        'late grant is stored': ('late', 'net', units),
        'late return is stored': ('late_returns', 'net', -units),
        'paused holder hands out': ('paused', 'real', units),
    }
    return [
        Step(
            name=name,
            guard=z3.And(units > 0, units <= state[source]),
            changes={
                source: state[source] - units,
                target: state[target] + change,
                # The holder of a late grant may get its answer.
                **(
                    {'paused': state['paused'] + units}
                    if source == 'late'
                    else {}
                ),
            },
        )
        for name, (source, target, change) in steps.items()
    ]


def _list_grant_steps(
    state: Values, units: Any, turn: int, without: str
) -> list[Step]:
    stage, allowed = state[f'stage{turn}'], state[f'allowed{turn}']
    used = state[f'used{turn}']
    most = state['turn']
    if without == GRANT_FOR_TURN:
        most = 4 * state['turn']
    steps = [
        Step(
            name=f'{turn} asks',
            guard=z3.And(stage == IDLE, units > 0, units <= most),
            changes={
                f'stage{turn}': z3.IntVal(ASKED),
                f'allowed{turn}': units,
                f'used{turn}': z3.IntVal(0),
            },
        ),
        Step(
            name=f'grant of {turn} is void',
            guard=stage == ASKED,
            changes={f'stage{turn}': z3.IntVal(IDLE)},
        ),
        Step(
            name=f'grant of {turn} is stored',
            guard=stage == ASKED,
            changes={
                f'stage{turn}': z3.IntVal(STORED),
                'net': state['net'] + allowed,
            },
        ),
        Step(
            name=f'grant of {turn} is answered or read back',
            guard=stage == STORED,
            changes={f'stage{turn}': z3.IntVal(GRANTED)},
        ),
        Step(
            name=f'{turn} hands out',
            guard=z3.And(stage == GRANTED, units > 0, units <= allowed - used),
            changes={
                f'used{turn}': used + units,
                'real': state['real'] + units,
            },
        ),
    ]
    if without == ONE_GRANT:
        steps.append(
            Step(
                name=f'{turn} asks again',
                guard=stage == ASKED,
                changes={'late': state['late'] + allowed},
            )
        )
    return steps


def _list_end_steps(
    state: Values, units: Any, turn: int, without: str
) -> list[Step]:
    stage, used = state[f'stage{turn}'], state[f'used{turn}']
    unused = state[f'allowed{turn}'] - used
    idle: Values = {f'stage{turn}': z3.IntVal(IDLE)}
    returned = unused
    if without == WHOLE_RETURN:
        returned = z3.If(z3.And(units >= 0, units < unused), units, unused)
    steps = [
        Step(
            name=f'{turn} ends',
            guard=stage == GRANTED,
            changes={f'stage{turn}': z3.IntVal(ENDED)},
        ),
        Step(
            name=f'return of {turn} is stored',
            guard=stage == ENDED,
            changes={
                **idle,
                'net': state['net'] - returned,
                'recorded': state['recorded'] + used,
            },
        ),
    ]
    if without == RETRIED_RETURN:
        steps.append(
            Step(
                name=f'return of {turn} fails',
                guard=stage == ENDED,
                changes=idle,
            )
        )
    if without == READ_BACK:
        steps.append(
            Step(
                name=f'{turn} is given up',
                guard=stage == STORED,
                changes=idle,
            )
        )
    return steps


def _build_loss(state: Values, turn: int, without: str) -> Step:
    """Return the loss of a turn's holder, which may only be paused."""
    stage, allowed = state[f'stage{turn}'], state[f'allowed{turn}']
    unused = allowed - state[f'used{turn}']
    counted = state['turn']
    if without == ENDED_COUNTS:
        counted = z3.If(stage == ENDED, 0, counted)
    return Step(
        name=f'loss of the holder of {turn}',
        guard=stage != IDLE,
        changes={
            f'stage{turn}': z3.IntVal(IDLE),
            'broken': state['broken'] + counted,
            'late': state['late'] + z3.If(stage == ASKED, allowed, 0),
            'paused': state['paused']
            + z3.If(z3.Or(stage == STORED, stage == GRANTED), unused, 0),
            'late_returns': state['late_returns']
            + z3.If(stage == ENDED, unused, 0),
        },
    )


def _state_invariant(state: Values) -> Values:
    # What remains for turns that were broken off.
    net = state['net'] - state['recorded']
    real = state['real'] - state['recorded']
    claims: Values = {
        'amounts': z3.And(
            state['turn'] > 0, *(state[name] >= 0 for name in NUMBERS)
        )
    }
    for turn in TURNS:
        stage, allowed = state[f'stage{turn}'], state[f'allowed{turn}']
        used = state[f'used{turn}']
        net -= z3.If(stage >= STORED, allowed, 0)
        real -= z3.If(stage >= STORED, used, 0)
        claims[f'{turn} keeps to its grant'] = z3.And(
            stage >= IDLE,
            stage <= ENDED,
            used >= 0,
            used <= allowed,
            allowed <= state['turn'],
            z3.Implies(stage == ASKED, used == 0),
        )
    return claims | {
        'tokens of broken turns': z3.And(
            real >= 0,
            real + state['paused'] + state['late_returns'] <= net,
            net + state['late'] <= state['broken'],
        )
    }
