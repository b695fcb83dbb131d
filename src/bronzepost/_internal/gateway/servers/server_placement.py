"""Choose the backend server of a request from what this VM knows of servers."""

import random
from collections.abc import Mapping, Sequence, Set
from typing import Final

from bronzepost._internal.core.gateway.candidates import (
    MAX_COMPARED_SERVERS,
    choose_candidates,
    choose_subset,
)
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    RouteKind,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
    choose_server,
)
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.parts_in_use import Holders

# For how long a connection that is used again may have been idle. A server may
# close an idle connection without notice; it is then not known whether a
# request sent on it has run. Requests that may run only once use connections
# that are idle for less than the shortest Keep-Alive timeouts, which are a few
# seconds.
MAX_IDLE_SECONDS_NON_IDEMPOTENT: Final = 1.0
MAX_IDLE_SECONDS_IDEMPOTENT: Final = 60.0
_SALT_BITS: Final = 32


class ServerPlacement:
    """Choose among the servers of a service by load, caches and distance."""

    def __init__(
        self,
        *,
        directory: Directory,
        reports: PeerReports,
        links: ServerLinks,
        vm_name: str,
        availability_zone: str,
    ) -> None:
        """Choose among the servers of ``directory``."""
        self._directory = directory
        self._reports = reports
        self._links = links
        self._vm_name = vm_name
        self._availability_zone = availability_zone
        # Cached until a server of the service changes.
        self._subset_by_service: dict[str, Holders] = {}

    def choose(
        self,
        pending: PendingCall,
        *,
        avoided_ids: Set[str],
        excluded_ids: Set[str],
    ) -> BackendServer | None:
        """Return the server for a request, or None if there is none.

        One of ``avoided_ids`` is chosen only if there is no other, and one of
        ``excluded_ids`` never.
        """
        servers = self._directory.list_servers(pending.service)
        holders = self._choose_holders(pending, servers)
        avoided_ids = self._directory.ratings.list_avoided() | avoided_ids
        candidates = self._list_candidates(
            servers,
            holders,
            pending,
            avoided_ids=avoided_ids,
            excluded_ids=self.list_excluded(pending) | excluded_ids,
        )
        shared_part = pending.call.shared_part
        context = PlacementContext(
            availability_zone=self._availability_zone,
            in_flight={
                server.server_id: self._reports.count_in_flight(
                    server.server_id
                )
                for server in candidates
            },
            previous_server_id=find_previous_server(pending),
            unshared_tokens=pending.call.unshared_tokens,
            shared_tokens=shared_part.tokens if shared_part else 0,
            answer_tokens=self._directory.ratings.find_answer_tokens(
                pending.service
            ),
            holder_ids=holders.server_ids,
            latency_ratio_by_id=self._find_ratios(
                pending.service, servers, candidates
            ),
            slots_by_id=self._find_limited_slots(pending.service, candidates),
            avoided_ids=avoided_ids,
            connected_ids=self._list_connected(pending, candidates),
            relayed_ids=self._links.list_relayed(candidates),
            report_age_seconds=self._reports.max_age_seconds,
            salt=random.getrandbits(_SALT_BITS),
        )
        return choose_server(candidates, context)

    def list_excluded(self, pending: PendingCall) -> Set[str]:
        """Return the ids of servers at which a request must not run.

        It failed there, or they would go on with its stream at another version.
        """
        if pending.stream_version is None:
            return pending.excluded_ids
        others = self._directory.list_other_versions(
            pending.service, pending.stream_version
        )
        return pending.excluded_ids | others

    def _list_candidates(
        self,
        servers: Sequence[BackendServer],
        holders: Holders,
        pending: PendingCall,
        *,
        avoided_ids: Set[str],
        excluded_ids: Set[str],
    ) -> Sequence[BackendServer]:
        candidates = choose_candidates(
            servers,
            holders=holders.engines,
            avoided_ids=avoided_ids,
            excluded_ids=excluded_ids,
            key=pending.call.program_id or pending.call.request_id,
        )
        previous = self._directory.find_serving(
            pending.service, find_previous_server(pending)
        )
        if previous is None or previous.server_id in excluded_ids:
            return candidates
        return (previous, *candidates)

    def _find_ratios(
        self,
        service: str,
        servers: Sequence[BackendServer],
        candidates: Sequence[BackendServer],
    ) -> Mapping[str, float]:
        """Return how much slower than others the candidates are, by id.

        Each VM sends often enough to all engines of a small service.
        """
        if len(servers) <= MAX_COMPARED_SERVERS:
            return self._directory.ratings.compute_latency_ratios(candidates)
        return self._directory.engine_ratings.find_ratios(service, servers)

    def _find_limited_slots(
        self, service: str, candidates: Sequence[BackendServer]
    ) -> dict[str, float]:
        """Return the requests that limited servers run at a time, by id.

        By Little's law they are the rate times the time of a request.
        """
        seconds = self._directory.ratings.find_exchange_seconds(service)
        slots_by_id = {}
        for server in candidates:
            rate = self._directory.limits.find_rate(server.server_id)
            if rate * seconds < server.slots:
                slots_by_id[server.server_id] = rate * seconds
        return slots_by_id

    def _choose_holders(
        self, pending: PendingCall, servers: Sequence[BackendServer]
    ) -> Holders:
        shared_part = pending.call.shared_part
        if shared_part is None:
            return self._choose_subset(pending.service, servers)
        return self._directory.prompt_parts.choose_holders(
            shared_part,
            servers,
            self._directory.find_engine(pending.service).memory_tokens,
        )

    def _choose_subset(
        self, service: str, servers: Sequence[BackendServer]
    ) -> Holders:
        known = self._subset_by_service.get(service)
        if known is None or known.servers is not servers:
            subset = choose_subset(
                servers,
                vm_name=self._vm_name,
                availability_zone=self._availability_zone,
            )
            known = Holders(engines=subset, servers=servers)
            self._subset_by_service[service] = known
        return known

    def _list_connected(
        self, pending: PendingCall, candidates: Sequence[BackendServer]
    ) -> frozenset[str]:
        max_idle_seconds = find_max_idle_seconds(pending)
        return frozenset(
            server.server_id
            for server in candidates
            if self._links.has_idle(server, max_idle_seconds)
        )


def find_max_idle_seconds(pending: PendingCall) -> float:
    """Return how long a connection for a request may have been idle."""
    if pending.route.kind is RouteKind.IDEMPOTENT:
        return MAX_IDLE_SECONDS_IDEMPOTENT
    return MAX_IDLE_SECONDS_NON_IDEMPOTENT


def find_previous_server(pending: PendingCall) -> str:
    """Return the server of the previous turn of the branch, if it is known."""
    return pending.turn.reservation.server_id if pending.turn else ''
