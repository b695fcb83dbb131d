"""Decide which workspace a request belongs to, and whether it may be served."""

import dataclasses
import enum
import hashlib
from collections.abc import Mapping, Sequence
from typing import Final, Self

from bronzepost._internal.core.gateway.entities import (
    CallRequest,
    Route,
    Workspace,
)
from bronzepost._internal.core.gateway.route_table import RouteTable
from bronzepost._internal.core.gateway.scopes import scope_id

# Keys are some tens of characters long; a longer one is not worth a digest.
MAX_KEY_BYTES: Final = 1024
# Whitespace around a header's value is no part of it (RFC 9110, section 5.5).
_WHITESPACE: Final = b' \t'


class AccessProblem(enum.StrEnum):
    """Why the configuration does not allow a request."""

    NO_ROUTE = 'no_route'
    KEY_MISSING = 'key_missing'
    KEY_EMPTY = 'key_empty'
    KEY_UNKNOWN = 'key_unknown'
    KEY_REPEATED = 'key_repeated'
    KEY_TOO_LONG = 'key_too_long'
    KEY_NOT_ASCII = 'key_not_ascii'

    @property
    def is_malformed(self) -> bool:
        """Return whether no configuration with workspaces allows such a key."""
        return self in _MALFORMED

    @property
    def is_for_key(self) -> bool:
        """Return whether the route is known and the key is the problem."""
        return self is not AccessProblem.NO_ROUTE


_MALFORMED: Final = frozenset((
    AccessProblem.KEY_REPEATED,
    AccessProblem.KEY_TOO_LONG,
    AccessProblem.KEY_NOT_ASCII,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceTable:
    """The workspaces of a configuration by the digests of their keys.

    ``is_in_force`` is false on deployments without workspaces. Workspaces in
    ``unusable`` have names that cannot be sent in a header; their keys are
    unknown.
    """

    is_in_force: bool
    workspaces_by_digest: Mapping[str, Workspace]
    unusable: tuple[Workspace, ...] = ()

    @classmethod
    def build(cls, *, workspaces: Sequence[Workspace] | None) -> Self:
        """Return the table of a configuration's workspaces, None for none.

        A key of two workspaces is that of the first.
        """
        usable: list[Workspace] = []
        unusable: list[Workspace] = []
        for workspace in workspaces or ():
            is_usable = is_sendable(workspace.name)
            (usable if is_usable else unusable).append(workspace)
        by_digest: dict[str, Workspace] = {}
        for workspace in usable:
            for digest in workspace.key_digests:
                by_digest.setdefault(digest, workspace)
        return cls(
            is_in_force=workspaces is not None,
            workspaces_by_digest=by_digest,
            unusable=tuple(unusable),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AccessDecision:
    """The route and the workspace of a request, or why it has none.

    ``workspace`` is None on deployments without workspaces and for requests of
    public routes that bring no known key.
    """

    route: Route | None
    workspace: Workspace | None = None
    problem: AccessProblem | None = None


def digest_key(key: bytes) -> str:
    """Return the digest under which a key is kept, compared and copied.

    Keys are drawn at random by operators, so a plain hash does not reveal them.
    """
    return hashlib.sha256(key).hexdigest()


def is_sendable(name: str) -> bool:
    """Return whether a workspace's name can be the value of a header."""
    return bool(name) and name.isprintable() and name == name.strip()


def decide_access(
    routes: RouteTable,
    table: WorkspaceTable,
    *,
    host: str,
    target: str,
    keys: Sequence[bytes],
) -> AccessDecision:
    """Return what a configuration says of a request.

    ``keys`` are the values of all headers for keys that the request has. A
    public route needs none of them, but a known key names the workspace there
    too.
    """
    route = routes.find_route(host=host, target=target)
    if route is None:
        return AccessDecision(route=None, problem=AccessProblem.NO_ROUTE)
    if not table.is_in_force:
        return AccessDecision(route=route)
    found = find_workspace(table, keys)
    if isinstance(found, Workspace):
        return AccessDecision(route=route, workspace=found)
    if route.is_public:
        return AccessDecision(route=route)
    return AccessDecision(route=route, problem=found)


def find_workspace(
    table: WorkspaceTable, keys: Sequence[bytes]
) -> Workspace | AccessProblem:
    """Return the workspace that holds the only one of ``keys``."""
    if not keys:
        return AccessProblem.KEY_MISSING
    if len(keys) > 1:
        return AccessProblem.KEY_REPEATED
    key = keys[0].strip(_WHITESPACE)
    problem = _check_form(key)
    if problem is not None:
        return problem
    workspace = table.workspaces_by_digest.get(digest_key(key))
    return workspace or AccessProblem.KEY_UNKNOWN


def scope_call(call: CallRequest, workspace: Workspace | None) -> CallRequest:
    """Return a call whose ids differ from those of other workspaces.

    Its request id stays, since servers and callers know it, and so do prompt
    parts, since engines share the first one; ``turn_id`` and ``branch_ids``
    have the scope. Without a workspace nothing changes.
    """
    if workspace is None:
        return call
    name = workspace.name
    return dataclasses.replace(
        call,
        workspace=name,
        program_id=scope_id(name, call.program_id),
        previous_turn=scope_id(name, call.previous_turn),
        resumed_request=scope_id(name, call.resumed_request),
        affinity_key=scope_id(name, call.affinity_key),
    )


def find_rank(route: Route, workspace: Workspace | None) -> int:
    """Return the rank of a request among all, 0 the first.

    A workspace's priority goes before that of the route.
    """
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _check_form(key: bytes) -> AccessProblem | None:
    if not key:
        return AccessProblem.KEY_EMPTY
    if len(key) > MAX_KEY_BYTES:
        return AccessProblem.KEY_TOO_LONG
    return None if key.isascii() else AccessProblem.KEY_NOT_ASCII
