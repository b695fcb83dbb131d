"""Forward requests to backend servers, again where that is allowed."""

import dataclasses
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Final

import gevent

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallRequest,
    Route,
    RouteKind,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementView,
    choose_server,
)
from bronzepost._internal.core.gateway.route_table import choose_service
from bronzepost._internal.exceptions import (
    BackendServerError,
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.gateway.backend_connections import ConnectionPool
from bronzepost._internal.gateway.backend_exchange import BackendExchange
from bronzepost._internal.gateway.caller_connections import (
    CallerAnswer,
    CallerGoneError,
)
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.event_stream import EventSplitter
from bronzepost._internal.gateway.header_names import (
    HeaderNames,
    Headers,
    drop_headers,
    find_header,
    strip_connection_headers,
)
from bronzepost._internal.gateway.homes import PeerReports
from bronzepost._internal.gateway.http_messages import (
    AnswerHead,
    HttpRequest,
    encode_head,
)
from bronzepost._internal.gateway.program_state import OpenTurn, ProgramState
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

MILLISECONDS: Final = 1000
# Sent with a refusal when nothing better is known.
RETRY_AFTER_SECONDS: Final = 0.25
# A caller that starts up before the first configuration comes back after it.
STARTING_RETRY_SECONDS: Final = 0.5
# A request is not sent any more when less time is left than a round trip to
# another availability zone takes.
LEAST_SECONDS: Final = 0.01
# An answer up to this size is held until it is complete, so that one that
# breaks off can be fetched again from another server.
HELD_BODY_BYTES: Final = 262144
_SALT_BITS: Final = 32

DecodeCall = Callable[[Headers], CallRequest]


class NotRunError(BackendServerError):
    """A backend server did not run the request, so it may be sent again."""


class DeadlinePassedError(Exception):
    """The request has used its time."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingCall:
    """A request under way, with what became of it so far.

    ``runs`` counts the servers on which it may have run.
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


class Forwarder:
    """Take requests from callers and answer them from backend servers."""

    def __init__(
        self,
        *,
        directory: Directory,
        reports: PeerReports,
        programs: ProgramState,
        pool: ConnectionPool,
        names: HeaderNames,
        decode_call: DecodeCall,
        availability_zone: str,
    ) -> None:
        """Keep the parts that a request needs."""
        self._directory = directory
        self._reports = reports
        self._programs = programs
        self._pool = pool
        self._names = names
        self._decode_call = decode_call
        self._availability_zone = availability_zone

    def handle(self, request: HttpRequest, answer: CallerAnswer) -> None:
        """Answer one request."""
        started_at = read_clock()
        call = self._decode_call(request.headers)
        try:
            pending = self._accept(request, call, answer, started_at)
            self._serve(pending)
        except RefusedError as error:
            self._refuse(call, answer, error, started_at)

    def _accept(
        self,
        request: HttpRequest,
        call: CallRequest,
        answer: CallerAnswer,
        started_at: float,
    ) -> PendingCall:
        if self._directory.configuration is None:
            raise refuse_starting()
        route = self._directory.routes.find_route(
            host=request.host, target=request.target.decode('latin-1')
        )
        if route is None:
            raise refuse_no_route()
        seconds = route.timeout_seconds
        if call.deadline_seconds is not None:
            seconds = min(seconds, call.deadline_seconds)
        return PendingCall(
            request=request,
            call=call,
            route=route,
            service=choose_service(route, point=random.random()),  # noqa: S311
            body=request.body,
            started_at=started_at,
            ends_at=started_at + seconds,
            answer=answer,
        )

    def _serve(self, pending: PendingCall) -> None:
        timeout = gevent.Timeout(
            max(pending.remaining_seconds, 0), DeadlinePassedError()
        )
        try:
            with timeout:
                self._prepare(pending)
                self._run(pending)
        except DeadlinePassedError:
            self._end_late(pending)
        except CallerGoneError:
            self._log_done(pending, 'caller_gone')
            raise
        else:
            self._log_done(pending, 'answered')
        finally:
            self._settle(pending)

    def _prepare(self, pending: PendingCall) -> None:
        if pending.call.is_turn and pending.route.kind is RouteKind.STREAM:
            pending.turn = self._programs.open_turn(
                pending.call, pending.route, pending.body
            )
            pending.body = pending.turn.prompt

    def _settle(self, pending: PendingCall) -> None:
        if pending.turn is not None:
            tokens = pending.events.events * self._count_event(pending)
            self._programs.close_turn(pending.turn, tokens, pending.server_id)

    def _count_event(self, pending: PendingCall) -> int:
        configuration = self._directory.configuration
        if configuration is None:
            return 1
        service = configuration.services_by_name.get(pending.service)
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    def _run(self, pending: PendingCall) -> None:
        while True:
            server = self._choose(pending)
            try:
                self._send_to(pending, server)
            except NotRunError as error:
                self._note_not_run(pending, server, error)
            except ExchangeError as error:
                self._note_broken(pending, server, error)
            else:
                self._directory.report_success(server)
                return

    def _choose(self, pending: PendingCall) -> BackendServer:
        if pending.remaining_seconds < LEAST_SECONDS:
            raise DeadlinePassedError
        servers = [
            server
            for server in self._directory.list_servers(pending.service)
            if server.server_id not in pending.passed_over
        ]
        view = PlacementView(
            availability_zone=self._availability_zone,
            in_flight=self._reports.sum_in_flight(),
            home=pending.turn.reservation.server_id if pending.turn else '',
            avoided=self._directory.list_avoided(),
            salt=random.getrandbits(_SALT_BITS),
        )
        server = choose_server(servers, view)
        if server is None:
            raise refuse_no_server(pending)
        return server

    def _send_to(self, pending: PendingCall, server: BackendServer) -> None:
        pending.server_id = server.server_id
        pending.sends += 1
        step = f'forward {pending.call.request_id}'
        with self._count_in_flight(server):
            connection = self._pool.acquire(server.address, step=step)
            exchange = BackendExchange(
                pool=self._pool,
                connection=connection,
                request_id=pending.call.request_id.encode('latin-1'),
                id_header=self._names.request_id,
                step=step,
            )
            with exchange:
                exchange.send(self._encode_head(pending, server), pending.body)
                head = exchange.read_head()
                self._check_run(head, server, step)
                self._deliver(pending, exchange, head)

    @contextmanager
    def _count_in_flight(self, server: BackendServer) -> Iterator[None]:
        in_flight = self._directory.in_flight_by_id
        in_flight[server.server_id] += 1
        try:
            yield
        finally:
            in_flight[server.server_id] -= 1

    def _check_run(
        self, head: AnswerHead, server: BackendServer, step: str
    ) -> None:
        is_misplaced = head.status == HTTPStatus.MISDIRECTED_REQUEST
        if is_misplaced:
            self._directory.report_misplaced(server)
        if is_misplaced or find_header(head.headers, self._names.not_run):
            raise NotRunError(
                f'status {head.status}', step=step, peer=server.address
            )

    def _deliver(
        self, pending: PendingCall, exchange: BackendExchange, head: AnswerHead
    ) -> None:
        is_stream = pending.route.kind is RouteKind.STREAM
        if is_stream and head.status == HTTPStatus.OK:
            self._deliver_stream(pending, exchange, head)
        else:
            deliver_whole(pending, exchange, head)

    def _deliver_stream(
        self, pending: PendingCall, exchange: BackendExchange, head: AnswerHead
    ) -> None:
        """Pass on the events of a stream as they arrive, each as a whole.

        A stream that breaks off in an event can then go on after the last
        whole one at another server.
        """
        head = drop_length(head)
        pending.events.drop_rest()
        for block in exchange.read_blocks():
            whole = pending.events.feed(block)
            if whole:
                pending.answer.ensure_started(head)
                pending.answer.write(whole)
        pending.answer.ensure_started(head)
        pending.answer.write(pending.events.take_rest())
        if pending.turn is not None:
            self._programs.keep_turn(
                pending.turn,
                pending.route,
                pending.request.body,
                pending.events,
            )
        pending.answer.finish()

    def _encode_head(
        self, pending: PendingCall, server: BackendServer
    ) -> bytes:
        names = self._names
        request = pending.request
        headers = strip_connection_headers(request.headers)
        replaced = {
            names.deadline,
            names.expected_server,
            b'content-length',
            b'expect',
        }
        if pending.events.last_id:
            replaced.add(names.resume_after)
        headers = drop_headers(headers, names.reserved | replaced)
        remaining = max(int(pending.remaining_seconds * MILLISECONDS), 1)
        own: Headers = (
            (names.deadline, b'%d' % remaining),
            (names.expected_server, server.server_id.encode('latin-1')),
        )
        if pending.events.last_id:
            own = (*own, (names.resume_after, pending.events.last_id))
        if pending.body or request.method not in _BODILESS_METHODS:
            length = b'%d' % len(pending.body)
            own = (*own, (b'Content-Length', length))
        line = b'%b %b HTTP/1.1' % (request.method, request.target)
        return encode_head(line, headers + own)

    def _note_not_run(
        self, pending: PendingCall, server: BackendServer, error: NotRunError
    ) -> None:
        pending.passed_over.add(server.server_id)
        emit(
            LogEvent.REQUEST_NOT_RUN,
            request=pending.call.request_id,
            server=server.server_id,
            error=error,
        )

    def _note_broken(
        self, pending: PendingCall, server: BackendServer, error: ExchangeError
    ) -> None:
        self._directory.report_failure(server)
        pending.passed_over.add(server.server_id)
        emit(
            LogEvent.EXCHANGE_BROKEN,
            request=pending.call.request_id,
            server=server.server_id,
            was_sent=error.was_sent,
            error=error,
        )
        if not error.was_sent:
            return
        pending.runs += 1
        route = pending.route
        if not route.is_repeatable or pending.runs >= route.attempts:
            raise refuse_broken(error)

    def _end_late(self, pending: PendingCall) -> None:
        run = RunState.UNKNOWN if pending.sends else RunState.NOT_RUN
        error = refuse_late(run)
        self._refuse(pending.call, pending.answer, error, pending.started_at)

    def _refuse(
        self,
        call: CallRequest,
        answer: CallerAnswer,
        error: RefusedError,
        started_at: float,
    ) -> None:
        # An answer that has begun ends with its connection, before its end.
        if not answer.is_started:
            answer.refuse(error)
        emit(
            LogEvent.REQUEST_REFUSED,
            request=call.request_id,
            program=call.program_id,
            code=error.code,
            status=error.status,
            run=error.run.value,
            seconds=round(read_clock() - started_at, 4),
        )

    def _log_done(self, pending: PendingCall, outcome: str) -> None:
        call = pending.call
        emit(
            LogEvent.REQUEST_DONE,
            request=call.request_id,
            program=call.program_id,
            route=pending.route.name,
            server=pending.server_id,
            sends=pending.sends,
            status=pending.answer.status,
            outcome=outcome,
            seconds=round(read_clock() - pending.started_at, 4),
        )


_BODILESS_METHODS: Final = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))


