"""Relay an answer's events; resume a broken stream at the current owner."""

from collections.abc import Callable, Generator, Iterator
from http import HTTPStatus
from typing import Final

import gevent
import msgspec

from bronzepost._internal.exceptions import (
    ExchangeError,
    RefusedError,
    RunState,
)
from bronzepost._internal.node.callers.http_exchange import HttpStream
from bronzepost._internal.node.callers.responses import (
    KEEP_ALIVE,
    encode_error_event,
)
from bronzepost._internal.node.callers.web import EVENT_STREAM_TYPE
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A killed owner is replaced within 3 s; the rest allows for a busy new owner.
RESUME_TIMEOUT_SECONDS: Final = 15.0
RESUME_POLL_INTERVAL_SECONDS: Final = 0.5

# Refusals that end once another node has taken over the program. The call can
# be repeated: the ledger recognises it by its sequence.
_TRANSIENT_CODES: Final = frozenset((
    'owner_unavailable',
    'not_owner',
    'log_unavailable',
))

_ID: Final = b'id:'
_END: Final = b'data: [DONE]'
_ERROR: Final = b'event: error'
_UPSTREAM: Final = b': upstream '


class RelayProgress:
    """The position in an answer up to which events were relayed."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.next_offset = 0
        self.upstream = ''
        self.is_ended = False

    def relay(self, stream: HttpStream) -> Iterator[bytes]:
        """Yield complete events; an incomplete one at the end is dropped."""
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
        elif first.startswith(_UPSTREAM):
            self.upstream = first.removeprefix(_UPSTREAM).decode()
        elif first in {_END, _ERROR}:
            self.is_ended = True
        return b'\n'.join((*lines, b''))


Reopen = Callable[[RelayProgress], HttpStream]


class EventRelay:
    """Relays an answer; ``reopen`` requests the rest from the current owner."""

    def __init__(self, *, reopen: Reopen) -> None:
        """Start with nothing relayed."""
        self._reopen = reopen
        self._progress = RelayProgress()

    def relay(self, stream: HttpStream) -> Iterator[bytes]:
        """Yield the events of an answer, each offset once and in order."""
        current: HttpStream | None = stream
        while current is not None:
            try:
                yield from self._progress.relay(current)
            except ExchangeError as error:
                emit(LogEvent.FORWARD_FAILED, error=error)
            if self._progress.is_ended:
                return
            current = yield from self._wait_until_resumed()

    def _wait_until_resumed(self) -> Generator[bytes, None, HttpStream | None]:
        """Yield keep-alive lines until the stream is resumed.

        Returns the resumed stream, or None after yielding an error event.
        """
        deadline_at = read_clock() + RESUME_TIMEOUT_SECONDS
        while True:
            yield KEEP_ALIVE
            gevent.sleep(RESUME_POLL_INTERVAL_SECONDS)
            try:
                return self._resume()
            except RefusedError as refusal:
                is_final = refusal.code not in _TRANSIENT_CODES
                if is_final or read_clock() >= deadline_at:
                    yield encode_error_event(refusal)
                    return None

    def _resume(self) -> HttpStream:
        stream = self._reopen(self._progress)
        content_type = stream.headers.get('content-type', '')
        if content_type.startswith(EVENT_STREAM_TYPE):
            emit(LogEvent.STREAM_RESUMED, offset=self._progress.next_offset)
            return stream
        with stream:
            raise _read_refusal(stream)


class _RefusalBody(msgspec.Struct, frozen=True):
    message: str
    code: str
    run: RunState
    step: str
    peer: str = ''


class _Refusal(msgspec.Struct, frozen=True):
    error: _RefusalBody


def _read_refusal(stream: HttpStream) -> RefusedError:
    try:
        body = msgspec.json.decode(stream.read_all(), type=_Refusal).error
    except (msgspec.DecodeError, ExchangeError) as error:
        return RefusedError(
            f'the owner gave no answer that can be read: {error}',
            code='owner_unavailable',
            status=HTTPStatus.BAD_GATEWAY,
            step='resume stream',
            run=RunState.UNKNOWN,
        )
    return RefusedError(
        body.message,
        code=body.code,
        status=stream.status,
        step=body.step,
        peer=body.peer,
        run=body.run,
    )
