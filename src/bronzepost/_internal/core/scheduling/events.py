"""Events that change the scheduler's tables.

Every event carries ``at`` in seconds of the node's monotonic clock.
"""

import dataclasses
import enum

from .tables import BackendServer, CallRequest


class CacheEventKind(enum.StrEnum):
    """What an engine says about a session's prefix."""

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
    """A backend server is leaving; it gets no new calls from now on."""

    at: float
    backend_server_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServerGone:
    """A backend server has failed or has left; its cache is lost."""

    at: float
    backend_server_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """A load report; ``measured_at`` is when its figures were true.

    A node that does not know the lag gives the time at which it asked.
    """

    at: float
    measured_at: float
    backend_server_id: str
    running: int
    waiting: int
    slots: int
    cache_tokens: int = 0
    cache_capacity: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallSent:
    """A call of our own has been sent to a backend server."""

    at: float
    call_id: str
    backend_server_id: str
    call: CallRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFinished:
    """A call of our own has ended, with an answer or without.

    ``cached_tokens`` is the usage figure of the engine, None if unknown. A
    failed call adds nothing to what its program has received.
    """

    at: float
    call_id: str
    output_tokens: int = 0
    cached_tokens: int | None = None
    is_failed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEventReceived:
    """A cache event of an engine, late and possibly after a gap."""

    at: float
    backend_server_id: str
    number: int
    kind: CacheEventKind
    session: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PauseEnded:
    """A program came back after it had called a tool."""

    at: float
    tool: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramRefused:
    """A new program was refused by ``admit``."""

    at: float
    program_id: str
    service: str
    retry_after_seconds: float
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramEnded:
    """A program, or a sub-agent alone, has ended."""

    at: float
    program_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SessionReleased:
    """An engine has released or exported a session's prefix."""

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
