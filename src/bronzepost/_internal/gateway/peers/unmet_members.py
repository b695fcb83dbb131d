"""VMs that are named to this VM, but that it has never met."""

import math
from collections.abc import Mapping
from typing import Final

from bronzepost._internal.core import membership
from bronzepost._internal.node.clock import read_clock

# VMs that start together find each other through their seeds, and write themselves
# into the store. Until both have had the time, a seed counts as a VM.
SEEDS_COUNT_SECONDS: Final = 5.0


class UnmetMembers:
    """The VMs that settings or the store name and that are no members yet.

    A VM whose seeds are gone finds nobody. It must not take itself for the whole
    fleet: others may grant the same budgets and quotas. Members that were met, also
    those that are dead by now, are not among the unmet ones; ``LostMembers`` has
    those. VMs that start later meet this one, not the other way round.
    """

    def __init__(
        self,
        *,
        members: membership.MembershipTables,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Count the ``seeds`` until the store has named all VMs."""
        self._members = members
        self._seeds = seeds
        self._addresses_by_name: Mapping[str, str] = {}
        self._started_at = read_clock()
        self._listed_at = -math.inf

    @property
    def has_list(self) -> bool:
        """Return whether the store has named the VMs since all have started."""
        return self._listed_at >= self._started_at + SEEDS_COUNT_SECONDS

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on, as of changed settings."""
        self._seeds = seeds
        self._contact()

    def put_list(self, addresses_by_name: Mapping[str, str]) -> None:
        """Replace the peer addresses of the VMs that the store names."""
        self._addresses_by_name = addresses_by_name
        self._listed_at = read_clock()
        self._contact()

    def list_names(self) -> list[str]:
        """Return the names of unmet VMs; seeds are named by their addresses."""
        known = self._members.members_by_name
        listed = self._addresses_by_name
        unmet = [name for name in listed if name not in known]
        if not self.has_list:
            met = {member.peer_address for member in known.values()}
            met.update(listed.values())
            unmet += [seed for seed in self._seeds if seed not in met]
        return unmet

    def _contact(self) -> None:
        addresses = {*self._seeds, *self._addresses_by_name.values()}
        addresses.discard(self._members.own_member().peer_address)
        self._members.seeds = tuple(sorted(addresses))
