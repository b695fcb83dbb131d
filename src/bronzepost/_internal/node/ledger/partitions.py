"""Claim the partitions that this node should own, and release the others."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from contextlib import ExitStack
from typing import Final

import gevent

from bronzepost._internal.core.ledger.handover import submit_release
from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ownership import (
    ClaimHere,
    PartitionView,
    Route,
    ServeHere,
    find_preferred_owner,
    route_call,
    should_claim,
    should_release,
)
from bronzepost._internal.core.rendezvous import PARTITION_COUNT, partition_of
from bronzepost._internal.node.callers.refusals import refuse_no_owner
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

CLAIM_TIMEOUT_SECONDS: Final = 2.0
CATCH_UP_TIMEOUT_SECONDS: Final = 0.5
# A draining owner delays new calls for at most this time.
HOLD_TIMEOUT_SECONDS: Final = 5.0
HOLD_POLL_INTERVAL_SECONDS: Final = 0.02
# A node that has just joined may leave again soon, and each handover costs
# every program of the partition an append.
MEMBERSHIP_STABLE_SECONDS: Final = 5.0
# Nodes that did not know of each other may all have claimed a partition. An
# owner that has nothing to append finds that out only by reading the log, and
# so does a preferred owner that waits for the release of a partition.
REFRESH_INTERVAL_SECONDS: Final = 2.0
UNSTABLE_REFRESH_INTERVAL_SECONDS: Final = 0.5


class Partitions:
    """Claims, releases and finds the owners of partitions."""

    def __init__(
        self,
        *,
        node: str,
        journal_keeper: JournalKeeper,
        list_serving: Callable[[], frozenset[str]],
        list_boots: Callable[[], Mapping[str, str]],
        may_claim: Callable[[], bool],
        list_running: Callable[[], Collection[str]],
    ) -> None:
        """Start without owned partitions.

        ``list_serving`` returns the names of the members that may own
        partitions, ``list_boots`` the boot identifiers of live members by name,
        ``may_claim`` whether this node knows enough members to claim, and
        ``list_running`` the programs with a call in progress on this node.
        """
        self._node = node
        self._journal_keeper = journal_keeper
        self._list_serving = list_serving
        self._may_claim = may_claim
        self._list_boots = list_boots
        self._list_running = list_running
        self._serving: frozenset[str] = frozenset()
        self._serving_since = read_clock()
        self._refreshed_at: float = 0
        self._claiming: Counter[int] = Counter()
        self.is_draining = False

    def find_owner(self, program: str) -> str:
        """Return the name of the node that callers should connect to."""
        partition = partition_of(program)
        journal = self._journal_keeper.get_or_create_journal(partition)
        if journal.is_owner:
            return self._node
        return find_preferred_owner(journal.stream, self._list_serving())

    def find_route(self, program: str) -> tuple[Journal, Route]:
        """Return a program's journal and where its calls are served.

        If this node has to claim the partition, it does so first.

        Raises:
            RefusedError: if the claim fails; nothing was run.
        """
        partition = partition_of(program)
        journal = self._journal_keeper.get_or_create_journal(partition)
        if self._awaits_release(journal):
            # The owner may have released the partition a moment ago.
            self._journal_keeper.catch_up(journal, CATCH_UP_TIMEOUT_SECONDS)
        route = self._choose_route(journal)
        if not isinstance(route, ClaimHere):
            return journal, route
        if not self._may_claim():
            raise refuse_no_owner(partition, 'this node has just started')
        route = self._claim(partition, journal)
        if isinstance(route, ClaimHere):
            raise refuse_no_owner(partition, 'the claim is not on the log')
        return journal, route

    def find_route_for_new_call(self, program: str) -> tuple[Journal, Route]:
        """Return a program's journal and where its next call is served.

        A draining owner delays the call until it has released the partition,
        unless a call of the same program tree is in progress. Otherwise a
        partition with many programs would always have a call in progress and
        never be released.

        Raises:
            RefusedError: if no node can serve the call now; nothing was run.
        """
        journal, route = self.find_route(program)
        is_held = self.is_draining and isinstance(route, ServeHere)
        if not is_held or not self._list_serving():
            return journal, route
        end = read_clock() + HOLD_TIMEOUT_SECONDS
        while journal.is_owner and read_clock() < end:
            if _is_tree_running(self._list_running(), program):
                return journal, route
            gevent.sleep(HOLD_POLL_INTERVAL_SECONDS)
        if journal.is_owner:
            reason = 'it is handed over after its calls in progress'
            raise refuse_no_owner(partition_of(program), reason)
        return self.find_route(program)

    def tick(self) -> None:
        """Refresh, claim and release partitions where due."""
        if not self._may_claim():
            return
        serving = self._list_serving()
        if serving != self._serving:
            self._serving = serving
            self._serving_since = read_clock()
        is_stable = (
            read_clock() - self._serving_since >= MEMBERSHIP_STABLE_SECONDS
        )
        self._refresh(is_stable=is_stable)
        may_release = is_stable or self.is_draining
        for partition in range(PARTITION_COUNT):
            self._claim_or_release(partition, may_release=may_release)

    def release_idle(self) -> bool:
        """Release the partitions without a call in progress.

        Returns whether this node owns no partition any more.
        """
        for journal in self._journal_keeper.list_owned_journals():
            self._release(journal)
        return not self._journal_keeper.list_owned_journals()

    def _claim_or_release(self, partition: int, *, may_release: bool) -> None:
        journal = self._journal_keeper.get_or_create_journal(partition)
        view = self._build_view(journal)
        if should_claim(view, self._serving):
            self._start_claim(partition, journal)
        elif may_release and should_release(view, self._serving):
            self._release(journal)
        elif partition not in self._claiming:
            # Only the preferred owner may have to claim the partition later.
            if (
                find_preferred_owner(journal.stream, self._serving)
                != self._node
            ):
                self._journal_keeper.drop_unused_journal(partition)

    def _refresh(self, *, is_stable: bool) -> None:
        """Read the partitions whose owner may have changed unnoticed."""
        interval_seconds = (
            REFRESH_INTERVAL_SECONDS
            if is_stable
            else UNSTABLE_REFRESH_INTERVAL_SECONDS
        )
        if read_clock() - self._refreshed_at < interval_seconds:
            return
        self._refreshed_at = read_clock()
        for journal in self._journal_keeper.journals_by_partition.values():
            if journal.is_owner or self._awaits_release(journal):
                self._journal_keeper.refresh(journal)

    def _awaits_release(self, journal: Journal) -> bool:
        """Return whether this node is to take over from another owner."""
        if journal.is_owner or not journal.state.owner:
            return False
        first = find_preferred_owner(journal.stream, self._list_serving())
        return first == self._node

    def _is_owner_live(self, journal: Journal) -> bool:
        """Return whether the process that claimed the partition is live.

        After a restart of the owner, its new process does not own what the
        previous one claimed.
        """
        boot = journal.state.claim_id.partition('-')[0]
        return self._list_boots().get(journal.state.owner) == boot

    def _choose_route(self, journal: Journal) -> Route:
        return route_call(self._build_view(journal), self._list_serving())

    def _build_view(self, journal: Journal) -> PartitionView:
        return PartitionView(
            stream=journal.stream,
            node=self._node,
            owner=journal.state.owner,
            is_owner=journal.is_owner,
            is_owner_live=self._is_owner_live(journal),
        )

    def _start_claim(self, partition: int, journal: Journal) -> None:
        if partition not in self._claiming and not self.is_draining:
            gevent.spawn(self._claim, partition, journal)

    def _claim(self, partition: int, journal: Journal) -> Route:
        """Read the partition, then claim it if it has no live owner."""
        self._claiming[partition] += 1
        with ExitStack() as stack:
            stack.callback(self._end_claim, partition)
            if not self._journal_keeper.catch_up(
                journal, CLAIM_TIMEOUT_SECONDS
            ):
                return ClaimHere()
            route = self._choose_route(journal)
            if isinstance(route, ClaimHere):
                self._journal_keeper.claim(journal, CLAIM_TIMEOUT_SECONDS)
                route = self._choose_route(journal)
            return route

    def _end_claim(self, partition: int) -> None:
        self._claiming[partition] -= 1
        if not self._claiming[partition]:
            self._claiming.pop(partition)

    def _release(self, journal: Journal) -> None:
        """Release the partition unless it has a call in progress."""
        is_running = any(
            self._journal_keeper.get_or_create_journal(partition_of(program))
            is journal
            for program in self._list_running()
        )
        if is_running or not journal.is_settled:
            return
        submit_release(journal)
        emit(LogEvent.PARTITION_HANDED_OVER, stream=journal.stream)
        self._journal_keeper.send_pending(journal)


def _is_tree_running(running: Collection[str], program: str) -> bool:
    """Return whether a call of the program's tree is in progress.

    That call may be a tool call that waits for a sub-agent's calls.
    """
    root = program.partition('.')[0]
    return any(name.partition('.')[0] == root for name in running)
