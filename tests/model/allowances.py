"""Budget of one program, with grants for single turns and a pool for outages.

``net`` is what the record counts as granted and not returned, over all holders.
``free`` may be handed out, also by paused holders and by holders without the
store, ``returning`` is in queued returns, and ``real`` was handed out. A grant that
is stored without an answer is free, but may stay unused. ``claimed`` is what
majorities of the VMs agreed to from the pool, and ``pooled`` the part of it in the
record.

One writer appends to what it read earlier, and may be paused, lost or late. In a
safe system all other appends are the same as those of a writer that reads just
before, so one such writer stands for any number of them.

A VM ``holds`` the program if it has its copies from the first home, from a majority
of the VMs, or from the store once that has all claims. Where no majority holds it, homes assume a loss of all VMs.
They may also do so without any loss. ``voter`` has agreed to a claim to which no
other VM has agreed yet; other claims have the agreement of two VMs at once.

``is_unmarked`` is a loss of all VMs after which no home has appended yet. A home
that trusts the record is assumed to know of it.
"""

import itertools
from typing import Any, Final

import z3

from tests.model.systems import Step, System, Values

VMS: Final = (1, 2, 3)
PAIRS: Final = tuple(itertools.combinations(VMS, 2))

CONDITIONAL: Final = 'appends are conditional on the record that was read'
ACKNOWLEDGED: Final = 'only stored grants are handed out'
POOL: Final = 'the store alone does not grant the pool'
MAJORITY: Final = 'a majority agrees to provisional grants'
ALL_COUNT: Final = 'a majority of all VMs, not of those with copies'
WHOLE_CLAIM: Final = 'a claim takes the whole pool'
FORMER_VOTE: Final = 'a vote is void once its VM has restarted and learned'
NEWCOMERS_REFUSE: Final = 'a VM without copies refuses'
COPIES_OF_MAJORITY: Final = 'a VM learns its copies from a majority'
CLAIMS_ARE_STORED: Final = 'a VM reads its copies once the store has all claims'
NO_COPIES: Final = 'a home without copies grants nothing provisionally'
RECORD_IS_NO_PROOF: Final = 'a record without after_loss proves no copies'
RETURNS_ARE_FINAL: Final = 'tokens of a queued return are not used again'
RETURNS_ARE_TOTALS: Final = 'a repeated return has one effect'
# Guards of homes that trust the record, for VMs that are only lost all at once.
LOSS_IS_STORED: Final = 'the first append after a loss stores after_loss'
LATE_IS_NO_MARK: Final = 'a late append of a lost home does not hide a loss'
GUARDS: Final = (
    CONDITIONAL,
    ACKNOWLEDGED,
    POOL,
    MAJORITY,
    ALL_COUNT,
    WHOLE_CLAIM,
    FORMER_VOTE,
    NEWCOMERS_REFUSE,
    COPIES_OF_MAJORITY,
    CLAIMS_ARE_STORED,
    NO_COPIES,
    RECORD_IS_NO_PROOF,
    RETURNS_ARE_FINAL,
    RETURNS_ARE_TOTALS,
)
# A guard of the first append after a loss that forgives tokens.
FORGIVES_ONCE: Final = 'tokens are forgiven once'
TRUST_GUARDS: Final = (LOSS_IS_STORED, LATE_IS_NO_MARK)

# Ways in which the first append after a loss may free tokens that are granted
# and neither returned nor recorded as spent: none, up to a fixed part of a turn
# that the pool does without, or up to a turn less what was claimed from the pool
# as far as homes know.
FORGIVES_NONE: Final = 'none'
FORGIVES_FIXED: Final = 'fixed'
FORGIVES_KNOWN: Final = 'known'

NUMBERS: Final = (
    'net',
    'spent',
    'pooled',
    'claimed',
    'free',
    'returning',
    'real',
    'read_net',
    'read_spent',
    'read_pooled',
    'voter',
)
FLAGS: Final = (
    'after_loss',
    'read_loss',
    'is_forgiven',
    'was_assumed',
    'is_unmarked',
)
NONNEGATIVE: Final = (
    'spent',
    'pooled',
    'free',
    'returning',
    'real',
)


