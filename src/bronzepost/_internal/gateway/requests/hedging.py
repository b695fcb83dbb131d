"""Hedge idempotent requests: send them to a second server after a delay.

A server may run a request and lose its answer, and the caller would wait until
its deadline. After the target latency of the route, the request is sent to a
second server as well, and the first answer is used. Both servers may run it.
"""

import contextlib
import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, Final

import gevent
from gevent.queue import Empty, Queue

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.exceptions import ExchangeError, RefusedError
from bronzepost._internal.gateway.callers.caller_answer import (
    CallerGoneError,
)
from bronzepost._internal.gateway.callers.delivery import (
    MAX_BUFFERED_BODY_BYTES,
    deliver_blocks,
)
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerHead,
)
from bronzepost._internal.gateway.callers.refusals import (
    refuse_broken_answer,
    refuse_no_server,
)
from bronzepost._internal.gateway.callers.stopping import StoppingError
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange
from bronzepost._internal.gateway.requests.pending_call import (
    DeadlinePassedError,
    NotRunError,
    PendingCall,
)
from bronzepost._internal.gateway.servers.server_calls import ServerCalls
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# The minimum delay, for routes with a very short target latency; a server
# without load answers sooner.
MIN_HEDGE_DELAY_SECONDS: Final = 0.05

# What an attempt may fail with; any other error is one of this VM.
_EXPECTED_ERRORS: Final = (ExchangeError, NotRunError)
# Raised in the greenlet of the request from outside.
_INTERRUPTIONS: Final = (CallerGoneError, DeadlinePassedError, StoppingError)

