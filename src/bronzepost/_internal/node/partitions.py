"""Claim the partitions that this node should own, and hand others over."""

from collections.abc import Callable
from typing import Final

import gevent

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import (
    Journal,
    build_checkpoint,
    submit_record,
)
from bronzepost._internal.core.ownership import (
    ClaimHere,
    PartitionView,
    Route,
    Serving,
    first_choice,
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
REFRESH_SECONDS: Final = 2.0
# A node that has just joined may leave again soon; handing partitions over to
# it costs each program an append.
STABLE_SECONDS: Final = 5.0


class Partitions:
    """The partitions as this node sees them."""

    def __init__(
        self,
        *,
        node: str,
        keeper: JournalKeeper,
        list_serving: Callable[[], Serving],
        may_claim: Callable[[], bool],
        has_running_call: Callable[[Journal], bool],
    ) -> None:
        """Start owning nothing."""
        self._node = node
        self._keeper = keeper
        self._list_serving = list_serving
        self._may_claim = may_claim
        self._has_running_call = has_running_call
        self._serving: Serving = {}
        self._serving_since = read_clock()
        self._claiming: set[int] = set()
        self._refresh_at = read_clock()
        self.is_draining = False

    def find_owner(self, program: str) -> str:
        """Return the node that callers of a program should connect to."""
        partition = partition_of(program)
        journal = self._keeper.find_journal(partition)
        if journal.is_owner:
            return self._node
        return first_choice(journal.stream, self._list_serving())

    def find_route(self, program: str) -> tuple[Journal, Route]:
        """Return a program's journal and where its calls are served.

        A partition that this node has to claim is claimed first.

        Raises:
            RefusedError: if it cannot be claimed now; nothing was run.
        """
        partition = partition_of(program)
        journal = self._keeper.find_journal(partition)
        route = self._route(journal)
        if not isinstance(route, ClaimHere):
            return journal, route
        if not self._may_claim():
            raise refuse_no_owner(partition, 'this node has just started')
        route = self._claim(journal)
        if isinstance(route, ClaimHere):
            raise refuse_no_owner(partition, 'the claim is not on the log')
        return journal, route

    def tick(self) -> None:
        """Claim and release what is due."""
        if not self._may_claim():
            return
        serving = self._list_serving()
        if serving != self._serving:
            self._serving = serving
            self._serving_since = read_clock()
        is_stable = read_clock() - self._serving_since >= STABLE_SECONDS
        may_release = is_stable or self.is_draining
        self._refresh_own(serving)
        for partition in range(PARTITION_COUNT):
            journal = self._keeper.find_journal(partition)
            view = self._view(journal)
            if should_claim(view, serving):
                self._start_claim(partition, journal)
            elif may_release and should_release(view, serving):
                self._release(journal)

    def release_all(self) -> bool:
        """Hand over what has no call under way; return if nothing is left."""
        for journal in self._keeper.owned_journals():
            self._release(journal)
        return not self._keeper.owned_journals()

    def _route(self, journal: Journal) -> Route:
        return route_call(self._view(journal), self._list_serving())

    def _view(self, journal: Journal) -> PartitionView:
        return PartitionView(
            stream=journal.stream,
            node=self._node,
            owner=journal.state.owner,
            owner_boot=journal.state.claim_id.partition('-')[0],
            is_owner=journal.is_owner,
        )

    def _start_claim(self, partition: int, journal: Journal) -> None:
        if partition in self._claiming or self.is_draining:
            return
        self._claiming.add(partition)
        gevent.spawn(self._claim_in_background, partition, journal)

    def _claim_in_background(self, partition: int, journal: Journal) -> None:
        self._claim(journal)
        self._claiming.discard(partition)

    def _claim(self, journal: Journal) -> Route:
        """Read the partition, then claim it if nobody serves it."""
        if not self._keeper.catch_up(journal, CLAIM_SECONDS):
            return ClaimHere()
        route = self._route(journal)
        if isinstance(route, ClaimHere):
            self._keeper.claim(journal, CLAIM_SECONDS)
            route = self._route(journal)
        return route

    def _refresh_own(self, serving: Serving) -> None:
        # An owner that was paused or cut off learns from the log alone that
        # another node has claimed its partition, and the first choice learns
        # from it that the owner has handed the partition over.
        if read_clock() < self._refresh_at:
            return
        self._refresh_at = read_clock() + REFRESH_SECONDS
        for partition in range(PARTITION_COUNT):
            journal = self._keeper.find_journal(partition)
            is_first = first_choice(journal.stream, serving) == self._node
            if journal.is_owner or is_first:
                self._keeper.refresh(journal)

    def _release(self, journal: Journal) -> None:
        """Return unused allowances and give the partition up.

        Nothing is released while a call is under way, so that no request in
        progress is cut.
        """
        if self._has_running_call(journal) or not journal.is_settled:
            return
        for program in list(journal.view.programs_by_id.values()):
            if program.allowance and not program.ended:
                submit_record(
                    journal,
                    records.AllowanceReleased(
                        record_id=journal.next_record_id(),
                        epoch=journal.view.epoch,
                        node=journal.node,
                        program=program.program,
                        granted=program.spent,
                    ),
                )
        submit_record(journal, build_checkpoint(journal))
        released = records.PartitionReleased(
            record_id=journal.next_record_id(),
            epoch=journal.view.epoch,
            node=journal.node,
        )
        submit_record(journal, released)
        emit(LogEvent.PARTITION_HANDED_OVER, stream=journal.stream)
        self._keeper.send(journal)
