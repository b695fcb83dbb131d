"""HTTP shared by all stand-ins: routing, fault switches and the server."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qsl, unquote

import msgspec
from gevent import sleep, socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from standins.faults import Switches, update_switches

SOCKET_KEY = 'standins.socket'
HANG_POLL_SECONDS = 0.02
LISTEN_BACKLOG = 1024
REASONS_BY_STATUS = {  # noqa: WPS407 - read only
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    429: 'Too Many Requests',
    503: 'Service Unavailable',
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    captured: Mapping[str, str] = field(default_factory=dict)

    def json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty for an empty body."""
        try:
            return msgspec.json.decode(self.body or b'{}', type=dict[str, Any])
        except msgspec.MsgspecError as error:
            raise RequestError(400, f'body: {error}') from error

    def parse_whole_number(self, name: str, default: int) -> int:
        """Return a query parameter as a non-negative integer."""
        text = self.query.get(name, str(default))
        if not text.isdigit():
            raise RequestError(400, f'{name}: not a whole number')
        return int(text)


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """One answer, either whole or as a stream of chunks."""

    status: int = 200
    content: bytes = b'{}'
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()
    chunks: Iterator[bytes] | None = None


class RequestError(Exception):
    """A request that is answered with an error status."""

    def __init__(
        self,
        status: int,
        message: str,
        *,
        retry_after_seconds: int | None = None,
        detail: Mapping[str, Any] | None = None,
    ) -> None:
        """Set the status; ``detail`` is the body, by default the message."""
        super().__init__(message)
        self.status = status
        self.retry_after_seconds = retry_after_seconds
        self.detail = dict(detail or {'error': message})

    def reply(self) -> Reply:
        """Return the answer that reports this error."""
        headers: tuple[tuple[str, str], ...] = ()
        if self.retry_after_seconds is not None:
            headers = (('Retry-After', str(self.retry_after_seconds)),)
        return Reply(
            status=self.status,
            content=msgspec.json.encode(self.detail),
            headers=headers,
        )


Handler = Callable[[Request], Reply]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


def json_reply(value: object) -> Reply:
    """Return a value as a JSON answer with status 200."""
    return Reply(content=msgspec.json.encode(value))


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A handler of requests whose full path matches a regular expression.

    Routes for tests (``is_exempt``) ignore the fault switches.
    """

    method: str
    pattern: str
    handler: Handler
    is_exempt: bool = False


def get(pattern: str, handler: Handler, *, is_exempt: bool = False) -> Route:
    """Return a route of GET requests."""
    return Route(
        method='GET', pattern=pattern, handler=handler, is_exempt=is_exempt
    )


def put(pattern: str, handler: Handler) -> Route:
    """Return a route of PUT requests, which only tests send."""
    return Route(method='PUT', pattern=pattern, handler=handler, is_exempt=True)


def post(pattern: str, handler: Handler) -> Route:
    """Return a route of POST requests."""
    return Route(method='POST', pattern=pattern, handler=handler)


class Application:
    """WSGI application with routes and fault switches.

    A request is delayed by ``slow_seconds`` before its handler runs; during an
    ``outage`` it is then refused with 503. Two switches act after the handler:
    ``hang`` holds the answer back until it is cleared, and ``lose_answers``
    closes the connections of that many successful POST requests unanswered.
    """

    def __init__(self, *, routes: Iterable[Route], switches: Switches) -> None:
        """Add the routes of the switches to those of the stand-in."""
        self.switches = switches
        self._routes = (
            get('/faults', lambda _: json_reply(switches), is_exempt=True),
            put('/faults', self._change_switches),
            *routes,
        )

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        request = read_request(environ)
        try:
            reply = self._answer(request)
        except RequestError as error:
            reply = error.reply()
        if self._is_answer_lost(request, reply):
            environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
        return send_reply(reply, start_response)

    def _answer(self, request: Request) -> Reply:
        route, captured = self._find_route(request)
        if route.is_exempt:
            return route.handler(captured)
        if self.switches.slow_seconds > 0:
            sleep(self.switches.slow_seconds)
        if self.switches.outage:
            raise RequestError(503, 'outage', retry_after_seconds=1)
        reply = route.handler(captured)
        while self.switches.hang:
            sleep(HANG_POLL_SECONDS)
        return reply

    def _find_route(self, request: Request) -> tuple[Route, Request]:
        for route in self._routes:
            match = re.fullmatch(route.pattern, request.path)
            if match is not None and route.method == request.method:
                return route, replace(request, captured=match.groupdict())
        raise RequestError(404, f'no such path: {request.path}')

    def _is_answer_lost(self, request: Request, reply: Reply) -> bool:
        if request.method != 'POST' or reply.status != 200:
            return False
        if self.switches.lose_answers <= 0:
            return False
        self.switches.lose_answers -= 1
        return True

    def _change_switches(self, request: Request) -> Reply:
        try:
            update_switches(self.switches, request.json_object())
        except msgspec.ValidationError as error:
            raise RequestError(400, str(error)) from error
        return json_reply(self.switches)


def read_request(environ: dict[str, Any]) -> Request:
    """Return the request that a WSGI environment describes."""
    headers = {
        name[len('HTTP_') :].replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    return Request(
        method=environ['REQUEST_METHOD'],
        path=unquote(environ['PATH_INFO']),
        query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
        headers=headers,
        body=environ['wsgi.input'].read(),
    )


def send_reply(reply: Reply, start_response: StartResponse) -> Iterable[bytes]:
    """Start the response and return its body."""
    reason = REASONS_BY_STATUS.get(reply.status, 'Error')
    headers = [('Content-Type', reply.content_type), *reply.headers]
    if reply.chunks is None:
        headers.append(('Content-Length', str(len(reply.content))))
    start_response(f'{reply.status} {reason}', headers)
    return [reply.content] if reply.chunks is None else reply.chunks


class SocketHandler(WSGIHandler):  # type: ignore[misc] # noqa: WPS110
    """Passes the connection to the application, so that it can close it."""

    # The base class gives the name.
    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        """Return the WSGI environment of a request, with its connection."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address written ``HOST:PORT``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def open_listener(address: str) -> socket.socket:
    """Return a listening socket without Nagle's delay.

    Otherwise small chunks of a stream would wait for acknowledgements.
    Accepted connections inherit the option.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind(split_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener


def listening_address(listener: socket.socket) -> str:
    """Return the address on which a socket listens."""
    host, port = listener.getsockname()
    return f'{host}:{port}'


def serve_application(
    application: Application, address: str, *, relayed_address: str = ''
) -> None:
    """Print the ready line and serve until the process ends.

    The line has ``relayed_address`` first, if there is one.
    """
    listener = open_listener(address)
    server = WSGIServer(
        listener, application, log=None, handler_class=SocketHandler
    )
    server.start()
    addresses = f'{relayed_address} {listening_address(listener)}'
    print(f'ready {addresses.strip()}', flush=True)
    server.serve_forever()
