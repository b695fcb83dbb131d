"""Forward calls to the node that owns their program."""

import dataclasses
from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from urllib.parse import urlencode

import gevent

from bronzepost._internal.exceptions import (
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.node.callers.caller_request import (
    HOPS_HEADER,
    MAX_HOPS,
    read_hops,
)
from bronzepost._internal.node.callers.http_exchange import (
    ExchangeClient,
    HttpStream,
)
from bronzepost._internal.node.callers.refusals import OWNER_RETRY_AFTER_SECONDS
from bronzepost._internal.node.callers.responses import Headers
from bronzepost._internal.node.callers.web import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    Request,
    Response,
)
from bronzepost._internal.node.peers.relay import EventRelay, RelayProgress
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.spans import parse_traceparent
from bronzepost._internal.telemetry.start import Telemetry

# An owner sends a keep-alive line each second while a streamed call waits.
FORWARD_IDLE_TIMEOUT_SECONDS: Final = 5.0
# A paused owner keeps its connections open but silent until the deadline, so
# its membership is checked at this interval until it answers.
LIVENESS_POLL_INTERVAL_SECONDS: Final = 0.25

_STEP: Final = 'forward call'

# Headers of the caller that are forwarded to the owner; others are dropped.
_FORWARDED_PREFIX: Final = 'bronzepost-'
_TRACE_HEADER: Final = 'traceparent'
_FORWARDED_HEADERS: Final = frozenset(('idempotency-key', _TRACE_HEADER))
_RETURNED_HEADERS: Final = ('retry-after', 'x-should-retry')

