"""The loans of this VM's share of the quotas to the owners of partitions."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from bronzepost._internal.core.gateway.quota_shares import (
    Lending,
    find_loan_seconds,
    find_renewal_seconds,
    is_returned,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.quota_messages import (
    LendShares,
    SharesHeld,
)
from bronzepost._internal.gateway.quotas.owner_contacts import OwnerContacts
from bronzepost._internal.gateway.quotas.quota_owners import QuotaOwners
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# An owner that has not answered this many renewals is silent.
MISSED_RENEWALS: Final = 2
# A silent owner is tried again after this time: a link that works one way only
# works again after some seconds, or not for long.
AVOID_SECONDS: Final = 5.0
_MICROSECONDS: Final = 1_000_000


class ShareLender:
    """Lend the share of each partition to its owner, as long as it is needed."""

    def __init__(self, *, fleet: Fleet, owners: QuotaOwners) -> None:
        """Start with nothing lent, and hear the owners."""
        self._fleet = fleet
        self._owners = owners
        self._lendings_by_partition: dict[int, Lending] = {}
        self._contacts = OwnerContacts()
        self._partitions: frozenset[int] = frozenset()
        self._greeted: set[str] = set()
        self._number = 0
        fleet.subscribe(SharesHeld, self._receive)

    def find_borrower(self, partition: int, *, at: float) -> str:
        """Return the VM that this VM's share is lent to; empty if to none."""
        lending = self._lendings_by_partition.get(partition)
        if lending is None or lending.ends_at <= at:
            return ''
        return lending.owner

    def count_lent(self) -> int:
        """Return the number of partitions of which the share is lent."""
        return len(self._lendings_by_partition)

    def update(self, partitions: frozenset[int], *, at: float) -> None:
        """Lend the shares of partitions, recall others, and renew what is due."""
        self._partitions = partitions
        self._end_loans(at)
        self._avoid_silent(at)
        self._greeted = set()
        changed = self._place_loans(at)
        renewal_seconds = find_renewal_seconds(self._owners.count_vms())
        for owner in self._list_owners():
            is_due = at - self._contacts.find(owner).sent_at >= renewal_seconds
            if owner in changed or is_due:
                self._send(owner, at)

    def leave(self) -> None:
        """Recall all loans, since the others divide the share of this VM now."""
        self.update(frozenset(), at=read_clock())

    def _place_loans(self, at: float) -> set[str]:
        """Begin and recall loans; return the owners to be told."""
        changed: set[str] = set()
        for partition in self._partitions | self._lendings_by_partition.keys():
            owner = self._find_owner(partition, at)
            lending = self._lendings_by_partition.get(partition)
            if lending is None and owner:
                changed.add(owner)
                self._lend(partition, owner, at)
            elif lending and _is_to_recall(lending, owner):
                changed.add(lending.owner)
                self._lendings_by_partition[partition] = dataclasses.replace(
                    lending, is_recalled=True
                )
        return changed

    def _lend(self, partition: int, owner: str, at: float) -> None:
        self._lendings_by_partition[partition] = Lending(
            owner=owner,
            epoch=self._contacts.find(owner).epoch,
            first_number=self._number + 1,
            ends_at=at + find_loan_seconds(self._owners.count_vms()),
        )

    def _find_substitute(self, partition: int, at: float) -> str:
        """Return the VM that keeps a loan until the owner is in touch."""
        borrower = self.find_borrower(partition, at=at)
        is_able = borrower in self._owners.rank(partition, at=at)
        return borrower if is_able else ''

    def _find_owner(self, partition: int, at: float) -> str:
        """Return the VM to lend to; empty if this VM uses its share itself."""
        if partition not in self._partitions:
            return ''
        if not self._owners.has_share(at=at):
            return ''
        owner = self._owners.find(partition, at=at)
        if owner in {'', self._fleet.own_name}:
            return ''
        oldest = at - find_loan_seconds(self._owners.count_vms()) / 2
        if self._contacts.find(owner).heard_at >= oldest:
            return owner
        # It is greeted first, and the share is used until it answers.
        self._greeted.add(owner)
        return self._find_substitute(partition, at)

    def _end_loans(self, at: float) -> None:
        self._lendings_by_partition = {
            partition: lending
            for partition, lending in self._lendings_by_partition.items()
            if lending.ends_at > at
        }

    def _avoid_silent(self, at: float) -> None:
        patience = MISSED_RENEWALS * find_renewal_seconds(
            self._owners.count_vms()
        )
        for owner in self._contacts.pop_unanswered(before=at - patience):
            self._owners.avoid(owner, seconds=AVOID_SECONDS, at=at)
            emit(LogEvent.QUOTA_OWNER_SILENT, member=owner)

    def _send(self, owner: str, at: float) -> None:
        contact = self._contacts.find(owner)
        lent: tuple[int, ...] = ()
        if contact.is_answered:
            lent = self._list_partitions(owner, is_recalled=False)
        vms = self._owners.count_vms()
        seconds = find_loan_seconds(vms)
        for partition in lent:
            lending = self._lendings_by_partition[partition]
            # A message before it may have lent the share for longer.
            self._lendings_by_partition[partition] = dataclasses.replace(
                lending,
                ends_at=max(lending.ends_at, at + seconds),
                epoch=contact.epoch,
            )
        contact.record_sent(at, oldest_echo_at=at - seconds / 2)
        self._number = max(self._number + 1, int(at * _MICROSECONDS))
        message = LendShares(
            number=self._number,
            partitions=lent,
            share=1 / vms,
            seconds=seconds,
            recalled=self._list_partitions(owner, is_recalled=True),
            epoch=contact.epoch,
            echo=contact.clock,
        )
        self._fleet.send(owner, message)

    def _receive(self, sender: str, message: SharesHeld) -> None:
        now = read_clock()
        contact = self._contacts.find(sender)
        contact.record_answer(message, at=now)
        has_returned = self._take_back(sender, message, now)
        if has_returned or sender in self._greeted:
            self.update(self._partitions, at=now)
        elif contact.is_renewal_due and sender in self._list_owners():
            # The owner counts the loans from a newer reading.
            self._send(sender, now)

    def _take_back(self, owner: str, message: SharesHeld, at: float) -> bool:
        """Take back the shares that an owner has returned, if there are any."""
        returned = [
            partition
            for partition in message.returned
            if is_returned(
                self._lendings_by_partition.get(partition),
                owner=owner,
                epoch=message.epoch,
                number=message.number,
            )
        ]
        for partition in returned:
            lending = self._lendings_by_partition.pop(partition)
            if not lending.is_recalled:
                # It is stopping, and would return the next loan as well.
                self._owners.avoid(owner, seconds=AVOID_SECONDS, at=at)
        return bool(returned)

    def _list_owners(self) -> Iterable[str]:
        lendings = self._lendings_by_partition.values()
        return self._greeted.union(lending.owner for lending in lendings)

    def _list_partitions(
        self, owner: str, *, is_recalled: bool
    ) -> tuple[int, ...]:
        return tuple(
            partition
            for partition, lending in self._lendings_by_partition.items()
            if lending.owner == owner and lending.is_recalled == is_recalled
        )


def _is_to_recall(lending: Lending, owner: str) -> bool:
    return lending.owner != owner and not lending.is_recalled
