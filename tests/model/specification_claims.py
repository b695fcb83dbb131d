"""Safety claims of non-idempotent calls, and the invariant that proves them."""

from typing import Any, Final

import z3

from tests.model.systems import Values

ATTEMPTS: Final = 3

# Phases of an attempt at its node.
IDLE: Final = 0
WAITING: Final = 1
READY: Final = 2
SENT: Final = 3
GIVEN_UP: Final = 4
CRASHED: Final = 5

# States of an attempt's intent on the log.
ABSENT: Final = 0
OPEN: Final = 1
WITHDRAWN: Final = 2
CLOSED: Final = 3


def _list_pairs() -> list[tuple[int, int]]:
    return [
        (one, other)
        for one in range(ATTEMPTS)
        for other in range(ATTEMPTS)
        if one != other
    ]


def state_safety(state: Values) -> Values:
    """Return the claims that a call is sent once, and never after `not_run`."""
    claims: Values = {
        f'not_run {slot}': z3.Not(
            z3.And(state[f'phase{slot}'] == GIVEN_UP, state[f'sent{slot}'])
        )
        for slot in range(ATTEMPTS)
    }
    claims |= {
        f'one send {one} {other}': z3.Not(
            z3.And(state[f'sent{one}'], state[f'sent{other}'])
        )
        for one, other in _list_pairs()
    }
    return claims


def _is_live(state: Values, slot: int) -> Any:
    phase = state[f'phase{slot}']
    may_send = z3.Or(phase == WAITING, phase == READY, state[f'sent{slot}'])
    return z3.And(may_send, state[f'owner{slot}'])


def state_invariant(state: Values) -> Values:
    """Return claims that every step preserves and that imply safety."""
    claims: Values = {}
    for slot in range(ATTEMPTS):
        claims |= _state_invariant_of(state, slot)
    for one, other in _list_pairs():
        log = state[f'log{one}']
        is_earlier = state[f'epoch{one}'] < state[f'epoch{other}']
        is_begun = z3.And(state[f'phase{one}'] != IDLE, state[f'owner{one}'])
        is_live = z3.And(_is_live(state, one), _is_live(state, other))
        claims[f'one attempt an epoch {one} {other}'] = z3.Implies(
            is_live, state[f'epoch{one}'] != state[f'epoch{other}']
        )
        claims[f'earlier intents are void {one} {other}'] = z3.Implies(
            z3.And(is_begun, is_earlier, _is_live(state, other)),
            z3.And(log != OPEN, log != CLOSED),
        )
    return claims


def _state_invariant_of(state: Values, slot: int) -> Values:
    phase = state[f'phase{slot}']
    log = state[f'log{slot}']
    sent = state[f'sent{slot}']
    withdrawn = state[f'withdrawn{slot}']
    epoch = state[f'epoch{slot}']
    is_on_log = z3.Or(log == OPEN, log == CLOSED)
    return {
        f'epochs are past {slot}': z3.Implies(
            phase != IDLE, z3.And(epoch >= 1, epoch <= state['epoch'])
        ),
        f'only owners write {slot}': z3.Implies(
            log != ABSENT, z3.And(state[f'owner{slot}'], phase != IDLE)
        ),
        f'announced first {slot}': z3.Implies(
            z3.Or(sent, phase == READY), z3.And(is_on_log, z3.Not(withdrawn))
        ),
        f'withdrawn for good {slot}': z3.Implies(
            withdrawn, z3.And(phase == GIVEN_UP, z3.Not(sent))
        ),
        f'not run {slot}': z3.Implies(phase == GIVEN_UP, z3.Not(sent)),
        f'sent {slot}': z3.Implies(phase == SENT, sent),
        f'withdrawn by its node {slot}': z3.Implies(
            log == WITHDRAWN, withdrawn
        ),
        f'not yet sent {slot}': z3.Implies(
            z3.Or(phase == IDLE, phase == WAITING, phase == READY),
            z3.Not(sent),
        ),
    }