TextLookup = Callable[[str], str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerLookup:
    """Functions with which a forwarder finds the owners of programs.

    ``find_owner`` returns the member that owns a program, ``find_address``
    the forward address of a member, ``is_live`` whether a member is not known
    to be dead, and ``find_peer_key`` the current key for requests to peers.
    """

    find_owner: TextLookup
    find_address: TextLookup
    is_live: Callable[[str], bool]
    find_peer_key: Callable[[], str]


class Forwarder:
    """Sends calls to their owner and relays the answers."""

    def __init__(
        self, *, owner_lookup: OwnerLookup, telemetry: Telemetry
    ) -> None:
        """Look up the owner, its address and the peer key for each request."""
        self._owner_lookup = owner_lookup
        self._tracer = telemetry.tracer
        self._metrics = telemetry.metrics

    def forward(
        self, member: str, request: Request, *, idle_timeout_seconds: float
    ) -> Response:
        """Send a request to a member and return its answer.

        Raises:
            RefusedError: if the member does not answer; its ``run`` states
                whether the call may have run.
        """
        emit(LogEvent.CALL_FORWARDED, member=member, path=request.path)
        self._metrics.count(Metric.CALLS_FORWARDED)
        header = request.headers.get(_TRACE_HEADER, '')
        # The span ends when the answer begins; the owner's own span covers
        # the rest.
        with self._tracer.record_span(_STEP, parse_traceparent(header)) as span:
            span.attributes['member'] = member
            traced_request = _with_headers(
                request, {_TRACE_HEADER: span.traceparent}
            )
            stream = self._open(member, traced_request, idle_timeout_seconds)
        headers = _select_returned_headers(stream)
        content_type = stream.headers.get('content-type', JSON_TYPE)
        if not content_type.startswith(EVENT_STREAM_TYPE):
            return _relay_complete_answer(stream, headers, content_type)
        relay = EventRelay(
            reopen=lambda progress: self._reopen(
                stream, traced_request, progress
            )
        )
        return Response(
            status=stream.status,
            headers=headers,
            body=relay.relay(stream),
            content_type=content_type,
        )

    def _reopen(
        self,
        broken_stream: HttpStream,
        request: Request,
        progress: RelayProgress,
    ) -> HttpStream:
        """Request the rest of an answer from the program's current owner."""
        program = broken_stream.headers.get('bronzepost-program', '')
        if not program:
            raise _refuse_forward('it broke off', '', RunState.UNKNOWN)
        member = self._owner_lookup.find_owner(program)
        resumed_request = _with_headers(
            request,
            {
                'bronzepost-sequence': broken_stream.headers[
                    'bronzepost-sequence'
                ],
                'bronzepost-offset': str(progress.next_offset),
                'bronzepost-upstream': progress.upstream,
            },
        )
        self._metrics.count(Metric.STREAMS_RESUMED)
        query = {**request.query, 'offset': str(progress.next_offset)}
        resumed_request = dataclasses.replace(resumed_request, query=query)
        return self._open(member, resumed_request, FORWARD_IDLE_TIMEOUT_SECONDS)

    def _open(
        self, member: str, request: Request, idle_timeout_seconds: float
    ) -> HttpStream:
        hops = read_hops(request) + 1
        if hops > MAX_HOPS:
            raise _refuse_forward('too many hops', member, RunState.NOT_RUN)
        headers = {
            name: text
            for name, text in request.headers.items()
            if name in _FORWARDED_HEADERS or name.startswith(_FORWARDED_PREFIX)
        }
        headers[HOPS_HEADER] = str(hops)
        headers['Authorization'] = (
            f'Bearer {self._owner_lookup.find_peer_key()}'
        )
        client = ExchangeClient(
            address=self._owner_lookup.find_address(member),
            idle_timeout_seconds=idle_timeout_seconds,
        )
        worker = gevent.spawn(_exchange, client, request, headers)
        stream = self._await_answer(worker, member)
        if stream.headers.get('content-type', '').startswith(EVENT_STREAM_TYPE):
            stream.set_idle_timeout(FORWARD_IDLE_TIMEOUT_SECONDS)
        return stream

    def _await_answer(self, worker: gevent.Greenlet, member: str) -> HttpStream:
        """Return the answer; refuse the call as soon as the member is dead."""
        while not worker.ready():
            worker.join(LIVENESS_POLL_INTERVAL_SECONDS)
            if not worker.ready() and not self._owner_lookup.is_live(member):
                worker.kill()
                raise _refuse_forward('it is dead', member, RunState.UNKNOWN)
        if isinstance(worker.value, HttpStream):
            return worker.value
        error: ExchangeError = worker.value
        emit(LogEvent.FORWARD_FAILED, error=error, member=member)
        run = RunState.UNKNOWN if error.was_sent else RunState.NOT_RUN
        raise _refuse_forward(error.message, member, run) from error


def _with_headers(request: Request, headers: dict[str, str]) -> Request:
    merged = {**request.headers, **headers}
    non_empty = {name: text for name, text in merged.items() if text}
    return dataclasses.replace(request, headers=non_empty)


def _select_returned_headers(stream: HttpStream) -> Headers:
    return tuple(
        (name.title(), text)
        for name, text in stream.headers.items()
        if name in _RETURNED_HEADERS or name.startswith(_FORWARDED_PREFIX)
    )


def _exchange(
    client: ExchangeClient, request: Request, headers: dict[str, str]
) -> HttpStream | ExchangeError:
    path = request.path
    if request.query:
        path = f'{path}?{urlencode(request.query)}'
    try:
        return client.open_stream(
            request.method,
            path,
            step=_STEP,
            body=request.body,
            headers=headers,
        )
    except ExchangeError as error:
        return error


def _relay_complete_answer(
    stream: HttpStream, headers: Headers, content_type: str
) -> Response:
    try:
        with stream:
            body = stream.read_all()
    except ExchangeError as error:
        raise _refuse_forward(
            error.message, error.peer, RunState.UNKNOWN
        ) from error
    return Response(
        status=stream.status,
        headers=headers,
        body=body,
        content_type=content_type,
    )


def _refuse_forward(reason: str, member: str, run: RunState) -> RefusedError:
    return RefusedError(
        f'the owner of the program did not answer: {reason}',
        code='owner_unavailable',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        step=_STEP,
        peer=member,
        run=run,
        retry_after_seconds=OWNER_RETRY_AFTER_SECONDS,
    )
