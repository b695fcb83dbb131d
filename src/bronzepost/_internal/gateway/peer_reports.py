"""Which VM keeps what belongs to a program."""

from collections.abc import Mapping, Sequence

import gevent
import xxhash

from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.heard_reports import (
    HeardReports,
    find_oldest,
    find_report_seconds,
)
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.member_ranking import MemberRanking
from bronzepost._internal.gateway.messages import LoadReport
from bronzepost._internal.gateway.registry import RegistryFollower
from bronzepost._internal.gateway.report_rounds import ReportRounds
from bronzepost._internal.node.clock import read_clock


class PeerReports:
    """What the other gateway processes report, and the sending of our own."""

    def __init__(
        self, *, fleet: Fleet, directory: Directory, follower: RegistryFollower
    ) -> None:
        """Report on ``directory`` and listen to the fleet."""
        self._fleet = fleet
        self._directory = directory
        self._follower = follower
        self._heard = HeardReports(own_name=fleet.own_name)
        self._ranking = MemberRanking()
        self._rounds = ReportRounds()
        fleet.subscribe(LoadReport, self._take)

    @property
    def has_store(self) -> bool:
        """Return whether the store answers this VM."""
        return not self._follower.is_lost

    @property
    def answering_seconds(self) -> float:
        """Return for how long the store has answered this VM."""
        return self._follower.answering_seconds

    def start(self) -> None:
        """Start to send reports."""
        start_loop(self._report, 0)

    def send(self) -> None:
        """Send a report to the others now."""
        self._heard.add_up()
        in_flight = self._directory.in_flight_by_id
        report = LoadReport(
            in_flight={key: count for key, count in in_flight.items() if count},
            has_store=self.has_store,
            is_ready=self._directory.configuration is not None,
            version=self._directory.version,
            tokens_by_part=self._directory.prompt_parts.list_own(),
        )
        # A VM that leaves still asks homes for the turns that it serves.
        names = self._fleet.list_listeners()
        for name in self._rounds.choose(names, report, at=read_clock()):
            self._fleet.send(name, report)

    def rank_homes(self, key: str) -> tuple[str, ...]:
        """Return the members in the order in which they are asked for a key.

        Those that are silent come last: another VM that does the same choice
        sees much the same reports.
        """
        ranked = self._ranking.rank(self._fleet.list_serving(), key)
        silent = self._heard.list_silent(ranked)
        if not silent:
            return ranked
        return tuple(sorted(ranked, key=silent.__contains__))

    def find_home(self, key: str) -> str:
        """Return the first of the members that are asked for a key.

        Those that the store does not answer come last. It is empty if no
        member takes work.
        """
        ranked = self._ranking.rank(self._fleet.list_serving(), key)
        oldest = find_oldest(ranked)
        for name in ranked:
            if self.lacks_store(name) or self._heard.is_silent(name, oldest):
                continue
            return name
        return next(iter(self.put_store_first(self.rank_homes(key))), '')

    def is_ready(self, name: str) -> bool:
        """Return whether a member has reported that it can serve callers."""
        if name == self._fleet.own_name:
            return self._directory.configuration is not None
        known = self._heard.find(name)
        return known is not None and known.is_ready

    def list_helpers(self) -> list[str]:
        """Return the members that have routes, the best informed first."""
        found = {
            name: self._heard.find(name) for name in self._fleet.list_others()
        }
        ready = {
            name: report
            for name, report in found.items()
            if report is not None and report.is_ready
        }
        return sorted(
            ready,
            key=lambda name: (not ready[name].has_store, -ready[name].version),
        )

    def put_store_first(self, names: Sequence[str]) -> list[str]:
        """Return members with those last that the store does not answer."""
        return sorted(names, key=self.lacks_store)

    def lacks_store(self, name: str) -> bool:
        """Return whether a member has reported that the store is away."""
        if name == self._fleet.own_name:
            return not self.has_store
        known = self._heard.find(name)
        return known is not None and not known.has_store

    def note_silent(self, name: str) -> None:
        """Take a member for silent until its next report."""
        self._heard.forget(name)

    def sum_in_flight(self) -> Mapping[str, float]:
        """Return the requests in flight of all VMs by backend server."""
        return self._heard.in_flight + self._directory.in_flight_by_id

    def _report(self) -> None:
        self.send()
        gevent.sleep(find_report_seconds(len(self._fleet.list_others())))

    def _take(self, sender: str, report: LoadReport) -> None:
        self._heard.put(sender, report)
        if report.tokens_by_part:
            self._directory.prompt_parts.add_reported(report.tokens_by_part)


def partition_of_key(key: str, partitions: int) -> int:
    """Return the partition of the store that a key belongs to."""
    return xxhash.xxh64_intdigest(key.encode()) % partitions
