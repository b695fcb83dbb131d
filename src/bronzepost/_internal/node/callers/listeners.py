"""The HTTP listeners of a node."""

import dataclasses
import hmac
import io
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Any, Final

from gevent.pywsgi import WSGIHandler, WSGIServer

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.paced_input import PacedInput
from bronzepost._internal.node.callers.web import (
    StartResponse,
    WebApplication,
    build_refusal_response,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A connection on which one read or write takes longer is closed.
SOCKET_TIMEOUT_SECONDS: Final = 30.0
# For how long the rest of a refused request is read: an earlier close could take
# the refusal away from a caller that sends its body first.
DISCARD_TIMEOUT_SECONDS: Final = 10.0
# Holds some dozens of small requests; others run after each buffer.
_BUFFER_BYTES: Final = 4096
_BEARER: Final = 'Bearer '

WsgiApplication = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Handles a connection and closes it if the client is silent too long."""

    def __init__(self, sock: Any, address: Any, server: WSGIServer) -> None:
        """Read the requests of a connection so that others run meanwhile."""
        self._input = PacedInput(sock=sock)
        buffered = io.BufferedReader(self._input, _BUFFER_BYTES)
        super().__init__(sock, address, server, rfile=buffered)

    def handle(self) -> None:  # noqa: WPS110
        """Serve the connection with a timeout for its reads and writes."""
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        super().handle()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head of a request; a head that is too large gets 400."""
        is_valid = super().read_request(raw_requestline)
        self._input.end_head()
        return bool(is_valid)

    def run_application(self) -> None:
        """Answer a request; then the server reads what is left of it."""
        super().run_application()
        self._input.end_after(DISCARD_TIMEOUT_SECONDS)

    def handle_one_response(self) -> None:
        """Answer a request; the next one has a head again."""
        super().handle_one_response()
        if self._input.has_ended:
            # Bytes of the body would be read as the next request.
            self.close_connection = True
        self._input.begin_head()

    def log_request(self) -> None:
        """Write no access log; handled calls are log events."""

    def handle_error(self, *exception: Any) -> None:
        """Close the connection after an error in it."""
        self.close_connection = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyCheckedApplication:
    """Passes on only requests that present one of the bearer keys.

    An empty list of keys lets every request pass; the settings allow that for
    loopback addresses only. A refused request is logged as
    ``rejection_event``.
    """

    application: WebApplication
    list_keys: Callable[[], Sequence[str]]
    rejection_event: LogEvent

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Pass on a request, or answer 401 if it has no valid key."""
        if self._has_valid_key(environ.get('HTTP_AUTHORIZATION', '')):
            return self.application(environ, start_response)
        emit(self.rejection_event, path=environ['PATH_INFO'])
        response = build_refusal_response(_refuse_invalid_key())
        start_response(
            f'{response.status} Unauthorized',
            [('Content-Type', response.content_type)],
        )
        return [bytes(response.body)]  # type: ignore[arg-type]

    def _has_valid_key(self, authorization: str) -> bool:
        keys = self.list_keys()
        if not keys:
            return True
        presented = authorization.removeprefix(_BEARER).encode()
        # Compares with every key, so that the time does not reveal which key
        # is similar.
        matches = [hmac.compare_digest(presented, key.encode()) for key in keys]
        return any(matches)


def listen(address: str, application: WsgiApplication) -> WSGIServer:
    """Bind a server to an address and start it; return the server.

    Raises:
        OSError: if the address cannot be bound.
    """
    host, _, port = address.rpartition(':')
    server = WSGIServer(
        (host, int(port)),
        application,
        log=None,
        error_log=None,
        handler_class=_Handler,
    )
    server.start()
    return server


def _refuse_invalid_key() -> RefusedError:
    return RefusedError(
        'the request has no valid key: send Authorization: Bearer KEY',
        code='no_key',
        status=HTTPStatus.UNAUTHORIZED,
        step='check key',
    )
