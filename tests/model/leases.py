"""Placement leases with fencing, at an engine that checks it or does not.

The holder counts its lease from before it asks for it, so its own time ends
before that of the log. One order of any holder is followed on its way, for
as long as its delay allows; orders of the present holder may also arrive at
once. Times are seconds, as reals.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

LEASE_SECONDS: Final = 10
# A holder stops at half of its lease.
STOP_SECONDS: Final = 5

FENCING_CHECK: Final = 'fencing check'
HALF_LEASE: Final = 'stop at half of the lease'
BOUNDED_DELAY: Final = 'orders arrive within half of the lease'


def build_leases(*, checks_fencing: bool, without: str = '') -> System:
    """Return the system.

    An engine that checks fencing is safe however late an order arrives. One
    that ignores it is safe only if the time from the holder's check of its
    lease to the engine is below half of the lease, pauses included.
    """
    needs_checks = checks_fencing and without != FENCING_CHECK
    stop = LEASE_SECONDS if without == HALF_LEASE else STOP_SECONDS
    is_bounded = not checks_fencing and without != BOUNDED_DELAY
    delay = STOP_SECONDS if is_bounded else None
    integers = ('epoch', 'order_epoch', 'applied', 'highest')
    times = ('now', 'claimed_at', 'lease_end', 'start', 'old_start', 'sent_at')
    variables: Values = {name: z3.IntSort() for name in integers}
    variables |= {name: z3.RealSort() for name in times}
    variables |= {
        'has_order': z3.BoolSort(),
        'old_epoch': z3.IntSort(),
    }
    return System(
        variables=variables,
        inputs={
            'later': z3.RealSort(),
            'asked_at': z3.RealSort(),
            'keep_old': z3.BoolSort(),
        },
        initial=_start,
        steps=lambda now, given: [
            *_list_lease_steps(now, given),
            *_list_orders(now, stop),
            _apply(now, needs_checks, delay),
        ],
        safety=lambda now: {
            'no order of an earlier holder': now['applied'] == now['highest']
        },
        invariant=lambda now: _state_invariant(now, checks_fencing),
    )


def _start(now: Values) -> Any:
    zeros = (
        'epoch',
        'old_epoch',
        'applied',
        'highest',
        'now',
        'claimed_at',
        'lease_end',
    )
    return z3.And(
        z3.Not(now['has_order']),
        now['start'] == -LEASE_SECONDS,
        now['old_start'] == -LEASE_SECONDS,
        *(now[name] == 0 for name in zeros),
    )


def _list_lease_steps(now: Values, given: Values) -> list[Step]:
    asked = given['asked_at']
    asks = z3.And(asked <= now['now'], asked >= 0)
    end = now['now'] + LEASE_SECONDS
    keep = given['keep_old']
    return [
        Step(
            name='wait',
            guard=given['later'] >= now['now'],
            changes={'now': given['later']},
        ),
        Step(
            name='claim',
            guard=z3.And(asks, now['now'] >= now['lease_end']),
            changes={
                'epoch': now['epoch'] + 1,
                'claimed_at': now['now'],
                'lease_end': end,
                'start': asked,
                # Any one of the earlier holders is followed.
                'old_epoch': z3.If(keep, now['old_epoch'], now['epoch']),
                'old_start': z3.If(keep, now['old_start'], now['start']),
            },
        ),
        Step(
            name='renew',
            guard=z3.And(
                asks,
                now['epoch'] > 0,
                now['now'] < now['lease_end'],
                asked >= now['start'],
            ),
            changes={'lease_end': end, 'start': asked},
        ),
    ]


def _list_orders(now: Values, stop: int) -> list[Step]:
    return [
        _order(now, 'order', now['epoch'], now['start'], stop),
        _order(now, 'old order', now['old_epoch'], now['old_start'], stop),
        Step(
            name='order at once',
            guard=z3.And(now['epoch'] > 0, now['now'] < now['start'] + stop),
            changes={'applied': now['epoch'], 'highest': now['epoch']},
        ),
    ]


def _order(now: Values, name: str, epoch: Any, start: Any, stop: int) -> Step:
    return Step(
        name=name,
        guard=z3.And(epoch > 0, now['now'] < start + stop),
        changes={
            'has_order': z3.BoolVal(True),
            'order_epoch': epoch,
            'sent_at': now['now'],
        },
    )


def _apply(now: Values, needs_checks: bool, delay: int | None) -> Step:
    order = now['order_epoch']
    rules = [now['has_order']]
    if needs_checks:
        rules.append(order >= now['highest'])
    if delay is not None:
        rules.append(now['now'] < now['sent_at'] + delay)
    return Step(
        name='apply',
        guard=z3.And(*rules),
        changes={
            'applied': order,
            'highest': z3.If(order > now['highest'], order, now['highest']),
        },
    )


def _state_invariant(now: Values, checks_fencing: bool) -> Values:
    order = now['order_epoch']
    is_old_order = z3.And(now['has_order'], order < now['epoch'])
    half = LEASE_SECONDS - STOP_SECONDS
    claims: Values = {
        'applied': now['applied'] == now['highest'],
        'highest': now['highest'] <= now['epoch'],
        'old': now['old_epoch'] <= now['epoch'],
        'order': z3.Implies(now['has_order'], order <= now['epoch']),
        'claimed': now['claimed_at'] <= now['now'],
        'leased': now['start'] + LEASE_SECONDS <= now['lease_end'],
        'epoch': now['epoch'] >= 0,
        'lease is short': now['lease_end'] <= now['now'] + LEASE_SECONDS,
    }
    if checks_fencing:
        return claims
    return claims | {
        'old lease': z3.Implies(
            z3.And(now['old_epoch'] > 0, now['old_epoch'] < now['epoch']),
            now['old_start'] + LEASE_SECONDS <= now['claimed_at'],
        ),
        'old order': z3.Implies(
            is_old_order, now['sent_at'] <= now['claimed_at'] - half
        ),
        'order in lease': z3.Implies(
            z3.And(now['has_order'], order == now['epoch']),
            now['sent_at'] <= now['lease_end'] - half,
        ),
        'old before': z3.Implies(
            now['old_epoch'] == now['epoch'], now['epoch'] == 0
        ),
    }
