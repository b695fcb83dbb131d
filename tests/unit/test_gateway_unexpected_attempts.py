"""Tests of idempotent requests, an attempt of which fails unexpectedly."""

import time
from collections.abc import Iterator
from typing import Any, Final

import gevent
import testtools

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.exceptions import RunState
from bronzepost._internal.gateway.callers import caller_server
from bronzepost._internal.gateway.callers.delivery import (
    MAX_BUFFERED_BODY_BYTES,
)
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from bronzepost._internal.gateway.callers.stopping import refuse_stopping
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange
from bronzepost._internal.gateway.requests import hedging
from bronzepost._internal.gateway.servers.server_calls import ServerCalls
from bronzepost._internal.gateway.servers.server_ratings import ServerRatings
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    ScriptedServer,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)

TARGET_SECONDS: Final = 0.1
ANSWER_SECONDS: Final = 0.4
TIMEOUT_SECONDS: Final = 3.0
LARGE_BYTES: Final = 3 * MAX_BUFFERED_BODY_BYTES
ANSWERED: Final = (200, b'ok')
# Errors are logged where the request goes on, or where it is refused.
GOES_ON: Final = 'answer idempotent request'
IS_REFUSED: Final = 'answer request'


def answer_late(sock: Any, request: HttpRequest) -> bool:
    """Script of a server that answers after both attempts have begun."""
    gevent.sleep(ANSWER_SECONDS)
    return answer_with(make_answer(b'ok'))(sock, request)


class TestUnexpectedAttempts(testtools.TestCase):
    """An error of the VM itself in an attempt of an idempotent request."""

    def setUp(self) -> None:
        """Record errors that are logged and servers that are blamed."""
        super().setUp()
        self.steps: list[str] = []
        self.failed_ids: list[str] = []
        for module in (hedging, caller_server):
            self.patch(module, 'emit', self.record_event)
        self.patch(
            ServerRatings,
            'report_failure',
            lambda _ratings, server_id: self.failed_ids.append(server_id),
        )

    def record_event(self, event: Any, **fields: Any) -> None:
        """Record the step of an unexpected error."""
        if event.event_name == 'greenlet_failed':
            self.steps.append(fields['step'])

    def test_attempt_that_fails_does_not_hide_a_later_success(self) -> None:
        """Guard against an error in place of another server's answer."""
        self.fail_attempts(1)
        self.assertEqual(ANSWERED, self.call(answer_late, answer_late))
        self.assertEqual(([GOES_ON], []), (self.steps, self.failed_ids))

    def test_error_after_which_none_is_left_is_answered(self) -> None:
        """Guard against a wait until the deadline for no attempt at all."""
        self.fail_attempts(2)
        started_at = time.monotonic()
        status, _ = self.call(answer_late, answer_late)
        self.assertEqual(500, status)
        self.assertTrue(time.monotonic() - started_at < TIMEOUT_SECONDS / 2)
        self.assertEqual([GOES_ON, IS_REFUSED], self.steps)

    def test_error_and_success_in_the_same_moment(self) -> None:
        """Guard against an error that hides a result that is not read yet."""
        read_answer = hedging.HedgedRequest._read_answer  # noqa: SLF001
        results: list[Any] = []

        def fail_with_other(
            request: Any, server: Any, exchange: Any, head: Any
        ) -> Any:
            results.append(read_answer(request, server, exchange, head))
            if len(results) == 1:
                raise KeyError('server')
            # No other greenlet runs between the two results.
            request._results.put(  # noqa: SLF001
                hedging.AttemptResult(server=server, error=KeyError('server'))
            )
            return results[-1]

        self.patch(hedging.HedgedRequest, '_read_answer', fail_with_other)
        self.assertEqual(ANSWERED, self.call(answer_late, answer_late))

    def test_error_before_the_request_is_sent_is_answered(self) -> None:
        """Guard against an attempt that ends before its errors are caught."""
        self.patch(ServerCalls, 'open_exchange', fail)
        status, _ = self.call(answer_late, answer_late)
        self.assertEqual((500, [IS_REFUSED]), (status, self.steps))

    def test_refusal_in_the_last_attempt_is_answered(self) -> None:
        """Guard against a refusal that is taken for one with attempts left."""
        self.patch(ServerCalls, 'open_exchange', refuse)
        status, _ = self.call(answer_late, answer_late)
        self.assertEqual((502, []), (status, self.steps))

    def test_error_in_the_choice_of_a_second_server(self) -> None:
        """Guard against an error that ends an attempt that is under way."""
        choose = ServerCalls.choose
        chosen: list[Any] = []

        def choose_once(servers: Any, pending: Any) -> Any:
            if chosen:
                raise IndexError('home')
            chosen.append(choose(servers, pending))
            return chosen[0]

        self.patch(ServerCalls, 'choose', choose_once)
        self.assertEqual(ANSWERED, self.call(answer_late, answer_late))
        self.assertEqual([GOES_ON], self.steps)

    def test_large_answer_that_fails_does_not_look_complete(self) -> None:
        """Guard against an answer that begins and neither goes on nor ends."""
        read_blocks = BackendExchange.read_blocks

        def read_some(exchange: Any) -> Iterator[bytes]:
            size = 0
            for block in read_blocks(exchange):
                size += len(block)
                yield block
                if size > 2 * MAX_BUFFERED_BODY_BYTES:
                    raise KeyError('block')

        self.patch(BackendExchange, 'read_blocks', read_some)
        server = ScriptedServer(
            script=answer_with(make_answer(bytes(LARGE_BYTES)))
        )
        self.addCleanup(server.close)
        started_at = time.monotonic()
        with open_gateway(make_idempotent(), server) as gateway:
            answer = gateway.call(make_request()).read_answer()
        self.assertIs(False, answer.is_complete)
        self.assertTrue(time.monotonic() - started_at < TIMEOUT_SECONDS / 2)
        self.assertEqual([IS_REFUSED], self.steps)

    def fail_attempts(self, count: int) -> None:
        """Let the first attempts fail while others are under way."""
        read_answer = hedging.HedgedRequest._read_answer  # noqa: SLF001
        failures = iter(range(count))

        def fail_first(
            request: Any, server: Any, exchange: Any, head: Any
        ) -> Any:
            if next(failures, None) is None:
                return read_answer(request, server, exchange, head)
            raise KeyError('server')

        self.patch(hedging.HedgedRequest, '_read_answer', fail_first)

    def call(self, *scripts: Any) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a request."""
        servers = [ScriptedServer(script=script) for script in scripts]
        for server in servers:
            self.addCleanup(server.close)
        with open_gateway(make_idempotent(), *servers) as gateway:
            answer = gateway.call(make_request()).read_answer()
        assert answer.head is not None
        return answer.head.status, answer.pop_body()


def make_idempotent() -> Any:
    """Return an idempotent route with two attempts."""
    return make_route(
        kind=RouteKind.IDEMPOTENT,
        attempts=2,
        target_seconds=TARGET_SECONDS,
        timeout_seconds=TIMEOUT_SECONDS,
    )


def fail(*_arguments: object) -> None:
    """Raise an error that no caller expects."""
    raise KeyError('server')


def refuse(*_arguments: object) -> None:
    """Refuse a request within an attempt."""
    raise refuse_stopping(RunState.UNKNOWN)
