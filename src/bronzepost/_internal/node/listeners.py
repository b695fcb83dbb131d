"""The HTTP listeners of a node."""

import dataclasses
import hmac
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Any, Final

from gevent.pywsgi import WSGIHandler, WSGIServer

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.web import (
    StartResponse,
    WebApplication,
    answer_refusal,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A connection that sends no complete header within this time is closed.
HEADER_SECONDS: Final = 30.0
_BEARER: Final = 'Bearer '

Wsgi = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """A connection whose reads end when the peer is silent for too long."""

    def handle(self) -> None:  # noqa: WPS110
        """Serve the connection with a bound on the silence of the peer."""
        self.socket.settimeout(HEADER_SECONDS)
        super().handle()

    def log_request(self) -> None:
        """Write no access log: calls are log events."""

    def handle_error(self, *exception: Any) -> None:
        """Close a connection that broke while it was served."""
        self.close_connection = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedApplication:
    """Let requests through that present one of the keys.

    Without keys every request passes: settings without keys are refused for
    addresses beyond loopback. ``event`` is logged for a request without one.
    """

    application: WebApplication
    keys: Callable[[], Sequence[str]]
    event: LogEvent

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a request, or refuse it if it has no valid key."""
        if self._is_allowed(environ.get('HTTP_AUTHORIZATION', '')):
            return self.application(environ, start_response)
        emit(self.event, path=environ['PATH_INFO'])
        response = answer_refusal(_refuse_key())
        start_response(
            f'{response.status} Unauthorized',
            [('Content-Type', response.content_type)],
        )
        return [bytes(response.body)]  # type: ignore[arg-type]

    def _is_allowed(self, authorization: str) -> bool:
        keys = self.keys()
        if not keys:
            return True
        presented = authorization.removeprefix(_BEARER).encode()
        # Every key is compared, so that the time taken says nothing.
        matches = [hmac.compare_digest(presented, key.encode()) for key in keys]
        return any(matches)


def listen(address: str, application: Wsgi) -> WSGIServer:
    """Return a server that is bound to an address and accepts connections.

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


def _refuse_key() -> RefusedError:
    return RefusedError(
        'the request has no valid key: send Authorization: Bearer KEY',
        code='no_key',
        status=HTTPStatus.UNAUTHORIZED,
        step='check key',
    )
