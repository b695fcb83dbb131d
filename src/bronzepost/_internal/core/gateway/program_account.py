"""The granted, reserved and spent tokens of one program."""

import dataclasses
from collections.abc import Mapping, Set


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramAccount:
    """The tokens of one program as its home knows them.

    A holder is a VM that has allowances; it is named by the VM's boot. By
    holder, in tokens, as totals that only grow:

    - ``granted_by_holder``: allowances that the store has.
    - ``claimed_by_holder``: allowances that the holder reports, provisional
      ones included.
    - ``returned_by_holder``: the part of its allowances that it returned.
    - ``spent_by_holder``: tokens that turns are known to have generated.
    - ``pooled_by_holder``: the part of its allowances that most VMs have agreed
      to. The store alone may not grant the last ``pool_tokens`` of the budget.

    ``spent`` and ``reserved_by_id`` are those of this VM. It may also spend the
    allowances of the ``adopted`` holders, whose accounts it took over. ``most``
    is the size of the largest turn that was asked for. The account was
    last read or changed at ``touched_at``, and a turn last began or ended at
    ``used_at``, both in seconds of this VM's clock. If ``is_after_loss``,
    grants that a loss of all VMs may have erased were assumed; the store has
    that if ``is_loss_stored``. The answers of its turns end only once the store
    has them if it ``needs_store``. A reservation in ``owner_by_id`` belongs to a turn
    that the process with that boot serves. The ``lost`` holders and owners do not run
    any more: what they have not recorded may have been handed out. The store has ``stored_spent`` and
    ``stored_pooled`` of the spent and pooled tokens of all holders.
    """

    program_id: str
    budget: int
    granted_by_holder: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    claimed_by_holder: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    returned_by_holder: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    spent_by_holder: Mapping[str, int] = dataclasses.field(default_factory=dict)
    reserved_by_id: Mapping[str, int] = dataclasses.field(default_factory=dict)
    adopted: frozenset[str] = frozenset()
    spent: int = 0
    touched_at: float = 0
    used_at: float = 0
    is_after_loss: bool = False
    most: int = 0
    pooled_by_holder: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    pool_tokens: int = 0
    is_loss_stored: bool = False
    needs_store: bool = False
    stored_spent: int = 0
    stored_pooled: int = 0
    owner_by_id: Mapping[str, str] = dataclasses.field(default_factory=dict)
    lost: frozenset[str] = frozenset()

    @property
    def may_have_lost_grants(self) -> bool:
        """Return whether a loss of all VMs may have erased grants."""
        return self.is_after_loss or self.is_loss_stored

    @property
    def granted(self) -> int:
        """Return the tokens that all VMs together may spend or have spent.

        A holder without grants of its own may have returned those of holders
        that it replaced.
        """
        holders = self.granted_by_holder.keys() | self.claimed_by_holder.keys()
        holders |= self.returned_by_holder.keys()
        return sum(map(self.find_allowance, holders))

    @property
    def pooled(self) -> int:
        """Return the tokens that most VMs have agreed to."""
        return sum(self.pooled_by_holder.values())

    @property
    def pool_left(self) -> int:
        """Return the tokens of the pool that may still be granted from it.

        None after a loss of all VMs, which may have erased such grants.
        """
        if self.may_have_lost_grants:
            return 0
        return max(self.pool_tokens - self.pooled, 0)

    @property
    def grantable(self) -> int:
        """Return the tokens that the store may grant without other VMs.

        Negative if more is granted, as from a budget that was changed.
        """
        return self.budget - self.pool_left - self.granted

    @property
    def provisional(self) -> int:
        """Return the allowances of all VMs together that the store lacks."""
        return sum(map(self.find_unstored, self.claimed_by_holder))

    def find_total(self, holder: str) -> int:
        """Return all that a holder was granted, returned tokens included."""
        return max(
            self.granted_by_holder.get(holder, 0),
            self.claimed_by_holder.get(holder, 0),
        )

    def find_allowance(self, holder: str) -> int:
        """Return what a holder was granted and has not returned.

        Negative if the holder returned tokens of holders that it replaced.
        """
        return self.find_total(holder) - self.returned_by_holder.get(holder, 0)

    def find_unstored(self, holder: str) -> int:
        """Return the part of a holder's allowance that is not in the store."""
        known = max(
            self.granted_by_holder.get(holder, 0),
            self.returned_by_holder.get(holder, 0),
        )
        return max(self.find_total(holder) - known, 0)

    def count_available(self, holder: str) -> int:
        """Return the tokens that a VM may still reserve.

        They come from its own allowances and those of adopted holders.
        """
        own = sum(map(self.find_allowance, self.adopted | {holder}))
        used = sum(
            self.spent_by_holder.get(name, 0)
            for name in self.adopted - {holder}
        )
        reserved = sum(self.reserved_by_id.values())
        return own - used - self.spent - reserved

    def count_spent(self, holder: str) -> int:
        """Return the tokens that turns at all VMs are known to have generated.

        ``holder`` is this VM. Its entry in ``spent_by_holder`` is skipped,
        because it may be older than ``spent``.
        """
        spent_by_others = sum(
            tokens
            for name, tokens in self.spent_by_holder.items()
            if name != holder
        )
        return self.spent + spent_by_others

    def list_others(self, holder: str) -> Set[str]:
        """Return the holders that are neither this VM nor adopted by it.

        Lost holders are among them. ``holder`` is this VM.
        """
        others = self.granted_by_holder.keys() | self.claimed_by_holder.keys()
        others |= self.returned_by_holder.keys() | self.spent_by_holder.keys()
        return others - self.adopted - {holder}

    def count_held(self, holders: Set[str]) -> int:
        """Return the tokens that holders were granted and did not record as spent.

        They are not granted again, because they may have been spent.
        """
        # In all, since a home may have spent what a holder had that it replaced.
        held = sum(
            self.find_allowance(name) - self.spent_by_holder.get(name, 0)
            for name in holders
        )
        return max(held, 0)

    def count_certain(self, holder: str) -> int:
        """Return the tokens that count as spent at each later home too.

        A loss of all VMs erases what is not recorded, and a home may then forgive
        it to a program that ``needs_store``.
        """
        if self.needs_store:
            return self.stored_spent
        return self.count_spent(holder)

    def is_unstored(self, holder: str) -> bool:
        """Return whether a VM has an allowance that is not in the store.

        Allowances of adopted holders count as its own.
        """
        return any(
            self.find_unstored(name) > 0 for name in self.adopted | {holder}
        )

    def has_allowance(self, holder: str) -> bool:
        """Return whether a VM or a holder it has adopted was granted tokens."""
        names = self.adopted | {holder}
        return not names.isdisjoint(
            self.granted_by_holder.keys() | self.claimed_by_holder.keys()
        )
