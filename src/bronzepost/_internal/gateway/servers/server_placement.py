"""Choose the backend server of a request from what this VM knows of servers."""

import dataclasses
import functools
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
from bronzepost._internal.core.gateway.warm_servers import LoadLimits, Traffic
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPlan:
    """The servers that are compared for a request, and what is known of them."""

    candidates: Sequence[BackendServer]
    context: PlacementContext
    excluded_ids: Set[str]

    def choose(self) -> BackendServer | None:
        """Return the server for the request, or None if there is none."""
        return choose_server(self.candidates, self.context)


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

    def plan(
        self,
        pending: PendingCall,
        *,
        avoided_ids: Set[str],
        excluded_ids: Set[str],
        is_recorded: bool = True,
    ) -> PlacementPlan:
        """Return the servers that are compared for a request.

        One of ``avoided_ids`` is chosen only if there is no other, and one of
        ``excluded_ids`` never. The use of its subject and of its shared part
        counts if it ``is_recorded``.
        """
        servers = self._directory.list_servers(pending.service)
        if not is_recorded:
            pending.warmth = self._directory.warm_requests.peek(
                pending.route, pending.call, pending.service
            )
        holders = self._choose_holders(
            pending, servers, is_recorded=is_recorded
        )
        avoided = self._directory.ratings.list_avoided() | avoided_ids
        excluded_ids = self.list_excluded(pending) | excluded_ids
        candidates = self._list_warm(
            servers, pending, unwanted_ids=avoided | excluded_ids
        ) or self._list_candidates(
            servers,
            holders,
            pending,
            avoided_ids=avoided,
            excluded_ids=excluded_ids,
        )
        return PlacementPlan(
            candidates=candidates,
            context=self._build_context(
                pending, candidates, holders=holders, avoided_ids=avoided
            ),
            excluded_ids=excluded_ids,
        )

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

    def _build_context(
        self,
        pending: PendingCall,
        candidates: Sequence[BackendServer],
        *,
        holders: Holders,
        avoided_ids: frozenset[str],
    ) -> PlacementContext:
        shared_part = pending.call.shared_part
        return PlacementContext(
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
            latency_ratio_by_id=self._find_ratios(pending.service, candidates),
            slots_by_id=self._find_limited_slots(pending.service, candidates),
            avoided_ids=avoided_ids,
            connected_ids=self._list_connected(pending, candidates),
            relayed_ids=self._links.list_relayed(candidates),
            report_age_seconds=self._reports.max_age_seconds,
            salt=random.getrandbits(_SALT_BITS),
        )

    def _list_warm(
        self,
        servers: Sequence[BackendServer],
        pending: PendingCall,
        *,
        unwanted_ids: Set[str],
    ) -> Sequence[BackendServer]:
        """Return the servers to which a request with a subject goes, if any."""
        if not pending.route.is_sticky:
            return ()
        warm_requests = self._directory.warm_requests
        if pending.warmth is None:
            # A request that is sent again is not counted again.
            pending.warmth = warm_requests.begin(
                pending.route,
                pending.call,
                servers,
                self._build_traffic(pending.service),
            )
        warmth = pending.warmth
        if warmth is None:
            return ()
        warmth.choice = warm_requests.choose(
            warmth, servers, self._build_limits(pending, servers, unwanted_ids)
        )
        return warmth.choice.servers

    def _build_traffic(self, service: str) -> Traffic:
        return Traffic(
            service=service,
            vm_count=self._reports.vm_count,
            request_seconds=self._directory.ratings.find_exchange_seconds(
                service
            ),
        )

    def _build_limits(
        self,
        pending: PendingCall,
        servers: Sequence[BackendServer],
        unwanted_ids: Set[str],
    ) -> LoadLimits:
        warm_requests = self._directory.warm_requests
        return LoadLimits(
            unwanted_ids=unwanted_ids,
            count_in_flight=self._count_at,
            find_slots=functools.partial(self._find_slots, pending.service),
            utilization=warm_requests.find_utilization(
                pending.service,
                ((self._count_at(server), server.slots) for server in servers),
            ),
            gain=warm_requests.find_learner(pending.route.name).weight,
        )

    def _count_at(self, server: BackendServer) -> float:
        return self._reports.count_in_flight(server.server_id)

    def _find_slots(self, service: str, server: BackendServer) -> float:
        limited = self._find_limited_slots(service, (server,))
        return limited.get(server.server_id, server.slots)

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
        candidates: Sequence[BackendServer],
    ) -> Mapping[str, float]:
        """Return how much slower than others the candidates are, by id.

        Each VM sends often enough to all engines of a small service.
        """
        servers = self._directory.list_servers(service)
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
        self,
        pending: PendingCall,
        servers: Sequence[BackendServer],
        *,
        is_recorded: bool,
    ) -> Holders:
        shared_part = pending.call.shared_part
        if shared_part is None:
            return self._choose_subset(pending.service, servers)
        parts = self._directory.prompt_parts
        find = parts.choose_holders if is_recorded else parts.peek_holders
        return find(
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
