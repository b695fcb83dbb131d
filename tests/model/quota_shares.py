"""Loans of one VM's share of the quotas, to two owners with clocks of their own.

The lender lends its share to one owner at a time. A loan ends at the owner a fixed
time after the clock reading that its message repeats, and at the lender as long
after it sent the last message. Messages may be late, lost or repeated: an owner
may receive any reading up to the newest that was sent to it. Processes may be
killed and start anew. Times are real numbers of seconds, and clocks run at one
speed with any distance from each other.
"""

from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

LOAN_SECONDS: Final = 2
# The time after its start in which a process neither uses nor lends its share.
START_SECONDS: Final = 3
OWNERS: Final = (1, 2)
NOBODY: Final = 0

OWNER_END: Final = 'the owner counts the end'
LENT_UNUSED: Final = 'a share that is lent is not used'
ECHO: Final = 'a loan counts from the echo'
NEWCOMER_WAIT: Final = 'a newcomer has no share'
NUMBERS: Final = 'late loans are ignored after a recall'
EPOCHS: Final = 'readings of former processes are ignored'
LENDER_END: Final = 'the lender waits for the end'
GUARDS: Final = (
    OWNER_END,
    LENT_UNUSED,
    ECHO,
    NEWCOMER_WAIT,
    NUMBERS,
    EPOCHS,
    LENDER_END,
)


def build_quota_shares(*, without: str = '') -> System:
    """Return the system, without one of its guards if one is named."""
    times = ('now', 'lent_until', 'ready_at')
    variables: Values = {name: z3.RealSort() for name in times}
    variables['lent_to'] = z3.IntSort()
    for owner in OWNERS:
        variables |= {
            f'offset{owner}': z3.RealSort(),
            f'echo{owner}': z3.RealSort(),
            f'sent{owner}': z3.RealSort(),
            f'end{owner}': z3.RealSort(),
        }
    return System(
        variables=variables,
        inputs={'time': z3.RealSort()},
        initial=_initial_state,
        steps=lambda state, inputs: [
            *_list_lender_steps(state, inputs['time'], without),
            *(
                step
                for owner in OWNERS
                for step in _list_owner_steps(
                    state, inputs['time'], owner, without
                )
            ),
        ],
        safety=lambda state: {'one use': _count_uses(state, without) <= 1},
        invariant=lambda state: _state_invariant(state, without),
    )


def _initial_state(state: Values) -> Any:
    return z3.And(
        state['now'] == 0,
        state['lent_until'] == 0,
        state['ready_at'] == START_SECONDS,
        state['lent_to'] == NOBODY,
        *(
            z3.And(
                state[f'echo{owner}'] == _forget(state, owner),
                state[f'sent{owner}'] == _forget(state, owner),
                state[f'end{owner}'] == _read(state, owner),
            )
            for owner in OWNERS
        ),
    )


def _read(state: Values, owner: int) -> Any:
    """Return the reading of an owner's clock."""
    return state['now'] + state[f'offset{owner}']


def _forget(state: Values, owner: int) -> Any:
    """Return a reading that is too old to count, as if there were none."""
    return _read(state, owner) - LOAN_SECONDS


def _list_lender_steps(state: Values, time: Any, without: str) -> list[Step]:
    now = state['now']
    steps = [
        Step(
            name='time passes',
            guard=time >= now,
            changes={'now': time},
        ),
        Step(
            name='loan ends',
            guard=z3.And(
                state['lent_to'] != NOBODY,
                z3.BoolVal(True)
                if without == LENDER_END
                else now >= state['lent_until'],
            ),
            changes={'lent_to': z3.IntVal(NOBODY)},
        ),
        Step(
            name='lender restarts',
            guard=z3.BoolVal(True),
            changes={
                'lent_to': z3.IntVal(NOBODY),
                'ready_at': now
                if without == NEWCOMER_WAIT
                else now + START_SECONDS,
                **{f'echo{owner}': _forget(state, owner) for owner in OWNERS},
            },
        ),
    ]
    steps += [
        Step(
            name=f'lend to {owner}',
            guard=z3.And(
                now >= state['ready_at'],
                z3.Or(state['lent_to'] == NOBODY, state['lent_to'] == owner),
            ),
            changes={
                'lent_to': z3.IntVal(owner),
                'lent_until': now + LOAN_SECONDS,
                f'sent{owner}': state[f'echo{owner}'],
            },
        )
        for owner in OWNERS
    ]
    return steps