def drop_length(head: AnswerHead) -> AnswerHead:
    """Return the head of a stream whose length another server may change."""
    headers = drop_headers(head.headers, (b'content-length',))
    return dataclasses.replace(head, headers=headers, length=None)


def deliver_whole(
    pending: PendingCall, exchange: BackendExchange, head: AnswerHead
) -> None:
    """Pass on an answer once it is complete, or while it comes if large."""
    held = b''
    blocks = exchange.read_blocks()
    for block in blocks:
        held += block
        if len(held) > HELD_BODY_BYTES:
            pending.answer.start(head)
            pending.answer.write(held)
            for later in blocks:
                pending.answer.write(later)
            pending.answer.finish()
            return
    pending.answer.send_whole(head, held)


def refuse_starting() -> RefusedError:
    """Return the refusal of a VM that has no configuration yet."""
    return RefusedError(
        'no configuration has arrived yet',
        code='starting',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='find route',
        retry_after_seconds=STARTING_RETRY_SECONDS,
    )


def refuse_no_route() -> RefusedError:
    """Return the refusal of a path that no route covers."""
    return RefusedError(
        'no route for this host and path',
        code='no_route',
        status=HTTPStatus.NOT_FOUND,
        step='find route',
    )


def refuse_no_server(pending: PendingCall) -> RefusedError:
    """Return the refusal when no backend server took the request."""
    if pending.runs:
        return refuse_late(RunState.UNKNOWN)
    return RefusedError(
        f'no backend server of {pending.service} takes the request',
        code='no_server',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step='choose backend server',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_broken(error: ExchangeError) -> RefusedError:
    """Return the answer to a request whose run broke off."""
    return RefusedError(
        error.message,
        code='answer_broken',
        status=HTTPStatus.BAD_GATEWAY,
        step=error.step,
        peer=error.peer,
        run=RunState.UNKNOWN,
    )


def refuse_late(run: RunState) -> RefusedError:
    """Return the answer to a request that has used its time."""
    return RefusedError(
        'the request has used its time',
        code='deadline_passed',
        status=HTTPStatus.GATEWAY_TIMEOUT,
        step='wait for the answer',
        run=run,
    )
