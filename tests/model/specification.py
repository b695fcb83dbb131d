"""Non-idempotent calls: claims, intents, sends, outcomes and withdrawals.

Three attempts at one call, each by any node in any epoch. Records may reach
the log late, more than once or never. Nodes may crash or pause between any two
steps, with any number of claims in between. A node that begins an attempt has
read all of the log before its claim.
"""

import dataclasses
from typing import Any, Final

import z3

from tests.model.specification_claims import (
    ABSENT,
    ATTEMPTS,
    CLOSED,
    CRASHED,
    GIVEN_UP,
    IDLE,
    OPEN,
    READY,
    SENT,
    WAITING,
    WITHDRAWN,
    state_invariant,
    state_safety,
)
from tests.model.systems import Step, System, Values

# The guards of the protocol, each of which can be left out.
INTENT_FIRST: Final = 'intent before send'
EPOCH: Final = 'epoch of records'
WRITER: Final = 'writer of records'
FINALITY: Final = 'withdrawal is final'
READ_BACK: Final = 'read back'
TAKEOVER: Final = 'successor heeds intents'
GUARDS: Final = (
    INTENT_FIRST,
    EPOCH,
    WRITER,
    FINALITY,
    READ_BACK,
    TAKEOVER,
)


def build_calls(*, without: str = '', replayable: bool = False) -> System:
    """Return the system, without one of its guards if one is named.

    A replayable system omits steps that the ledger refuses for other reasons:
    attempts of a node whose claim lost, and a node that abandons its own call
    before sending it.
    """
    variables: Values = {'epoch': z3.IntSort()}
    for slot in range(ATTEMPTS):
        variables |= {
            f'phase{slot}': z3.IntSort(),
            f'epoch{slot}': z3.IntSort(),
            f'log{slot}': z3.IntSort(),
            f'owner{slot}': z3.BoolSort(),
            f'stored{slot}': z3.BoolSort(),
            f'withdrawn{slot}': z3.BoolSort(),
            f'sent{slot}': z3.BoolSort(),
        }
    return System(
        variables=variables,
        inputs={'new_epoch': z3.IntSort(), 'is_owner': z3.BoolSort()},
        initial=_initial_state,
        steps=lambda state, inputs: [
            step
            for steps in (
                [_claim(state)],
                *(
                    _list_steps(state, inputs, slot, without, replayable)
                    for slot in range(ATTEMPTS)
                ),
            )
            for step in steps
        ],
        safety=state_safety,
        invariant=state_invariant,
    )


def _initial_state(state: Values) -> Any:
    return z3.And(
        state['epoch'] == 0,
        *(
            z3.And(
                state[f'phase{slot}'] == IDLE,
                state[f'log{slot}'] == ABSENT,
                z3.Not(state[f'stored{slot}']),
                z3.Not(state[f'withdrawn{slot}']),
                z3.Not(state[f'sent{slot}']),
            )
            for slot in range(ATTEMPTS)
        ),
    )


def _claim(state: Values) -> Step:
    # A claim of any epoch but the next one has no effect.
    return Step(
        name='claim',
        guard=z3.BoolVal(True),
        changes={'epoch': state['epoch'] + 1},
    )


def _list_steps(
    state: Values, inputs: Values, slot: int, without: str, replayable: bool
) -> list[Step]:
    begin = _begin(state, inputs, slot, without)
    close = _close(state, slot)
    if replayable:
        is_later = state['epoch'] > state[f'epoch{slot}']
        can_close = z3.Or(state[f'sent{slot}'], is_later)
        begin = _restrict(begin, inputs['is_owner'])
        close = _restrict(close, can_close)
    return [
        begin,
        _store_intent(state, slot, without),
        _settle(state, slot, without),
        _send(state, slot, without),
        _give_up(state, slot),
        _withdraw(state, slot),
        _store_withdrawal(state, slot, without),
        close,
        _crash(state, slot),
    ]


def _restrict(step: Step, condition: Any) -> Step:
    return dataclasses.replace(step, guard=z3.And(step.guard, condition))


def _begin(state: Values, inputs: Values, slot: int, without: str) -> Step:
    """Begin an attempt and submit its intent.

    A node that owns the epoch has read the log before its claim. A node
    whose claim of the epoch lost may have read nothing.
    """
    epoch = inputs['new_epoch']
    next_allowed = [
        _allows_attempt(state, other, epoch, without)
        for other in range(ATTEMPTS)
        if other != slot
    ]
    return Step(
        name=f'begin {slot}',
        guard=z3.And(
            state[f'phase{slot}'] == IDLE,
            epoch >= 1,
            epoch <= state['epoch'],
            z3.Implies(inputs['is_owner'], z3.And(*next_allowed)),
        ),
        changes={
            f'phase{slot}': z3.IntVal(WAITING),
            f'epoch{slot}': epoch,
            f'owner{slot}': inputs['is_owner'],
        },
    )


