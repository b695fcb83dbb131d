"""A gateway for tests, and backend servers whose answers a test scripts."""

import dataclasses
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as open_socket

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallerLimits,
    CallRequest,
    GatewayConfiguration,
    Route,
)
from bronzepost._internal.core.membership import Member
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.caller_server import CallerServer
from bronzepost._internal.gateway.callers.header_names import (
    HeaderNames,
    Headers,
    find_header,
)
from bronzepost._internal.gateway.callers.held_memory import HeldMemory
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.callers.request_reader import (
    RequestReader,
)
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.relays import Relays
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.peers.lost_members import LostMembers
from bronzepost._internal.gateway.peers.received_reports import ReceivedReports
from bronzepost._internal.gateway.quotas.call_quotas import CallQuotas
from bronzepost._internal.gateway.quotas.workspace_quotas import QuotaDecision
from bronzepost._internal.gateway.requests.caller_access import CallerAccess
from bronzepost._internal.gateway.requests.forwarding import Forwarder
from bronzepost._internal.gateway.requests.placement_page import PlacementPage
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.placement_explainer import (
    PlacementExplainer,
)
from bronzepost._internal.gateway.servers.server_calls import ServerCalls
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from bronzepost._internal.gateway.servers.suspect_requests import (
    SuspectRequests,
)
from tests.builders_gateway import make_member, make_server, make_unmet
from tests.builders_workspaces import ScriptedSource

READ_BYTES = 65536
CALLER_TIMEOUT_SECONDS = 5.0
LIMITS = CallerLimits(header_seconds=0.3, idle_seconds=2.0)
NAMES = HeaderNames(reserved=frozenset((b'bronzepost-hold',)))

Script = Callable[[Any, HttpRequest], bool]


class ScriptedServer:
    """Call a script with the socket and each request that arrives.

    The connection is closed if the script returns false.
    """

    def __init__(self, *, script: Script, version: str = 'v1') -> None:
        """Listen on a free port; ``version`` is that of the software."""
        self.version = version
        self.requests: list[HttpRequest] = []
        self.connections = 0
        self._script = script
        self._early_answer = b''
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        return f'127.0.0.1:{self._server.server_port}'

    def answer_early(self, content: bytes) -> None:
        """Answer after a request's first byte, without reading the rest."""
        self._early_answer = content

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, sock: Any, _address: Any) -> None:
        self.connections += 1
        if self._early_answer:
            sock.recv(1)
            sock.sendall(self._early_answer)
            gevent.sleep(CALLER_TIMEOUT_SECONDS)
            return
        reader = RequestReader(header_bytes=65536, body_bytes=1048576)
        while True:
            received = self._receive(sock)
            if not received:
                return
            reader.feed(received)
            while reader.requests:
                request = reader.requests.popleft()
                self.requests.append(request)
                if not self._script(sock, request):
                    sock.close()
                    return

    def _receive(self, sock: Any) -> bytes:
        # A gateway resets connections with unread bytes.
        with suppress(OSError):
            received: bytes = sock.recv(READ_BYTES)
            return received
        return b''


class Endless:
    """Send a block again and again until the other side closes."""

    def __init__(self, *, start: bytes, block: bytes) -> None:
        """Send ``start`` first."""
        self.sent_bytes = 0
        self._start = start
        self._block = block

    def send(self, sock: Any, _request: HttpRequest) -> bool:
        """Script of a ``ScriptedServer``."""
        with suppress(OSError):
            for block in itertools.chain(
                (self._start,), itertools.repeat(self._block)
            ):
                sock.sendall(block)
                self.sent_bytes += len(block)
                gevent.sleep(0)
        return False


def answer_with(
    content: bytes, *, stays_open: bool = True, has_id: bool = True
) -> Script:
    """Return a script that answers each request with the same bytes.

    The id of the request is repeated in a header, as servers do.
    """

    def script(sock: Any, request: HttpRequest) -> bool:
        request_id = find_header(request.headers, NAMES.request_id) or b''
        first_line, end, rest = content.partition(b'\r\n')
        if has_id and end:
            first_line = b'%b\r\nBronzepost-Request: %b' % (
                first_line,
                request_id,
            )
        sock.sendall(first_line + end + rest)
        return stays_open

    return script


