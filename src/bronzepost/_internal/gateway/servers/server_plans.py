"""Which servers a request may go to now, with what keeps it from the others."""

from collections.abc import Set

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.engine_memory import EngineMemory
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from bronzepost._internal.gateway.servers.server_placement import (
    PlacementPlan,
    ServerPlacement,
    find_max_idle_seconds,
    find_previous_server,
)
from bronzepost._internal.gateway.servers.suspect_requests import (
    SuspectRequests,
)


class ServerPlans:
    """Plan requests for ``ServerCalls``, and for explanations of its choices."""

    def __init__(
        self,
        *,
        directory: Directory,
        placement: ServerPlacement,
        permits: ServerPermits,
        suspects: SuspectRequests,
        links: ServerLinks,
        engines: EngineMemory,
    ) -> None:
        """Plan with what this VM knows of servers."""
        self._engines = engines
        self._directory = directory
        self._placement = placement
        self._permits = permits
        self._suspects = suspects
        self._links = links

    def list_blocked(self, pending: PendingCall) -> frozenset[str]:
        """Return the servers whose limits do not admit the request now.

        The server of the branch is not among them, since its turns wait.
        """
        return self._permits.list_blocked() - {find_previous_server(pending)}

    def list_unreachable(self, pending: PendingCall) -> frozenset[str]:
        """Return the servers to which there is no path now."""
        return self._links.list_unreachable(
            self._directory.list_servers(pending.service),
            find_max_idle_seconds(pending),
        )

    def plan(
        self,
        pending: PendingCall,
        denied_ids: Set[str],
        *,
        blocked_ids: frozenset[str] | None,
        is_recorded: bool = True,
    ) -> PlacementPlan:
        """Return the servers that are compared for a request.

        Without ``blocked_ids`` the request waits for its turn at a server with a
        limit.
        """
        avoided_ids: frozenset[str] = frozenset()
        if blocked_ids is not None:
            isolated_ids = self._suspects.list_avoided(pending.service)
            avoided_ids = blocked_ids | isolated_ids
        excluded_ids = denied_ids | self.list_unreachable(pending)
        plan = self._placement.plan(
            pending,
            avoided_ids=avoided_ids,
            excluded_ids=excluded_ids,
            is_recorded=is_recorded,
        )
        server = plan.choose()
        if server is None or not self._engines.is_full(pending, server):
            return plan
        return self._plan_with_room(pending, plan, avoided_ids, excluded_ids)

    def list_excluded(self, pending: PendingCall) -> Set[str]:
        """Return the ids of servers at which a request must not run."""
        return self._placement.list_excluded(pending)

    def find_wait(self, server: BackendServer) -> float:
        """Return the seconds until a server may be asked for again."""
        return self._permits.find_wait(server.server_id)

    def _plan_with_room(
        self,
        pending: PendingCall,
        plan: PlacementPlan,
        avoided_ids: Set[str],
        excluded_ids: Set[str],
    ) -> PlacementPlan:
        """Return a plan for an engine whose memory has room, if there is one.

        All engines are looked at only if the best one is full.
        """
        unwanted_ids = avoided_ids | self._engines.list_full(pending)
        other = self._placement.plan(
            pending,
            avoided_ids=unwanted_ids,
            excluded_ids=excluded_ids,
            is_recorded=False,
        )
        server = other.choose()
        if server is None or server.server_id in unwanted_ids:
            return plan
        return other
