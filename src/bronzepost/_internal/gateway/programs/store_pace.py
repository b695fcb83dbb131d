"""The access of a VM to the store, shared by all that it writes and reads there."""

from collections.abc import Sequence
from typing import Final

from bronzepost._internal.core.gateway.store_pace import (
    PaceLimits,
    Priority,
    share_limits,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedPartition,
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.gateway.programs.store_lane import StoreLane

# Pauses between attempts at a store that refuses or does not answer. The first
# bridges a restart of a partition. The longest bounds how late a return is found
# that the reads of routes and servers, every 0.3 s, do not show.
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 0.5
# Below the rates of all deployments, for settings without one.
DEFAULT_CALLS_PER_SECOND: Final = 500.0


class StorePace:
    """One lane for writes and one for reads, whose rates the store limits apart."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        writes_per_second: float = DEFAULT_CALLS_PER_SECOND,
        reads_per_second: float = DEFAULT_CALLS_PER_SECOND,
    ) -> None:
        """Share rates of the store with the serving members of ``fleet``.

        ``reports`` tell whether the store answers the reads of routes and servers.
        """
        self._fleet = fleet
        self._reports = reports
        self._had_store = True
        self.writes = StoreLane(
            kind='write', find_limits=lambda: self._share(writes_per_second)
        )
        self.reads = StoreLane(
            kind='read', find_limits=lambda: self._share(reads_per_second)
        )

    def open_store(self, store: KeyedStore, priority: Priority) -> KeyedStore:
        """Return ``store`` with the calls of one kind paced."""
        return PacedStore(store=store, pace=self, priority=priority)

    def note_return(self) -> None:
        """Try again soon if the store has begun to answer other reads."""
        has_store = self._reports.has_store
        if has_store and not self._had_store:
            self.writes.expect_return()
            self.reads.expect_return()
        self._had_store = has_store

    def _share(self, store_rate: float) -> PaceLimits:
        return share_limits(
            store_rate=store_rate,
            vms=len(self._fleet.list_serving_peers()) + 1,
            first_pause=FIRST_PAUSE_SECONDS,
            longest_pause=LONGEST_PAUSE_SECONDS,
        )


class PacedStore:
    """A store whose calls are refused here while the store refuses others.

    Implements ``KeyedStore``. All methods raise ``LogHeldError`` then, and nothing
    is sent.
    """

    def __init__(
        self, *, store: KeyedStore, pace: StorePace, priority: Priority
    ) -> None:
        """Call ``store`` with the urgency of ``priority``."""
        self.partitions = store.partitions
        self._store = store
        self._pace = pace
        self._priority = priority

    def read_partition(self, topic: str, partition: int) -> KeyedPartition:
        """Return the newest record of each key of a partition."""
        self._pace.note_return()
        lane = self._pace.reads
        lane.check((topic, partition), self._priority)
        return lane.begin((topic, partition)).run(
            lambda: self._store.read_partition(topic, partition)
        )

    def find_record(
        self, topic: str, partition: int, key: str
    ) -> KeyedRecord | None:
        """Return the newest record of a key, or None if there is none."""
        self._pace.note_return()
        lane = self._pace.reads
        lane.check((topic, partition), self._priority)
        return lane.begin((topic, partition)).run(
            lambda: self._store.find_record(topic, partition, key)
        )

    def append_keyed(
        self,
        topic: str,
        partition: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
    ) -> int:
        """Append records atomically and return the offset after the last."""
        self._pace.note_return()
        lane = self._pace.writes
        lane.check((topic, partition), self._priority)
        return lane.begin((topic, partition)).run(
            lambda: self._store.append_keyed(
                topic, partition, records, expected_end=expected_end
            )
        )
