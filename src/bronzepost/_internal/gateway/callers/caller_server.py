"""The server to which callers connect."""

import contextlib
import functools
from http import HTTPStatus
from typing import Any, Final

from gevent.server import StreamServer

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import RefusedError, RunState
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
    CallerGoneError,
)
from bronzepost._internal.gateway.callers.caller_connections import (
    CONNECTION_BYTES,
    AnswerRequest,
    CallerConnection,
    ReadLimits,
)
from bronzepost._internal.gateway.callers.held_memory import (
    HeldBytes,
    HeldMemory,
)
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from bronzepost._internal.gateway.callers.orderly_close import (
    finish_sending,
    linger,
)
from bronzepost._internal.gateway.links.tcp_options import set_tcp_options
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A caller that acknowledges no data for this long counts as disconnected. Linux
# also ends a connection by it whose window is closed for as long, though the caller
# acknowledges, so it is as long as a slow caller may take.
USER_TIMEOUT_MS: Final = 30_000
LISTEN_BACKLOG: Final = 1024
# More connections are closed at once: they would take descriptors from callers.
MAX_LINGERING: Final = 512


def refuse_internal_error() -> RefusedError:
    """Return the refusal of a request that ends with an unexpected error."""
    return RefusedError(
        'an unexpected error; the log of the VM has it',
        code='internal',
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        step='answer request',
        run=RunState.UNKNOWN,
    )


def answer_or_refuse(
    answer_request: AnswerRequest, request: HttpRequest, answer: CallerAnswer
) -> None:
    """Answer a request, and refuse it if that fails unexpectedly.

    Errors of the caller's connection are ``CallerGoneError``; any other error is
    one of this VM, and the caller can still be told.

    Raises:
        CallerGoneError: if the caller's connection is broken.
    """
    try:
        answer_request(request, answer)
    except CallerGoneError:
        raise
    except Exception as error:  # noqa: BLE001
        emit(LogEvent.GREENLET_FAILED, error=error, step='answer request')
        # An answer that has begun is broken off.
        if not answer.is_started:
            answer.refuse(refuse_internal_error())


class CallerServer:
    """Listen for callers and pass their requests to a handler."""

    def __init__(
        self,
        *,
        address: str,
        answer: AnswerRequest,
        read_limits: ReadLimits,
        memory: HeldMemory | None = None,
    ) -> None:
        """Prepare to listen on ``IP:PORT``; ``start`` binds the address.

        ``read_limits`` is called for each connection that is accepted. What
        callers have not read is counted in ``memory``, by itself if it is None.
        """
        host, _, port = address.rpartition(':')
        self.answer: AnswerRequest = functools.partial(answer_or_refuse, answer)
        self.is_draining = False
        self.is_stopped = False
        self.has_given_up = False
        self.memory = memory or HeldMemory()
        self._read_limits = read_limits
        self._connections: set[CallerConnection] = set()
        self._lingering = 0
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=LISTEN_BACKLOG
        )

    def start(self) -> None:
        """Accept connections.

        Raises:
            OSError: if the address cannot be bound.
        """
        self._server.start()

    def count_busy(self) -> int:
        """Return the number of connections on which a request is running."""
        return sum(not connection.is_idle for connection in self._connections)

    def count_open(self) -> int:
        """Return the number of open connections, busy or idle."""
        return len(self._connections)

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self.is_draining = True

    def stop(self) -> None:
        """Accept no more connections, and close each as soon as it is idle."""
        self.is_stopped = True
        if self._server.started:
            self._accept_queued()
        self._server.close()
        for connection in tuple(self._connections):
            connection.close_idle()

    def give_up(self) -> None:
        """Refuse all requests, those that are running and later ones."""
        self.has_given_up = True
        for connection in tuple(self._connections):
            connection.give_up()

    def _accept_queued(self) -> None:
        """Accept the connections that closing the listening socket would reset.

        Their requests may have been sent long ago if the process had to wait for
        a core.
        """
        with contextlib.suppress(OSError):
            for _ in range(LISTEN_BACKLOG):
                accepted = self._server.do_read()
                if accepted is None:
                    return
                self._server.do_handle(*accepted)

    def _serve(self, sock: Any, _address: Any) -> None:
        with contextlib.closing(sock):
            set_tcp_options(sock, user_timeout_ms=USER_TIMEOUT_MS)
            if self._serve_requests(sock) and self._lingering < MAX_LINGERING:
                self._linger(sock)

    def _linger(self, sock: Any) -> None:
        with contextlib.ExitStack() as stack:
            self._lingering += 1
            stack.callback(self._end_linger)
            stack.enter_context(self._hold_connection())
            linger(sock)

    def _end_linger(self) -> None:
        self._lingering -= 1

    def _finish(self, sock: Any) -> bool:
        with self._hold_connection():
            return finish_sending(sock)

    def _hold_connection(self) -> HeldBytes:
        """Count a connection whose requests have ended."""
        held = self.memory.open(HeldKind.CONNECTIONS)
        held.resize(CONNECTION_BYTES)
        return held

    def _serve_requests(self, sock: Any) -> bool:
        """Serve a connection; return whether the caller may close it later."""
        connection = CallerConnection(
            sock=sock, server=self, limits=self._read_limits()
        )
        self._connections.add(connection)
        if self.is_stopped:
            # It was accepted just before the stop.
            connection.close_idle()
        try:
            return connection.serve() and self._finish(sock)
        except CallerGoneError:
            emit(LogEvent.CALLER_DISCONNECTED)
        except OSError as error:
            emit(LogEvent.CALLER_DISCONNECTED, error=error)
        finally:
            self._connections.discard(connection)
        return False
