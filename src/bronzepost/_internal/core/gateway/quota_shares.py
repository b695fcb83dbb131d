"""Shares of the quotas: what a VM holds of a partition, and what it has lent.

Each VM has a share of all quotas, which it uses itself or lends to one owner at a
time. The loan of a share ends at the owner before it ends at the lender, without
a common clock: an acknowledgement carries the owner's clock, the lender's next
renewal repeats this reading, and the owner counts the loan from the reading on.
The lender counts it from the time at which it sent the renewal, which is later.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.core.gateway.quotas import CapacityStep, add_step

# The shares of an owner that is lost are unused for this long at most. A renewal
# repeats a clock reading of the one before, so a loan lasts for 1.1 s after a
# renewal at the least, and a second one arrives in it if the next is lost.
LOAN_SECONDS: Final = 1.6
RENEWAL_SECONDS: Final = 0.5
# The renewals that an owner receives a second from all VMs, at most.
MAX_RENEWALS_PER_SECOND: Final = 100
# Where renewals are slower, a loan outlasts the time of an echo and of the next
# renewal, and half of one more: its messages are sent again by TCP.
RENEWALS_PER_LOAN: Final = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldLoan:
    """A share that a VM has lent to this one; it ends by this VM's clock."""

    share: float
    ends_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldShares:
    """The shares of one partition that a VM holds.

    ``own`` is its own share, 0 if it is lent. No share counts for more than
    ``max_share``, the share of one VM as this one counts them: a lender may not
    have heard of the newest VMs. ``steps`` has the capacities until now, and
    the next loan ends at ``next_end``.
    """

    own: float = 0
    max_share: float = 1
    loans_by_lender: Mapping[str, HeldLoan] = dataclasses.field(
        default_factory=dict
    )
    steps: tuple[CapacityStep, ...] = ()
    next_end: float = math.inf

    @property
    def capacity(self) -> float:
        """Return the part of the quotas that the VM holds."""
        return self.steps[-1].capacity if self.steps else 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lending:
    """The loan of this VM's share of a partition to ``owner``.

    It ends at ``ends_at`` by this VM's clock. It began with the message
    ``first_number``, and was last renewed at the owner's process ``epoch``. The share
    does not return before its end unless the owner says so.
    """

    owner: str
    first_number: int
    ends_at: float
    epoch: int = 0
    is_recalled: bool = False


def find_renewal_seconds(vms: int) -> float:
    """Return the seconds between two renewals of a VM."""
    return max(RENEWAL_SECONDS, vms / MAX_RENEWALS_PER_SECOND)


def find_loan_seconds(vms: int) -> float:
    """Return the seconds of a loan."""
    return max(LOAN_SECONDS, find_renewal_seconds(vms) * RENEWALS_PER_LOAN)


def advance(held: HeldShares, *, at: float) -> HeldShares:
    """Return the shares after the loans that have ended by a time."""
    while held.next_end <= at:
        end = held.next_end
        left = {
            lender: loan
            for lender, loan in held.loans_by_lender.items()
            if loan.ends_at > end
        }
        held = _count(dataclasses.replace(held, loans_by_lender=left), at=end)
    return held


def put_loan(
    held: HeldShares, lender: str, loan: HeldLoan, *, at: float
) -> HeldShares:
    """Return the shares with a new or renewed loan, unless it has ended."""
    held = advance(held, at=at)
    if loan.ends_at <= at:
        return held
    loans = {**held.loans_by_lender, lender: loan}
    return _count(dataclasses.replace(held, loans_by_lender=loans), at=at)


def drop_loan(held: HeldShares, lender: str, *, at: float) -> HeldShares:
    """Return the shares without the loan of a lender."""
    held = advance(held, at=at)
    if lender not in held.loans_by_lender:
        return held
    loans = dict(held.loans_by_lender)
    loans.pop(lender)
    return _count(dataclasses.replace(held, loans_by_lender=loans), at=at)


def set_own_share(
    held: HeldShares, *, own: float, max_share: float, at: float
) -> HeldShares:
    """Return the shares with this VM's own one, 0 while it is lent."""
    held = advance(held, at=at)
    if (own, max_share) == (held.own, held.max_share):
        return held
    return _count(
        dataclasses.replace(held, own=own, max_share=max_share), at=at
    )


def _count(held: HeldShares, *, at: float) -> HeldShares:
    loans = held.loans_by_lender.values()
    lent = sum(min(loan.share, held.max_share) for loan in loans)
    return dataclasses.replace(
        held,
        next_end=min((loan.ends_at for loan in loans), default=math.inf),
        steps=add_step(held.steps, at=at, capacity=min(held.own + lent, 1)),
    )


def is_returned(
    lending: Lending | None, *, owner: str, epoch: int, number: int
) -> bool:
    """Return whether a message of an owner ends a loan.

    The owner has to have received the loan: a message that it sent before may
    be late, also one of its process before. ``number`` is that of the last message
    of the lender that it received.
    """
    return (
        lending is not None
        and lending.owner == owner
        and lending.epoch == epoch
        and number >= lending.first_number
    )
