"""Whether a turn is granted from the pool while the store answers."""

import enum
from typing import Final

from bronzepost._internal.core.gateway.lost_tokens import count_uncertain
from bronzepost._internal.core.gateway.program_account import ProgramAccount

# From this share of its budget on, or once a VM was lost that may have handed tokens
# out, a program whose turns need the store is granted the pool first: only then is it
# forgiven what that VM has not recorded. Most programs end by themselves before it,
# and have the pool for an outage until then.
POOL_FIRST_SHARE: Final = 0.5


class PoolNeed(enum.Enum):
    """Whether a turn has to be granted from the pool, or should be."""

    NONE = 'none'
    PREFERRED = 'preferred'
    REQUIRED = 'required'


def find_pool_need(
    account: ProgramAccount, *, missing: int, holder: str = ''
) -> PoolNeed:
    """Return whether a ``holder`` that lacks ``missing`` tokens claims the pool.

    >>> account = ProgramAccount(program_id='a', budget=100, pool_tokens=30)
    >>> find_pool_need(account, missing=80)
    <PoolNeed.REQUIRED: 'required'>
    """
    if account.pool_left <= 0:
        return PoolNeed.NONE
    if missing > account.grantable:
        return PoolNeed.REQUIRED
    is_late = account.granted >= account.budget * POOL_FIRST_SHARE
    has_losses = count_uncertain(account, holder) > 0
    if account.needs_store and (is_late or has_losses):
        return PoolNeed.PREFERRED
    return PoolNeed.NONE
