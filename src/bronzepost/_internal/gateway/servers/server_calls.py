"""Choose backend servers for requests and exchange messages with them."""

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Final

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.request_pace import SPARE_SECONDS
from bronzepost._internal.gateway.callers.header_names import (
    HeaderNames,
    Headers,
    drop_headers,
    find_header,
    find_headers,
    strip_connection_headers,
)
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
    encode_head,
)
from bronzepost._internal.gateway.callers.refusals import (
    refuse_no_link,
    refuse_suspect,
)
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.requests.pending_call import (
    DeadlinePassedError,
    NotRunError,
    PendingCall,
)
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.engine_memory import EngineMemory
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from bronzepost._internal.gateway.servers.server_placement import (
    ServerPlacement,
    find_max_idle_seconds,
    find_previous_server,
)
from bronzepost._internal.gateway.servers.server_plans import ServerPlans
from bronzepost._internal.gateway.servers.suspect_requests import (
    SuspectRequests,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.exposition import METRICS

MILLISECONDS_PER_SECOND: Final = 1000
# A request is not sent if less time is left: a round trip to another
# availability zone takes as long.
MIN_REMAINING_SECONDS: Final = 0.01
# The share of its remaining time for which a suspect waits for its turn.
MAX_SUSPECT_WAIT_SHARE: Final = 0.3
_BODILESS_METHODS: Final = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))


