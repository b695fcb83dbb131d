"""Acceptance of configuration changes of one path by base revision.

Three changes by any operators through any nodes. A change may reach the log
late, more than once or never, and the answer to an append may be lost. The
revision of the path is the offset of its last accepted change.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

CHANGES: Final = 3
IDLE, SUBMITTED, TOLD_ACCEPTED, TOLD_REJECTED = range(4)

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
        initial=_start,
        steps=lambda now, given: [
            step
            for slot in range(CHANGES)
            for step in _list_steps(now, given, slot, without)
        ],
        safety=_state_safety,
        invariant=_state_invariant,
    )


def _start(now: Values) -> Any:
    return z3.And(
        now['revision'] == 0,
        now['offset'] == 1,
        *(
            z3.And(
                now[f'phase{slot}'] == IDLE,
                z3.Not(now[f'accepted{slot}']),
                z3.Not(now[f'stored{slot}']),
                z3.Not(now[f'refused{slot}']),
            )
            for slot in range(CHANGES)
        ),
    )


def _list_steps(
    now: Values, given: Values, slot: int, without: str
) -> list[Step]:
    phase = now[f'phase{slot}']
    accepted = now[f'accepted{slot}']
    decided = z3.Or(accepted, now[f'refused{slot}'])
    told = z3.If(accepted, TOLD_ACCEPTED, TOLD_REJECTED)
    if without == READ_BACK:
        # The answer to the append is taken for the acceptance.
        decided = now[f'stored{slot}']
        told = z3.IntVal(TOLD_ACCEPTED)
    if without == FIRST_COPY:
        # A second copy that is refused is taken for the change itself.
        told = z3.If(now[f'refused{slot}'], TOLD_REJECTED, TOLD_ACCEPTED)
    return [
        Step(
            name=f'submit {slot}',
            guard=z3.And(
                phase == IDLE,
                given['seen'] >= 0,
                given['seen'] <= now['revision'],
            ),
            changes={
                f'phase{slot}': z3.IntVal(SUBMITTED),
                f'base{slot}': given['seen'],
            },
        ),
        _store(now, slot, without),
        Step(
            name=f'answer {slot}',
            guard=z3.And(phase == SUBMITTED, decided),
            changes={f'phase{slot}': told},
        ),
    ]


def _store(now: Values, slot: int, without: str) -> Step:
    is_accepted = now[f'base{slot}'] == now['revision']
    if without == BASE_REVISION:
        is_accepted = z3.Not(now[f'accepted{slot}'])
    return Step(
        name=f'store {slot}',
        guard=now[f'phase{slot}'] != IDLE,
        changes={
            'offset': now['offset'] + 1,
            'revision': z3.If(is_accepted, now['offset'], now['revision']),
            f'accepted{slot}': z3.Or(now[f'accepted{slot}'], is_accepted),
            f'refused{slot}': z3.Or(now[f'refused{slot}'], z3.Not(is_accepted)),
            f'stored{slot}': z3.BoolVal(True),
        },
    )


def _list_pairs() -> list[tuple[int, int]]:
    return [(one, other) for one in range(CHANGES) for other in range(one)]


def _state_safety(now: Values) -> Values:
    claims: Values = {
        f'one accepted change {one} {other}': z3.Implies(
            z3.And(now[f'accepted{one}'], now[f'accepted{other}']),
            now[f'base{one}'] != now[f'base{other}'],
        )
        for one, other in _list_pairs()
    }
    for slot in range(CHANGES):
        phase = now[f'phase{slot}']
        accepted = now[f'accepted{slot}']
        claims |= {
            f'told acceptance {slot}': z3.Implies(
                phase == TOLD_ACCEPTED, accepted
            ),
            f'told rejection {slot}': z3.Implies(
                phase == TOLD_REJECTED, z3.Not(accepted)
            ),
        }
    return claims


def _state_invariant(now: Values) -> Values:
    claims = _state_safety(now)
    claims['offsets are new'] = now['revision'] < now['offset']
    for slot in range(CHANGES):
        base = now[f'base{slot}']
        begun = now[f'phase{slot}'] != IDLE
        accepted = now[f'accepted{slot}']
        decided = z3.Or(accepted, now[f'refused{slot}'])
        rejected = now[f'phase{slot}'] == TOLD_REJECTED
        claims |= {
            f'bases are past {slot}': z3.Implies(
                begun, base <= now['revision']
            ),
            f'decided for good {slot}': z3.Implies(
                decided, z3.And(begun, base < now['revision'])
            ),
            f'rejected for good {slot}': z3.Implies(
                rejected, base < now['revision']
            ),
        }
    return claims
