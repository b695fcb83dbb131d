"""Choose backend servers for requests and exchange messages with them."""

import random
from collections.abc import Iterator, Sequence, Set
from contextlib import contextmanager
from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.gateway.candidates import (
    choose_candidates,
    choose_subset,
)
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    RouteKind,
)
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
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
from bronzepost._internal.gateway.parts_in_use import Holders
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.gateway.pending_call import (
    DeadlinePassedError,
    NotRunError,
    PendingCall,
)
from bronzepost._internal.telemetry.exposition import METRICS

MILLISECONDS_PER_SECOND: Final = 1000
# A request is not sent if less time is left: a round trip to another
# availability zone takes as long.
MIN_REMAINING_SECONDS: Final = 0.01
# For how long a connection that is used again may have been idle. A server may
# close an idle connection without notice; it is then not known whether a
# request sent on it has run. Requests that may run only once use connections
# that are idle for less than the shortest Keep-Alive timeouts, which are a few
# seconds.
MAX_IDLE_SECONDS_NON_IDEMPOTENT: Final = 1.0
MAX_IDLE_SECONDS_IDEMPOTENT: Final = 60.0
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
        vm_name: str,
        availability_zone: str,
    ) -> None:
        """Choose among the servers of ``directory`` by load and distance."""
        self._directory = directory
        self._reports = reports
        self._pool = pool
        self._names = names
        self._vm_name = vm_name
        self._availability_zone = availability_zone
        # Cached until a server of the service changes.
        self._subset_by_service: dict[str, Holders] = {}

    def choose(self, pending: PendingCall) -> BackendServer | None:
        """Return the server for a request, or None if there is none.

        Raises:
            DeadlinePassedError: if too little time is left to send it.
        """
        if pending.remaining_seconds < MIN_REMAINING_SECONDS:
            raise DeadlinePassedError
        servers = self._directory.list_servers(pending.service)
        holders = self._choose_holders(pending, servers)
        candidates = self._list_candidates(pending, servers, holders)
        shared_part = pending.call.shared_part
        context = PlacementContext(
            availability_zone=self._availability_zone,
            in_flight={
                server.server_id: self._reports.count_in_flight(
                    server.server_id
                )
                for server in candidates
            },
            previous_server_id=find_previous_server(pending),
            unshared_tokens=pending.call.unshared_tokens,
            shared_tokens=shared_part.tokens if shared_part else 0,
            answer_tokens=self._directory.ratings.find_answer_tokens(
                pending.service
            ),
            holder_ids=holders.server_ids,
            latency_ratio_by_id=self._directory.ratings.compute_latency_ratios(
                candidates
            ),
            avoided_ids=self._directory.ratings.list_avoided(),
            connected_ids=self._list_connected(pending, candidates),
            report_age_seconds=self._reports.max_age_seconds,
            salt=random.getrandbits(_SALT_BITS),
        )
        return choose_server(candidates, context)

    @contextmanager
    def open_exchange(
        self, pending: PendingCall, server: BackendServer
    ) -> Iterator[tuple[BackendExchange, AnswerHead]]:
        """Send a request; yield the exchange and the head of its answer.

        Raises:
            NotRunError: if the server did not run the request.
            ExchangeError: if the server does not answer.
        """
        pending.server_id = server.server_id
        pending.server_version = server.version
        pending.sends += 1
        METRICS.server_sends.labels(server=server.server_id).inc()
        step = f'forward {pending.call.request_id}'
        with self._count_in_flight(server):
            exchange = BackendExchange(
                pool=self._pool,
                connection=self._pool.acquire(
                    server.address,
                    step=step,
                    max_idle_seconds=self._find_max_idle_seconds(pending),
                ),
                request_id=pending.call.request_id.encode('latin-1'),
                id_header=self._names.request_id,
                step=step,
            )
            with exchange:
                exchange.send(self._encode_head(pending, server), pending.body)
                head = exchange.read_head()
                pending.framing = head.framing
                pending.server_limit = self._read_limit(head)
                self._check_was_run(head, server, step)
                yield exchange, head
                self._record_latency(pending, server)
                self._record_status(head, server)

    def _list_candidates(
        self,
        pending: PendingCall,
        servers: Sequence[BackendServer],
        holders: Holders,
    ) -> Sequence[BackendServer]:
        excluded_ids = self._list_excluded(pending)
        candidates = choose_candidates(
            servers,
            holders=holders.engines,
            avoided_ids=self._directory.ratings.list_avoided(),
            excluded_ids=excluded_ids,
            key=pending.call.program_id or pending.call.request_id,
        )
        previous = self._directory.find_serving(
            pending.service, find_previous_server(pending)
        )
        if previous is None or previous.server_id in excluded_ids:
            return candidates
        return (previous, *candidates)

    def _list_excluded(self, pending: PendingCall) -> Set[str]:
        if pending.stream_version is None:
            return pending.excluded_ids
        others = self._directory.list_other_versions(
            pending.service, pending.stream_version
        )
        return pending.excluded_ids | others

    def _choose_holders(
        self, pending: PendingCall, servers: Sequence[BackendServer]
    ) -> Holders:
        shared_part = pending.call.shared_part
        if shared_part is None:
            return self._choose_subset(pending.service, servers)
        return self._directory.prompt_parts.choose_holders(
            shared_part,
            servers,
            self._directory.find_memory_tokens(pending.service),
        )

    def _choose_subset(
        self, service: str, servers: Sequence[BackendServer]
    ) -> Holders:
        known = self._subset_by_service.get(service)
        if known is None or known.servers is not servers:
            subset = choose_subset(
                servers,
                vm_name=self._vm_name,
                availability_zone=self._availability_zone,
            )
            known = Holders(engines=subset, servers=servers)
            self._subset_by_service[service] = known
        return known

    def _list_connected(
        self, pending: PendingCall, candidates: Sequence[BackendServer]
    ) -> frozenset[str]:
        max_idle_seconds = self._find_max_idle_seconds(pending)
        return frozenset(
            server.server_id
            for server in candidates
            if self._pool.has_idle(server.address, max_idle_seconds)
        )

    def _record_status(self, head: AnswerHead, server: BackendServer) -> None:
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._directory.ratings.report_failure(server.server_id)
        else:
            self._directory.ratings.report_success(server.server_id)

    def _record_latency(
        self, pending: PendingCall, server: BackendServer
    ) -> None:
        if pending.events.seconds_per_event:
            running = self._reports.count_in_flight(server.server_id)
            self._directory.ratings.report_latency(
                server.server_id,
                seconds_per_event=pending.events.seconds_per_event,
                running=running,
            )

    def _find_max_idle_seconds(self, pending: PendingCall) -> float:
        if pending.route.kind is RouteKind.IDEMPOTENT:
            return MAX_IDLE_SECONDS_IDEMPOTENT
        return MAX_IDLE_SECONDS_NON_IDEMPOTENT

    @contextmanager
    def _count_in_flight(self, server: BackendServer) -> Iterator[None]:
        in_flight = self._directory.in_flight_by_id
        in_flight[server.server_id] += 1
        try:
            yield
        finally:
            in_flight[server.server_id] -= 1

    def _read_limit(self, head: AnswerHead) -> str:
        limit = find_header(head.headers, self._names.limit) or b''
        return limit.decode('latin-1')

    def _check_was_run(
        self, head: AnswerHead, server: BackendServer, step: str
    ) -> None:
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        if is_misdirected:
            # Another server answers, so its other headers say nothing of this one.
            self._directory.report_misplaced(server)
        elif find_header(head.headers, self._names.leaving):
            self._directory.report_leaving(server)
        if is_misdirected or find_header(head.headers, self._names.not_run):
            raise NotRunError(
                f'status {head.status}', step=step, peer=server.address
            )

    def _encode_head(
        self, pending: PendingCall, server: BackendServer
    ) -> bytes:
        request = pending.request
        added = self._list_added_headers(pending, server)
        dropped = {name.lower() for name, _ in added}
        dropped.update(self._names.reserved, _REPLACED_HEADERS)
        headers = strip_connection_headers(request.headers)
        first_line = b'%b %b HTTP/1.1' % (request.method, request.target)
        return encode_head(first_line, drop_headers(headers, dropped) + added)

    def _list_added_headers(
        self, pending: PendingCall, server: BackendServer
    ) -> Headers:
        names = self._names
        remaining = max(
            int(pending.remaining_seconds * MILLISECONDS_PER_SECOND), 1
        )
        added: Headers = (
            (names.deadline, b'%d' % remaining),
            (names.expected_server, server.server_id.encode('latin-1')),
        )
        if pending.events.last_id:
            added = (*added, (names.resume_after, pending.events.last_id))
        if pending.body or pending.request.method not in _BODILESS_METHODS:
            length = b'%d' % len(pending.body)
            added = (*added, (b'Content-Length', length))
        return added


_REPLACED_HEADERS: Final = frozenset((b'content-length', b'expect'))


def find_previous_server(pending: PendingCall) -> str:
    """Return the server of the previous turn of the branch, if it is known."""
    return pending.turn.reservation.server_id if pending.turn else ''
