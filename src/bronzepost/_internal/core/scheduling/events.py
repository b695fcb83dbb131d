"""Events that change the scheduler's tables.

Every event carries ``at`` in seconds of the node's monotonic clock.
"""

import dataclasses
import enum

from .tables import BackendServer, CallRequest


class CacheEventKind(enum.StrEnum):
    """What an engine reports about a session's cached prefix."""

    FILLED = 'filled'
    USED = 'used'
    EVICTED = 'evicted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServerListed:
    """The VM list names a backend server."""

    at: float
    backend_server: BackendServer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServerLeaving:
    """A backend server is leaving; it gets no new calls."""

    at: float
    backend_server_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServerGone:
    """A backend server has failed or has left; its cache is lost."""

    at: float
    backend_server_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """A load report of a backend server, measured at ``measured_at``.

    If the time of the measurement is not known, it is the time at which the
    node requested the report.
    """

    at: float
    measured_at: float
    backend_server_id: str
    running: int
    waiting: int
    slots: int
    cache_tokens: int = 0
    cache_capacity: int = 0
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallSent:
    """This node has sent a call to a backend server."""

    at: float
    call_id: str
    backend_server_id: str
    call: CallRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFinished:
    """A call of this node has ended, with or without an answer.

    ``cached_tokens`` is the number of cached prompt tokens in the engine's
    usage report, None if unknown. A failed call adds nothing to the attained
    service of its program.
    """

    at: float
    call_id: str
    output_tokens: int = 0
    cached_tokens: int | None = None
    is_failed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEventReceived:
    """A cache event of an engine; it may arrive late or after lost ones."""

    at: float
    backend_server_id: str
    number: int
    kind: CacheEventKind
    session: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PauseEnded:
    """A program has sent its next call after a pause for a tool."""

    at: float
    tool: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramRefused:
    """``admit`` has refused a new program."""

    at: float
    program_id: str
    service: str
    retry_after_seconds: float
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramEnded:
    """A program with all its sub-agents, or one sub-agent alone, has ended."""

    at: float
    program_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SessionReleased:
    """An engine has released or exported a session's cached prefix."""

    at: float
    backend_server_id: str
    session: str


SchedulingEvent = (
    BackendServerListed
    | BackendServerLeaving
    | BackendServerGone
    | LoadReported
    | CallSent
    | CallFinished
    | CacheEventReceived
    | PauseEnded
    | ProgramRefused
    | ProgramEnded
    | SessionReleased
)
