"""What the gateway knows of routes, services, backend servers and requests."""

import dataclasses
import enum
from collections.abc import Mapping


class RouteKind(enum.StrEnum):
    """What may be repeated for a request of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests of one host below one path prefix, and how to handle them.

    Times are in seconds. ``attempts`` bounds the backend servers on which one
    request may run. ``services`` pairs names of services with weights.
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

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineShape:
    """What the model engines of a service have in common.

    ``memory_tokens`` is what one engine holds of prompts and answers, 0 if
    that is not known.
    """

    tokens_per_event: int = 1
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service; ``engine`` is absent for a plain one."""

    name: str
    engine: EngineShape | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may be silent."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayConfiguration:
    """One version of what operators have published, in full."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server as it describes itself.

    ``born`` is the Unix time in milliseconds of its start: a server that
    starts again may keep its identifier, but knows nothing of before.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    born: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
    """What a request says about itself, beside its bytes.

    Times are in seconds from the arrival. ``budget_tokens`` is what all turns
    of the program may generate together, ``output_tokens`` the most that this
    turn generates. An empty text means that the caller sent none.
    """

    request_id: str
    deadline_seconds: float | None = None
    program_id: str = ''
    budget_tokens: int | None = None
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    previous_turn: str = ''
    resume_after: str = ''

    @property
    def is_turn(self) -> bool:
        """Return whether the request is a turn of a program."""
        return bool(self.program_id) and self.budget_tokens is not None

    @property
    def is_first_turn(self) -> bool:
        """Return whether no turn of the program can be before this one.

        The prompt of a later turn repeats the parts of the turns before it,
        behind the part that programs share.
        """
        return not self.previous_turn and len(self.prompt_parts) <= 2

    @property
    def lines(self) -> tuple[str, ...]:
        """Return what one cache should serve, the most specific first.

        These are the prompt parts after the first, which many programs
        share; a sub-agent's prompt begins with the parts of its parent.
        """
        own = self.prompt_parts[1:] or self.prompt_parts
        return tuple(part.part_id for part in reversed(own))

    @property
    def shared_part(self) -> PromptPart | None:
        """Return the part of the prompt that many programs share."""
        return self.prompt_parts[0] if self.prompt_parts else None

    @property
    def own_tokens(self) -> int:
        """Return the prompt tokens that other programs do not share."""
        return sum(part.tokens for part in self.prompt_parts[1:])
