"""Choose a backend server for a call; decide whether a call is retried."""

import dataclasses
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.core.scheduling import events
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.policies import Policy
from bronzepost._internal.core.scheduling.routing import choose_backend_server
from bronzepost._internal.core.scheduling.tables import CallRequest
from bronzepost._internal.exceptions import (
    BronzepostError,
    ExchangeError,
    RunState,
)
from bronzepost._internal.node.callers.refusals import (
    refuse_failed_call,
    refuse_no_server,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.spans import Tracer, parse_traceparent


@dataclasses.dataclass(kw_only=True, slots=True)
class DispatchedCall:
    """A call in flight; its sender sets the token counts."""

    server_id: str
    traceparent: str
    output_tokens: int = 0
    cached_tokens: int | None = None


@contextmanager
def dispatch_call(
    directory: BackendDirectory,
    *,
    policy: Policy,
    request: CallRequest,
    call_id: str,
    tracer: Tracer,
    traceparent: str,
) -> Iterator[DispatchedCall]:
    """Choose a backend server and count the call as in flight in the block.

    The block has its own span, which the yielded ``traceparent`` passes on to
    the backend server.

    Raises:
        RefusedError: if there is no backend server for the call.
    """
    at = read_clock()
    choice = choose_backend_server(policy, directory.tables, request, at)
    if choice is None:
        raise refuse_no_server(request.service, request.model)
    span = tracer.start_span('backend call', parse_traceparent(traceparent))
    span.attributes['backend_server'] = choice.backend_server_id
    dispatched = DispatchedCall(
        server_id=choice.backend_server_id, traceparent=span.traceparent
    )
    sent_event = events.CallSent(
        at=at,
        call_id=call_id,
        backend_server_id=dispatched.server_id,
        call=request,
    )
    apply_event(directory.tables, sent_event)
    with ExitStack() as stack:
        stack.callback(span.end)
        stack.callback(_record_finished, directory, call_id, dispatched)
        yield dispatched


def _record_finished(
    directory: BackendDirectory, call_id: str, dispatched: DispatchedCall
) -> None:
    finished_event = events.CallFinished(
        at=read_clock(),
        call_id=call_id,
        output_tokens=dispatched.output_tokens,
        cached_tokens=dispatched.cached_tokens,
    )
    apply_event(directory.tables, finished_event)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Limits on sending a call again.

    ``may_repeat`` is false for a call that must run at most once.
    """

    may_repeat: bool
    max_attempts: int
    deadline_at: float


def check_retry(
    retry_budget: RetryBudget,
    limits: RetryLimits,
    attempts: int,
    error: BronzepostError,
) -> None:
    """Check whether a failed call may be sent again, and spend a retry.

    Raises:
        RefusedError: if it may not; its ``run`` states whether the call may
            have run.
    """
    was_sent = not isinstance(error, ExchangeError) or error.was_sent
    run = RunState.UNKNOWN if was_sent else RunState.NOT_RUN
    refusal = refuse_failed_call(error, run)
    if was_sent and not limits.may_repeat:
        raise refusal
    if attempts >= limits.max_attempts or read_clock() >= limits.deadline_at:
        raise refusal
    if not retry_budget.spend_retry():
        emit(LogEvent.RETRY_BUDGET_SPENT)
        raise refusal
    emit(LogEvent.CALL_RETRIED, error=error, attempts=attempts)
