"""Routes, services, backend servers and requests, as the gateway sees them."""

import dataclasses
import enum
from collections.abc import Mapping

from bronzepost._internal.core.gateway.scopes import scope_id


class RouteKind(enum.StrEnum):
    """How requests of a route are answered, and whether they may run twice."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How to handle the requests of one host below one path prefix.

    ``services`` pairs names of services with weights. ``target_seconds`` is
    the latency that operators aim for. ``attempts`` limits the number of
    backend servers on which one request may run. ``keeps_history`` means that
    the gateway stores turns, for ``retention_seconds``, and sends them to the
    engine with later turns. ``is_resumable`` means that a broken stream can
    continue at another server. ``is_public`` routes need no key of a workspace.
    On ``is_sticky`` routes a server that has handled the subject of a request
    lately is faster. ``priority`` is the rank among routes, 0 the first.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    timeout_seconds: float
    target_seconds: float = 1.0
    attempts: int = 1
    keeps_history: bool = False
    retention_seconds: float = 60.0
    is_resumable: bool = False
    is_public: bool = False
    is_sticky: bool = False
    priority: int = 0

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineShape:
    """Properties that the model engines of a service share.

    ``tokens_per_event`` is the number of tokens in one event of an answer
    stream. ``memory_tokens`` is the KV cache capacity of one engine in
    tokens, 0 if it is not known.
    """

    tokens_per_event: int = 1
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service; ``engine`` is None unless model engines serve it."""

    name: str
    engine: EngineShape | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Size limits and read timeouts for requests of callers.

    ``header_seconds`` applies within a request, ``idle_seconds`` between two
    requests on one connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A customer of the deployment: its keys and its quota over all VMs.

    ``key_digests`` has the digest of each key (``workspaces.digest_key``), since
    a configuration is copied to other VMs. The quota is ``rate_per_second``
    requests, 0 for no limit, and ``burst`` more after a pause. ``priority`` goes
    before that of routes, unless it is None.
    """

    name: str
    key_digests: tuple[str, ...]
    rate_per_second: float = 0
    burst: float = 0
    priority: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayConfiguration:
    """One complete version of the configuration that operators published.

    ``workspaces`` is None on deployments without workspaces, where requests need
    no key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server as its registry entry describes it.

    ``born`` is the Unix time of its start in milliseconds. A server that
    restarts may keep its identifier, but has lost its state. ``version`` is that
    of its software; what two versions write into one stream does not fit
    together.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    born: int = 0
    version: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt, which prompts of other requests may contain too."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
    """What the headers of a request state.

    ``deadline_seconds`` counts from the arrival. ``budget_tokens`` limits the
    output of all turns of the program together, ``max_output_tokens`` that of
    this turn. ``previous_turn`` is the request id of the turn that this one
    continues, ``resume_after`` the id of the last stream event that the caller
    has received. ``resumed_request`` is the id of the request that brought the
    first event of that stream. ``affinity_key`` names the subject of the request,
    and ``finish_seconds`` is the time left until the program should have ended.
    ``workspace`` is the name of the caller's workspace; it is not a header, but
    follows from the key. Empty strings stand for headers that were not sent.
    """

    request_id: str
    deadline_seconds: float | None = None
    program_id: str = ''
    budget_tokens: int | None = None
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    previous_turn: str = ''
    resume_after: str = ''
    resumed_request: str = ''
    affinity_key: str = ''
    finish_seconds: float | None = None
    workspace: str = ''

    @property
    def turn_id(self) -> str:
        """Return the id of this turn or stream, which is of one workspace."""
        return scope_id(self.workspace, self.request_id)

    @property
    def is_turn(self) -> bool:
        """Return whether the request is a turn of a program."""
        return bool(self.program_id) and self.budget_tokens is not None

    @property
    def is_first_turn(self) -> bool:
        """Return whether this must be the first turn of its program.

        The prompt of a later turn has more than two parts: it repeats the
        parts of earlier turns after the part that programs share.
        """
        return not self.previous_turn and len(self.prompt_parts) <= 2

    @property
    def branch_ids(self) -> tuple[str, ...]:
        """Return the ids of the branches of turns that this turn continues.

        The turns of a branch are best served by one engine, which has cached
        their prompts. The ids are those of the prompt parts after the first,
        which many programs share. The most specific one comes first; a
        sub-agent's last ones are those of its parent. They are of one workspace.
        """
        unshared = self.prompt_parts[1:] or self.prompt_parts
        return tuple(
            scope_id(self.workspace, part.part_id)
            for part in reversed(unshared)
        )

    @property
    def shared_part(self) -> PromptPart | None:
        """Return the first prompt part, which many programs share."""
        return self.prompt_parts[0] if self.prompt_parts else None

    @property
    def unshared_tokens(self) -> int:
        """Return the number of prompt tokens after the shared part."""
        return sum(part.tokens for part in self.prompt_parts[1:])
