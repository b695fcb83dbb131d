"""The token buckets of the workspaces at this VM."""

import math
from collections.abc import Iterable
from typing import Final

from bronzepost._internal.core.gateway.entities import Workspace
from bronzepost._internal.core.gateway.quota_shares import HeldShares
from bronzepost._internal.core.gateway.quotas import (
    Bucket,
    BucketDecision,
    Quota,
    add_tokens,
    change_quota,
    find_pace,
    settle,
    take_token,
)
from bronzepost._internal.gateway.quotas.quota_owners import find_partition
from bronzepost._internal.gateway.quotas.share_holder import ShareHolder
from bronzepost._internal.gateway.quotas.share_lender import ShareLender
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock

# The loans that count now last for longer than this at nearly all times, so a
# token that is promised for then is covered by them.
MAX_WAIT_SECONDS: Final = 1.0
# The bucket of a workspace that was removed is kept for so long, since one that
# returns in its window would have its burst a second time.
REMOVED_SECONDS: Final = 60.0


class QuotaBuckets:
    """Give out the tokens of the shares that this VM holds."""

    def __init__(
        self, *, holder: ShareHolder, lender: ShareLender, directory: Directory
    ) -> None:
        """Use the shares of ``holder``, and quotas of ``directory``."""
        self._holder = holder
        self._lender = lender
        self._directory = directory
        self._buckets_by_workspace: dict[str, Bucket] = {}
        self._quotas_by_workspace: dict[str, Quota] = {}
        self._version = -1

    def find_quota(self, name: str) -> Quota | None:
        """Return the quota of a workspace in the configuration in force."""
        return self._list_quotas().get(name)

    def list_partitions(self) -> frozenset[int]:
        """Return the partitions of the workspaces that have a quota."""
        return frozenset(map(find_partition, self._list_quotas()))

    def find_held(self, partition: int) -> HeldShares:
        """Return the shares of a partition that this VM holds now."""
        now = read_clock()
        borrower = self._lender.find_borrower(partition, at=now)
        return self._holder.find_held(
            partition, is_own_free=not borrower, at=now
        )

    def advance(self, partitions: Iterable[int]) -> None:
        """Record the shares of some partitions that this VM holds now."""
        for partition in partitions:
            self.find_held(partition)

    def take(
        self,
        name: str,
        quota: Quota,
        *,
        is_first_turn: bool,
        max_wait_seconds: float,
    ) -> BucketDecision | None:
        """Take a token of a workspace.

        None if the shares that this VM holds are not worth one token a window.
        """
        held = self.find_held(find_partition(name))
        if not find_pace(quota, held.capacity).fill:
            return None
        decision = take_token(
            self._settle(name, quota, held),
            held.capacity,
            is_first_turn=is_first_turn,
            max_wait_seconds=min(max_wait_seconds, MAX_WAIT_SECONDS),
        )
        self._buckets_by_workspace[name] = decision.bucket
        return decision

    def add(self, name: str, tokens: float) -> None:
        """Give tokens of a workspace back, or take them if negative."""
        held = self.find_held(find_partition(name))
        bucket = self._buckets_by_workspace.get(name)
        quota = self.find_quota(name) or (bucket and bucket.quota)
        if held.capacity and quota:
            self._buckets_by_workspace[name] = add_tokens(
                self._settle(name, quota, held), held.capacity, tokens
            )

    def _settle(self, name: str, quota: Quota, held: HeldShares) -> Bucket:
        bucket = self._buckets_by_workspace.get(name)
        if bucket is None:
            bucket = Bucket(quota=quota, at=-math.inf)
        bucket = settle(bucket, held.steps, at=read_clock())
        return change_quota(bucket, quota, held.capacity)

    def _list_quotas(self) -> dict[str, Quota]:
        if self._version != self._directory.version:
            self._version = self._directory.version
            configuration = self._directory.configuration
            workspaces = configuration and configuration.workspaces
            self._quotas_by_workspace = {
                workspace.name: read_quota(workspace)
                for workspace in workspaces or ()
                if workspace.rate_per_second > 0
            }
            self._drop_removed()
        return self._quotas_by_workspace

    def _drop_removed(self) -> None:
        oldest = read_clock() - REMOVED_SECONDS
        self._buckets_by_workspace = {
            name: bucket
            for name, bucket in self._buckets_by_workspace.items()
            if name in self._quotas_by_workspace or bucket.at > oldest
        }


def read_quota(workspace: Workspace) -> Quota:
    """Return the quota of a workspace that has one."""
    return Quota(rate=workspace.rate_per_second, burst=workspace.burst)
