"""A gateway sends requests about a subject to warm servers, without peers."""

import collections
import itertools
from typing import Any
from unittest import mock

import gevent
import testtools
from structlog.testing import capture_logs
from testtools.matchers import GreaterThan, HasLength

from bronzepost._internal.core.gateway.entities import Route, RouteKind
from bronzepost._internal.core.gateway.warm_gain import Phase
from bronzepost._internal.core.gateway.warm_servers import rank_servers
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.gateway.servers.warm_requests import (
    WarmRequests,
    find_subject,
)
from bronzepost._internal.telemetry.exposition import METRICS
from tests.builders_gateway import make_route, make_server, make_turn_call
from tests.builders_gateway_servers import (
    ScriptedServer,
    TestGateway,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)

OK = make_answer(b'done')
FULL = make_answer(b'', b'Bronzepost-Not-Run: 1', status=b'503 Full')
STICKY = make_route(kind=RouteKind.NON_IDEMPOTENT, is_sticky=True)
COLD_SECONDS = 0.03
WARM_SECONDS = 0.005
KEPT_SUBJECTS = 3
# Controls are drawn by the id of the request.
REQUEST_NUMBERS = itertools.count()


class RememberingServer(ScriptedServer):
    """A server that is faster for the last subjects that it has seen."""

    def __init__(self) -> None:
        """Start without a subject."""
        self._seen: collections.deque[bytes] = collections.deque(
            maxlen=KEPT_SUBJECTS
        )
        super().__init__(script=self._answer)

    def _answer(self, sock: Any, request: HttpRequest) -> bool:
        subject = find_header(request.headers, b'subject') or b''
        is_warm = subject in self._seen
        self._seen.append(subject)
        gevent.sleep(WARM_SECONDS if is_warm else COLD_SECONDS)
        sock.sendall(OK)
        return True


def find_distant_subject() -> str:
    """Return a subject whose server is in the other availability zone.

    Other requests go to the server in the zone of the gateway.
    """
    servers = [make_server(f's-{number}') for number in range(3)]
    for number in range(100):
        first = next(iter(rank_servers(servers, f'engines/o-{number}')))
        if first.server_id == 's-2':
            return f'o-{number}'
    raise AssertionError('no subject with that server')


def call(gateway: TestGateway, subject: str, count: int = 1) -> None:
    """Send requests about a subject, one after the other."""
    for _ in range(count):
        content = make_request(b'Subject: %b' % subject.encode()).replace(
            b'q-1', b'q-%d' % next(REQUEST_NUMBERS)
        )
        gateway.call(content).read_answer()


def call_many(gateway: TestGateway) -> None:
    """Send 400 requests about nine subjects, four at a time."""
    callers = [gevent.spawn(call_in_turn, gateway, first) for first in range(4)]
    gevent.joinall(callers, raise_error=True)


def call_in_turn(gateway: TestGateway, first: int) -> None:
    """Send 100 requests about nine subjects."""
    for number in range(100):
        call(gateway, f'o-{(first + number * 4) % 9}')


class TestWarmRequests(testtools.TestCase):
    """Requests with a subject on sticky routes go to the same server."""

    def setUp(self) -> None:
        super().setUp()
        # No request is a control.
        patch = mock.patch('random.random', lambda: 0.99)
        patch.start()
        self.addCleanup(patch.stop)
        self.subject = find_distant_subject()

    def count_received(
        self, route: Route, *, last_script: Any = None
    ) -> list[int]:
        """Return what three servers get of eight requests on a route."""
        servers = [ScriptedServer(script=answer_with(OK)) for _ in range(2)]
        last = ScriptedServer(script=last_script or answer_with(OK))
        with open_gateway(route, *servers, last) as gateway:
            call(gateway, self.subject, 8)
        return [len(server.requests) for server in (*servers, last)]

    def test_subject_stays_at_its_server(self) -> None:
        self.assertEqual([0, 0, 8], self.count_received(STICKY))

    def test_route_that_is_not_sticky_is_served_as_before(self) -> None:
        route = make_route(kind=RouteKind.NON_IDEMPOTENT)
        self.assertEqual([8, 0, 0], self.count_received(route))

    def test_full_server_gives_way_to_the_next(self) -> None:
        """Guard against refusing what another server can serve."""
        received = self.count_received(STICKY, last_script=answer_with(FULL))
        self.assertEqual(8, sum(received[:2]))

    def test_request_without_a_subject_is_not_counted(self) -> None:
        turn = make_turn_call(affinity_key='o-1')
        self.assertEqual('', find_subject(STICKY, turn, 'engines'))
        without = make_turn_call(prompt_parts=())
        self.assertEqual('', find_subject(STICKY, without, 'engines'))


class TestLearning(testtools.TestCase):
    """Operators see when stickiness begins, and what it gains."""

    def test_gain_is_learned_from_answers(self) -> None:
        servers = [RememberingServer() for _ in range(3)]
        with capture_logs() as lines, open_gateway(STICKY, *servers) as gateway:
            call_many(gateway)
            learner = gateway.directory.warm_requests.find_learner('r-1')
        self.assertIs(Phase.ACTIVE, learner.phase)
        began = [line for line in lines if line['event'] == 'stickiness_began']
        self.assertThat(began, HasLength(1))
        self.assertThat(began[0]['gain'], GreaterThan(0.2))
        text = METRICS.render().decode()
        self.assertIn('bronzepost_warm_gain{route="r-1"}', text)
        self.assertIn('placed="explored",route="r-1"', text)

    def test_repeated_request_teaches_nothing(self) -> None:
        """Its time depends on the server that did not take it."""
        servers = [
            ScriptedServer(script=answer_with(answer))
            for answer in (OK, OK, FULL)
        ]
        with (
            mock.patch('random.random', lambda: 0.99),
            open_gateway(STICKY, *servers) as gateway,
        ):
            call(gateway, find_distant_subject(), 3)
            samples = gateway.directory.warm_requests.list_own()
        self.assertEqual(0, samples['r-1'][0][0])

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        """Guard against memory that grows with each published route."""
        known = WarmRequests()
        known.use_routes((STICKY, make_route(name='r-2')))
        self.assertEqual(['r-1'], list(known.list_own()))
        known.use_routes(())
        known.put_reported('vm-1', {'r-1': ((1, 1, 1), (1, 1, 1))})
        self.assertEqual({}, known.list_own())
