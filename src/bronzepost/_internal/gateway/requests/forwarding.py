"""Forward requests to backend servers, with retries where they are allowed."""

import functools
import random
from collections.abc import Callable
from http import HTTPStatus

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallRequest,
    RouteKind,
)
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.core.gateway.route_table import choose_service
from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.exceptions import (
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
    CallerGoneError,
)
from bronzepost._internal.gateway.callers.delivery import (
    deliver_answer,
    deliver_stream,
)
from bronzepost._internal.gateway.callers.header_names import Headers
from bronzepost._internal.gateway.callers.held_memory import HeldBytes
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.callers.refusals import (
    refuse_broken_answer,
    refuse_deadline_passed,
    refuse_no_server,
    refuse_unknown_stream,
)
from bronzepost._internal.gateway.callers.stopping import refuse_at_stop
from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.programs.program_state import ProgramState
from bronzepost._internal.gateway.quotas.call_quotas import CallQuotas
from bronzepost._internal.gateway.requests.caller_access import (
    Access,
    CallerAccess,
)
from bronzepost._internal.gateway.requests.deadline import start_deadline
from bronzepost._internal.gateway.requests.hedging import HedgedRequest
from bronzepost._internal.gateway.requests.pending_call import (
    DeadlinePassedError,
    NotRunError,
    PendingCall,
)
from bronzepost._internal.gateway.requests.stream_versions import StreamVersions
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.server_calls import ServerCalls
from bronzepost._internal.gateway.servers.server_placement import (
    find_previous_server,
)
from bronzepost._internal.gateway.servers.suspect_requests import (
    SuspectRequests,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit

DecodeCall = Callable[[Headers], CallRequest]


class Forwarder:
    """Answer requests of callers by forwarding them to backend servers."""

    def __init__(
        self,
        *,
        directory: Directory,
        access: CallerAccess,
        programs: ProgramState,
        streams: StreamVersions,
        servers: ServerCalls,
        suspects: SuspectRequests,
        quotas: CallQuotas,
        decode_call: DecodeCall,
    ) -> None:
        """Create a forwarder.

        ``decode_call`` decodes the headers of a request, and ``access`` decides
        which requests are allowed.
        """
        self._directory = directory
        self._access = access
        self._programs = programs
        self._streams = streams
        self._servers = servers
        self._suspects = suspects
        self._quotas = quotas
        self._decode_call = decode_call
        self._retries = RetryBudget()

    def answer(self, request: HttpRequest, answer: CallerAnswer) -> None:
        """Answer one request, with a refusal if it cannot be served."""
        started_at = read_clock()
        call = self._decode_call(request.headers)
        try:
            with refuse_at_stop():
                access = self._access.admit(request, call)
        except RefusedError as error:
            self._refuse(call, answer, error, started_at)
            return
        pending = self.create_pending_call(request, access, answer, started_at)
        try:
            with refuse_at_stop(pending):
                self._serve(pending)
        except RefusedError as error:
            self._refuse(access.call, answer, error, started_at)

    def create_pending_call(
        self,
        request: HttpRequest,
        access: Access,
        answer: CallerAnswer,
        started_at: float,
    ) -> PendingCall:
        """Return a request that is to be forwarded on its route."""
        call, route = access.call, access.route
        timeout_seconds = route.timeout_seconds
        if call.deadline_seconds is not None:
            timeout_seconds = min(timeout_seconds, call.deadline_seconds)
        return PendingCall(
            request=request,
            call=call,
            route=route,
            service=choose_service(route, point=random.random()),  # noqa: S311
            body=request.body,
            started_at=started_at,
            deadline_at=started_at + timeout_seconds,
            answer=answer,
            workspace=access.workspace,
            uses_workspaces=access.uses_workspaces,
        )

    def _serve(self, pending: PendingCall) -> None:
        prompt = self._directory.memory.open(HeldKind.PROMPTS)
        try:
            with start_deadline(pending), prompt:
                self._suspects.check(pending)
                self._bind_resumed_stream(pending)
                self._open_turn(pending, prompt)
                self._forward(pending)
        except DeadlinePassedError:
            self._refuse_after_deadline(pending)
        except CallerGoneError:
            self._record_outcome(pending, 'caller_gone')
            raise
        else:
            self._suspects.record_run(pending)
            self._record_outcome(pending, 'answered')
        finally:
            self._close_turn(pending)

    def _open_turn(self, pending: PendingCall, prompt: HeldBytes) -> None:
        """Take the token of the workspace, then those of the turn, if it is one.

        Raises:
            RefusedError: if the request must not be sent now.
        """
        self._quotas.admit(pending)
        pending.events.keeps_data = False
        if pending.call.is_turn and pending.route.kind is RouteKind.STREAM:
            pending.events.keeps_data = pending.route.keeps_history
            pending.turn = self._programs.open_turn(
                pending.call, pending.route, pending.body
            )
            pending.body = pending.turn.prompt
            if pending.body is not pending.request.body:
                prompt.resize(len(pending.body))
        pending.opened_at = read_clock()

    def _close_turn(self, pending: PendingCall) -> None:
        self._quotas.close(pending)
        if pending.turn is not None:
            tokens = settle_turn(pending, self._programs, self._directory)
            if pending.answer.is_complete and tokens:
                self._directory.ratings.report_answer(pending.service, tokens)

    def _forward(self, pending: PendingCall) -> None:
        if pending.route.kind is RouteKind.IDEMPOTENT:
            hedged_request = HedgedRequest(
                pending=pending,
                servers=self._servers,
                retries=self._retries,
                record_failure=self._record_failure,
                record_send=self._quotas.record_send,
            )
            hedged_request.run()
            return
        while not pending.answer.is_complete:
            server = self._servers.choose(pending)
            if server is None:
                raise refuse_no_server(pending)
            try:
                self._forward_to(pending, server)
            except NotRunError as error:
                self._record_failure(pending, server, error)
            except ExchangeError as error:
                self._record_failure(pending, server, error)
                check_retryable(pending, error)

    def _forward_to(self, pending: PendingCall, server: BackendServer) -> None:
        is_stream = pending.route.kind is RouteKind.STREAM
        if pending.events.last_id:
            emit(
                LogEvent.STREAM_CONTINUED,
                request=pending.call.request_id,
                server=server.server_id,
                version=server.version,
                events=pending.events.event_count,
            )
        self._quotas.record_send(pending)
        with self._servers.open_exchange(pending, server) as (exchange, head):
            if is_stream and head.status == HTTPStatus.OK:
                deliver_stream(
                    pending,
                    exchange,
                    head,
                    begin_stream=self._begin_stream,
                    save_turn=self._save_turn,
                )
            elif pending.answer.is_started:
                raise exchange.break_off(f'status {head.status}')
            else:
                deliver_answer(pending.answer, exchange, head)

    def _bind_resumed_stream(self, pending: PendingCall) -> None:
        """Keep a stream that a caller takes up at the version that began it.

        Raises:
            RefusedError: if no VM knows the stream, or if its route has moved to
                another service.
        """
        call = pending.call
        if not (pending.route.is_resumable and call.resume_after):
            return
        stream = self._streams.find(call.resumed_request, pending.service)
        services = {service for service, _ in pending.route.services}
        if stream is None or stream.service not in services:
            raise refuse_unknown_stream()
        pending.service = stream.service
        pending.stream_version = stream.version

    def _begin_stream(self, pending: PendingCall) -> None:
        if pending.turn is not None:
            pending.turn = self._programs.begin_turn(pending.turn)
        if pending.route.is_resumable:
            pending.stream_version = pending.server_version
            self._streams.begin(
                pending.call.resumed_request or pending.call.turn_id,
                service=pending.service,
                version=pending.server_version,
                remaining_seconds=pending.remaining_seconds,
            )

    def _save_turn(self, pending: PendingCall) -> None:
        if pending.turn is not None:
            # The home returns what is left while the turn is being stored. A
            # loss of all VMs after the end of the answer then costs no tokens.
            settle_turn(pending, self._programs, self._directory)
            self._programs.save_turn(
                pending.turn,
                pending.route,
                pending.request.body,
                pending.events,
            )

    def _record_failure(
        self, pending: PendingCall, server: BackendServer, error: Exception
    ) -> None:
        pending.excluded_ids.add(server.server_id)
        was_sent = getattr(error, 'was_sent', False)
        if not was_sent:
            self._quotas.record_not_run(pending)
        event = LogEvent.REQUEST_NOT_RUN
        if isinstance(error, ExchangeError):
            event = LogEvent.EXCHANGE_BROKEN
            is_at_fault = error.was_sent and not error.is_local
            if is_at_fault and not self._servers.links.is_at_fault(
                server, relay=error.relay
            ):
                self._directory.ratings.report_failure(server.server_id)
                self._suspects.record_break(pending, server)
        METRICS.server_failures.labels(
            server=server.server_id, reason=event.event_name
        ).inc()
        emit(
            event,
            request=pending.call.request_id,
            server=server.server_id,
            was_sent=was_sent,
            fingerprint=pending.fingerprints[0],
            target_fingerprint=pending.fingerprints[1],
            events=pending.events.event_count,
            is_cut_off=self._directory.links.is_cut_off,
            error=error,
        )

    def _refuse_after_deadline(self, pending: PendingCall) -> None:
        run = RunState.UNKNOWN if pending.sends else RunState.NOT_RUN
        is_silent = pending.server_id and not pending.answer.is_started
        error = refuse_deadline_passed(run)
        self._refuse(pending.call, pending.answer, error, pending.started_at)
        server = self._directory.servers_by_id.get(pending.server_id)
        if is_silent and server is not None:
            # Its caller has the answer; whose fault it is takes longer to tell.
            start_task(functools.partial(self._record_silence, pending, server))

    def _record_silence(
        self, pending: PendingCall, server: BackendServer
    ) -> None:
        """Record that a server did not answer in the time of a request."""
        if self._servers.links.is_at_fault(server, relay=pending.relay):
            return
        self._directory.ratings.report_failure(server.server_id)
        self._suspects.record_break(pending, server, is_silent=True)

    def _refuse(
        self,
        call: CallRequest,
        answer: CallerAnswer,
        error: RefusedError,
        started_at: float,
    ) -> None:
        # If the answer has begun, the connection is closed before its end, and
        # the caller sees that it is incomplete.
        if not answer.is_started:
            answer.refuse(error)
        METRICS.refusals.labels(code=error.code, run=error.run.value).inc()
        count_by_workspace(call, 'refused')
        emit(
            LogEvent.REQUEST_REFUSED,
            request=call.request_id,
            program=call.program_id,
            workspace=call.workspace or None,
            code=error.code,
            status=error.status,
            run=error.run.value,
            seconds=round(read_clock() - started_at, 4),
        )

    def _record_outcome(self, pending: PendingCall, outcome: str) -> None:
        call = pending.call
        elapsed_seconds = read_clock() - pending.started_at
        kind = pending.route.kind.value
        METRICS.requests.labels(kind=kind, outcome=outcome).inc()
        count_by_workspace(call, outcome)
        METRICS.request_seconds.labels(kind=kind).observe(elapsed_seconds)
        placed = pending.warmth and pending.warmth.placed
        if placed:
            METRICS.warm_requests.labels(
                route=pending.route.name, placed=placed
            ).inc()
        emit(
            LogEvent.REQUEST_DONE,
            request=call.request_id,
            program=call.program_id,
            workspace=call.workspace or None,
            route=pending.route.name,
            server=pending.server_id,
            version=pending.server_version or None,
            relay=pending.relay or None,
            resumes=call.resumed_request or None,
            resume_after=call.resume_after or None,
            previous_server=find_previous_server(pending) or None,
            home=pending.turn.reservation.home if pending.turn else None,
            sends=pending.sends,
            placed=placed,
            status=pending.answer.status,
            framing=pending.framing,
            server_limit=pending.server_limit or None,
            trailing_bytes=pending.events.trailing_bytes,
            outcome=outcome,
            opened=pending.opened_seconds,
            first_event=pending.first_event_seconds,
            seconds=round(elapsed_seconds, 4),
        )


def settle_turn(
    pending: PendingCall, programs: ProgramState, directory: Directory
) -> int:
    """Settle the tokens of a turn, once; return what it has generated."""
    engine = directory.find_engine(pending.service)
    tokens = pending.events.event_count * engine.tokens_per_event
    if pending.turn is not None and not pending.is_settled:
        pending.is_settled = True
        programs.close_turn(pending.turn, tokens, pending.server_id)
    return tokens


def count_by_workspace(call: CallRequest, outcome: str) -> None:
    """Count a request that was admitted with the key of a workspace."""
    if call.workspace:
        METRICS.workspace_requests.labels(
            workspace=call.workspace, outcome=outcome
        ).inc()


def check_retryable(pending: PendingCall, error: ExchangeError) -> None:
    """Count a failed attempt, and raise an error if it must be the last.

    Raises:
        RefusedError: if the request may have run and must not be sent again.
    """
    if not error.was_sent:
        return
    pending.runs += 1
    route = pending.route
    if not route.is_retryable or pending.runs >= route.attempts:
        raise refuse_broken_answer(error)
