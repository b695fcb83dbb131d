"""Tokens that lost VMs may have handed out without a record."""

import dataclasses
from collections.abc import Callable
from typing import Final

from bronzepost._internal.core.gateway.program_account import ProgramAccount

# Stands for the lost VMs as the holder of the provisional allowances that a
# loss of all VMs may have erased.
LOST_GRANTS_HOLDER: Final = 'forgotten'


def find_lost(
    account: ProgramAccount, *, is_running: Callable[[str], bool]
) -> ProgramAccount:
    """Return the account with the holders and owners that do not run any more.

    They may be found to run after all, as after a pause.
    """
    names = {
        *account.granted_by_holder,
        *account.claimed_by_holder,
        *account.owner_by_id.values(),
    }
    names -= {LOST_GRANTS_HOLDER, ''}
    lost = frozenset(name for name in names if not is_running(name))
    return dataclasses.replace(account, lost=lost)


def count_uncertain(account: ProgramAccount, holder: str) -> int:
    """Return the tokens that lost VMs may have handed out without a record.

    They were granted to lost homes, or to turns that lost VMs served. ``holder``
    is this VM.
    """
    by_homes = account.count_held(account.list_others(holder) & account.lost)
    by_turns = sum(
        account.reserved_by_id.get(reservation_id, 0)
        for reservation_id, owner in account.owner_by_id.items()
        if owner in account.lost
    )
    return by_homes + by_turns


def count_forgiven(account: ProgramAccount, holder: str) -> int:
    """Return the tokens of lost VMs that need not count as spent.

    A budget may be exceeded by one turn. That turn stands for grants that a loss of
    all VMs may have erased, or, once the store has grants of the whole pool, for
    what lost VMs have not recorded as spent. Only programs that ``needs_store``
    record it turn by turn. Each grant beyond the budget is in the store, so no
    later home grants more than that turn. ``holder`` is this VM.
    """
    is_pool_stored = 0 < account.pool_tokens <= account.stored_pooled
    if account.needs_store and is_pool_stored:
        # A larger turn may have got the rest of its size without a record.
        turn_tokens = min(account.most, account.pool_tokens)
        return min(turn_tokens, count_uncertain(account, holder))
    return 0
