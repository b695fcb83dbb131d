"""Budgets with allowances, forfeits at claims, releases and sub-agents.

A program has any number of successive owners and any number of successive
sub-agents. ``used`` is what the current owner has reserved or sent since the
last record. ``left`` is what all earlier owners together may still send, since
they may have been paused and resume at any time. ``real`` counts what was
actually sent, and ``child_real`` what the current sub-agent sent.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

FORFEIT: Final = 'forfeit at a claim'
DURABLE_GRANT: Final = 'grant before send'
CARVE: Final = 'sub-agents are paid by their parent'
WHOLE_RETURN: Final = 'an ended sub-agent keeps its allowance'
RELEASE_ONCE: Final = 'a release has one effect'
GUARDS: Final = (FORFEIT, DURABLE_GRANT, CARVE, WHOLE_RETURN, RELEASE_ONCE)

NAMES: Final = (
    'budget',
    'granted',
    'spent',
    'carved',
    'used',
    'left',
    'real',
    'child_granted',
    'child_real',
    'released',
)


def build_budgets(*, without: str = '') -> System:
    """Return the system, without one of its guards if one is named."""
    return System(
        variables={name: z3.IntSort() for name in NAMES},
        inputs={'units': z3.IntSort()},
        initial=lambda state: z3.And(
            state['budget'] >= 0,
            state['released'] == -1,
            *(state[name] == 0 for name in NAMES[1:-1]),
        ),
        steps=lambda state, inputs: [
            *_list_owner_steps(state, inputs['units'], without),
            *_list_release_steps(state, inputs['units'], without),
            *_list_child_steps(state, inputs['units'], without),
        ],
        safety=lambda state: {
            'no overspend': state['real'] + state['child_real']
            <= state['budget']
        },
        invariant=_state_invariant,
    )


def _list_owner_steps(state: Values, units: Any, without: str) -> list[Step]:
    spent, granted, used = state['spent'], state['granted'], state['used']
    free = granted - spent - used
    available = state['budget'] - state['carved']
    if without == DURABLE_GRANT:
        # The owner sends before the log has accepted the grant.
        free = state['budget'] - spent - used
    spent_after_claim = spent if without == FORFEIT else granted
    return [
        Step(
            name='grant',
            guard=z3.And(units > granted, units <= available),
            changes={'granted': units},
        ),
        Step(
            name='send',
            guard=z3.And(units >= 0, units <= free),
            changes={'used': used + units, 'real': state['real'] + units},
        ),
        Step(
            name='record',
            guard=spent + used <= granted,
            changes={'spent': spent + used, 'used': z3.IntVal(0)},
        ),
        Step(
            name='claim',
            guard=z3.BoolVal(True),
            changes={
                'left': state['left'] + granted - spent - used,
                'spent': spent_after_claim,
                'used': z3.IntVal(0),
                'released': z3.IntVal(-1),
            },
        ),
        Step(
            name='send of an earlier owner',
            guard=z3.And(units >= 0, units <= state['left']),
            changes={
                'left': state['left'] - units,
                'real': state['real'] + units,
            },
        ),
    ]


def _list_release_steps(state: Values, units: Any, without: str) -> list[Step]:
    steps = [
        Step(
            name='release',
            guard=z3.And(
                units >= state['spent'] + state['used'],
                units < state['granted'],
            ),
            changes={'granted': units, 'released': units},
        )
    ]
    if without == RELEASE_ONCE:
        copy = state['released']
        steps.append(
            Step(
                name='copy of a release',
                guard=z3.And(copy >= state['spent'], copy < state['granted']),
                changes={'granted': copy},
            )
        )
    return steps


def _list_child_steps(state: Values, units: Any, without: str) -> list[Step]:
    """Start a sub-agent, let it send within its allowance, and end it.

    The worst case is assumed: the sub-agent is granted its whole budget.
    """
    available = state['budget'] - state['granted'] - state['carved']
    if without == CARVE:
        available = state['budget'] - state['carved']
    child = state['child_granted']
    returned = child
    if without == WHOLE_RETURN:
        # The unsent part is returned, though it may still be sent.
        returned = state['child_real']
    return [
        Step(
            name='start sub-agent',
            guard=z3.And(child == 0, units > 0, units <= available),
            changes={
                'child_granted': units,
                'child_real': z3.IntVal(0),
                'real': state['real'] + state['child_real'],
                'carved': state['carved'] + units,
            },
        ),
        Step(
            name='sub-agent sends',
            guard=z3.And(units >= 0, units <= child - state['child_real']),
            changes={'child_real': state['child_real'] + units},
        ),
        Step(
            name='end sub-agent',
            guard=child > 0,
            changes={
                'child_granted': z3.IntVal(0),
                'child_real': z3.IntVal(0),
                'real': state['real'] + state['child_real'],
                'left': state['left'] + child - state['child_real'],
                'carved': state['carved'] - child,
                'granted': state['granted'] + returned,
                'spent': state['spent'] + returned,
            },
        ),
    ]


def _state_invariant(state: Values) -> Values:
    accounted = state['spent'] + state['used']
    return {
        'spent <= granted': z3.And(
            state['spent'] >= 0,
            state['used'] >= 0,
            accounted <= state['granted'],
        ),
        'granted + carved <= budget': (
            state['granted'] + state['carved'] <= state['budget']
        ),
        'all sends are accounted for': z3.And(
            state['left'] >= 0, state['real'] + state['left'] <= accounted
        ),
        'the sub-agent stays within its share': z3.And(
            state['child_real'] >= 0,
            state['child_real'] <= state['child_granted'],
            state['child_granted'] == state['carved'],
        ),
    }
