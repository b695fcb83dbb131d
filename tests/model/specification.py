"""Non-idempotent calls: claims, intents, sends, outcomes and withdrawals.

Three attempts at one call, each by any node in any epoch. Records may reach
the log late, more than once or never, nodes may pause between any two steps
or crash, and any number of claims may come between. What a node knows when it
begins an attempt follows from its claim: it has read everything before it.
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

# The guards of the protocol; each can be taken away.
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


def build_calls(*, without: str = '', playable: bool = False) -> System:
    """Return the system, without one of its guards if one is named.

    A playable system leaves out steps that the ledger refuses for other
    reasons: attempts of a node whose claim lost, and a call that its own
    node abandons before it was sent.
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
        initial=_start,
        steps=lambda now, given: [
            step
            for steps in (
                [_claim(now)],
                *(
                    _list_steps(now, given, slot, without, playable)
                    for slot in range(ATTEMPTS)
                ),
            )
            for step in steps
        ],
        safety=state_safety,
        invariant=state_invariant,
    )


def _start(now: Values) -> Any:
    return z3.And(
        now['epoch'] == 0,
        *(
            z3.And(
                now[f'phase{slot}'] == IDLE,
                now[f'log{slot}'] == ABSENT,
                z3.Not(now[f'stored{slot}']),
                z3.Not(now[f'withdrawn{slot}']),
                z3.Not(now[f'sent{slot}']),
            )
            for slot in range(ATTEMPTS)
        ),
    )


def _claim(now: Values) -> Step:
    # A claim with another epoch than the next one has no effect.
    return Step(
        name='claim',
        guard=z3.BoolVal(True),
        changes={'epoch': now['epoch'] + 1},
    )


def _list_steps(
    now: Values, given: Values, slot: int, without: str, playable: bool
) -> list[Step]:
    begin = _begin(now, given, slot, without)
    close = _close(now, slot)
    if playable:
        is_later = now['epoch'] > now[f'epoch{slot}']
        can_close = z3.Or(now[f'sent{slot}'], is_later)
        begin = _restrict(begin, given['is_owner'])
        close = _restrict(close, can_close)
    return [
        begin,
        _store_intent(now, slot, without),
        _settle(now, slot, without),
        _send(now, slot, without),
        _give_up(now, slot),
        _withdraw(now, slot),
        _store_withdrawal(now, slot, without),
        close,
        _crash(now, slot),
    ]


def _restrict(step: Step, rule: Any) -> Step:
    return dataclasses.replace(step, guard=z3.And(step.guard, rule))


def _begin(now: Values, given: Values, slot: int, without: str) -> Step:
    """Announce an attempt; a node that owns the epoch knows the log so far.

    A node whose claim of the epoch lost to another may know nothing.
    """
    epoch = given['new_epoch']
    knows = [
        _allows_next(now, other, epoch, without)
        for other in range(ATTEMPTS)
        if other != slot
    ]
    return Step(
        name=f'begin {slot}',
        guard=z3.And(
            now[f'phase{slot}'] == IDLE,
            epoch >= 1,
            epoch <= now['epoch'],
            z3.Implies(given['is_owner'], z3.And(*knows)),
        ),
        changes={
            f'phase{slot}': z3.IntVal(WAITING),
            f'epoch{slot}': epoch,
            f'owner{slot}': given['is_owner'],
        },
    )


def _allows_next(now: Values, other: int, epoch: Any, without: str) -> Any:
    log = now[f'log{other}']
    seen = z3.Or(log == OPEN, log == CLOSED)
    is_earlier = z3.And(now[f'owner{other}'], now[f'epoch{other}'] < epoch)
    is_own = z3.And(now[f'owner{other}'], now[f'epoch{other}'] == epoch)
    # A node runs one attempt at a time, and none after it has crashed.
    rules = [z3.Implies(is_own, now[f'phase{other}'] == GIVEN_UP)]
    if without != TAKEOVER:
        rules.append(z3.Implies(is_earlier, z3.Not(seen)))
    return z3.Or(now[f'phase{other}'] == IDLE, z3.And(*rules))


