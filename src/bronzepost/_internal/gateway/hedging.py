"""Answer idempotent requests from the first of several servers.

Answers requests that hang: a server that ran a request may lose its answer,
and the caller would wait until its deadline. After the latency that the
operator aims at, the request is sent to a second server; both may run it.
"""

import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.queue import Empty, Queue

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.retry_budget import RetryBudget
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.http_messages import AnswerHead
from bronzepost._internal.gateway.pending_call import NotRunError, PendingCall
from bronzepost._internal.gateway.refusals import (
    refuse_broken,
    refuse_no_server,
)
from bronzepost._internal.gateway.server_calls import ServerCalls
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Routes with a very short aim wait this long at least, which is more than a
# quiet server takes.
LEAST_DELAY_SECONDS: Final = 0.05

NoteFailure = Callable[[PendingCall, BackendServer, Exception], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What one server made of a request; ``error`` is set without an answer."""

    server: BackendServer
    head: AnswerHead | None = None
    body: bytes = b''
    error: Exception | None = None


class HedgedRun:
    """One idempotent request at up to as many servers as its route allows."""

    def __init__(
        self,
        *,
        pending: PendingCall,
        servers: ServerCalls,
        retries: RetryBudget,
        note_failure: NoteFailure,
    ) -> None:
        """Prepare a request; ``retries`` bounds the second sends of a VM."""
        self._pending = pending
        self._servers = servers
        self._retries = retries
        self._note_failure = note_failure
        self._outcomes: Queue = Queue()
        self._running: list[Any] = []

    def run(self) -> None:
        """Send the request, again if need be, and pass on the first answer.

        Raises:
            RefusedError: if no server answers.
        """
        self._retries.credit_call()
        with contextlib.ExitStack() as stack:
            stack.callback(gevent.killall, self._running, block=False)
            self._deliver_first()

    def _deliver_first(self) -> None:
        self._start()
        while True:  # noqa: WPS457 - ends with an answer or a refusal
            outcome = self._wait()
            if outcome.head is not None:
                self._pending.server_id = outcome.server.server_id
                self._pending.answer.send_whole(outcome.head, outcome.body)
                return
            if outcome.error is not None:
                self._note_failure(self._pending, outcome.server, outcome.error)
                self._go_on(outcome.error)

    def _go_on(self, error: Exception) -> None:
        was_sent = isinstance(error, ExchangeError) and error.was_sent
        if not was_sent:
            self._pending.runs -= 1
        if self._may_start() and self._start():
            return
        if any(not sending.dead for sending in self._running):
            return
        if isinstance(error, ExchangeError) and was_sent:
            raise refuse_broken(error)
        raise refuse_no_server(self._pending)

    def _wait(self) -> Outcome:
        delay = max(self._pending.route.target_seconds, LEAST_DELAY_SECONDS)
        try:
            outcome: Outcome = self._outcomes.get(timeout=delay)
        except Empty:
            if self._may_start() and self._retries.spend_retry():
                self._start_second()
            outcome = self._outcomes.get()
        return outcome

    def _start_second(self) -> None:
        pending = self._pending
        first_id = pending.server_id
        pending.passed_over.add(first_id)
        if self._start():
            emit(
                LogEvent.REQUEST_HEDGED,
                request=pending.call.request_id,
                first=first_id,
                second=pending.server_id,
            )

    def _may_start(self) -> bool:
        return self._pending.runs < self._pending.route.attempts

    def _start(self) -> bool:
        server = self._servers.choose(self._pending)
        if server is None:
            if not self._running:
                raise refuse_no_server(self._pending)
            return False
        self._pending.runs += 1
        self._running.append(gevent.spawn(self._fetch, server))
        # The sending greenlet notes the server before it waits.
        gevent.sleep(0)
        return True

    def _fetch(self, server: BackendServer) -> None:
        try:
            with self._servers.exchange(self._pending, server) as opened:
                exchange, head = opened
                body = b''.join(exchange.read_blocks())
        except (ExchangeError, NotRunError) as error:
            self._outcomes.put(Outcome(server=server, error=error))
        else:
            self._outcomes.put(Outcome(server=server, head=head, body=body))
