"""Keep the requests of each workspace within its quota over all VMs.

Each VM has a share of all quotas, and lends it to the owners of the partitions
(``share_lender``). A request asks the owner for a token; an owner admits as much
as the shares lent to it allow. See docs/design/quotas.md.
"""

import dataclasses
import functools
import random
from collections.abc import Iterator
from itertools import islice
from typing import Final

import gevent
import msgspec

from bronzepost._internal.core.gateway.entities import Workspace
from bronzepost._internal.core.gateway.quotas import (
    MAX_RETRY_SECONDS,
    BucketDecision,
    Quota,
)
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.peers.quota_messages import (
    QuotaDecided,
    RequestQuota,
    SpendQuota,
)
from bronzepost._internal.gateway.quotas.quota_buckets import (
    QuotaBuckets,
    read_quota,
)
from bronzepost._internal.gateway.quotas.quota_log import (
    QuotaLog,
    count_outcome,
)
from bronzepost._internal.gateway.quotas.quota_owners import (
    QuotaOwners,
    find_partition,
)
from bronzepost._internal.gateway.quotas.share_holder import ShareHolder
from bronzepost._internal.gateway.quotas.share_lender import ShareLender
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Renewals are late by this time at most, and the VMs see a new owner in it.
TICK_SECONDS: Final = 0.1
# Further VMs hold no more than this one's own share.
MAX_OWNERS_ASKED: Final = 2
# A VM that has not answered a request is not asked again for this long, so that
# other requests do not wait for it as well.
SILENT_SECONDS: Final = 1.0
# By then a lost owner's loans may have ended.
UNDECIDED_RETRY_SECONDS: Final = 0.5
# The token of a request that was not run is given back within this time only:
# later it would add to the tokens of another window.
MAX_REFUND_SECONDS: Final = 1.0
# Waits that are shorter are below the precision of the loop's timers.
_MIN_SLEEP_SECONDS: Final = 0.001

OVER_QUOTA: Final = 'over_quota'
UNDECIDED: Final = 'undecided'
ADMITTED: Final = 'admitted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaDecision:
    """Whether a request may be sent; if not, when its caller may come back.

    The ``reason`` is ``over_quota``, or ``undecided`` if no VM with a share
    answers.
    """

    is_granted: bool
    retry_after_seconds: float = 0
    reason: str = ADMITTED


_GRANTED: Final = QuotaDecision(is_granted=True)