def stay_silent(_sock: Any, _request: HttpRequest) -> bool:
    """Script of a server that runs requests and does not answer them."""
    gevent.sleep(CALLER_TIMEOUT_SECONDS)
    return False


def make_answer(
    body: bytes, *headers: bytes, status: bytes = b'200 OK'
) -> bytes:
    """Return the bytes of an answer with a Content-Length."""
    lines = [
        b'HTTP/1.1 %b' % status,
        b'Content-Length: %d' % len(body),
        *headers,
        b'',
        body,
    ]
    return b'\r\n'.join(lines)


def decode_test_call(headers: Headers) -> CallRequest:
    """Decode only the request id and the subject."""
    request_id = find_header(headers, NAMES.request_id) or b''
    subject = find_header(headers, b'subject') or b''
    return CallRequest(
        request_id=request_id.decode(), affinity_key=subject.decode()
    )


class NoPeerReports:
    """The load reports of a gateway without peers."""

    max_age_seconds: float = 0
    vm_count: int = 1

    def count_in_flight(self, _server_id: str) -> int:
        """Return no requests for any server."""
        return 0

    @property
    def received(self) -> ReceivedReports:
        """Return no reports."""
        return ReceivedReports(own_name=NoPeers.own_name)

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the only VM."""
        return (NoPeers.own_name,)


class NoPeers:
    """The fleet of a gateway without peers."""

    own_name = 'hall-a-1'

    def __init__(self) -> None:
        """Start without lost VMs."""
        self.lost_members = LostMembers()
        self.unmet = make_unmet()

    def subscribe(self, _message_type: type, _receive: Any) -> None:
        """Receive nothing."""

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return no peers."""
        return ()

    def list_live_peers(self) -> tuple[str, ...]:
        """Return no peers."""
        return ()

    def list_serving(self) -> tuple[Member, ...]:
        """Return the only VM."""
        return (make_member(self.own_name),)


class NoPeerStreams:
    """The streams of a gateway without peers; it knows none that resumes."""

    def begin(self, request_id: str, **stream: Any) -> None:
        """Record nothing."""

    def find(self, _request_id: str, _service: str) -> None:
        """Return no stream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TestGateway:
    """A running gateway that listens on the loopback interface."""

    __test__ = False

    server: CallerServer
    directory: Directory
    address: tuple[str, int]
    source: ScriptedSource
    placement_page: PlacementPage

    def call(self, content: bytes) -> 'CallerSocket':
        """Open a connection and send the bytes of a request."""
        caller = CallerSocket(address=self.address)
        caller.sock.sendall(content)
        return caller


class CallerSocket:
    """A caller's connection."""

    def __init__(self, *, address: tuple[str, int]) -> None:
        """Connect to a gateway."""
        self.sock = create_connection(address)
        self.sock.settimeout(CALLER_TIMEOUT_SECONDS)

    def read_answer(self) -> AnswerReader:
        """Return the next answer; it is incomplete if it broke off."""
        reader = AnswerReader()
        while not reader.is_complete:
            received = self.sock.recv(READ_BYTES)
            if not received:
                reader.feed_eof()
                return reader
            reader.feed(received)
        return reader


def make_request(
    *headers: bytes, method: bytes = b'GET', body: bytes = b''
) -> bytes:
    """Return the bytes of a request for the default route of the tests."""
    lines = [
        b'%b /chat/x HTTP/1.1' % method,
        b'Host: desk.example',
        b'Bronzepost-Request: q-1',
        b'Content-Length: %d' % len(body),
        *headers,
        b'',
        body,
    ]
    return b'\r\n'.join(lines)


def make_permits(directory: Directory) -> ServerPermits:
    """Return the permits of a gateway without peers."""
    return ServerPermits(
        fleet=NoPeers(),  # type: ignore[arg-type]
        reports=NoPeerReports(),  # type: ignore[arg-type]
        calls=None,  # type: ignore[arg-type]
        directory=directory,
    )