def _is_valid(now: Values, slot: int, without: str) -> Any:
    rules = []
    if without != EPOCH:
        rules.append(now[f'epoch{slot}'] == now['epoch'])
    if without != WRITER:
        rules.append(now[f'owner{slot}'])
    return z3.And(*rules)


def _store_intent(now: Values, slot: int, without: str) -> Step:
    """Let a copy of the intent reach the log, at any time and again."""
    others = [other for other in range(ATTEMPTS) if other != slot]
    takes_effect = z3.And(
        _is_valid(now, slot, without),
        now[f'log{slot}'] == ABSENT,
        *(now[f'log{other}'] != OPEN for other in others),
    )
    return Step(
        name=f'store_intent {slot}',
        guard=now[f'phase{slot}'] != IDLE,
        changes={
            f'log{slot}': z3.If(takes_effect, OPEN, now[f'log{slot}']),
            f'stored{slot}': z3.BoolVal(True),
        },
    )


def _settle(now: Values, slot: int, without: str) -> Step:
    """Learn that the intent is valid in log order."""
    known = now[f'log{slot}'] == OPEN
    if without == READ_BACK:
        known = now[f'stored{slot}']
    if without == INTENT_FIRST:
        known = z3.BoolVal(True)
    return Step(
        name=f'settle {slot}',
        guard=z3.And(now[f'phase{slot}'] == WAITING, known),
        changes={f'phase{slot}': z3.IntVal(READY)},
    )


def _send(now: Values, slot: int, without: str) -> Step:
    phase = now[f'phase{slot}']
    allowed = phase == READY
    if without == FINALITY:
        is_open = z3.And(phase == GIVEN_UP, now[f'log{slot}'] == OPEN)
        allowed = z3.Or(allowed, is_open)
    return Step(
        name=f'send {slot}',
        guard=allowed,
        changes={
            f'phase{slot}': z3.If(phase == READY, SENT, phase),
            f'sent{slot}': z3.BoolVal(True),
        },
    )


def _give_up(now: Values, slot: int) -> Step:
    """Answer `not_run` because the intent was settled as invalid."""
    return Step(
        name=f'give_up {slot}',
        guard=now[f'phase{slot}'] == WAITING,
        changes={f'phase{slot}': z3.IntVal(GIVEN_UP)},
    )


def _withdraw(now: Values, slot: int) -> Step:
    """Answer `not_run` and write the withdrawal."""
    phase = now[f'phase{slot}']
    return Step(
        name=f'withdraw {slot}',
        guard=z3.Or(phase == WAITING, phase == READY),
        changes={
            f'phase{slot}': z3.IntVal(GIVEN_UP),
            f'withdrawn{slot}': z3.BoolVal(True),
        },
    )


def _store_withdrawal(now: Values, slot: int, without: str) -> Step:
    return Step(
        name=f'store_withdrawal {slot}',
        guard=z3.And(
            now[f'withdrawn{slot}'],
            now[f'log{slot}'] == OPEN,
            _is_valid(now, slot, without),
        ),
        changes={f'log{slot}': z3.IntVal(WITHDRAWN)},
    )


def _close(now: Values, slot: int) -> Step:
    """Store the outcome, which any epoch may, or abandon the call."""
    return Step(
        name=f'close {slot}',
        guard=now[f'log{slot}'] == OPEN,
        changes={f'log{slot}': z3.IntVal(CLOSED)},
    )


def _crash(now: Values, slot: int) -> Step:
    phase = now[f'phase{slot}']
    return Step(
        name=f'crash {slot}',
        guard=z3.Or(phase == WAITING, phase == READY, phase == SENT),
        changes={f'phase{slot}': z3.IntVal(CRASHED)},
    )
