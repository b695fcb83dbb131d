"""Placement leases, with engines that check fencing numbers or ignore them.

A holder counts its lease from the time of its request, so the lease ends for
the holder before it ends on the log. The model has one delayed order of any
holder; orders of the current holder may also arrive without delay. Times are
real numbers of seconds.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

LEASE_SECONDS: Final = 10
# A holder stops sending orders at half of its lease.
STOP_SECONDS: Final = 5

FENCING_CHECK: Final = 'fencing check'
HALF_LEASE: Final = 'stop at half of the lease'
BOUNDED_DELAY: Final = 'orders arrive within half of the lease'


def build_leases(*, checks_fencing: bool, without: str = '') -> System:
    """Return the system, without one of its guards if one is named.

    An engine that checks fencing numbers is safe however late an order
    arrives. One that ignores them is safe only if an order arrives within
    half of the lease after the holder's check of it, pauses included.
    """
    needs_fencing = checks_fencing and without != FENCING_CHECK
    stop_seconds = LEASE_SECONDS if without == HALF_LEASE else STOP_SECONDS
    is_bounded = not checks_fencing and without != BOUNDED_DELAY
    max_delay_seconds = STOP_SECONDS if is_bounded else None
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
        initial=_initial_state,
        steps=lambda state, inputs: [
            *_list_lease_steps(state, inputs),
            *_list_orders(state, stop_seconds),
            _build_apply_step(state, needs_fencing, max_delay_seconds),
        ],
        safety=lambda state: {
            'no order of an earlier holder': state['applied']
            == state['highest']
        },
        invariant=lambda state: _state_invariant(state, checks_fencing),
    )


def _initial_state(state: Values) -> Any:
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
        z3.Not(state['has_order']),
        state['start'] == -LEASE_SECONDS,
        state['old_start'] == -LEASE_SECONDS,
        *(state[name] == 0 for name in zeros),
    )


def _list_lease_steps(state: Values, inputs: Values) -> list[Step]:
    requested_at = inputs['asked_at']
    is_requested = z3.And(requested_at <= state['now'], requested_at >= 0)
    end = state['now'] + LEASE_SECONDS
    keeps_old = inputs['keep_old']
    return [
        Step(
            name='wait',
            guard=inputs['later'] >= state['now'],
            changes={'now': inputs['later']},
        ),
        Step(
            name='claim',
            guard=z3.And(is_requested, state['now'] >= state['lease_end']),
            changes={
                'epoch': state['epoch'] + 1,
                'claimed_at': state['now'],
                'lease_end': end,
                'start': requested_at,
                # The old holder may be any earlier holder.
                'old_epoch': z3.If(
                    keeps_old, state['old_epoch'], state['epoch']
                ),
                'old_start': z3.If(
                    keeps_old, state['old_start'], state['start']
                ),
            },
        ),
        Step(
            name='renew',
            guard=z3.And(
                is_requested,
                state['epoch'] > 0,
                state['now'] < state['lease_end'],
                requested_at >= state['start'],
            ),
            changes={'lease_end': end, 'start': requested_at},
        ),
    ]


def _list_orders(state: Values, stop_seconds: int) -> list[Step]:
    return [
        _build_order_step(
            state, 'order', state['epoch'], state['start'], stop_seconds
        ),
        _build_order_step(
            state,
            'old order',
            state['old_epoch'],
            state['old_start'],
            stop_seconds,
        ),
        Step(
            name='order at once',
            guard=z3.And(
                state['epoch'] > 0, state['now'] < state['start'] + stop_seconds
            ),
            changes={'applied': state['epoch'], 'highest': state['epoch']},
        ),
    ]


def _build_order_step(
    state: Values, name: str, epoch: Any, start: Any, stop_seconds: int
) -> Step:
    return Step(
        name=name,
        guard=z3.And(epoch > 0, state['now'] < start + stop_seconds),
        changes={
            'has_order': z3.BoolVal(True),
            'order_epoch': epoch,
            'sent_at': state['now'],
        },
    )


def _build_apply_step(
    state: Values, needs_fencing: bool, max_delay_seconds: int | None
) -> Step:
    order_epoch = state['order_epoch']
    conditions = [state['has_order']]
    if needs_fencing:
        conditions.append(order_epoch >= state['highest'])
    if max_delay_seconds is not None:
        conditions.append(state['now'] < state['sent_at'] + max_delay_seconds)
    return Step(
        name='apply',
        guard=z3.And(*conditions),
        changes={
            'applied': order_epoch,
            'highest': z3.If(
                order_epoch > state['highest'], order_epoch, state['highest']
            ),
        },
    )


def _state_invariant(state: Values, checks_fencing: bool) -> Values:
    order_epoch = state['order_epoch']
    is_old_order = z3.And(state['has_order'], order_epoch < state['epoch'])
    half = LEASE_SECONDS - STOP_SECONDS
    claims: Values = {
        'applied': state['applied'] == state['highest'],
        'highest': state['highest'] <= state['epoch'],
        'old': state['old_epoch'] <= state['epoch'],
        'order': z3.Implies(state['has_order'], order_epoch <= state['epoch']),
        'claimed': state['claimed_at'] <= state['now'],
        'leased': state['start'] + LEASE_SECONDS <= state['lease_end'],
        'epoch': state['epoch'] >= 0,
        'lease is short': state['lease_end'] <= state['now'] + LEASE_SECONDS,
    }
    if checks_fencing:
        return claims
    return claims | {
        'old lease': z3.Implies(
            z3.And(state['old_epoch'] > 0, state['old_epoch'] < state['epoch']),
            state['old_start'] + LEASE_SECONDS <= state['claimed_at'],
        ),
        'old order': z3.Implies(
            is_old_order, state['sent_at'] <= state['claimed_at'] - half
        ),
        'order in lease': z3.Implies(
            z3.And(state['has_order'], order_epoch == state['epoch']),
            state['sent_at'] <= state['lease_end'] - half,
        ),
        'old before': z3.Implies(
            state['old_epoch'] == state['epoch'], state['epoch'] == 0
        ),
    }
