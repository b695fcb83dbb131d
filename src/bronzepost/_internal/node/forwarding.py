"""Forward calls to the node that owns their program."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Final
from urllib.parse import urlencode

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
from bronzepost._internal.node.http_exchange import (
    HttpPeer,
    HttpStream,
    quote_path,
)
from bronzepost._internal.node.refusals import OWNER_RETRY_SECONDS
from bronzepost._internal.node.responses import write_error_event
from bronzepost._internal.node.web import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    Request,
    Response,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# An owner sends keep-alive lines each second while a call waits.
FORWARD_IDLE_SECONDS: Final = 5.0
MAX_RESUMES: Final = 3

_STEP: Final = 'forward call'
_ID: Final = b'id:'
_END: Final = b'data: [DONE]'
_ERROR: Final = b'event: error'

# Headers of a caller that go on to the owner; the rest ends at this node.
_FORWARDED_PREFIX: Final = 'bronzepost-'
_FORWARDED: Final = frozenset(('idempotency-key', 'traceparent'))
_RETURNED: Final = ('retry-after', 'x-should-retry')

FindAddress = Callable[[str], str]


class Forwarder:
    """Send calls to their owner and relay the answers.

    ``find_address`` returns the forward address of a member by its name.
    """

    def __init__(
        self, *, find_address: FindAddress, find_peer_key: Callable[[], str]
    ) -> None:
        """Use the current addresses and the current peer key."""
        self._find_address = find_address
        self._find_peer_key = find_peer_key

    def forward(
        self, member: str, request: Request, *, idle_seconds: float
    ) -> Response:
        """Send a request to a member and return its answer.

        Raises:
            RefusedError: if the member does not answer; it tells whether
                the call may have run.
        """
        emit(LogEvent.CALL_FORWARDED, member=member, path=request.path)
        stream = self._open(member, request, idle_seconds)
        headers = tuple(
            (name.title(), text)
            for name, text in stream.headers.items()
            if name in _RETURNED or name.startswith(_FORWARDED_PREFIX)
        )
        content_type = stream.headers.get('content-type', JSON_TYPE)
        if not content_type.startswith(EVENT_STREAM_TYPE):
            return _relay_whole(stream, headers, content_type)
        return Response(
            status=stream.status,
            headers=headers,
            body=self._relay_events(member, request, stream),
            content_type=content_type,
        )

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
        headers['Authorization'] = f'Bearer {self._find_peer_key()}'
        peer = HttpPeer(
            address=self._find_address(member), idle_seconds=idle_seconds
        )
        path = quote_path(request.path)
        query = urlencode(request.query)
        try:
            return peer.open_stream(
                request.method,
                f'{path}?{query}' if query else path,
                step=_STEP,
                body=request.body,
                headers=headers,
            )
        except ExchangeError as error:
            emit(LogEvent.FORWARD_FAILED, error=error, member=member)
            run = RunState.UNKNOWN if error.was_sent else RunState.NOT_RUN
            raise _refuse_forward(error.message, member, run) from error

    def _relay_events(
        self, member: str, request: Request, stream: HttpStream
    ) -> Iterator[bytes]:
        """Yield the events; a broken connection is resumed at its offset."""
        progress = _Progress()
        resumes = 0
        while True:
            try:
                yield from progress.relay(stream)
            except ExchangeError as error:
                emit(LogEvent.FORWARD_FAILED, error=error, member=member)
            if progress.is_ended:
                return
            resumes += 1
            try:
                stream = self._resume(
                    member, request, stream, progress, resumes
                )
            except RefusedError as refusal:
                yield write_error_event(refusal)
                return

    def _resume(
        self,
        member: str,
        request: Request,
        broken: HttpStream,
        progress: '_Progress',
        resumes: int,
    ) -> HttpStream:
        program = broken.headers.get('bronzepost-program', '')
        sequence = broken.headers.get('bronzepost-sequence', '')
        if not program or not sequence or resumes > MAX_RESUMES:
            raise _refuse_forward('it broke off', member, RunState.UNKNOWN)
        resumed = Request(
            method='GET',
            path=f'/v1/programs/{program}/calls/{sequence}',
            query={'offset': str(progress.next_offset)},
            headers=request.headers,
            body=b'',
            path_parts={},
        )
        stream = self._open(member, resumed, FORWARD_IDLE_SECONDS)
        if stream.status != HTTPStatus.OK:
            raise _refuse_forward('it broke off', member, RunState.UNKNOWN)
        return stream


class _Progress:
    """How much of a stream was relayed."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.is_ended = False

    def relay(self, stream: HttpStream) -> Iterator[bytes]:
        """Yield whole events, so that no event is cut in two."""
        event: list[bytes] = []
        with stream:
            for line in stream.read_lines():
                event.append(line)
                if not line:
                    yield self._end_event(event)
                    event = []

    def _end_event(self, lines: list[bytes]) -> bytes:
        first = lines[0]
        if first.startswith(_ID):
            self.next_offset = int(first.removeprefix(_ID)) + 1
        elif first in {_END, _ERROR}:
            self.is_ended = True
        return b'\n'.join((*lines, b''))


def _relay_whole(
    stream: HttpStream,
    headers: tuple[tuple[str, str], ...],
    content_type: str,
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
        retry_after_seconds=OWNER_RETRY_SECONDS,
    )
