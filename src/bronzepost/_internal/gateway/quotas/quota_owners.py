"""Which VM decides on the quotas of a partition, and who may use a share."""

from collections.abc import Iterator
from typing import Final

from bronzepost._internal.core.gateway.quota_shares import find_loan_seconds
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.fleet_size import count_vms
from bronzepost._internal.gateway.peers.member_ranking import MemberRanking
from bronzepost._internal.gateway.peers.messages import PROTOCOL
from bronzepost._internal.gateway.peers.peer_reports import (
    PeerReports,
    partition_of_key,
)
from bronzepost._internal.gateway.peers.received_reports import (
    find_silence_cutoff,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Spreads the owners over the VMs; a lender has a loan at each of the owners.
PARTITIONS: Final = 16
# A VM that starts has a seed list of up to 3 s before, and its own entry reaches
# all others by gossip in two more. Where loans are longer, it waits for the end of
# those of its former process. VMs that have not heard of it use shares of
# which it has a part.
MIN_START_SECONDS: Final = 5.0
# No VM was heard of for the first time for this long: seeds are old by 3 s, and
# those that join are named to this VM within a second.
STABLE_SECONDS: Final = 2.0
# VMs that are restarted one after the other make the members grow all the time. By
# three times the start, a VM has heard of all that started before it.
MAX_START_FACTOR: Final = 3
# After a longer pause a VM may not have heard of VMs that started in it. They
# wait for twice as long before they use a share.
MAX_PAUSE_SECONDS: Final = 2.5


class QuotaOwners:
    """Find the owners of partitions, and count the VMs that may send."""

    def __init__(
        self, *, fleet: Fleet, reports: PeerReports, at: float
    ) -> None:
        """Rank the members of a fleet; this VM started at a time."""
        self._fleet = fleet
        self._reports = reports
        self._ranking = MemberRanking()
        self._avoided_until_by_name: dict[str, float] = {}
        self._vms = 0
        self._observed_at = at
        self._settled_at = at + MIN_START_SECONDS
        self._latest_at = self._settled_at
        self.is_leaving = False

    def find(self, partition: int, *, at: float) -> str:
        """Return the owner of a partition; empty if no VM can be one."""
        return next(self.rank(partition, at=at), '')

    def rank(self, partition: int, *, at: float) -> Iterator[str]:
        """Generate the VMs that may own a partition, the owner first.

        VMs that are silent, do not answer, or run a build without quotas may not.
        """
        members = self._fleet.list_serving()
        ranked = self._ranking.rank(members, f'quotas-{partition}')
        cutoff = find_silence_cutoff(ranked)
        return (name for name in ranked if self._may_own(name, cutoff, at))

    def avoid(self, name: str, *, seconds: float, at: float) -> None:
        """Take a VM for no owner for some seconds."""
        self._avoided_until_by_name[name] = at + seconds

    def is_avoided(self, name: str, *, at: float) -> bool:
        """Return whether a VM is to be taken for no owner."""
        return self._avoided_until_by_name.get(name, at) > at

    def count_vms(self) -> int:
        """Return the number of VMs that may send."""
        return count_vms(self._fleet)

    def list_leaving(self) -> frozenset[str]:
        """Return the members that are stopping and have given up their share."""
        return frozenset(self._fleet.list_live_peers()).difference(
            self._fleet.list_serving_peers()
        )

    def observe(self, *, at: float) -> None:
        """Record that this VM runs, and how many VMs it knows."""
        vms = self.count_vms()
        start_seconds = max(MIN_START_SECONDS, find_loan_seconds(vms) + 1)
        if self._is_paused(at):
            emit(LogEvent.QUOTA_SHARE_PAUSED, seconds=at - self._observed_at)
            self._settled_at = max(self._settled_at, at + STABLE_SECONDS)
        elif self._vms == 0:
            self._settled_at = at + start_seconds
            self._latest_at = at + start_seconds * MAX_START_FACTOR
        elif vms > self._vms and at < self._settled_at:
            stable_at = max(self._settled_at, at + STABLE_SECONDS)
            self._settled_at = min(stable_at, self._latest_at)
        self._vms = vms
        self._observed_at = at

    def has_share(self, *, at: float) -> bool:
        """Return whether this VM has a share of the quotas, to use or to lend.

        A newcomer has none until all others are likely to know of it, and a VM
        that stops has given its share up.
        """
        is_known = at >= self._settled_at and not self._is_paused(at)
        return is_known and not self.is_leaving

    def _is_paused(self, at: float) -> bool:
        return at - self._observed_at > MAX_PAUSE_SECONDS

    def _may_own(self, name: str, cutoff: float, at: float) -> bool:
        if name == self._fleet.own_name:
            return not self.is_leaving
        if self.is_avoided(name, at=at):
            return False
        report = self._reports.received.find(name)
        return (
            report is not None
            and report.protocol >= PROTOCOL
            and not self._reports.received.is_silent(name, cutoff)
        )


def find_partition(workspace: str) -> int:
    """Return the partition of a workspace."""
    return partition_of_key(workspace, PARTITIONS)
