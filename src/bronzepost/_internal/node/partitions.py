"""Claim the partitions that this node should own, and hand others over."""

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
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.refusals import refuse_no_owner
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

CLAIM_SECONDS: Final = 2.0
CATCH_UP_SECONDS: Final = 0.5
HOLD_SECONDS: Final = 5.0
HOLD_POLL_SECONDS: Final = 0.02
# A node that has just joined may leave again soon; handing partitions over to
# it costs each program an append.
STABLE_SECONDS: Final = 5.0
# Nodes that did not see each other may all have claimed a partition. An owner
# that has nothing to append learns of it only by reading the log again, and so
# does the first choice learn that the owner has released the partition.
REFRESH_SECONDS: Final = 2.0
UNSETTLED_REFRESH_SECONDS: Final = 0.5


class Partitions:
    """The partitions as this node sees them."""

    def __init__(
        self,
        *,
        node: str,
        keeper: JournalKeeper,
        list_serving: Callable[[], frozenset[str]],
        list_boots: Callable[[], Mapping[str, str]],
        may_claim: Callable[[], bool],
        list_running: Callable[[], Collection[str]],
    ) -> None:
        """Start owning nothing."""
        self._node = node
        self._keeper = keeper
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
        """Return the node that callers of a program should connect to."""
        partition = partition_of(program)
        journal = self._keeper.get_or_create_journal(partition)
        if journal.is_owner:
            return self._node
        return find_preferred_owner(journal.stream, self._list_serving())

    def find_route(self, program: str) -> tuple[Journal, Route]:
        """Return a program's journal and where its calls are served.

        A partition that this node has to claim is claimed first.

        Raises:
            RefusedError: if it cannot be claimed now; nothing was run.
        """
        partition = partition_of(program)
        journal = self._keeper.get_or_create_journal(partition)
        if self._is_awaited(journal):
            # The owner may have released the partition a moment ago.
            self._keeper.catch_up(journal, CATCH_UP_SECONDS)
        route = self._route(journal)
        if not isinstance(route, ClaimHere):
            return journal, route
        if not self._may_claim():
            raise refuse_no_owner(partition, 'this node has just started')
        route = self._claim(partition, journal)
        if isinstance(route, ClaimHere):
            raise refuse_no_owner(partition, 'the claim is not on the log')
        return journal, route

    def find_begin_route(self, program: str) -> tuple[Journal, Route]:
        """Return a program's journal and where its next call is served.

        A draining owner holds the call back until it has released the
        partition. Otherwise a partition with enough programs would never be
        without a call under way.

        Raises:
            RefusedError: if nobody can serve the call now; nothing was run.
        """
        journal, route = self.find_route(program)
        is_held = self.is_draining and isinstance(route, ServeHere)
        if not is_held or not self._list_serving():
            return journal, route
        end = read_clock() + HOLD_SECONDS
        while journal.is_owner and read_clock() < end:
            if _has_root(self._list_running(), program):
                return journal, route
            gevent.sleep(HOLD_POLL_SECONDS)
        if journal.is_owner:
            reason = 'it is handed over after its calls in progress'
            raise refuse_no_owner(partition_of(program), reason)
        return self.find_route(program)

    def tick(self) -> None:
        """Claim and release what is due."""
        if not self._may_claim():
            return
        serving = self._list_serving()
        if serving != self._serving:
            self._serving = serving
            self._serving_since = read_clock()
        is_stable = read_clock() - self._serving_since >= STABLE_SECONDS
        self._refresh(is_stable=is_stable)
        may_release = is_stable or self.is_draining
        for partition in range(PARTITION_COUNT):
            self._tend(partition, may_release=may_release)

    def release_all(self) -> bool:
        """Hand over what has no call under way; return if nothing is left."""
        for journal in self._keeper.list_owned_journals():
            self._release(journal)
        return not self._keeper.list_owned_journals()

    def _tend(self, partition: int, *, may_release: bool) -> None:
        journal = self._keeper.get_or_create_journal(partition)
        view = self._view(journal)
        if should_claim(view, self._serving):
            self._start_claim(partition, journal)
        elif may_release and should_release(view, self._serving):
            self._release(journal)
        elif partition not in self._claiming:
            # Only the first choice may have to claim a partition of others.
            if (
                find_preferred_owner(journal.stream, self._serving)
                != self._node
            ):
                self._keeper.drop_unused_journal(partition)

    def _refresh(self, *, is_stable: bool) -> None:
        """Read the partitions of which this node may have a wrong view."""
        seconds = REFRESH_SECONDS if is_stable else UNSETTLED_REFRESH_SECONDS
        if read_clock() - self._refreshed_at < seconds:
            return
        self._refreshed_at = read_clock()
        for journal in self._keeper.journals_by_partition.values():
            if journal.is_owner or self._is_awaited(journal):
                self._keeper.refresh(journal)

    def _is_awaited(self, journal: Journal) -> bool:
        """Return whether this node should own what another one owns."""
        if journal.is_owner or not journal.state.owner:
            return False
        first = find_preferred_owner(journal.stream, self._list_serving())
        return first == self._node

    def _is_owner_live(self, journal: Journal) -> bool:
        """Return whether the process that claimed the partition runs.

        A new process of the same name does not own what the last one claimed.
        """
        boot = journal.state.claim_id.partition('-')[0]
        return self._list_boots().get(journal.state.owner) == boot

    def _route(self, journal: Journal) -> Route:
        return route_call(self._view(journal), self._list_serving())

    def _view(self, journal: Journal) -> PartitionView:
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
        """Read the partition, then claim it if nobody serves it."""
        self._claiming[partition] += 1
        with ExitStack() as stack:
            stack.callback(self._end_claim, partition)
            if not self._keeper.catch_up(journal, CLAIM_SECONDS):
                return ClaimHere()
            route = self._route(journal)
            if isinstance(route, ClaimHere):
                self._keeper.claim(journal, CLAIM_SECONDS)
                route = self._route(journal)
            return route

    def _end_claim(self, partition: int) -> None:
        self._claiming[partition] -= 1
        if not self._claiming[partition]:
            self._claiming.pop(partition)

    def _release(self, journal: Journal) -> None:
        """Give the partition up unless a call of it is under way."""
        is_running = any(
            self._keeper.get_or_create_journal(partition_of(program)) is journal
            for program in self._list_running()
        )
        if is_running or not journal.is_settled:
            return
        submit_release(journal)
        emit(LogEvent.PARTITION_HANDED_OVER, stream=journal.stream)
        self._keeper.send_pending(journal)


def _has_root(running: Collection[str], program: str) -> bool:
    """Return whether a call of the program's tree is under way.

    A tool call may wait for the calls of a sub-agent.
    """
    root = program.partition('.')[0]
    return any(name.partition('.')[0] == root for name in running)