def _allows_attempt(state: Values, other: int, epoch: Any, without: str) -> Any:
    log = state[f'log{other}']
    is_seen = z3.Or(log == OPEN, log == CLOSED)
    is_earlier = z3.And(state[f'owner{other}'], state[f'epoch{other}'] < epoch)
    is_own = z3.And(state[f'owner{other}'], state[f'epoch{other}'] == epoch)
    # A node runs one attempt at a time, and none after it has crashed.
    conditions = [z3.Implies(is_own, state[f'phase{other}'] == GIVEN_UP)]
    if without != TAKEOVER:
        conditions.append(z3.Implies(is_earlier, z3.Not(is_seen)))
    return z3.Or(state[f'phase{other}'] == IDLE, z3.And(*conditions))


def _is_valid(state: Values, slot: int, without: str) -> Any:
    conditions = []
    if without != EPOCH:
        conditions.append(state[f'epoch{slot}'] == state['epoch'])
    if without != WRITER:
        conditions.append(state[f'owner{slot}'])
    return z3.And(*conditions)


def _store_intent(state: Values, slot: int, without: str) -> Step:
    """Store a copy of the intent on the log, at any time and repeatedly."""
    others = [other for other in range(ATTEMPTS) if other != slot]
    takes_effect = z3.And(
        _is_valid(state, slot, without),
        state[f'log{slot}'] == ABSENT,
        *(state[f'log{other}'] != OPEN for other in others),
    )
    return Step(
        name=f'store_intent {slot}',
        guard=state[f'phase{slot}'] != IDLE,
        changes={
            f'log{slot}': z3.If(takes_effect, OPEN, state[f'log{slot}']),
            f'stored{slot}': z3.BoolVal(True),
        },
    )


def _settle(state: Values, slot: int, without: str) -> Step:
    """Read back that the intent is valid in log order."""
    is_known = state[f'log{slot}'] == OPEN
    if without == READ_BACK:
        is_known = state[f'stored{slot}']
    if without == INTENT_FIRST:
        is_known = z3.BoolVal(True)
    return Step(
        name=f'settle {slot}',
        guard=z3.And(state[f'phase{slot}'] == WAITING, is_known),
        changes={f'phase{slot}': z3.IntVal(READY)},
    )


def _send(state: Values, slot: int, without: str) -> Step:
    phase = state[f'phase{slot}']
    is_allowed = phase == READY
    if without == FINALITY:
        is_open = z3.And(phase == GIVEN_UP, state[f'log{slot}'] == OPEN)
        is_allowed = z3.Or(is_allowed, is_open)
    return Step(
        name=f'send {slot}',
        guard=is_allowed,
        changes={
            f'phase{slot}': z3.If(phase == READY, SENT, phase),
            f'sent{slot}': z3.BoolVal(True),
        },
    )


def _give_up(state: Values, slot: int) -> Step:
    """Answer `not_run` because the intent was found invalid."""
    return Step(
        name=f'give_up {slot}',
        guard=state[f'phase{slot}'] == WAITING,
        changes={f'phase{slot}': z3.IntVal(GIVEN_UP)},
    )


def _withdraw(state: Values, slot: int) -> Step:
    """Answer `not_run` and write the withdrawal."""
    phase = state[f'phase{slot}']
    return Step(
        name=f'withdraw {slot}',
        guard=z3.Or(phase == WAITING, phase == READY),
        changes={
            f'phase{slot}': z3.IntVal(GIVEN_UP),
            f'withdrawn{slot}': z3.BoolVal(True),
        },
    )


def _store_withdrawal(state: Values, slot: int, without: str) -> Step:
    return Step(
        name=f'store_withdrawal {slot}',
        guard=z3.And(
            state[f'withdrawn{slot}'],
            state[f'log{slot}'] == OPEN,
            _is_valid(state, slot, without),
        ),
        changes={f'log{slot}': z3.IntVal(WITHDRAWN)},
    )


def _close(state: Values, slot: int) -> Step:
    """Store the outcome, as a node of any epoch may, or abandon the call."""
    return Step(
        name=f'close {slot}',
        guard=state[f'log{slot}'] == OPEN,
        changes={f'log{slot}': z3.IntVal(CLOSED)},
    )


def _crash(state: Values, slot: int) -> Step:
    phase = state[f'phase{slot}']
    return Step(
        name=f'crash {slot}',
        guard=z3.Or(phase == WAITING, phase == READY, phase == SENT),
        changes={f'phase{slot}': z3.IntVal(CRASHED)},
    )
