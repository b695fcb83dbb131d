"""The members of which most have to agree to a change."""

from typing import Final

from bronzepost._internal.core.rendezvous import first_members
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.lost_members import LOST_SECONDS
from bronzepost._internal.gateway.servers.registry import RegistryFollower

# Bounds the messages for one agreement on large fleets. With a third of 410 VMs cut
# off, most of 25 members drawn at random are left with a probability of 0.96.
MAX_VOTERS: Final = 25


class Voters:
    """List the same members on both sides of a cut.

    Otherwise two groups of VMs could agree to different changes.
    """

    def __init__(self, *, fleet: Fleet, follower: RegistryFollower) -> None:
        """List members of ``fleet``; ``follower`` tells whether the store answers."""
        self._fleet = fleet
        self._follower = follower

    def list_names(self, key: str) -> tuple[str, ...]:
        """Return the VMs that vote on changes of a key.

        Those that are named to this VM and that it has not met count: otherwise a
        VM that finds nobody would be most of the VMs, alone.

        Members that were lost lately count, and while the store does not answer
        this VM so do those lost since it last did. A VM that is cut off never
        counts the others as gone, however long the cut lasts.
        """
        serving = [member.name for member in self._fleet.list_serving()]
        lost = self._fleet.lost_members.list_names(
            LOST_SECONDS + self._follower.store_lost_seconds
        )
        unmet = self._fleet.unmet.list_names()
        return first_members((*serving, *lost, *unmet), key, MAX_VOTERS)