def _list_owner_steps(
    state: Values, time: Any, owner: int, without: str
) -> list[Step]:
    reading = _read(state, owner)
    end = time + LOAN_SECONDS
    if without == ECHO:
        end = reading + LOAN_SECONDS
    if without == OWNER_END:
        end = time + 2 * LOAN_SECONDS
    # A recall makes all loans sent before it void, also those under way.
    sent_after_recall = _forget(state, owner)
    if without == NUMBERS:
        sent_after_recall = state[f'sent{owner}']
    restarted: Values = {
        f'offset{owner}': time,
        f'end{owner}': state['now'] + time,
    }
    if without != EPOCHS:
        void = state['now'] + time - LOAN_SECONDS
        restarted |= {f'sent{owner}': void, f'echo{owner}': void}
    return [
        Step(
            name=f'acknowledgement of {owner}',
            guard=z3.And(time <= reading, time >= state[f'echo{owner}']),
            changes={f'echo{owner}': time},
        ),
        Step(
            name=f'loan reaches {owner}',
            guard=z3.And(
                time <= state[f'sent{owner}'], end > state[f'end{owner}']
            ),
            changes={f'end{owner}': end},
        ),
        Step(
            name=f'recall of {owner}',
            guard=state['lent_to'] == owner,
            changes={
                'lent_to': z3.IntVal(NOBODY),
                f'end{owner}': reading,
                f'sent{owner}': sent_after_recall,
            },
        ),
        Step(
            name=f'owner {owner} restarts',
            guard=z3.BoolVal(True),
            changes=restarted,
        ),
    ]


def _count_uses(state: Values, without: str) -> Any:
    is_free = state['lent_to'] == NOBODY
    if without == LENT_UNUSED:
        is_free = z3.BoolVal(True)
    uses = [
        z3.And(is_free, state['now'] >= state['ready_at']),
        *(state[f'end{owner}'] > _read(state, owner) for owner in OWNERS),
    ]
    return z3.Sum(*(z3.If(use, 1, 0) for use in uses))


def _state_invariant(state: Values, without: str) -> Values:
    claims: Values = {'one use': _count_uses(state, without) <= 1}
    now = state['now']
    is_lent = state['lent_to'] != NOBODY
    is_starting = now < state['ready_at']
    claims |= {
        'loans are short': z3.Implies(
            is_lent, state['lent_until'] <= now + LOAN_SECONDS
        ),
        'starts are short': state['ready_at'] <= now + START_SECONDS,
        'a newcomer lends nothing': z3.Implies(is_starting, z3.Not(is_lent)),
    }
    for owner in OWNERS:
        offset = state[f'offset{owner}']
        # The latest time at which a loan of this owner may still count.
        is_borrower = state['lent_to'] == owner
        bound = z3.If(is_borrower, state['lent_until'], state['ready_at'])
        last = z3.If(bound > now, bound, now)
        end, sent, echo = (
            state[f'{name}{owner}'] - offset for name in ('end', 'sent', 'echo')
        )
        claims |= {
            f'readings are past {owner}': echo <= now,
            f'loans end {owner}': end <= last,
            f'late loans end {owner}': sent + LOAN_SECONDS <= last,
        }
    claims['one owner before the start'] = z3.Implies(
        is_starting, z3.Or(*(_has_no_loan(state, owner) for owner in OWNERS))
    )
    return claims


def _has_no_loan(state: Values, owner: int) -> Any:
    """Return whether no loan of an owner counts, nor one that is under way."""
    reading = _read(state, owner)
    return z3.And(
        state[f'end{owner}'] <= reading,
        state[f'sent{owner}'] + LOAN_SECONDS <= reading,
    )
