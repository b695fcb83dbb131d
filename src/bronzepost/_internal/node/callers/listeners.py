"""The HTTP listeners of a node."""

import dataclasses
import hmac
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Any, Final

from gevent.pywsgi import WSGIHandler, WSGIServer

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.web import (
    StartResponse,
    WebApplication,
    build_refusal_response,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A connection on which one read or write takes longer is closed.
SOCKET_TIMEOUT_SECONDS: Final = 30.0
_BEARER: Final = 'Bearer '

WsgiApplication = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Handles a connection and closes it if the client is silent too long."""

    def handle(self) -> None:  # noqa: WPS110
        """Serve the connection with a timeout for its reads and writes."""
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        super().handle()

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
