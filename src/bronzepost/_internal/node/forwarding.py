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
from bronzepost._internal.node.caller_request import (
    HOPS_HEADER,
    MAX_HOPS,
    read_hops,
)
from bronzepost._internal.node.http_exchange import HttpPeer, HttpStream
from bronzepost._internal.node.refusals import OWNER_RETRY_AFTER_SECONDS
from bronzepost._internal.node.relay import EventRelay, Progress
from bronzepost._internal.node.responses import Headers
from bronzepost._internal.node.web import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    Request,
    Response,
)
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.spans import parse_traceparent
from bronzepost._internal.telemetry.start import Telemetry

# An owner sends keep-alive lines each second while a call waits.
FORWARD_IDLE_SECONDS: Final = 5.0
# A paused owner keeps its connections open and silent until the deadline, so
# its membership is looked at while it has not answered.
LIVE_POLL_SECONDS: Final = 0.25

_STEP: Final = 'forward call'

# Headers of a caller that go on to the owner; the rest ends at this node.
_FORWARDED_PREFIX: Final = 'bronzepost-'
_TRACE_HEADER: Final = 'traceparent'
_FORWARDED: Final = frozenset(('idempotency-key', _TRACE_HEADER))
_RETURNED: Final = ('retry-after', 'x-should-retry')

FindText = Callable[[str], str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Owners:
    """How a forwarder finds the owners of programs.

    ``find_owner`` returns the member that owns a program, ``find_address``
    the forward address of a member, and ``is_live`` whether a member is not
    known to be dead.
    """

    find_owner: FindText
    find_address: FindText
    is_live: Callable[[str], bool]
    find_peer_key: Callable[[], str]


class Forwarder:
    """Send calls to their owner and relay the answers."""

    def __init__(self, *, owners: Owners, telemetry: Telemetry) -> None:
        """Use the current addresses and the current peer key."""
        self._owners = owners
        self._tracer = telemetry.tracer
        self._metrics = telemetry.metrics

    def forward(
        self, member: str, request: Request, *, idle_seconds: float
    ) -> Response:
        """Send a request to a member and return its answer.

        Raises:
            RefusedError: if the member does not answer; it tells whether
                the call may have run.
        """
        emit(LogEvent.CALL_FORWARDED, member=member, path=request.path)
        self._metrics.count(Metric.CALLS_FORWARDED)
        header = request.headers.get(_TRACE_HEADER, '')
        # The span ends when the owner has begun to answer; the owner's own
        # span covers the rest.
        with self._tracer.record_span(_STEP, parse_traceparent(header)) as span:
            span.attributes['member'] = member
            traced = _with_headers(request, {_TRACE_HEADER: span.traceparent})
            stream = self._open(member, traced, idle_seconds)
        headers = _returned_headers(stream)
        content_type = stream.headers.get('content-type', JSON_TYPE)
        if not content_type.startswith(EVENT_STREAM_TYPE):
            return _relay_whole(stream, headers, content_type)
        relay = EventRelay(
            reopen=lambda progress: self._reopen(stream, traced, progress)
        )
        return Response(
            status=stream.status,
            headers=headers,
            body=relay.relay(stream),
            content_type=content_type,
        )

    def _reopen(
        self, broken: HttpStream, request: Request, progress: Progress
    ) -> HttpStream:
        """Ask the program's owner of now for the rest of an answer."""
        program = broken.headers.get('bronzepost-program', '')
        if not program:
            raise _refuse_forward('it broke off', '', RunState.UNKNOWN)
        member = self._owners.find_owner(program)
        resumed = _with_headers(
            request,
            {
                'bronzepost-sequence': broken.headers['bronzepost-sequence'],
                'bronzepost-offset': str(progress.next_offset),
                'bronzepost-upstream': progress.upstream,
            },
        )
        self._metrics.count(Metric.STREAMS_RESUMED)
        query = {**request.query, 'offset': str(progress.next_offset)}
        resumed = dataclasses.replace(resumed, query=query)
        return self._open(member, resumed, FORWARD_IDLE_SECONDS)

    def _open(
        self, member: str, request: Request, idle_seconds: float
    ) -> HttpStream:
        hops = read_hops(request) + 1
        if hops > MAX_HOPS:
            raise _refuse_forward('too many hops', member, RunState.NOT_RUN)
        headers = {
            name: text
            for name, text in request.headers.items()
            if name in _FORWARDED or name.startswith(_FORWARDED_PREFIX)
        }
        headers[HOPS_HEADER] = str(hops)
        headers['Authorization'] = f'Bearer {self._owners.find_peer_key()}'
        peer = HttpPeer(
            address=self._owners.find_address(member),
            idle_timeout_seconds=idle_seconds,
        )
        worker = gevent.spawn(_exchange, peer, request, headers)
        stream = self._await_answer(worker, member)
        if stream.headers.get('content-type', '').startswith(EVENT_STREAM_TYPE):
            stream.set_idle_timeout(FORWARD_IDLE_SECONDS)
        return stream

    def _await_answer(self, worker: gevent.Greenlet, member: str) -> HttpStream:
        """Return the answer, or refuse once the member is dead."""
        while not worker.ready():
            worker.join(LIVE_POLL_SECONDS)
            if not worker.ready() and not self._owners.is_live(member):
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
    given = {name: text for name, text in merged.items() if text}
    return dataclasses.replace(request, headers=given)


def _returned_headers(stream: HttpStream) -> Headers:
    return tuple(
        (name.title(), text)
        for name, text in stream.headers.items()
        if name in _RETURNED or name.startswith(_FORWARDED_PREFIX)
    )


def _exchange(
    peer: HttpPeer, request: Request, headers: dict[str, str]
) -> HttpStream | ExchangeError:
    path = request.path
    if request.query:
        path = f'{path}?{urlencode(request.query)}'
    try:
        return peer.open_stream(
            request.method,
            path,
            step=_STEP,
            body=request.body,
            headers=headers,
        )
    except ExchangeError as error:
        return error


def _relay_whole(
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
