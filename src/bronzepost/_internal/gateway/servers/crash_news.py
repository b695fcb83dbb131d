"""What all VMs know of crashed backend servers and of the requests on them.

A request that crashes a server comes again at any VM, so each VM tells the others
which requests broke off, which ran well and which servers are alive. All of them
reach the same verdict, without a VM whose loss would forget it.
"""

import random
from typing import Final

import gevent

from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.message_parts import (
    BrokenRequest,
    Fingerprints,
)
from bronzepost._internal.gateway.peers.messages import CrashNews
from bronzepost._internal.gateway.servers.crash_records import CrashRecords
from bronzepost._internal.node.clock import read_clock

# The requests of a server that crashes break off within this time, so they are sent
# to the peers together.
NEWS_DELAY_SECONDS: Final = 0.005
# News may be lost, and a VM that starts has missed them. What is known is repeated
# to one VM at a time, at most about 4 KB.
REPEAT_SECONDS: Final = 1.0
MAX_REPEATED: Final = 40
# Of the VMs that know that a request in the news ran well lately, about so many
# tell its sender.
MAX_REPLIES: Final = 8


class CrashExchange:
    """Exchange what is known of crashes, the ``records``, with the other VMs."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Exchange news with the members of ``fleet``."""
        self.records = CrashRecords()
        self._fleet = fleet
        self._news: CrashNews | None = None
        fleet.subscribe(CrashNews, self._receive)

    def start(self) -> None:
        """Start to repeat what is known, and to forget what is old."""
        start_loop(self.repeat, REPEAT_SECONDS)

    def record_break(self, broken: BrokenRequest) -> None:
        """Record a request that broke off, and tell the others."""
        now = read_clock()
        news = CrashNews(broken=(self.records.drop_recent(broken, now=now),))
        if self.records.add_break(broken, now=now):
            self._add_news(news)

    def record_run(self, fingerprints: Fingerprints) -> None:
        """Record a request that ran well; tell the others if it was a suspect."""
        if self.records.add_run(fingerprints, at=read_clock()):
            self._add_news(CrashNews(run=((fingerprints, 0),)))

    def record_answer(self, server: str, *, sent_at: float) -> None:
        """Record that a server answered a request that was sent at a time."""
        if self.records.add_answer(server, sent_at=sent_at):
            age_seconds = read_clock() - sent_at
            self._add_news(CrashNews(alive=((server, age_seconds),)))

    def repeat(self) -> None:
        """Tell one peer what is known, and forget what is old."""
        self.records.drop_old(now=read_clock())
        peers = self._fleet.list_live_peers()
        if peers and self.records.has_crashes:
            self._fleet.send(random.choice(peers), self._describe())  # noqa: S311

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

    def _describe(self) -> CrashNews:
        """Return the breaks that are known, of the most suspicious requests."""
        now = read_clock()
        known = [
            *self.records.list_breaks(0, now=now),
            *self.records.list_breaks(1, now=now),
        ]
        known.sort(key=lambda entry: entry[0], reverse=True)
        return CrashNews(
            broken=tuple(broken for _, broken in known[:MAX_REPEATED])
        )

    def _receive(self, sender: str, news: CrashNews) -> None:
        now = read_clock()
        for fingerprints, age_seconds in news.run:
            self.records.add_run(fingerprints, at=now - age_seconds)
        for server, age_seconds in news.alive:
            self.records.add_answer(server, sent_at=now - age_seconds)
        for broken in news.broken:
            self.records.add_break(broken, now=now)
        self._tell_of_runs(sender, news)

    def _tell_of_runs(self, sender: str, news: CrashNews) -> None:
        """Tell the sender which of the requests in its news ran well lately."""
        now = read_clock()
        run = [
            (fingerprints, now - run_at)
            for broken in news.broken
            for fingerprints, run_at in self.records.find_runs(broken, now=now)
        ]
        peers = len(self._fleet.list_live_peers())
        if run and random.random() * peers < MAX_REPLIES:  # noqa: S311
            self._fleet.send(sender, CrashNews(run=tuple(run)))
