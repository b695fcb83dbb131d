"""What one VM knows of crashed backend servers and of the requests on them."""

from collections.abc import Iterator

import msgspec

from bronzepost._internal.core.gateway.crash_suspects import (
    Break,
    CrashTable,
    drop_old,
    list_crashes,
    record_alive,
    record_break,
    record_run,
)
from bronzepost._internal.core.gateway.recent_runs import RecentRuns
from bronzepost._internal.gateway.peers.message_parts import (
    BrokenRequest,
    Fingerprints,
)


class CrashRecords:
    """Crashes by request, and what ran well a short time ago.

    ``tables`` has one table in which requests are named by their target and body,
    and one in which they are named by their target alone. Times are in monotonic
    seconds.
    """

    def __init__(self) -> None:
        """Start without a crash."""
        self.tables = (CrashTable(), CrashTable())
        self._recent = RecentRuns()

    @property
    def has_crashes(self) -> bool:
        """Return whether a server may have crashed lately."""
        return any(table.breaks_by_server for table in self.tables)

    def add_break(self, broken: BrokenRequest, *, now: float) -> bool:
        """Record a request that broke off; return whether it is news."""
        found = Break(
            at=now - broken.age_seconds,
            weight=broken.weight,
            body=broken.fingerprints[0],
        )
        fingerprints = self.drop_recent(broken, now=now).fingerprints
        return any([
            record_break(table, broken.server, request, found)
            for table, request in zip(self.tables, fingerprints, strict=True)
            if request
        ])

    def add_run(self, fingerprints: Fingerprints, *, at: float) -> bool:
        """Record a request that ran well; return whether it was a suspect."""
        for fingerprint in filter(None, fingerprints):
            self._recent.add(fingerprint, at=at)
        return any([
            record_run(table, request, at=at)
            for table, request in zip(self.tables, fingerprints, strict=True)
        ])

    def add_answer(self, server: str, *, sent_at: float) -> bool:
        """Record an answer; return whether its server was taken for crashed."""
        return any([
            record_alive(table, server, at=sent_at) for table in self.tables
        ])

    def drop_recent(
        self, broken: BrokenRequest, *, now: float
    ) -> BrokenRequest:
        """Return a break without the fingerprints that ran well lately.

        VMs that have just started do not know of such runs.
        """
        at = now - broken.age_seconds
        exact, target = (
            request if self._recent.find(request, at=at) is None else ''
            for request in broken.fingerprints
        )
        return msgspec.structs.replace(broken, fingerprints=(exact, target))

    def find_runs(
        self, broken: BrokenRequest, *, now: float
    ) -> Iterator[tuple[Fingerprints, float]]:
        """Yield the fingerprints of a break that ran well lately, and when."""
        exact, target = broken.fingerprints
        for fingerprints in ((exact, ''), ('', target)):
            run_at = self._recent.find(
                ''.join(fingerprints), at=now - broken.age_seconds
            )
            if run_at is not None:
                yield fingerprints, run_at

    def list_breaks(
        self, level: int, *, now: float
    ) -> Iterator[tuple[int, BrokenRequest]]:
        """Yield the breaks of a table, each with the crashes of its request."""
        table = self.tables[level]
        for server, breaks in table.breaks_by_server.items():
            for request, found in breaks.items():
                broken = BrokenRequest(
                    server=server,
                    fingerprints=(found.body, request)
                    if level
                    else (request, ''),
                    weight=found.weight,
                    age_seconds=now - found.at,
                )
                yield len(list_crashes(table, request)), broken

    def drop_old(self, *, now: float) -> None:
        """Forget what is old."""
        for table in self.tables:
            drop_old(table, at=now)
