"""The shares of the quotas that this VM holds: its own, and those lent to it."""

import dataclasses
import functools
import random
from collections import defaultdict
from typing import Final

from bronzepost._internal.core.gateway.quota_shares import (
    HeldLoan,
    HeldShares,
    advance,
    drop_loan,
    find_loan_seconds,
    put_loan,
    set_own_share,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.quota_messages import (
    LendShares,
    SharesHeld,
)
from bronzepost._internal.gateway.quotas.quota_owners import QuotaOwners
from bronzepost._internal.node.clock import read_clock

# Tells processes of the same name apart.
_EPOCH_BITS: Final = 48


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LastNumber:
    """The number of the last message of a lender; earlier ones are late."""

    number: int
    received_at: float


class ShareHolder:
    """Take loans of peers, and add them up."""

    def __init__(self, *, fleet: Fleet, owners: QuotaOwners) -> None:
        """Start without a share, and answer lenders."""
        self._fleet = fleet
        self._owners = owners
        # Not 0, which stands for no process.
        self._epoch = 1 + random.SystemRandom().getrandbits(_EPOCH_BITS)
        self._held_by_partition: defaultdict[int, HeldShares] = defaultdict(
            HeldShares
        )
        self._numbers_by_lender: dict[str, LastNumber] = {}
        fleet.subscribe(LendShares, self._receive)

    def find_held(
        self, partition: int, *, is_own_free: bool, at: float
    ) -> HeldShares:
        """Return the shares of a partition that this VM holds at a time.

        ``is_own_free`` is set unless the share of this VM is lent.
        """
        share = 1 / self._owners.count_vms()
        is_usable = is_own_free and self._owners.has_share(at=at)
        held = set_own_share(
            self._held_by_partition[partition],
            own=share if is_usable else 0,
            max_share=share,
            at=at,
        )
        self._held_by_partition[partition] = held
        return held

    def list_capacities(self) -> list[float]:
        """Return the capacity of each partition that this VM has shares of."""
        now = read_clock()
        return [
            advance(held, at=now).capacity
            for held in self._held_by_partition.values()
        ]

    def drop_leaving(self, *, at: float) -> None:
        """Drop the loans of VMs that are stopping, and forget ended lenders.

        The other VMs have divided the shares of those that stop.
        """
        for lender in self._owners.list_leaving():
            self._drop_loans(lender, tuple(self._held_by_partition), at=at)
        oldest = at - 2 * find_loan_seconds(self._owners.count_vms())
        self._numbers_by_lender = {
            name: number
            for name, number in self._numbers_by_lender.items()
            if number.received_at > oldest
        }

    def leave(self) -> None:
        """Return all loans at once, so that they can be lent to the next owner."""
        now = read_clock()
        partitions = tuple(self._held_by_partition)
        for lender in self._numbers_by_lender:
            self._drop_loans(lender, partitions, at=now)
            self._answer(lender, partitions)

    def _receive(self, sender: str, message: LendShares) -> None:
        now = read_clock()
        last = self._numbers_by_lender.get(sender)
        if last is not None and message.number <= last.number:
            return
        self._numbers_by_lender[sender] = LastNumber(
            number=message.number, received_at=now
        )
        returned = message.recalled
        if self._owners.is_leaving:
            returned += message.partitions
        self._drop_loans(sender, returned, at=now)
        loan = HeldLoan(
            share=message.share, ends_at=self._find_end(message, at=now)
        )
        put = functools.partial(put_loan, lender=sender, loan=loan, at=now)
        for partition in set(message.partitions).difference(returned):
            held = put(self._held_by_partition[partition])
            self._held_by_partition[partition] = held
        self._answer(sender, returned)

    def _find_end(self, message: LendShares, *, at: float) -> float:
        """Return when a loan ends, by this VM's clock, not after its lender's.

        It counts from the reading that the lender repeats, so a loan that does not
        repeat one of this process has ended.
        """
        if message.echo is None or message.epoch != self._epoch:
            return at
        return min(message.echo, at) + message.seconds

    def _drop_loans(
        self, lender: str, partitions: tuple[int, ...], *, at: float
    ) -> None:
        for partition in partitions:
            held = self._held_by_partition[partition]
            self._held_by_partition[partition] = drop_loan(held, lender, at=at)

    def _answer(self, lender: str, returned: tuple[int, ...]) -> None:
        answer = SharesHeld(
            number=self._numbers_by_lender[lender].number,
            epoch=self._epoch,
            clock=read_clock(),
            returned=returned,
        )
        self._fleet.send(lender, answer)