def make_links(directory: Directory, pool: ConnectionPool) -> ServerLinks:
    """Return the links of a gateway without peers."""
    return ServerLinks(
        directory=directory,
        pool=pool,
        relays=Relays(
            fleet=NoPeers(),  # type: ignore[arg-type]
            reports=NoPeerReports(),  # type: ignore[arg-type]
            pool=pool,
            own_address='127.0.0.1:0',
            availability_zone='hall-a',
        ),
    )


class ScriptedQuotas:
    """Quotas that decide all requests alike, and record what is called."""

    def __init__(self, **decision: Any) -> None:
        """Admit all requests, unless the fields of a decision are given."""
        self.calls: list[str] = []
        self._decision = QuotaDecision(**(decision or {'is_granted': True}))

    def admit(self, _workspace: Any, **_: Any) -> QuotaDecision:
        """Return the decision."""
        self.calls.append('admit')
        return self._decision

    def charge(self, _workspace: Any) -> None:
        """Record a further send."""
        self.calls.append('charge')

    def refund(self, _workspace: Any, **_: Any) -> None:
        """Record a send that was not run."""
        self.calls.append('refund')


def make_suspects(directory: Directory) -> SuspectRequests:
    """Return the suspect requests of a gateway without peers."""
    return SuspectRequests(
        fleet=NoPeers(),  # type: ignore[arg-type]
        directory=directory,
    )


@contextmanager
def open_gateway(
    route: Route,
    *backends: ScriptedServer,
    configuration: GatewayConfiguration | None = None,
    memory: HeldMemory | None = None,
    quotas: ScriptedQuotas | None = None,
) -> Iterator[TestGateway]:
    """Run a gateway with one route that forwards to scripted servers.

    The route is that of ``configuration``, if there is one.
    """
    pool = ConnectionPool()
    directory = Directory(pool=pool, memory=memory)
    source = ScriptedSource()
    directory.put_configuration(
        configuration
        or GatewayConfiguration(
            version=1, routes=(route,), services_by_name={}, limits=LIMITS
        )
    )
    directory.put_servers([
        _register(number, backend) for number, backend in enumerate(backends)
    ])
    suspects = make_suspects(directory)
    servers = ServerCalls(
        directory=directory,
        reports=NoPeerReports(),  # type: ignore[arg-type]
        permits=make_permits(directory),
        suspects=suspects,
        links=make_links(directory, pool),
        names=NAMES,
        vm_name='hall-a-1',
        availability_zone='hall-a',
    )
    access = CallerAccess(directory=directory, source=source, names=NAMES)
    forwarder = Forwarder(
        directory=directory,
        access=access,
        programs=None,  # type: ignore[arg-type]
        streams=NoPeerStreams(),  # type: ignore[arg-type]
        servers=servers,
        suspects=suspects,
        quotas=CallQuotas(
            quotas=quotas or ScriptedQuotas()  # type: ignore[arg-type]
        ),
        decode_call=decode_test_call,
    )
    port = find_port()
    server = CallerServer(
        address=f'127.0.0.1:{port}',
        answer=forwarder.answer,
        read_limits=directory.read_limits,
        memory=directory.memory,
    )
    server.start()
    yield TestGateway(
        server=server,
        directory=directory,
        address=('127.0.0.1', port),
        source=source,
        placement_page=PlacementPage(
            forwarder=forwarder,
            access=access,
            explainer=PlacementExplainer(
                directory=directory, plans=servers.plans, suspects=suspects
            ),
            decode_call=decode_test_call,
        ),
    )
    server.stop()
    for backend in backends:
        backend.close()


def _register(number: int, backend: ScriptedServer) -> BackendServer:
    # The first server is in the zone of the gateway and is chosen first.
    zone = 'hall-a' if number == 0 else 'hall-b'
    return make_server(
        f's-{number}',
        address=backend.address,
        availability_zone=zone,
        version=backend.version,
    )


def find_port() -> int:
    """Return a free port of the loopback interface."""
    with open_socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port