def build_allowances(
    *,
    without: str = '',
    forgives: str = FORGIVES_NONE,
    trusts_record: bool = False,
) -> System:
    """Return the system, without one of its guards if one is named.

    If homes trust the record, a home without copies grants provisional tokens
    unless the record has ``after_loss`` or the home knows of the loss. VMs are
    then only lost all at once, so one of the two is always the case.
    """
    variables: Values = {
        name: z3.IntSort()
        for name in ('budget', 'turn', 'pool', 'forgivable', *NUMBERS)
    }
    variables |= {name: z3.BoolSort() for name in (*FLAGS, 'is_current')}
    for vm in VMS:
        variables |= {f'holds{vm}': z3.BoolSort(), f'copy{vm}': z3.IntSort()}
    return System(
        variables=variables,
        inputs={'units': z3.IntSort(), 'assumes_loss': z3.BoolSort()},
        initial=lambda state: _initial_state(state, forgives),
        steps=lambda state, inputs: [
            *_list_appends(state, inputs, without),
            *_list_holder_steps(state, inputs['units'], without),
            *_list_vm_steps(state, without, trusts_record=trusts_record),
            *_list_claims(state, inputs['units'], without, forgives),
        ],
        safety=lambda state: {
            'at most one turn beyond the budget': _count_usable(state)
            <= state['budget'] + state['turn'],
            'nothing beyond the budget before a loss': z3.Or(
                state['was_assumed'],
                _count_usable(state) <= state['budget'],
            ),
        },
        invariant=lambda state: _state_invariant(
            state, trusts_record=trusts_record
        ),
    )


def _initial_state(state: Values, forgives: str) -> Any:
    turn, forgivable = state['turn'], state['forgivable']
    forgiven = {
        FORGIVES_NONE: forgivable == 0,
        FORGIVES_FIXED: z3.And(forgivable >= 0, forgivable <= turn),
        FORGIVES_KNOWN: forgivable == turn,
    }
    pool = turn if forgives == FORGIVES_KNOWN else turn - forgivable
    return z3.And(
        state['budget'] >= 0,
        state['turn'] > 0,
        forgiven[forgives],
        state['pool'] == _find_least(pool, state['budget']),
        state['is_current'],
        *(state[name] == 0 for name in NUMBERS),
        *(z3.Not(state[name]) for name in FLAGS),
        *(state[f'holds{vm}'] for vm in VMS),
        *(state[f'copy{vm}'] == 0 for vm in VMS),
    )


def _count_usable(state: Values) -> Any:
    """Return what was handed out, or may be without any further append."""
    return state['real'] + state['free']


def _find_least(one: Any, other: Any) -> Any:
    return z3.If(one < other, one, other)


def _find_most(one: Any, other: Any) -> Any:
    return z3.If(one > other, one, other)


def _list_appends(state: Values, inputs: Values, without: str) -> list[Step]:
    """List reads, and appends that take effect at the store.

    Appends whose answer is lost or late, or whose writer is gone, take effect in
    the same way.
    """
    units = inputs['units']
    loss = z3.Or(state['read_loss'], inputs['assumes_loss'])
    outstanding = _find_most(state['read_net'] - state['read_spent'], 0)
    repeats = z3.BoolVal(without == FORGIVES_ONCE)
    forgiven = z3.If(
        z3.And(loss, z3.Or(z3.Not(state['is_forgiven']), repeats)),
        _find_least(outstanding, state['forgivable']),
        0,
    )
    is_accepted = state['is_current']
    if without == CONDITIONAL:
        is_accepted = z3.BoolVal(True)
    kept_back = state['pool'] - state['read_pooled']
    if without == POOL:
        kept_back = z3.IntVal(0)
    granted_after = state['read_net'] - forgiven + units
    room = state['budget'] - z3.If(loss, 0, kept_back)
    grants = z3.And(units > 0, granted_after <= room)
    appended: Values = {
        'is_current': z3.BoolVal(False),
        'after_loss': state['read_loss'] if without == LOSS_IS_STORED else loss,
        'is_unmarked': z3.BoolVal(False)
        if without == LATE_IS_NO_MARK
        else z3.And(state['is_unmarked'], z3.Not(loss)),
        'is_forgiven': z3.Or(state['is_forgiven'], loss),
        'was_assumed': z3.Or(state['was_assumed'], inputs['assumes_loss']),
    }
    returned = units
    if without == RETURNS_ARE_TOTALS:
        # The append and its repetition after a lost answer.
        returned = 2 * units
    steps = [
        Step(
            name='read',
            guard=z3.BoolVal(True),
            changes={
                'read_net': state['net'],
                'read_spent': state['spent'],
                'read_pooled': state['pooled'],
                'read_loss': state['after_loss'],
                'is_current': z3.BoolVal(True),
            },
        ),
        Step(
            name='grant is stored',
            guard=z3.And(is_accepted, grants),
            changes={
                **appended,
                'net': state['net'] - forgiven + units,
                'free': state['free'] + units,
            },
        ),
        Step(
            name='provisional grant is stored',
            guard=z3.And(
                is_accepted,
                units > 0,
                units <= state['claimed'] - state['pooled'],
            ),
            changes={
                **appended,
                'net': state['net'] - forgiven + units,
                'pooled': state['pooled'] + units,
            },
        ),
        Step(
            name='return and spent tokens are stored',
            guard=z3.And(is_accepted, units >= 0, units <= state['returning']),
            changes={
                **appended,
                'net': state['net'] - forgiven - returned,
                'returning': state['returning'] - units,
                'spent': state['real'],
            },
        ),
    ]
    if without == ACKNOWLEDGED:
        steps.append(
            Step(
                name='use of a grant before its append is answered',
                guard=grants,
                changes={'free': state['free'] + units},
            )
        )
    return steps


