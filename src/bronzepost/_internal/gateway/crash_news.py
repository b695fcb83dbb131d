"""What all VMs know of crashed backend servers and of the requests on them.

A request that crashes a server comes again at any VM, so each VM tells the others
which requests broke off, which ran well and which servers are alive. All of them
reach the same verdict, without a VM whose loss would forget it.
"""

import random
from collections.abc import Iterator
from typing import Final

import gevent
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
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.message_parts import (
    BrokenRequest,
    Fingerprints,
)
from bronzepost._internal.gateway.messages import CrashNews
from bronzepost._internal.node.clock import read_clock

# The requests of a server that crashes break off within this time, so they are sent
# to the peers together.
NEWS_DELAY_SECONDS: Final = 0.005
# News may be lost, and a VM that starts has missed them. What is known is repeated
# to one VM at a time, at most about 4 KB.
REPEAT_SECONDS: Final = 1.0
MAX_REPEATED: Final = 40


class CrashExchange:
    """Exchange what is known of crashes with the other VMs.

    ``tables`` has one table in which requests are named by their target and body,
    and one in which they are named by their target alone.
    """

    def __init__(self, *, fleet: Fleet) -> None:
        """Exchange news with the members of ``fleet``."""
        self.tables = (CrashTable(), CrashTable())
        self._fleet = fleet
        self._recent = RecentRuns()
        self._news: CrashNews | None = None
        fleet.subscribe(CrashNews, self._receive)

    @property
    def has_crashes(self) -> bool:
        """Return whether a server may have crashed lately."""
        return any(table.breaks_by_server for table in self.tables)

    def start(self) -> None:
        """Start to repeat what is known, and to forget what is old."""
        start_loop(self._repeat, REPEAT_SECONDS)

    def record_break(self, broken: BrokenRequest) -> None:
        """Record a request that broke off, and tell the others."""
        news = CrashNews(broken=(self._drop_recent(broken),))
        if self._apply_break(broken):
            self._add_news(news)

    def record_run(self, fingerprints: Fingerprints) -> None:
        """Record a request that ran well; tell the others if it was a suspect."""
        for request in fingerprints:
            self._recent.add(request, at=read_clock())
        if self._apply_run(fingerprints, at=read_clock()):
            self._add_news(CrashNews(run=((fingerprints, 0),)))

    def record_answer(self, server: str, *, sent_at: float) -> None:
        """Record that a server answered a request that was sent at a time."""
        if self._apply_alive(server, at=sent_at):
            age_seconds = read_clock() - sent_at
            self._add_news(CrashNews(alive=((server, age_seconds),)))

    def _add_news(self, news: CrashNews) -> None:
        if self._news is None:
            gevent.spawn_later(NEWS_DELAY_SECONDS, self._send_news)
            self._news = CrashNews()
        self._news = CrashNews(
            broken=self._news.broken + news.broken,
            run=self._news.run + news.run,
            alive=self._news.alive + news.alive,
        )

    def _send_news(self) -> None:
        news = self._news or CrashNews()
        self._news = None
        for name in self._fleet.list_live_peers():
            self._fleet.send(name, news)

    def _repeat(self) -> None:
        for table in self.tables:
            drop_old(table, at=read_clock())
        peers = self._fleet.list_live_peers()
        if peers and self.has_crashes:
            self._fleet.send(random.choice(peers), self._describe())  # noqa: S311

    def _describe(self) -> CrashNews:
        """Return the breaks that are known, of the most suspicious requests."""
        known = [*self._list_breaks(0), *self._list_breaks(1)]
        known.sort(key=lambda entry: entry[0], reverse=True)
        return CrashNews(
            broken=tuple(broken for _, broken in known[:MAX_REPEATED])
        )

    def _list_breaks(self, level: int) -> Iterator[tuple[int, BrokenRequest]]:
        """Yield the breaks of a table, each with the crashes of its request."""
        table = self.tables[level]
        now = read_clock()
        for server, breaks in table.breaks_by_server.items():
            for request, found in breaks.items():
                broken = BrokenRequest(
                    server=server,
                    fingerprints=('', request) if level else (request, ''),
                    weight=found.weight,
                    age_seconds=now - found.at,
                )
                yield len(list_crashes(table, request)), broken

    def _receive(self, _sender: str, news: CrashNews) -> None:
        now = read_clock()
        for fingerprints, age_seconds in news.run:
            self._apply_run(fingerprints, at=now - age_seconds)
        for server, age_seconds in news.alive:
            self._apply_alive(server, at=now - age_seconds)
        for broken in news.broken:
            self._apply_break(broken)

    def _drop_recent(self, broken: BrokenRequest) -> BrokenRequest:
        """Return a break without the fingerprints that ran well lately.

        VMs that have just started do not know of such runs.
        """
        at = read_clock() - broken.age_seconds
        exact, target = (
            '' if self._recent.has(request, at=at) else request
            for request in broken.fingerprints
        )
        return msgspec.structs.replace(broken, fingerprints=(exact, target))

    def _apply_break(self, broken: BrokenRequest) -> bool:
        found = Break(
            at=read_clock() - broken.age_seconds, weight=broken.weight
        )
        fingerprints = self._drop_recent(broken).fingerprints
        return any([
            record_break(table, broken.server, request, found)
            for table, request in zip(self.tables, fingerprints, strict=True)
            if request
        ])

    def _apply_run(self, fingerprints: Fingerprints, *, at: float) -> bool:
        return any([
            record_run(table, request, at=at)
            for table, request in zip(self.tables, fingerprints, strict=True)
        ])

    def _apply_alive(self, server: str, *, at: float) -> bool:
        return any([
            record_alive(table, server, at=at) for table in self.tables
        ])
