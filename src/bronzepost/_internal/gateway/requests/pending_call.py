"""A request that is being processed."""

import dataclasses

import xxhash

from bronzepost._internal.core.gateway.entities import (
    CallRequest,
    Route,
    Workspace,
)
from bronzepost._internal.core.gateway.scopes import scope_id
from bronzepost._internal.core.gateway.warm_servers import Warmth
from bronzepost._internal.exceptions import BackendServerError
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
)
from bronzepost._internal.gateway.callers.event_stream import EventSplitter
from bronzepost._internal.gateway.callers.http_messages import (
    Framing,
    HttpRequest,
)
from bronzepost._internal.gateway.programs.program_state import OpenTurn
from bronzepost._internal.node.clock import read_clock


class NotRunError(BackendServerError):
    """The backend server did not run the request; it may be sent again."""


class DeadlinePassedError(Exception):
    """The deadline of the request has passed."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingCall:
    """A request and the state of its processing.

    ``deadline_at`` is in monotonic seconds. ``sends`` counts the attempts to
    send the request, ``runs`` the servers on which it may have run. Servers in
    ``excluded_ids`` are not chosen again: they did not run the request or their
    answer broke off. ``server_id`` is the last server that was chosen, and
    ``server_version`` the version of its software. The request went to it
    through the VM ``relay``, if that is set. At
    ``opened_at`` the request could be forwarded: a turn then has its history
    and its tokens. ``framing`` is that of the last answer of a server, and
    ``server_limit`` the limit that it named, as the server wrote it. After
    ``limited_seconds`` the limits of the servers may admit the request; None if
    no limit keeps it from being sent. A stream
    goes on only at servers of ``stream_version``, the version that began it.
    The home knows what the ``turn`` has generated once it ``is_settled``.
    ``workspace`` is that of the caller's key. If the configuration
    ``uses_workspaces``, servers do not get the key, and the name of the workspace
    from the gateway only.
    The last send had its token of the quota at ``token_at``.
    ``warmth`` is None unless servers may have seen the subject of the request.
    """

    request: HttpRequest
    call: CallRequest
    route: Route
    service: str
    body: bytes
    started_at: float
    deadline_at: float
    answer: CallerAnswer
    runs: int = 0
    sends: int = 0
    opened_at: float = 0
    server_id: str = ''
    server_version: str = ''
    relay: str = ''
    framing: Framing | None = None
    server_limit: str = ''
    limited_seconds: float | None = None
    stream_version: str | None = None
    token_at: float = 0
    excluded_ids: set[str] = dataclasses.field(default_factory=set)
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    turn: OpenTurn | None = None
    is_settled: bool = False
    workspace: Workspace | None = None
    uses_workspaces: bool = False
    warmth: Warmth | None = None

    @property
    def may_run_again(self) -> bool:
        """Return whether the request may go on at another server."""
        is_whole = self.route.is_resumable or not self.answer.is_started
        is_left = self.runs < self.route.attempts
        return self.route.is_retryable and is_whole and is_left

    @property
    def fingerprints(self) -> tuple[str, str]:
        """Return what is the same in all tries of a request, at any VM.

        They are hashes of the target, with the body and without it. Programs and
        sessions are left out, since a caller may begin anew with the same request.
        A request that another workspace sends too is another one.
        """
        method = self.request.method.decode('latin-1')
        scoped_method = scope_id(self.call.workspace, method).encode('latin-1')
        target = b'%b %b ' % (scoped_method, self.request.target)
        return (
            xxhash.xxh3_64_hexdigest(target + self.request.body),
            xxhash.xxh3_64_hexdigest(target),
        )

    @property
    def opened_seconds(self) -> float | None:
        """Return the time until the request could be forwarded, if it could."""
        return self._measure(self.opened_at)

    @property
    def first_event_seconds(self) -> float | None:
        """Return the time until the first event of a stream, if it has come."""
        return self._measure(self.events.first_at)

    @property
    def remaining_seconds(self) -> float:
        """Return the time until the deadline, negative after it."""
        return self.deadline_at - read_clock()

    def _measure(self, at: float) -> float | None:
        return round(at - self.started_at, 4) if at else None