class WorkspaceQuotas:
    """Admit the requests of workspaces, together with the other VMs."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        directory: Directory,
    ) -> None:
        """Keep to the quotas of ``directory``, and answer the peers."""
        self._fleet = fleet
        self._calls = calls
        self._directory = directory
        self._owners = QuotaOwners(
            fleet=fleet, reports=reports, at=read_clock()
        )
        self._holder = ShareHolder(fleet=fleet, owners=self._owners)
        self._lender = ShareLender(fleet=fleet, owners=self._owners)
        self._buckets = QuotaBuckets(
            holder=self._holder, lender=self._lender, directory=directory
        )
        self._log = QuotaLog()
        self._silent_until_by_name: dict[str, float] = {}
        fleet.subscribe(RequestQuota, self._answer)
        fleet.subscribe(SpendQuota, self._receive_spent)

    def start(self) -> None:
        """Start to lend the share of this VM."""
        start_loop(self.update, TICK_SECONDS)

    def leave(self) -> None:
        """Return the loans of other VMs, and give up the share of this one."""
        self._owners.is_leaving = True
        self._lender.leave()
        self._holder.leave()
        self._log.log_owned(frozenset())

    def update(self) -> None:
        """Lend, renew and recall the shares of this VM; called by a loop."""
        now = read_clock()
        self._owners.observe(at=now)
        partitions = self._buckets.list_partitions()
        if partitions or self._lender.count_lent():
            self._lender.update(partitions, at=now)
            self._holder.drop_leaving(at=now)
            self._buckets.advance(partitions)
        own_name = self._fleet.own_name
        self._log.log_owned(
            frozenset(
                partition
                for partition in partitions
                if self._owners.find(partition, at=now) == own_name
            )
        )

    def admit(
        self,
        workspace: Workspace | None,
        *,
        is_first_turn: bool = False,
        max_wait_seconds: float = 0,
    ) -> QuotaDecision:
        """Take a token for a request, and wait for its turn if there is one soon.

        Requests without a workspace, and of workspaces without a limit, need
        none.
        """
        if workspace is None or workspace.rate_per_second <= 0:
            return _GRANTED
        quota = read_quota(workspace)
        request = RequestQuota(
            call_id=0,
            workspace=workspace.name,
            rate=quota.rate,
            burst=quota.burst,
            version=self._directory.version,
            is_first_turn=is_first_turn,
            max_wait_seconds=max_wait_seconds,
        )
        decided = self._ask_owners(request)
        if not decided.is_granted:
            return self._refuse(request, decided)
        count_outcome(request, ADMITTED)
        if decided.wait_seconds > _MIN_SLEEP_SECONDS:
            gevent.sleep(decided.wait_seconds)
        return _GRANTED

    def charge(self, workspace: Workspace | None) -> None:
        """Count one more send of an admitted request; it does not wait."""
        self._spend(workspace, 1)

    def refund(
        self, workspace: Workspace | None, *, age_seconds: float = 0
    ) -> None:
        """Give the token of a send back that was surely not run.

        It was taken ``age_seconds`` ago. An old one is not given back.
        """
        if age_seconds <= MAX_REFUND_SECONDS:
            self._spend(workspace, -1)

    def list_states(self) -> dict[str, float]:
        """Return values of the metric ``bronzepost_state`` by name."""
        return {
            'quota_partitions_owned': len(self._log.owned),
            'quota_shares_lent': self._lender.count_lent(),
            'quota_capacity': sum(self._holder.list_capacities()),
        }

    def _ask_owners(self, request: RequestQuota) -> QuotaDecided:
        partition = find_partition(request.workspace)
        for name in islice(self._rank_deciders(partition), MAX_OWNERS_ASKED):
            decided = self._ask(name, request)
            if decided.is_owner:
                return decided
            decided = self._decide(request)
            if decided.is_owner:
                return decided
        return self._decide(request)

    def _ask(self, name: str, request: RequestQuota) -> QuotaDecided:
        if name == self._fleet.own_name:
            return self._decide(request)
        answer: QuotaDecided | None = self._calls.ask(
            name, functools.partial(_set_call_id, request)
        )
        if answer is not None:
            return answer
        self._silent_until_by_name[name] = read_clock() + SILENT_SECONDS
        emit(
            LogEvent.QUOTA_OWNER_SILENT,
            member=name,
            workspace=request.workspace,
        )
        return QuotaDecided(call_id=0, is_owner=False)

    def _rank_deciders(self, partition: int) -> Iterator[str]:
        """Generate the VMs to ask: the one that has this VM's share comes first."""
        now = read_clock()
        borrower = self._lender.find_borrower(partition, at=now)
        ranked = self._owners.rank(partition, at=now)
        names = dict.fromkeys((borrower, *islice(ranked, MAX_OWNERS_ASKED)))
        for name in filter(None, names):
            if self._silent_until_by_name.get(name, now) <= now:
                yield name

    def _decide(self, request: RequestQuota) -> QuotaDecided:
        """Decide by the shares that this VM holds."""
        quota = self._buckets.find_quota(request.workspace)
        if quota is None or request.version > self._directory.version:
            quota = Quota(rate=request.rate, burst=request.burst)
        decision = self._buckets.take(
            request.workspace,
            quota,
            is_first_turn=request.is_first_turn,
            max_wait_seconds=request.max_wait_seconds,
        )
        return _describe(decision, request.call_id)

    def _answer(self, sender: str, request: RequestQuota) -> None:
        self._fleet.send(sender, self._decide(request))

    def _spend(self, workspace: Workspace | None, tokens: int) -> None:
        if workspace is None or workspace.rate_per_second <= 0:
            return
        name = workspace.name
        decider = next(self._rank_deciders(find_partition(name)), '')
        if decider in {'', self._fleet.own_name}:
            self._buckets.add(name, -tokens)
        else:
            self._fleet.send(decider, SpendQuota(workspace=name, tokens=tokens))

    def _receive_spent(self, _sender: str, message: SpendQuota) -> None:
        self._buckets.add(message.workspace, -message.tokens)

    def _refuse(
        self, request: RequestQuota, decided: QuotaDecided
    ) -> QuotaDecision:
        if not decided.is_owner:
            count_outcome(request, UNDECIDED)
            return QuotaDecision(
                is_granted=False,
                retry_after_seconds=UNDECIDED_RETRY_SECONDS
                * (1 + random.random()),  # noqa: S311
                reason=UNDECIDED,
            )
        count_outcome(request, OVER_QUOTA)
        self._log.log_exceeded(request)
        return QuotaDecision(
            is_granted=False,
            retry_after_seconds=min(decided.wait_seconds, MAX_RETRY_SECONDS),
            reason=OVER_QUOTA,
        )


def _describe(decision: BucketDecision | None, call_id: int) -> QuotaDecided:
    if decision is None:
        return QuotaDecided(call_id=call_id, is_owner=False)
    return QuotaDecided(
        call_id=call_id,
        is_owner=True,
        is_granted=decision.is_granted,
        wait_seconds=decision.wait_seconds,
    )


def _set_call_id(request: RequestQuota, call_id: int) -> RequestQuota:
    return msgspec.structs.replace(request, call_id=call_id)
