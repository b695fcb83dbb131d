"""Explain where a request would go now, without sending it."""

from collections.abc import Mapping
from typing import Any, Final

from bronzepost._internal.core.gateway.cost_parts import find_cost, list_parts
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.warm_servers import Placed
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.server_calls import (
    find_target_wait,
)
from bronzepost._internal.gateway.servers.server_placement import PlacementPlan
from bronzepost._internal.gateway.servers.server_plans import ServerPlans
from bronzepost._internal.gateway.servers.suspect_requests import (
    SuspectRequests,
)

# Digits after the point of costs and times.
DIGITS: Final = 4


class PlacementExplainer:
    """Plan requests as ``ServerCalls`` does, and say what the plan rests on.

    Nothing is sent, no turn at a limited server is taken, and no use is counted.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        plans: ServerPlans,
        suspects: SuspectRequests,
    ) -> None:
        """Explain the choices that follow from ``plans``."""
        self._directory = directory
        self._plans = plans
        self._suspects = suspects

    def explain(self, pending: PendingCall) -> dict[str, Any]:
        """Return the decision on a request, and a row for each server."""
        blocked_ids = self._plans.list_blocked(pending)
        plan = self._plan(pending, blocked_ids)
        chosen = plan.choose()
        decision = 'send'
        if chosen is None or chosen.server_id in blocked_ids:
            plan = self._plan(pending, None)
            chosen = plan.choose()
            decision = self._decide_limited(pending, chosen)
        if self._suspects.is_suspect(pending):
            chosen = self._suspects.find_isolated(pending.service)
            decision = 'suspect: run alone, or refused'
        if self._suspects.is_deadly(pending):
            chosen = None
            decision = 'refuse: it crashes servers'
        return {
            'route': pending.route.name,
            'service': pending.service,
            'decision': decision,
            'server': chosen.server_id if chosen else None,
            'equal_servers': list_equal(plan, chosen),
            'server_limit': self._find_rate(chosen),
            **self._describe_subject(pending),
            'servers': [
                self._describe(server, plan, pending, blocked_ids)
                for server in self._list_servers(pending.service)
            ],
        }

    def _plan(
        self, pending: PendingCall, blocked_ids: frozenset[str] | None
    ) -> PlacementPlan:
        return self._plans.plan(
            pending, frozenset(), blocked_ids=blocked_ids, is_recorded=False
        )

    def _decide_limited(
        self, pending: PendingCall, chosen: BackendServer | None
    ) -> str:
        if chosen is None:
            if self._plans.list_unreachable(pending):
                return 'refuse: no server can be reached'
            return 'refuse: no server'
        wait_seconds = self._plans.find_wait(chosen)
        if wait_seconds > find_target_wait(pending):
            return 'refuse: limits of the servers'
        return 'send, or wait for a turn at the limited server'

    def _list_servers(self, service: str) -> list[BackendServer]:
        return [
            server
            for _, server in sorted(self._directory.servers_by_id.items())
            if server.service == service
        ]

    def _find_rate(self, server: BackendServer | None) -> float | None:
        if server is None:
            return None
        return self._directory.limits.find_known_rate(server.server_id)

    def _describe_subject(self, pending: PendingCall) -> Mapping[str, Any]:
        warmth = pending.warmth
        if warmth is None or not warmth.subject:
            return {}
        learner = self._directory.warm_requests.find_learner(pending.route.name)
        return {
            'placed': warmth.placed,
            'stickiness': learner.phase.value,
            'gain': round(learner.estimate.gain, DIGITS),
        }

    def _describe(
        self,
        server: BackendServer,
        plan: PlacementPlan,
        pending: PendingCall,
        blocked_ids: frozenset[str],
    ) -> dict[str, Any]:
        row: dict[str, Any] = {
            'server': server.server_id,
            'zone': server.availability_zone,
            'state': self._find_state(server, plan, pending, blocked_ids),
            'cost': None,
        }
        choice = pending.warmth.choice if pending.warmth else None
        row['is_warm'] = choice is not None and server in choice.servers
        if server in plan.candidates:
            context = plan.context
            row['cost'] = round(find_cost(server, context), DIGITS)
            row['in_flight'] = context.in_flight.get(server.server_id, 0)
            for name, part in list_parts(server, context).items():
                row[name] = round(part, DIGITS)
        return row

    def _find_state(
        self,
        server: BackendServer,
        plan: PlacementPlan,
        pending: PendingCall,
        blocked_ids: frozenset[str],
    ) -> str:
        """Return what keeps a server out, or whether it is compared."""
        server_id = server.server_id
        service = pending.service
        ids_by_state = {
            'unreachable': self._plans.list_unreachable(pending),
            'excluded': plan.excluded_ids,
            'limited': blocked_ids,
            'suspect': self._suspects.list_avoided(service),
            'failing': self._directory.ratings.list_avoided(),
        }
        if self._directory.find_serving(service, server_id) is None:
            return 'leaving'
        for state, server_ids in ids_by_state.items():
            if server_id in server_ids:
                return state
        if server in plan.candidates:
            return 'compared'
        is_placed = pending.warmth and pending.warmth.placed == Placed.WARM
        return 'not warm' if is_placed else 'not drawn'


def list_equal(plan: PlacementPlan, chosen: BackendServer | None) -> list[str]:
    """Return the servers among which chance decides: their costs are equal."""
    if chosen is None:
        return []
    best = _rate(chosen, plan)
    return [
        server.server_id
        for server in plan.candidates
        if server != chosen and _rate(server, plan) == best
    ]


def _rate(server: BackendServer, plan: PlacementPlan) -> tuple[bool, float]:
    is_avoided = server.server_id in plan.context.avoided_ids
    return is_avoided, find_cost(server, plan.context)