def _list_holder_steps(state: Values, units: Any, without: str) -> list[Step]:
    """List what holders do, whether they are the home, paused or replaced."""
    free = state['free']
    is_free = z3.And(units > 0, units <= free)
    steps = [
        Step(
            name='hand out',
            guard=is_free,
            changes={'free': free - units, 'real': state['real'] + units},
        ),
        Step(
            name='queue a return',
            guard=is_free,
            changes={
                'free': free - units,
                'returning': state['returning'] + units,
            },
        ),
    ]
    if without == RETURNS_ARE_FINAL:
        steps.append(
            Step(
                name='use of a return without an answer',
                guard=z3.And(units > 0, units <= state['returning']),
                changes={'free': free + units},
            )
        )
    return steps


def _list_vm_steps(
    state: Values, without: str, *, trusts_record: bool
) -> list[Step]:
    copies: Values = {f'copy{vm}': z3.IntVal(0) for vm in VMS}
    has_majority = z3.Or(
        *(
            z3.And(state[f'holds{one}'], state[f'holds{other}'])
            for one, other in PAIRS
        )
    )
    steps = [
        Step(
            name='loss of all VMs',
            guard=z3.BoolVal(True),
            changes={
                **copies,
                **{f'holds{vm}': z3.BoolVal(False) for vm in VMS},
                'is_unmarked': z3.BoolVal(True),
            },
        )
    ]
    if trusts_record or without in {NO_COPIES, RECORD_IS_NO_PROOF}:
        may_grant = z3.Not(has_majority)
        if without != NO_COPIES:
            may_grant = z3.And(
                may_grant,
                z3.Not(state['after_loss']),
                z3.Not(state['is_unmarked']),
            )
            copies = {f'copy{vm}': state['pooled'] for vm in VMS}
        steps.append(
            Step(
                name='a home goes on without copies',
                guard=may_grant,
                changes={
                    **copies,
                    **{f'holds{vm}': z3.BoolVal(True) for vm in VMS},
                },
            )
        )
    return steps if trusts_record else steps + _list_restarts(state, without)


def _list_restarts(state: Values, without: str) -> list[Step]:
    steps = []
    for vm in VMS:
        others = [other for other in VMS if other != vm]
        can_learn = z3.And(*(state[f'holds{other}'] for other in others))
        if without == COPIES_OF_MAJORITY:
            can_learn = z3.Or(*(state[f'holds{other}'] for other in others))
        copies = _find_most(*(state[f'copy{other}'] for other in others))
        can_read = state['pooled'] == state['claimed']
        if without == CLAIMS_ARE_STORED:
            can_read = z3.BoolVal(True)
        voter = z3.If(state['voter'] == vm, 0, state['voter'])
        if without == FORMER_VOTE:
            voter = state['voter']
        steps += [
            Step(
                name=f'restart of {vm}',
                guard=z3.BoolVal(True),
                changes={
                    f'holds{vm}': z3.BoolVal(False),
                    f'copy{vm}': z3.IntVal(0),
                },
            ),
            Step(
                name=f'{vm} learns copies',
                guard=z3.And(z3.Not(state[f'holds{vm}']), can_learn),
                changes={
                    f'holds{vm}': z3.BoolVal(True),
                    f'copy{vm}': copies,
                    'voter': voter,
                },
            ),
            Step(
                name=f'{vm} reads the claims in the store',
                guard=z3.And(z3.Not(state[f'holds{vm}']), can_read),
                changes={
                    f'holds{vm}': z3.BoolVal(True),
                    f'copy{vm}': state['pooled'],
                    'voter': voter,
                },
            ),
        ]
    return steps


