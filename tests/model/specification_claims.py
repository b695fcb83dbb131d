"""What must hold of non-idempotent calls, and why it holds."""

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

# What the log says about an attempt's intent.
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


def state_safety(now: Values) -> Values:
    """Return that a call is sent once and never after `not_run`."""
    claims: Values = {
        f'not_run {slot}': z3.Not(
            z3.And(now[f'phase{slot}'] == GIVEN_UP, now[f'sent{slot}'])
        )
        for slot in range(ATTEMPTS)
    }
    claims |= {
        f'one send {one} {other}': z3.Not(
            z3.And(now[f'sent{one}'], now[f'sent{other}'])
        )
        for one, other in _list_pairs()
    }
    return claims


def _is_live(now: Values, slot: int) -> Any:
    phase = now[f'phase{slot}']
    may_send = z3.Or(phase == WAITING, phase == READY, now[f'sent{slot}'])
    return z3.And(may_send, now[f'owner{slot}'])


def state_invariant(now: Values) -> Values:
    """Return what every step keeps, and what implies safety."""
    claims: Values = {}
    for slot in range(ATTEMPTS):
        claims |= _state_invariant_of(now, slot)
    for one, other in _list_pairs():
        log = now[f'log{one}']
        is_earlier = now[f'epoch{one}'] < now[f'epoch{other}']
        begun = z3.And(now[f'phase{one}'] != IDLE, now[f'owner{one}'])
        live = z3.And(_is_live(now, one), _is_live(now, other))
        claims[f'one attempt an epoch {one} {other}'] = z3.Implies(
            live, now[f'epoch{one}'] != now[f'epoch{other}']
        )
        claims[f'earlier intents are void {one} {other}'] = z3.Implies(
            z3.And(begun, is_earlier, _is_live(now, other)),
            z3.And(log != OPEN, log != CLOSED),
        )
    return claims


def _state_invariant_of(now: Values, slot: int) -> Values:
    phase = now[f'phase{slot}']
    log = now[f'log{slot}']
    sent = now[f'sent{slot}']
    withdrawn = now[f'withdrawn{slot}']
    epoch = now[f'epoch{slot}']
    on_log = z3.Or(log == OPEN, log == CLOSED)
    return {
        f'epochs are past {slot}': z3.Implies(
            phase != IDLE, z3.And(epoch >= 1, epoch <= now['epoch'])
        ),
        f'only owners write {slot}': z3.Implies(
            log != ABSENT, z3.And(now[f'owner{slot}'], phase != IDLE)
        ),
        f'announced first {slot}': z3.Implies(
            z3.Or(sent, phase == READY), z3.And(on_log, z3.Not(withdrawn))
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
