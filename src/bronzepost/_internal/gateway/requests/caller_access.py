"""Which requests of callers the configuration allows, and for which workspace."""

import dataclasses
from http import HTTPStatus
from typing import Protocol

from bronzepost._internal.core.gateway.entities import (
    CallRequest,
    Route,
    Workspace,
)
from bronzepost._internal.core.gateway.workspaces import (
    AccessDecision,
    AccessProblem,
    decide_access,
    scope_call,
)
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.callers.header_names import (
    HeaderNames,
    find_headers,
)
from bronzepost._internal.gateway.callers.held_memory import (
    count_refused,
    refuse_memory,
)
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.callers.refusals import (
    refuse_access,
    refuse_starting,
    refuse_uncertain,
)
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit


class ConfigurationSource(Protocol):
    """Knows whether other VMs may have a newer configuration."""

    @property
    def may_lag(self) -> bool:
        """Return whether a newer configuration than this VM's may be in force."""

    def catch_up(self) -> None:
        """Fetch the newest configuration from a peer if there is one.

        Returns after a fraction of a second at most.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Access:
    """A request that the configuration allows.

    The ids of ``call`` are those of one workspace. ``uses_workspaces`` tells that
    the configuration has workspaces, also if the request has none.
    """

    call: CallRequest
    route: Route
    workspace: Workspace | None
    uses_workspaces: bool


class CallerAccess:
    """Decide on requests by the configuration in force.

    Each request is checked by itself, also on connections that stay open, so a
    key that was taken away admits no more of them.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        source: ConfigurationSource,
        names: HeaderNames,
    ) -> None:
        """Decide by ``directory``; ``source`` may have a newer configuration."""
        self._directory = directory
        self._source = source
        self._names = names

    def admit(self, request: HttpRequest, call: CallRequest) -> Access:
        """Return the route and the workspace of a request.

        Raises:
            RefusedError: if the configuration does not allow it, or if this VM
                holds too much for others.
        """
        if self._directory.configuration is None:
            raise refuse_starting()
        if self._directory.memory.is_full:
            count_refused('request')
            raise refuse_memory()
        decision = self._decide(request)
        if decision.problem is not None and self._source.may_lag:
            self._source.catch_up()
            decision = self._decide(request)
        if decision.route is None or decision.problem is not None:
            raise self._refuse(call, decision)
        return Access(
            call=scope_call(call, decision.workspace),
            route=decision.route,
            workspace=decision.workspace,
            uses_workspaces=self._directory.workspaces.is_in_force,
        )

    def preview(
        self, request: HttpRequest, call: CallRequest, workspace_name: str
    ) -> Access:
        """Return the route of a request that a workspace might send.

        Keys are left out and nothing is recorded.

        Raises:
            RefusedError: if the configuration has no such route or workspace.
        """
        if self._directory.configuration is None:
            raise refuse_starting()
        route = self._directory.routes.find_route(
            host=request.host, target=request.target.decode('latin-1')
        )
        if route is None:
            raise refuse_access(AccessProblem.NO_ROUTE)
        workspace = None
        if workspace_name:
            workspace = self._find_workspace(workspace_name)
        return Access(
            call=scope_call(call, workspace),
            route=route,
            workspace=workspace,
            uses_workspaces=self._directory.workspaces.is_in_force,
        )

    def _find_workspace(self, name: str) -> Workspace:
        configuration = self._directory.configuration
        workspaces = (configuration and configuration.workspaces) or ()
        for workspace in workspaces:
            if workspace.name == name:
                return workspace
        raise RefusedError(
            f'the configuration has no workspace {name}',
            code='no_workspace',
            status=HTTPStatus.NOT_FOUND,
            step='find workspace',
        )

    def _decide(self, request: HttpRequest) -> AccessDecision:
        return decide_access(
            self._directory.routes,
            self._directory.workspaces,
            host=request.host,
            target=request.target.decode('latin-1'),
            keys=find_headers(request.headers, self._names.key),
        )

    def _refuse(
        self, call: CallRequest, decision: AccessDecision
    ) -> RefusedError:
        """Record a refusal and return it.

        The log has neither the key nor its digest: who reads it could use or
        recognise the key.
        """
        problem = decision.problem or AccessProblem.NO_ROUTE
        route = decision.route.name if decision.route else None
        if self._source.may_lag and not problem.is_malformed:
            emit(
                LogEvent.REFUSAL_UNCERTAIN,
                request=call.request_id,
                route=route,
                reason=problem.value,
                version=self._directory.version,
            )
            return refuse_uncertain()
        if problem.is_for_key:
            METRICS.keys_refused.labels(reason=problem.value).inc()
            emit(
                LogEvent.KEY_REFUSED,
                request=call.request_id,
                route=route,
                reason=problem.value,
                version=self._directory.version,
            )
        return refuse_access(problem)