def _list_claims(
    state: Values, units: Any, without: str, forgives: str
) -> list[Step]:
    """List provisional grants, each with the VMs that agree to it."""
    limit = state['pool']
    if forgives == FORGIVES_KNOWN:
        outstanding = _find_most(state['read_net'] - state['read_spent'], 0)
        limit -= outstanding
    groups: list[tuple[int, ...]] = list(PAIRS)
    if without in {MAJORITY, ALL_COUNT}:
        groups += [(vm,) for vm in VMS]
    is_size = z3.And(units > 0, units <= limit)
    voters = () if forgives == FORGIVES_KNOWN else VMS
    steps = [step for vm in voters for step in _list_votes(state, vm)]
    for group in groups:
        guards = [
            state[f'copy{vm}'] + units <= limit
            if without == WHOLE_CLAIM
            else z3.And(state[f'copy{vm}'] == 0, units == limit)
            for vm in group
        ]
        if without != NEWCOMERS_REFUSE:
            guards += [state[f'holds{vm}'] for vm in group]
        if without == ALL_COUNT and len(group) == 1:
            guards += [
                z3.Not(state[f'holds{vm}']) for vm in VMS if vm not in group
            ]
        steps.append(
            Step(
                name=f'provisional grant by {group}',
                guard=z3.And(is_size, *guards),
                changes={
                    'claimed': state['claimed'] + units,
                    'free': state['free'] + units,
                    **{f'copy{vm}': state[f'copy{vm}'] + units for vm in group},
                },
            )
        )
    return steps


def _list_votes(state: Values, vm: int) -> list[Step]:
    """List the first and the second vote of a VM for a claim of the pool."""
    copy, pool = state[f'copy{vm}'], state['pool']
    agrees = z3.And(pool > 0, state[f'holds{vm}'], copy == 0)
    return [
        Step(
            name=f'{vm} agrees first',
            guard=agrees,
            changes={f'copy{vm}': pool, 'voter': z3.IntVal(vm)},
        ),
        Step(
            name=f'{vm} agrees second',
            guard=z3.And(agrees, state['voter'] > 0, state['voter'] != vm),
            changes={
                f'copy{vm}': pool,
                'voter': z3.IntVal(0),
                'claimed': state['claimed'] + pool,
                'free': state['free'] + pool,
            },
        ),
    ]


def _state_invariant(state: Values, *, trusts_record: bool) -> Values:
    by_the_store = state['net'] - state['pooled']
    forgiven = z3.If(state['is_forgiven'], state['forgivable'], 0)
    claims: Values = {
        'amounts': z3.And(
            state['budget'] >= 0,
            state['turn'] > 0,
            state['forgivable'] >= 0,
            state['pool'] >= 0,
            state['pool'] <= state['budget'],
            state['pool'] + state['forgivable'] <= state['turn'],
            *(state[name] >= 0 for name in NONNEGATIVE),
        ),
        'the pool is claimed once': z3.And(
            state['pooled'] <= state['claimed'],
            z3.Or(state['claimed'] == 0, state['claimed'] == state['pool']),
        ),
        'a current read is the record': z3.Implies(
            state['is_current'],
            z3.And(
                state['read_net'] == state['net'],
                state['read_spent'] == state['spent'],
                state['read_pooled'] == state['pooled'],
                state['read_loss'] == state['after_loss'],
            ),
        ),
        'losses are assumed': z3.Implies(
            z3.Or(
                state['after_loss'], state['read_loss'], state['is_forgiven']
            ),
            state['was_assumed'],
        ),
        'the store grants the budget': by_the_store <= state['budget'],
        'the store keeps the pool back': z3.Or(
            state['was_assumed'],
            by_the_store <= state['budget'] - state['pool'],
        ),
        'all tokens are granted': _count_usable(state) + state['returning']
        <= by_the_store + state['claimed'] + forgiven,
    }
    claims |= {
        f'{one} or {other} has all copies': z3.Implies(
            z3.And(state[f'holds{one}'], state[f'holds{other}']),
            _find_most(state[f'copy{one}'], state[f'copy{other}'])
            >= state['claimed'],
        )
        for one, other in PAIRS
    }
    for vm in VMS:
        others = [other for other in VMS if other != vm]
        claims[f'{vm} has voted once'] = z3.Implies(
            state['voter'] == vm,
            z3.And(
                z3.Implies(
                    state[f'holds{vm}'], state[f'copy{vm}'] >= state['pool']
                ),
                *(
                    z3.Implies(
                        state[f'holds{other}'],
                        state[f'copy{other}'] >= state['claimed'],
                    )
                    for other in others
                ),
            ),
        )
    claims['votes and copies'] = z3.And(
        state['voter'] >= 0,
        state['voter'] <= len(VMS),
        *(
            z3.Or(state[f'copy{vm}'] == 0, state[f'copy{vm}'] == state['pool'])
            for vm in VMS
        ),
    )
    return claims | _state_trust(state) if trusts_record else claims


def _state_trust(state: Values) -> Values:
    """Return what holds if VMs are only lost all at once."""
    return {
        'losses are known': z3.Or(
            state['after_loss'],
            state['is_unmarked'],
            z3.And(*(state[f'holds{vm}'] for vm in VMS)),
        )
    }
