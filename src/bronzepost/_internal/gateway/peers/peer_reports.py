"""Reports of other gateway processes, and the homes that follow from them."""

from collections.abc import Sequence
from typing import Final

import gevent
import msgspec
import xxhash

from bronzepost._internal.core.gateway.configuration_lag import (
    NewerVersions,
    record_version,
)
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.member_ranking import MemberRanking
from bronzepost._internal.gateway.peers.messages import PROTOCOL, LoadReport
from bronzepost._internal.gateway.peers.received_reports import (
    MAX_REPORT_PEERS,
    ReceivedReports,
    find_load_age,
    find_report_interval,
    find_silence_cutoff,
)
from bronzepost._internal.gateway.peers.report_rounds import ReportRounds
from bronzepost._internal.gateway.peers.voters import Voters
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from bronzepost._internal.node.clock import read_clock

# Bounds the size of a report. The VMs that are asked for a tunnel to one of the other
# servers find out.
MAX_UNREACHED: Final = 32


class PeerReports:
    """Send reports to peers, and rank the peers by what they report."""

    def __init__(
        self, *, fleet: Fleet, directory: Directory, follower: RegistryFollower
    ) -> None:
        """Report on ``directory`` and subscribe to the reports of peers."""
        self._fleet = fleet
        self._directory = directory
        self._follower = follower
        self.received = ReceivedReports(own_name=fleet.own_name)
        # The peers that have a newer configuration than this VM.
        self.newer = NewerVersions()
        self.voters = Voters(fleet=fleet, follower=follower)
        self._ranking = MemberRanking()
        self._rounds = ReportRounds()
        # The VMs that serve callers, with this one, as of the last report.
        self.vm_count = 1
        fleet.subscribe(LoadReport, self._receive)

    @property
    def has_store(self) -> bool:
        """Return whether the store answers this VM."""
        return not self._follower.is_store_lost

    @property
    def store_available_seconds(self) -> float:
        """Return for how long the store has answered this VM, 0 if lost."""
        return self._follower.store_available_seconds

    def start(self) -> None:
        """Start the greenlet that sends reports."""
        start_loop(self._report, 0)

    def send(self) -> None:
        """Send a report to the peers whose turn it is."""
        self.received.recount_in_flight()
        self.vm_count = len(self._fleet.list_serving_peers()) + 1
        in_flight = self._directory.in_flight_by_id
        report = LoadReport(
            in_flight={key: count for key, count in in_flight.items() if count},
            has_store=self.has_store,
            is_ready=self._directory.configuration is not None,
            version=self._directory.version,
            uses_by_part=self._directory.prompt_parts.list_own(),
            limits_by_id=dict(self._directory.limits.list_own()),
            unreached_ids=self._directory.links.list_failing()[:MAX_UNREACHED],
            is_cut_off=self._directory.links.is_cut_off,
            tunnels=self._directory.tunnels,
            samples_by_route=self._directory.warm_requests.list_own(),
            protocol=PROTOCOL,
            speeds_by_id=self._directory.engine_ratings.list_reported(),
        )
        # Leaving VMs get reports too: they still choose homes for the turns
        # that they serve.
        names = self._fleet.list_live_peers()
        chosen = self._rounds.choose(names, report, at=read_clock())
        if len(names) > MAX_REPORT_PEERS:
            # They are added after the choice: a report that differs from the
            # last one only in them need not be sent.
            report = msgspec.structs.replace(
                report, relayed_loads=self.received.list_relayed()
            )
        for name in chosen:
            self._fleet.send(name, report)

    def rank_homes(self, key: str) -> tuple[str, ...]:
        """Return the members in the order in which they are asked for a key.

        Silent members come last. Other VMs receive much the same reports and
        so get nearly the same order.
        """
        ranked = self._ranking.rank(self._fleet.list_serving(), key)
        silent = self.received.list_silent(ranked)
        if not silent:
            return ranked
        return tuple(sorted(ranked, key=silent.__contains__))

    def find_home(self, key: str) -> str:
        """Return the member that is asked first for a key.

        Members that the store does not answer come last. The name is empty if
        no member takes work.
        """
        ranked = self._ranking.rank(self._fleet.list_serving(), key)
        cutoff = find_silence_cutoff(ranked)
        for name in ranked:
            if self.lacks_store(name) or self.received.is_silent(name, cutoff):
                continue
            return name
        return next(iter(self.sort_by_store_access(self.rank_homes(key))), '')

    def is_ready(self, name: str) -> bool:
        """Return whether a member has reported that it can serve callers."""
        if name == self._fleet.own_name:
            return self._directory.configuration is not None
        report = self.received.find(name)
        return report is not None and report.is_ready

    def list_snapshot_sources(self) -> list[str]:
        """Return the peers that have routes.

        Those that the store answers come first, then those with the newest
        routes, and of these the newest builds.
        """
        found = {
            name: self.received.find(name)
            for name in self._fleet.list_serving_peers()
        }
        ready = {
            name: report
            for name, report in found.items()
            if report is not None and report.is_ready
        }
        return sorted(
            ready,
            key=lambda name: (
                not ready[name].has_store,
                -ready[name].version,
                -ready[name].protocol,
            ),
        )

    def sort_by_store_access(self, names: Sequence[str]) -> list[str]:
        """Return the names with those last that the store does not answer."""
        return sorted(names, key=self.lacks_store)

    def lacks_store(self, name: str) -> bool:
        """Return whether a member has reported that it lost the store."""
        if name == self._fleet.own_name:
            return not self.has_store
        report = self.received.find(name)
        return report is not None and not report.has_store

    def mark_silent(self, name: str) -> None:
        """Treat a member as silent until its next report."""
        self.received.forget(name)

    @property
    def max_age_seconds(self) -> float:
        """Return how old the loads of peers may be."""
        return find_load_age(len(self._fleet.list_serving_peers()))

    def count_in_flight(self, server_id: str) -> int:
        """Return the requests in flight of all VMs at a backend server."""
        reported = self.received.in_flight[server_id]
        return max(reported, 0) + self._directory.in_flight_by_id[server_id]

    def _report(self) -> None:
        self.send()
        gevent.sleep(
            find_report_interval(len(self._fleet.list_serving_peers()))
        )

    def _receive(self, sender: str, report: LoadReport) -> None:
        self.received.put(sender, report)
        record_version(
            self.newer,
            sender,
            report.version,
            own_version=self._directory.version,
            at=read_clock(),
        )
        self._directory.prompt_parts.put_reported(sender, report.uses_by_part)
        self._directory.warm_requests.put_reported(
            sender, report.samples_by_route
        )
        self._directory.engine_ratings.put_reported(sender, report.speeds_by_id)
        for server_id, limit in report.limits_by_id.items():
            self._directory.limits.receive(server_id, limit, sender)


def partition_of_key(key: str, partitions: int) -> int:
    """Return the partition of the store that a key belongs to."""
    return xxhash.xxh64_intdigest(key.encode()) % partitions
