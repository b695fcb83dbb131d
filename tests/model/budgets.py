"""Budgets: allowances, forfeits at claims, releases and sub-agents.

A program with any number of owners one after the other, and with any number
of sub-agents one after the other. ``used`` is what the owner in force has
reserved or sent since the last record, and ``left`` what all earlier owners
together may still send: they may be paused and act at any time. ``real``
counts what was really sent, by the program and by its sub-agents.
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
        initial=lambda now: z3.And(
            now['budget'] >= 0,
            now['released'] == -1,
            *(now[name] == 0 for name in NAMES[1:-1]),
        ),
        steps=lambda now, given: [
            *_list_owner_steps(now, given['units'], without),
            *_list_release_steps(now, given['units'], without),
            *_list_child_steps(now, given['units'], without),
        ],
        safety=lambda now: {
            'no overspend': now['real'] + now['child_real'] <= now['budget']
        },
        invariant=_state_invariant,
    )


def _list_owner_steps(now: Values, units: Any, without: str) -> list[Step]:
    spent, granted, used = now['spent'], now['granted'], now['used']
    free = granted - spent - used
    room = now['budget'] - now['carved']
    if without == DURABLE_GRANT:
        # The owner counts on a grant that the log may refuse.
        free = now['budget'] - spent - used
    kept = spent if without == FORFEIT else granted
    return [
        Step(
            name='grant',
            guard=z3.And(units > granted, units <= room),
            changes={'granted': units},
        ),
        Step(
            name='send',
            guard=z3.And(units >= 0, units <= free),
            changes={'used': used + units, 'real': now['real'] + units},
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
                'left': now['left'] + granted - spent - used,
                'spent': kept,
                'used': z3.IntVal(0),
                'released': z3.IntVal(-1),
            },
        ),
        Step(
            name='send of an earlier owner',
            guard=z3.And(units >= 0, units <= now['left']),
            changes={
                'left': now['left'] - units,
                'real': now['real'] + units,
            },
        ),
    ]


def _list_release_steps(now: Values, units: Any, without: str) -> list[Step]:
    steps = [
        Step(
            name='release',
            guard=z3.And(
                units >= now['spent'] + now['used'], units < now['granted']
            ),
            changes={'granted': units, 'released': units},
        )
    ]
    if without == RELEASE_ONCE:
        copy = now['released']
        steps.append(
            Step(
                name='copy of a release',
                guard=z3.And(copy >= now['spent'], copy < now['granted']),
                changes={'granted': copy},
            )
        )
    return steps


def _list_child_steps(now: Values, units: Any, without: str) -> list[Step]:
    """Start a sub-agent, let it send within its allowance, and end it.

    The sub-agent is granted its whole budget, which is the worst case.
    """
    room = now['budget'] - now['granted'] - now['carved']
    if without == CARVE:
        room = now['budget'] - now['carved']
    child = now['child_granted']
    returned = child
    if without == WHOLE_RETURN:
        # What was not sent yet is given back, though it may still be sent.
        returned = now['child_real']
    return [
        Step(
            name='start sub-agent',
            guard=z3.And(child == 0, units > 0, units <= room),
            changes={
                'child_granted': units,
                'child_real': z3.IntVal(0),
                'real': now['real'] + now['child_real'],
                'carved': now['carved'] + units,
            },
        ),
        Step(
            name='sub-agent sends',
            guard=z3.And(units >= 0, units <= child - now['child_real']),
            changes={'child_real': now['child_real'] + units},
        ),
        Step(
            name='end sub-agent',
            guard=child > 0,
            changes={
                'child_granted': z3.IntVal(0),
                'child_real': z3.IntVal(0),
                'real': now['real'] + now['child_real'],
                'left': now['left'] + child - now['child_real'],
                'carved': now['carved'] - child,
                'granted': now['granted'] + returned,
                'spent': now['spent'] + returned,
            },
        ),
    ]


def _state_invariant(now: Values) -> Values:
    accounted = now['spent'] + now['used']
    return {
        'spent <= granted': z3.And(
            now['spent'] >= 0, now['used'] >= 0, accounted <= now['granted']
        ),
        'granted + carved <= budget': (
            now['granted'] + now['carved'] <= now['budget']
        ),
        'all sends are accounted for': z3.And(
            now['left'] >= 0, now['real'] + now['left'] <= accounted
        ),
        'the sub-agent stays within its share': z3.And(
            now['child_real'] >= 0,
            now['child_real'] <= now['child_granted'],
            now['child_granted'] == now['carved'],
        ),
    }
