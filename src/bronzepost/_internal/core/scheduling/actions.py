"""Actions and decisions that the scheduler returns."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseSession:
    """Release a session's cached prefix on a backend server."""

    backend_server_id: str
    session: str


SchedulingAction = ReleaseSession


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The backend server chosen for a call and its estimated cost."""

    backend_server_id: str
    cost_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """The call may be sent now."""


class RefusalReason(enum.StrEnum):
    """Why a call is refused; also the ``code`` of the answer.

    ``NO_SLOT`` means that the engines have no memory for a new program.
    """

    NO_BACKEND_SERVER = 'no_backend_server'
    NO_SLOT = 'no_slot'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The call is refused; the caller may retry after the given time."""

    reason: RefusalReason
    retry_after_seconds: float


class Retention(enum.StrEnum):
    """What to do with the cached prefix of a paused program."""

    KEEP = 'keep'
    RELEASE = 'release'
