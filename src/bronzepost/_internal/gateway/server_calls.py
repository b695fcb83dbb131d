"""Send requests to the backend servers that suit them best."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    PromptPart,
    RouteKind,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementView,
    choose_server,
)
from bronzepost._internal.gateway.backend_connections import ConnectionPool
from bronzepost._internal.gateway.backend_exchange import BackendExchange
from bronzepost._internal.gateway.directory import Directory
from bronzepost._internal.gateway.header_names import (
    HeaderNames,
    Headers,
    drop_headers,
    find_header,
    strip_connection_headers,
)
from bronzepost._internal.gateway.http_messages import AnswerHead, encode_head
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.gateway.pending_call import (
    DeadlinePassedError,
    NotRunError,
    PendingCall,
)

MILLISECONDS: Final = 1000
# A request is not sent any more when less time is left than a round trip to
# another availability zone takes.
LEAST_SECONDS: Final = 0.01
# Idle connections that are used for requests that may run only once; the
# shortest Keep-Alive hints of the deployments are a few seconds.
TRUSTED_IDLE_SECONDS: Final = 1.0
MOST_IDLE_SECONDS: Final = 60.0
_SALT_BITS: Final = 32
_BODILESS_METHODS: Final = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))


class ServerCalls:
    """Choose backend servers and open exchanges with them."""

    def __init__(
        self,
        *,
        directory: Directory,
        reports: PeerReports,
        pool: ConnectionPool,
        names: HeaderNames,
        availability_zone: str,
    ) -> None:
        """Choose among the servers of ``directory``."""
        self._directory = directory
        self._reports = reports
        self._pool = pool
        self._names = names
        self._availability_zone = availability_zone

    def choose(self, pending: PendingCall) -> BackendServer | None:
        """Return the server to send a request to, or None without any.

        Raises:
            DeadlinePassedError: if too little time is left to send it.
        """
        if pending.remaining_seconds < LEAST_SECONDS:
            raise DeadlinePassedError
        servers = [
            server
            for server in self._directory.list_servers(pending.service)
            if server.server_id not in pending.passed_over
        ]
        part = pending.call.shared_part
        view = PlacementView(
            availability_zone=self._availability_zone,
            in_flight=self._reports.sum_in_flight(),
            home=pending.turn.reservation.server_id if pending.turn else '',
            own_tokens=pending.call.own_tokens,
            shared_tokens=part.tokens if part else 0,
            holders=self._choose_holders(pending, part),
            slowness_by_id=self._directory.compare_servers(servers),
            avoided=self._directory.list_avoided(),
            salt=random.getrandbits(_SALT_BITS),
        )
        return choose_server(servers, view)

    @contextmanager
    def exchange(
        self, pending: PendingCall, server: BackendServer
    ) -> Iterator[tuple[BackendExchange, AnswerHead]]:
        """Send a request and give its exchange and the head of the answer.

        Raises:
            NotRunError: if the server did not run the request.
            ExchangeError: if there is no answer.
        """
        pending.server_id = server.server_id
        pending.sends += 1
        step = f'forward {pending.call.request_id}'
        with self._count_in_flight(server):
            exchange = BackendExchange(
                pool=self._pool,
                connection=self._pool.acquire(
                    server.address,
                    step=step,
                    most_idle_seconds=self._trust_idle(pending),
                ),
                request_id=pending.call.request_id.encode('latin-1'),
                id_header=self._names.request_id,
                step=step,
            )
            with exchange:
                exchange.send(self._encode_head(pending, server), pending.body)
                head = exchange.read_head()
                self._check_run(head, server, step)
                yield exchange, head
                self._note_pace(pending, server)
                self._note_status(head, server)

    def _choose_holders(
        self, pending: PendingCall, part: PromptPart | None
    ) -> frozenset[str]:
        if part is None:
            return frozenset()
        servers = self._directory.list_servers(pending.service)
        return self._directory.prompt_parts.choose_holders(
            part,
            (server.server_id for server in servers),
            self._directory.find_memory_tokens(pending.service),
        )

    def _note_status(self, head: AnswerHead, server: BackendServer) -> None:
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._directory.report_failure(server.server_id)
        else:
            self._directory.report_success(server.server_id)

    def _note_pace(self, pending: PendingCall, server: BackendServer) -> None:
        if pending.events.pace:
            running = self._reports.sum_in_flight().get(server.server_id, 0)
            self._directory.report_pace(
                server.server_id,
                seconds_per_event=pending.events.pace,
                running=running,
            )

    def _trust_idle(self, pending: PendingCall) -> float:
        # A server may drop an idle connection without notice, and what is
        # sent on it next may then not be sent again.
        if pending.route.kind is RouteKind.IDEMPOTENT:
            return MOST_IDLE_SECONDS
        return TRUSTED_IDLE_SECONDS

    @contextmanager
    def _count_in_flight(self, server: BackendServer) -> Iterator[None]:
        in_flight = self._directory.in_flight_by_id
        in_flight[server.server_id] += 1
        try:
            yield
        finally:
            in_flight[server.server_id] -= 1

    def _check_run(
        self, head: AnswerHead, server: BackendServer, step: str
    ) -> None:
        is_misplaced = head.status == HTTPStatus.MISDIRECTED_REQUEST
        if is_misplaced:
            self._directory.report_misplaced(server)
        if is_misplaced or find_header(head.headers, self._names.not_run):
            raise NotRunError(
                f'status {head.status}', step=step, peer=server.address
            )

    def _encode_head(
        self, pending: PendingCall, server: BackendServer
    ) -> bytes:
        request = pending.request
        own = self._list_own_headers(pending, server)
        replaced = {name.lower() for name, _ in own}
        replaced.update(self._names.reserved, _REPLACED)
        headers = strip_connection_headers(request.headers)
        line = b'%b %b HTTP/1.1' % (request.method, request.target)
        return encode_head(line, drop_headers(headers, replaced) + own)

    def _list_own_headers(
        self, pending: PendingCall, server: BackendServer
    ) -> Headers:
        names = self._names
        remaining = max(int(pending.remaining_seconds * MILLISECONDS), 1)
        own: Headers = (
            (names.deadline, b'%d' % remaining),
            (names.expected_server, server.server_id.encode('latin-1')),
        )
        if pending.events.last_id:
            own = (*own, (names.resume_after, pending.events.last_id))
        if pending.body or pending.request.method not in _BODILESS_METHODS:
            length = b'%d' % len(pending.body)
            own = (*own, (b'Content-Length', length))
        return own


_REPLACED: Final = frozenset((b'content-length', b'expect'))