RecordSend = Callable[[PendingCall], None]
RecordFailure = Callable[[PendingCall, BackendServer, Exception], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """The answer of one server; ``error`` is set if there is none.

    A large answer ``is_delivered`` while it arrives. One that arrives while
    another is being delivered has neither a head nor an error.
    """

    server: BackendServer
    head: AnswerHead | None = None
    body: bytes = b''
    is_delivered: bool = False
    error: Exception | None = None


class HedgedRequest:
    """One idempotent request, sent to as many servers as its route allows."""

    def __init__(
        self,
        *,
        pending: PendingCall,
        servers: ServerCalls,
        retries: RetryBudget,
        record_failure: RecordFailure,
        record_send: RecordSend,
    ) -> None:
        """Prepare a request.

        ``retries`` limits the hedges of all requests. ``record_failure`` is
        called for each server that does not answer, ``record_send`` before each
        send.
        """
        self._pending = pending
        self._servers = servers
        self._retries = retries
        self._record_failure = record_failure
        self._record_send = record_send
        self._results: Queue = Queue()
        self._attempts: list[Any] = []
        # The server whose large answer is being passed on.
        self._delivering: BackendServer | None = None

    def run(self) -> None:
        """Send the request, with hedges and retries; deliver the first answer.

        Raises:
            RefusedError: if no server answers.
            Exception: an unexpected error of the last attempt.
        """
        self._retries.credit_call()
        with contextlib.ExitStack() as stack:
            stack.callback(gevent.killall, self._attempts, block=False)
            self._deliver_first_answer()

    @property
    def _has_attempts(self) -> bool:
        """Return whether an attempt is under way or has a result to be read."""
        is_running = any(not attempt.dead for attempt in self._attempts)
        return is_running or not self._results.empty()

    def _deliver_first_answer(self) -> None:
        self._start_attempt()
        while True:  # noqa: WPS457 - ends with an answer or a refusal
            result = self._wait_for_result()
            if result.is_delivered:
                return
            if result.head is not None and self._delivering is None:
                self._pending.server_id = result.server.server_id
                self._pending.answer.send_whole(result.head, result.body)
                return
            if isinstance(result.error, CallerGoneError):
                raise result.error
            if result.error is not None:
                self._handle_failure(result.server, result.error)

    def _handle_failure(self, server: BackendServer, error: Exception) -> None:
        if not isinstance(error, _EXPECTED_ERRORS):
            # An answer that has begun cannot be taken over.
            if self._delivering is server or not self._can_go_on(error):
                raise error
            return
        self._record_failure(self._pending, server, error)
        if self._delivering is None:
            self._retry_or_refuse(error)
        elif self._delivering is server and isinstance(error, ExchangeError):
            raise refuse_broken_answer(error)

    def _can_go_on(self, error: Exception) -> bool:
        """Return whether another attempt may answer after an error of this VM.

        The server is not blamed, and no attempt takes the place of the one that
        failed, which may have sent the request: the next is likely to fail the
        same way.
        """
        if self._has_attempts:
            emit(
                LogEvent.GREENLET_FAILED,
                error=error,
                step='answer idempotent request',
                request=self._pending.call.request_id,
            )
            return True
        return False

    def _retry_or_refuse(self, error: Exception) -> None:
        was_sent = isinstance(error, ExchangeError) and error.was_sent
        if not was_sent:
            self._pending.runs -= 1
        if self._may_start_attempt() and self._start_attempt():
            return
        if self._has_attempts:
            return
        if isinstance(error, ExchangeError) and was_sent:
            raise refuse_broken_answer(error)
        raise refuse_no_server(self._pending)

    def _wait_for_result(self) -> AttemptResult:
        delay = max(self._pending.route.target_seconds, MIN_HEDGE_DELAY_SECONDS)
        try:
            result: AttemptResult = self._results.get(timeout=delay)
        except Empty:
            if self._may_start_attempt() and self._retries.spend_retry():
                self._start_hedge()
            result = self._results.get()
        return result

    def _start_hedge(self) -> None:
        pending = self._pending
        first_id = pending.server_id
        pending.excluded_ids.add(first_id)
        if self._start_attempt():
            emit(
                LogEvent.REQUEST_HEDGED,
                request=pending.call.request_id,
                first=first_id,
                second=pending.server_id,
            )

    def _may_start_attempt(self) -> bool:
        is_undecided = self._delivering is None
        return (
            is_undecided and self._pending.runs < self._pending.route.attempts
        )

    def _start_attempt(self) -> bool:
        server = self._choose_server()
        if server is None:
            return False
        self._pending.runs += 1
        self._attempts.append(gevent.spawn(self._run_attempt, server))
        # Let the new greenlet run until it waits: it sets the ``server_id`` of
        # the pending call.
        gevent.sleep(0)
        return True

    def _choose_server(self) -> BackendServer | None:
        try:
            server = self._servers.choose(self._pending)
        except _INTERRUPTIONS:
            raise
        except Exception as error:
            # An attempt that is running may still answer.
            is_refused = isinstance(error, RefusedError) and self._attempts
            if not (is_refused or self._can_go_on(error)):
                raise
            return None
        if server is None and not self._attempts:
            raise refuse_no_server(self._pending)
        return server

    def _run_attempt(self, server: BackendServer) -> None:
        try:
            result = self._call_server(server)
        except Exception as error:  # noqa: BLE001
            result = AttemptResult(server=server, error=error)
        self._results.put(result)

    def _call_server(self, server: BackendServer) -> AttemptResult:
        self._record_send(self._pending)
        with self._servers.open_exchange(self._pending, server) as opened:
            return self._read_answer(server, *opened)

    def _read_answer(
        self, server: BackendServer, exchange: BackendExchange, head: AnswerHead
    ) -> AttemptResult:
        buffered = bytearray()
        blocks = exchange.read_blocks()
        with self._pending.answer.memory.open(HeldKind.ANSWERS) as held:
            for block in blocks:
                buffered += block
                held.resize(len(buffered))
                if len(buffered) > MAX_BUFFERED_BODY_BYTES:
                    break
            else:
                body = bytes(buffered)
                return AttemptResult(server=server, head=head, body=body)
        return self._deliver_large(server, head, bytes(buffered), blocks)

    def _deliver_large(
        self,
        server: BackendServer,
        head: AnswerHead,
        buffered: bytes,
        blocks: Iterable[bytes],
    ) -> AttemptResult:
        if self._delivering is not None:
            return AttemptResult(server=server)
        self._delivering = server
        self._pending.server_id = server.server_id
        deliver_blocks(self._pending.answer, head, buffered, blocks)
        return AttemptResult(server=server, is_delivered=True)
