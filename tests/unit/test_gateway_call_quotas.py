"""Tests of the tokens that one request takes from the quota of its workspace."""

import testtools

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.gateway.callers.header_names import find_header
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    ScriptedQuotas,
    ScriptedServer,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)

FULL = make_answer(b'', b'Bronzepost-Not-Run: 1', status=b'503 Full')
OK = make_answer(b'ok')


class TestCallQuotas(testtools.TestCase):
    """Each send that may have run takes one token, and no other one."""

    def count(
        self, *answers: bytes, kind: RouteKind = RouteKind.NON_IDEMPOTENT
    ) -> list[str]:
        """Return what a request takes whose servers give these answers.

        An empty answer breaks off.
        """
        quotas = ScriptedQuotas()
        backends = [
            ScriptedServer(script=answer_with(answer, stays_open=bool(answer)))
            for answer in answers
        ]
        route = make_route(kind=kind, attempts=2)
        with open_gateway(route, *backends, quotas=quotas) as gateway:
            gateway.call(make_request()).read_answer()
        return sorted(quotas.calls)

    def test_request_over_the_quota_is_not_sent(self) -> None:
        """Guard against a refusal that says "not run" of what has run."""
        backend = ScriptedServer(script=answer_with(OK))
        quotas = ScriptedQuotas(
            is_granted=False, retry_after_seconds=1.25, reason='over_quota'
        )
        with open_gateway(make_route(), backend, quotas=quotas) as gateway:
            head = gateway.call(make_request()).read_answer().head
        assert head is not None
        self.assertEqual(429, head.status)
        retry_after = find_header(head.headers, b'retry-after') or b'0'
        self.assertTrue(1 <= float(retry_after) <= 2)
        self.assertEqual(0, backend.connections)
        self.assertEqual(['admit'], quotas.calls)

    def test_quota_that_nobody_decides_on(self) -> None:
        """Guard against a 429 for a workspace that is below its quota."""
        quotas = ScriptedQuotas(
            is_granted=False, retry_after_seconds=1, reason='undecided'
        )
        with open_gateway(make_route(), quotas=quotas) as gateway:
            head = gateway.call(make_request()).read_answer().head
        self.assertEqual(503, head and head.status)

    def test_first_send_has_its_token(self) -> None:
        self.assertEqual(['admit'], self.count(OK))

    def test_send_that_was_not_run_returns_its_token(self) -> None:
        """Guard against full servers that use up a quota."""
        self.assertEqual(['admit', 'refund'], self.count(FULL))

    def test_request_without_a_server_returns_its_token(self) -> None:
        """Guard against a service without servers that uses up a quota."""
        self.assertEqual(['admit', 'refund'], self.count())

    def test_retry_takes_a_token(self) -> None:
        """Guard against retries that are not counted: both may have run."""
        calls = [self.count(b'', OK, kind=RouteKind.IDEMPOTENT)]
        calls.append(self.count(OK, b'', kind=RouteKind.IDEMPOTENT))
        self.assertIn(['admit', 'charge'], [*calls, *self.repeat(b'', OK)])
        self.assertNotIn('refund', sum(calls, []))

    def repeat(self, *answers: bytes) -> list[list[str]]:
        """Return what several requests take: servers are chosen at random."""
        return [
            self.count(*answers, kind=RouteKind.IDEMPOTENT) for _ in range(8)
        ]