class ServerCalls:
    """Choose backend servers and open exchanges with them."""

    def __init__(
        self,
        *,
        directory: Directory,
        reports: PeerReports,
        permits: ServerPermits,
        suspects: SuspectRequests,
        links: ServerLinks,
        names: HeaderNames,
        vm_name: str,
        availability_zone: str,
    ) -> None:
        """Choose among the servers of ``directory``.

        ``permits`` and ``suspects`` say which requests may run.
        """
        self._directory = directory
        self._reports = reports
        self._engines = EngineMemory(directory=directory, reports=reports)
        self.plans = ServerPlans(
            directory=directory,
            placement=ServerPlacement(
                directory=directory,
                reports=reports,
                links=links,
                vm_name=vm_name,
                availability_zone=availability_zone,
            ),
            permits=permits,
            suspects=suspects,
            links=links,
            engines=self._engines,
        )
        self._permits = permits
        self._suspects = suspects
        self.links = links
        self._names = names

    def choose(self, pending: PendingCall) -> BackendServer | None:
        """Return the server for a request, or None if there is none.

        If the server has a limit, the request has its turn then. All requests to
        servers pass here.

        Raises:
            DeadlinePassedError: if too little time is left to send it.
            RefusedError: if it may crash the server, and must not run now.
        """
        if pending.remaining_seconds < MIN_REMAINING_SECONDS:
            raise DeadlinePassedError
        self._suspects.check(pending)
        self._engines.check(pending)
        if self._suspects.is_suspect(pending):
            return self._choose_isolated(pending)
        denied_ids: set[str] = set()
        while True:  # noqa: WPS457 - each server is denied once
            blocked_ids = self.plans.list_blocked(pending)
            plan = self.plans.plan(pending, denied_ids, blocked_ids=blocked_ids)
            server = plan.choose()
            if server is None or server.server_id in blocked_ids:
                return self._choose_limited(pending)
            patience = find_patience(pending, server)
            ready = self._wait_for_turn(pending, server, patience)
            if ready is not None:
                return ready
            denied_ids.add(server.server_id)

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
        if pending.warmth is not None:
            pending.warmth.running = self._reports.count_in_flight(
                server.server_id
            )
        METRICS.server_sends.labels(server=server.server_id).inc()
        step = f'forward {pending.call.request_id}'
        started_at = read_clock()
        with self._count_in_flight(server), self._engines.hold(pending, server):
            connection = self.links.acquire(
                server,
                request_id=pending.call.request_id,
                max_idle_seconds=find_max_idle_seconds(pending),
            )
            pending.relay = connection.relay
            exchange = BackendExchange(
                pool=self.links.pool,
                connection=connection,
                request_id=pending.call.request_id.encode('latin-1'),
                id_header=self._names.request_id,
                step=step,
            )
            with self.links.watch(connection, pending), exchange:
                exchange.send(self._encode_head(pending, server), pending.body)
                head = exchange.read_head()
                self._record_heard(pending, server)
                pending.framing = head.framing
                limit = find_header(head.headers, self._names.limit) or b''
                pending.server_limit = limit.decode('latin-1')
                self._check_was_run(exchange, head, server)
                self._suspects.record_answer(server, sent_at=started_at)
                yield exchange, head
                self._record_end(pending, server, head, started_at)

    def _choose_isolated(self, pending: PendingCall) -> BackendServer:
        """Return the server for a request that may crash it.

        Suspects begin to run one after the other, at a server without others.
        """
        max_wait_seconds = pending.remaining_seconds * MAX_SUSPECT_WAIT_SHARE
        if not self._permits.acquire_suspect(pending.service, max_wait_seconds):
            raise refuse_suspect(pending)
        # Another suspect may have crashed the server in the meantime.
        self._suspects.check(pending)
        server = self._suspects.find_isolated(pending.service)
        excluded_ids = self.plans.list_excluded(
            pending
        ) | self.plans.list_unreachable(pending)
        if server is None or server.server_id in excluded_ids:
            self._suspects.log_suspect(pending)
            raise refuse_suspect(pending)
        ready = self._wait_for_turn(pending, server, max_wait_seconds)
        if ready is None:
            raise refuse_suspect(pending)
        return ready

    def _choose_limited(self, pending: PendingCall) -> BackendServer | None:
        """Return the server at which a request has its turn soon, if any.

        Raises:
            RefusedError: if there is no path to the servers that are left.
        """
        patience = find_target_wait(pending)
        denied_ids: set[str] = set()
        while True:  # noqa: WPS457 - each server is denied once
            plan = self.plans.plan(pending, denied_ids, blocked_ids=None)
            server = plan.choose()
            if server is None:
                self._explain_refusal(pending, denied_ids)
                return None
            ready = None
            if self._permits.find_wait(server.server_id) <= patience:
                ready = self._wait_for_turn(pending, server, patience)
            if ready is not None:
                return ready
            denied_ids.add(server.server_id)

    def _wait_for_turn(
        self, pending: PendingCall, server: BackendServer, max_seconds: float
    ) -> BackendServer | None:
        """Return a server when a request has its turn there.

        None if it has none in time, or if the server has left meanwhile.
        """
        if not self._permits.acquire(server.server_id, max_seconds):
            return None
        current = self._directory.find_serving(
            pending.service, server.server_id
        )
        if current is None or current.born != server.born:
            return None
        return current

    def _explain_refusal(
        self, pending: PendingCall, denied_ids: set[str]
    ) -> None:
        """Record for how long the limits of servers keep a request out.

        Raises:
            RefusedError: if it is not for limits but for links.
        """
        pending.limited_seconds = min(
            map(self._permits.find_wait, denied_ids), default=None
        )
        if pending.limited_seconds is None and self.plans.list_unreachable(
            pending
        ):
            raise refuse_no_link(pending)

    def _record_end(
        self,
        pending: PendingCall,
        server: BackendServer,
        head: AnswerHead,
        started_at: float,
    ) -> None:
        """Record an exchange that ended as its caller wanted."""
        self._record_heard(pending, server)
        self._suspects.record_answer(server, sent_at=started_at)
        seconds = read_clock() - started_at
        self._directory.ratings.report_exchange(server.service, seconds)
        if pending.sends == 1 and head.status < HTTPStatus.BAD_REQUEST:
            self._directory.warm_requests.record_end(
                pending.route.name, pending.warmth, server, seconds
            )
        self._record_latency(pending, server)
        self._record_status(head, server)

    def _record_heard(
        self, pending: PendingCall, server: BackendServer
    ) -> None:
        if not pending.relay:
            self._directory.links.record_heard(server.server_id)

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
            self._directory.engine_ratings.record(
                server,
                seconds_per_event=pending.events.seconds_per_event,
                running=running,
            )

    @contextmanager
    def _count_in_flight(self, server: BackendServer) -> Iterator[None]:
        in_flight = self._directory.in_flight_by_id
        in_flight[server.server_id] += 1
        try:
            yield
        finally:
            in_flight[server.server_id] -= 1

    def _check_was_run(
        self,
        exchange: BackendExchange,
        head: AnswerHead,
        server: BackendServer,
    ) -> None:
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        if is_misdirected:
            # Another server answers, so its other headers say nothing of this one.
            self._directory.report_misplaced(server)
        else:
            self._record_headers(head, server)
        if is_misdirected or find_header(head.headers, self._names.not_run):
            if not exchange.confirm_refusal():
                # Bytes that a faulty server added promise nothing.
                raise exchange.break_off('the refusal has no id')
            raise NotRunError(
                f'status {head.status}',
                step=exchange.step,
                peer=server.address,
            )

    def _record_headers(self, head: AnswerHead, server: BackendServer) -> None:
        self._directory.limits.record_answer(
            server.server_id, find_headers(head.headers, self._names.limit)
        )
        if find_header(head.headers, self._names.leaving):
            self._directory.report_leaving(server)

    def _encode_head(
        self, pending: PendingCall, server: BackendServer
    ) -> bytes:
        request = pending.request
        added = self._list_added_headers(pending, server)
        dropped = {name.lower() for name, _ in added}
        dropped.update(self._names.reserved, _REPLACED_HEADERS)
        # The configuration may have changed since the request was admitted, and a
        # key must not reach a server by either of the two.
        is_in_force = self._directory.workspaces.is_in_force
        if pending.uses_workspaces or is_in_force:
            dropped.update((self._names.key, self._names.workspace))
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
        if pending.workspace is not None:
            name = pending.workspace.name.encode()
            added = (*added, (names.workspace, name))
        return added


_REPLACED_HEADERS: Final = frozenset((b'content-length', b'expect'))


def find_patience(pending: PendingCall, server: BackendServer) -> float:
    """Return the seconds for which a request may wait for its turn at a server.

    Branches that stay at the engine that has cached their prompt wait, rather
    than have it read again at another one. For others there has to be a turn to
    spare.
    """
    if server.server_id == find_previous_server(pending):
        return find_target_wait(pending)
    return -SPARE_SECONDS


def find_target_wait(pending: PendingCall) -> float:
    """Return the seconds until the latency that operators aim for.

    A stream that has begun is broken off without a server, so it has as long
    once more.
    """
    target_seconds = pending.route.target_seconds
    if pending.events.event_count:
        return target_seconds
    elapsed_seconds = read_clock() - pending.started_at
    return max(target_seconds - elapsed_seconds, 0)
