"""The connections of callers, and the answers that are written to them."""

import contextlib
import socket
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any, Final, Protocol

import gevent

from bronzepost._internal.core.gateway.entities import CallerLimits
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import (
    ProtocolError,
    RefusedError,
    RunState,
)
from bronzepost._internal.gateway.callers.body_account import BodyAccount
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
    CallerGoneError,
)
from bronzepost._internal.gateway.callers.held_memory import (
    HeldMemory,
    MemoryShortError,
    count_refused,
    refuse_memory,
)
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.callers.orderly_close import (
    count_unsent,
    finish_sending,
    linger,
)
from bronzepost._internal.gateway.callers.request_reader import (
    MessageTooLargeError,
)
from bronzepost._internal.gateway.callers.request_receiver import (
    RequestReceiver,
)
from bronzepost._internal.gateway.callers.stopping import (
    StoppingError,
    refuse_stopping,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import emit

# The greenlet, the parser and the sockets' state of an open connection.
CONNECTION_BYTES: Final = 16384
# The libev event mask for a readable descriptor.
_READABLE: Final = 1

AnswerRequest = Callable[[HttpRequest, 'CallerAnswer'], None]
ReadLimits = Callable[[], CallerLimits]


class ConnectionOwner(Protocol):
    """The server that has accepted a connection."""

    answer: AnswerRequest
    memory: HeldMemory
    is_draining: bool
    is_stopped: bool
    has_given_up: bool


class CallerConnection:
    """Serve the requests of one caller connection, one after the other."""

    def __init__(
        self, *, sock: Any, server: ConnectionOwner, limits: CallerLimits
    ) -> None:
        """Serve an accepted connection."""
        self.is_idle = True
        # Whether the next request is refused, since the process will stop.
        self._is_refusing = False
        self._greenlet: Any = None
        # The answer to the last request.
        self._last_answer: CallerAnswer | None = None
        self._sock = sock
        self._server = server
        self._memory = server.memory
        self._body = BodyAccount(self._memory)
        self._receiver = RequestReceiver(
            sock=sock, limits=limits, body=self._body
        )

    def serve(self) -> bool:
        """Serve requests until the caller or the gateway closes.

        Return whether the last answer is complete.
        """
        self._greenlet = gevent.getcurrent()
        held = self._memory.open(HeldKind.CONNECTIONS)
        with contextlib.ExitStack() as stack:
            stack.enter_context(held)
            stack.callback(self._body.close)
            stack.callback(self._receiver.discard)
            held.resize(CONNECTION_BYTES)
            is_open = True
            while is_open:
                is_open = self._serve_next()
        answer = self._last_answer
        return answer is not None and answer.is_complete

    def close_idle(self) -> None:
        """Close the connection unless it has a request, running or unread."""
        if self.is_idle and not self._has_more():
            # Bytes that arrive from now on are not read: the request could be
            # forwarded, but not answered.
            self._receiver.close()
            with contextlib.suppress(OSError):
                # Bytes that arrive after SHUT_RDWR reset the connection, and what
                # the caller has not read of its last answer would be lost.
                is_read = not count_unsent(self._sock)
                self._sock.shutdown(
                    socket.SHUT_RDWR if is_read else socket.SHUT_WR
                )

    def give_up(self) -> None:
        """Refuse a running request, or break off its answer if it has begun."""
        answer = self._last_answer
        if answer is not None and not answer.is_complete:
            self._greenlet.kill(StoppingError(), block=False)

    def _serve_next(self) -> bool:
        """Serve a request; return whether the connection stays open."""
        answer = self._answer_next()
        if answer is None:
            return False
        with contextlib.closing(answer):
            self._flush(answer)
        self.is_idle = True
        if self._server.is_stopped:
            # Callers may not know that the process stops, as the head of the
            # answer may be older. What they have sent already is refused.
            self._is_refusing = True
            self.close_idle()
        return answer.is_complete and answer.keep_alive

    def _answer_next(self) -> CallerAnswer | None:
        """Answer a request, which is no longer in memory on return."""
        request = self._read_request()
        if request is None:
            return None
        with contextlib.closing(self._body):
            return self._answer(request)

    def _flush(self, answer: CallerAnswer) -> None:
        if answer.has_unsent:
            with self._watch_caller():
                answer.flush()
        else:
            answer.flush()

    def _answer(self, request: HttpRequest) -> CallerAnswer:
        self.is_idle = False
        # What a caller has sent behind a request is answered before the close.
        is_last = self._server.is_draining and not self._has_more()
        answer = CallerAnswer(
            sock=self._sock,
            is_http11=request.is_http11,
            keep_alive=request.keep_alive and not is_last,
            memory=self._memory,
        )
        self._last_answer = answer
        with contextlib.ExitStack() as stack:
            stack.callback(answer.close)
            if self._is_refusing or self._server.has_given_up:
                answer.refuse(refuse_stopping(RunState.NOT_RUN))
            else:
                with self._watch_caller():
                    self._server.answer(request, answer)
            stack.pop_all()
        return answer

    @contextlib.contextmanager
    def _watch_caller(self) -> Iterator[None]:
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), _READABLE)
        with contextlib.closing(watcher):
            watcher.start(self._check_for_close, watcher, gevent.getcurrent())
            yield

    def _check_for_close(self, watcher: Any, serving_greenlet: Any) -> None:
        # Runs in gevent's hub and must not block. Readable bytes are the next
        # request of a caller that pipelines; they stay in the socket.
        watcher.stop()
        with contextlib.suppress(OSError):
            if self._sock.recv(1, socket.MSG_PEEK):
                return
        serving_greenlet.kill(
            CallerGoneError('closed by the caller'), block=False
        )

    def _read_request(self) -> HttpRequest | None:
        try:
            return self._receiver.receive()
        except MemoryShortError as error:
            refusal = self._refuse_body(error)
        except MessageTooLargeError as error:
            refusal = self._refuse(error.status, error)
        except ProtocolError as error:
            refusal = self._refuse(HTTPStatus.BAD_REQUEST, error)
        # Nothing of the request is in memory while the caller goes on sending it,
        # which the errors above would keep.
        self._receiver.discard()
        self._body.close()
        self._send_refusal(refusal)
        return None

    def _refuse(self, status: HTTPStatus, error: ProtocolError) -> RefusedError:
        emit(LogEvent.REQUEST_UNREADABLE, error=error, status=status.value)
        return RefusedError(
            error.message,
            code='bad_request',
            status=status,
            step=error.step,
        )

    def _refuse_body(self, error: MemoryShortError) -> RefusedError:
        refusal = refuse_memory()
        count_refused('body')
        METRICS.refusals.labels(code=refusal.code, run=refusal.run.value).inc()
        emit(
            LogEvent.BODY_REFUSED,
            error=error,
            held=self._memory.held_bytes,
            announced=self._memory.bytes_by_kind[HeldKind.ANNOUNCED],
        )
        return refusal

    def _send_refusal(self, refusal: RefusedError) -> None:
        """Refuse a request that was not read to its end."""
        answer = CallerAnswer(
            sock=self._sock,
            is_http11=True,
            keep_alive=False,
            memory=self._memory,
        )
        with contextlib.closing(answer):
            answer.refuse(refusal)
            answer.flush()
        if finish_sending(self._sock):
            linger(self._sock)

    def _has_more(self) -> bool:
        """Return whether the caller has sent more than was answered."""
        is_read = not self._receiver.is_between_requests
        return is_read or has_unread_bytes(self._sock)


def has_unread_bytes(sock: Any) -> bool:
    """Return whether bytes have arrived that were not read yet."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
    finally:
        sock.settimeout(timeout)
