"""A request under way."""

import dataclasses

from bronzepost._internal.core.gateway.entities import CallRequest, Route
from bronzepost._internal.exceptions import BackendServerError
from bronzepost._internal.gateway.caller_connections import CallerAnswer
from bronzepost._internal.gateway.event_stream import EventSplitter
from bronzepost._internal.gateway.http_messages import HttpRequest
from bronzepost._internal.gateway.program_state import OpenTurn
from bronzepost._internal.node.clock import read_clock


class NotRunError(BackendServerError):
    """A backend server did not run the request, so it may be sent again."""


class DeadlinePassedError(Exception):
    """The request has used its time."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingCall:
    """A request with what became of it so far.

    ``runs`` counts the servers on which it may have run. Servers in
    ``passed_over`` did not take it or broke off.
    """

    request: HttpRequest
    call: CallRequest
    route: Route
    service: str
    body: bytes
    started_at: float
    ends_at: float
    answer: CallerAnswer
    runs: int = 0
    sends: int = 0
    server_id: str = ''
    passed_over: set[str] = dataclasses.field(default_factory=set)
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    turn: OpenTurn | None = None

    @property
    def remaining_seconds(self) -> float:
        """Return the time that is left."""
        return self.ends_at - read_clock()
