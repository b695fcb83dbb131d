"""HTTP requests, responses and routes on top of gevent's WSGI server."""

import dataclasses
import re
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from typing import Any, BinaryIO, Final
from urllib.parse import parse_qsl

import gevent
import msgspec

from bronzepost._internal.exceptions import RefusedError, RunState
from bronzepost._internal.refusal_bodies import encode_refusal
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.metrics import Metrics

# A request whose body takes longer than this to arrive is refused.
BODY_TIMEOUT_SECONDS: Final = 10.0

# The library keeps the chunks of one read as objects, which for chunks of two
# bytes take some 20 times their bytes.
_READ_BYTES: Final = 65536

JSON_TYPE: Final = 'application/json'
EVENT_STREAM_TYPE: Final = 'text/event-stream'

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request with its whole body; header names are in lower case.

    ``path_parameters`` are the named groups of the route's pattern.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    path_parameters: Mapping[str, str]

    def json(self) -> Any:
        """Return the decoded body.

        Raises:
            RefusedError: if the body is not JSON.
        """
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise refuse_parameter('body', f'not JSON: {error}') from error


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A response; an iterator as body is sent block by block."""

    status: int = HTTPStatus.OK
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | Iterator[bytes] = b''
    content_type: str = JSON_TYPE


Handler = Callable[[Request], Response]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A handler for one method and all paths that match a pattern."""

    method: str
    pattern: str
    handler: Handler


def build_json_response(body: Any, status: int = HTTPStatus.OK) -> Response:
    """Return a response with a JSON body."""
    return Response(status=status, body=msgspec.json.encode(body))


def refuse_parameter(parameter: str, problem: str) -> RefusedError:
    """Return the refusal of a request with an invalid parameter."""
    return RefusedError(
        f'{parameter}: {problem}',
        code='bad_request',
        status=HTTPStatus.BAD_REQUEST,
        step='read request',
        parameter=parameter,
    )


def build_refusal_response(error: RefusedError) -> Response:
    """Return the response that describes a refusal."""
    headers: list[tuple[str, str]] = []
    if error.retry_after_seconds is not None:
        headers.append(('Retry-After', f'{error.retry_after_seconds:g}'))
    if error.run is not RunState.NOT_RUN:
        # Client libraries retry most errors by default; the call may have run.
        headers.append(('x-should-retry', 'false'))
    return Response(
        status=error.status,
        headers=tuple(headers),
        body=encode_refusal(error),
    )


class WebApplication:
    """A WSGI application that dispatches requests to the handlers of routes."""

    def __init__(
        self,
        *,
        routes: Sequence[Route],
        max_body_bytes: int,
        metrics: Metrics,
    ) -> None:
        """Compile the patterns of the routes."""
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes
        self._open_response_count = 0
        self._routes = [
            (route.method, re.compile(route.pattern), route.handler)
            for route in routes
        ]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request; errors of handlers become error responses."""
        response = self._get_response(environ)
        headers = [('Content-Type', response.content_type), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(('Content-Length', str(len(response.body))))
        status = HTTPStatus(response.status)
        start_response(f'{status.value} {status.phrase}', headers)
        if isinstance(response.body, bytes):
            return [response.body]
        return self._send_blocks(response.body)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is handled and no response is sent."""
        return not self._open_response_count

    def _send_blocks(self, blocks: Iterator[bytes]) -> Iterator[bytes]:
        # If the connection breaks, the server closes this generator, and the
        # response is no longer counted.
        with self._count_open_response():
            yield from blocks

    @contextmanager
    def _count_open_response(self) -> Iterator[None]:
        self._open_response_count += 1
        with ExitStack() as stack:
            stack.callback(self._uncount_response)
            yield

    def _uncount_response(self) -> None:
        self._open_response_count -= 1

    def _get_response(self, environ: dict[str, Any]) -> Response:
        try:
            with self._count_open_response():
                return self._dispatch(environ)
        except RefusedError as error:
            emit(LogEvent.CALL_REFUSED, error=error, code=error.code)
            self._metrics.count(Metric.CALLS_REFUSED, label=error.code)
            return build_refusal_response(error)
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.GREENLET_FAILED, error=error)
            return build_refusal_response(_refuse_internal_error())

    def _dispatch(self, environ: dict[str, Any]) -> Response:
        method = environ['REQUEST_METHOD']
        path = _read_path(environ)
        matches = [
            (route_method, handler, match.groupdict())
            for route_method, pattern, handler in self._routes
            if (match := pattern.fullmatch(path))
        ]
        for route_method, handler, path_parameters in matches:
            if route_method == method:
                return handler(self._read_request(environ, path_parameters))
        raise _refuse_no_route(method, path, has_path=bool(matches))

    def _read_request(
        self, environ: dict[str, Any], path_parameters: Mapping[str, str]
    ) -> Request:
        headers = {
            name.removeprefix('HTTP_').replace('_', '-').lower(): text
            for name, text in environ.items()
            if name.startswith('HTTP_')
        }
        return Request(
            method=environ['REQUEST_METHOD'],
            path=_read_path(environ),
            query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
            headers=headers,
            body=self._read_body(environ),
            path_parameters=path_parameters,
        )

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        length = environ.get('CONTENT_LENGTH') or '0'
        if not length.isdecimal():
            raise refuse_parameter('Content-Length', 'not a number')
        if int(length) > self._max_body_bytes:
            raise self._refuse_large_body()
        with gevent.Timeout(BODY_TIMEOUT_SECONDS, _refuse_slow_body()):
            if int(length):
                return bytes(environ['wsgi.input'].read(int(length)))
            return self._join_chunks(environ['wsgi.input'])

    def _join_chunks(self, body_input: BinaryIO) -> bytes:
        """Read a body piece by piece, as each of its chunks is an object."""
        pieces = []
        # A chunked body has no Content-Length: one byte above the limit shows
        # that it is too large.
        left = self._max_body_bytes + 1
        while left > 0:
            piece = body_input.read(min(left, _READ_BYTES))
            if not piece:
                break
            pieces.append(piece)
            left -= len(piece)
        if not left:
            raise self._refuse_large_body()
        return b''.join(pieces)

    def _refuse_large_body(self) -> RefusedError:
        return RefusedError(
            f'the body is larger than {self._max_body_bytes} bytes',
            code='body_too_large',
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            step='read request',
            parameter='body',
        )


def _read_path(environ: dict[str, Any]) -> str:
    # WSGI decodes the bytes of the path as Latin-1.
    raw: str = environ['PATH_INFO']
    return raw.encode('latin-1', 'replace').decode(errors='replace')


def _refuse_slow_body() -> RefusedError:
    return RefusedError(
        f'the body did not arrive within {BODY_TIMEOUT_SECONDS:g} s',
        code='slow_request',
        status=HTTPStatus.REQUEST_TIMEOUT,
        step='read request',
    )


def _refuse_internal_error() -> RefusedError:
    return RefusedError(
        'an unexpected error; the log of the node has it',
        code='internal',
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        step='answer request',
        run=RunState.UNKNOWN,
    )


def _refuse_no_route(method: str, path: str, *, has_path: bool) -> RefusedError:
    status = HTTPStatus.NOT_FOUND
    if has_path:
        status = HTTPStatus.METHOD_NOT_ALLOWED
    return RefusedError(
        f'no {method} of {path}; see docs/protocol.md',
        code=status.name.lower(),
        status=status,
        step='read request',
    )
