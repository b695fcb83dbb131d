"""Tests of the memory that running requests take at engines."""

import contextlib
from collections import Counter
from collections.abc import Sequence, Set
from typing import Any, cast

import testtools

from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    CallRequest,
    EngineShape,
    GatewayConfiguration,
    PromptPart,
    Service,
)
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.engine_memory import EngineMemory
from bronzepost._internal.gateway.servers.server_plans import ServerPlans
from tests.builders_gateway import make_pending_call, make_server
from tests.builders_gateway_servers import LIMITS

MEMORY_TOKENS = 1000
SHARED = PromptPart(part_id='common', tokens=300)
OWN_TOKENS = 100
OUTPUT_TOKENS = 100


def make_pending(
    own: int = OWN_TOKENS, output: int = OUTPUT_TOKENS
) -> PendingCall:
    """Return a request with a shared part and one of its own."""
    parts = (SHARED, PromptPart(part_id=f'own-{own}', tokens=own))
    call = CallRequest(
        request_id='q', prompt_parts=parts, max_output_tokens=output
    )
    return make_pending_call(call=call)


class FirstPlan:
    """A plan that prefers servers in the order of their ids."""

    def __init__(
        self, servers: Sequence[BackendServer], avoided_ids: Set[str]
    ) -> None:
        """Prefer servers that are not in ``avoided_ids``."""
        self._servers = servers
        self._avoided_ids = avoided_ids

    def choose(self) -> BackendServer | None:
        """Return the first server, an avoided one only without others."""
        return min(
            self._servers,
            key=lambda server: (
                server.server_id in self._avoided_ids,
                server.server_id,
            ),
            default=None,
        )


class FirstPlacement:
    """Placement by ``FirstPlan``, also the links and suspects beside it."""

    def __init__(self, directory: Directory) -> None:
        """Choose among the servers of ``directory``."""
        self._directory = directory

    def plan(
        self,
        pending: PendingCall,
        *,
        avoided_ids: Set[str],
        excluded_ids: Set[str],
        is_recorded: bool,
    ) -> FirstPlan:
        """Return the plan for a request."""
        candidates = [
            server
            for server in self._directory.list_servers(pending.service)
            if server.server_id not in excluded_ids
        ]
        return FirstPlan(candidates, avoided_ids)

    def list_unreachable(self, *_args: Any) -> frozenset[str]:
        """Return no server: all links are open."""
        return frozenset()

    def list_avoided(self, _service: str) -> frozenset[str]:
        """Return no server: there are no suspects."""
        return frozenset()


class CountedReports:
    """Reports of peers with a number of requests at each server."""

    def __init__(self, directory: Directory) -> None:
        """Start without requests of peers."""
        self.others: Counter[str] = Counter()
        self._directory = directory

    def count_in_flight(self, server_id: str) -> int:
        """Return the requests of all VMs."""
        own = self._directory.in_flight_by_id[server_id]
        return own + self.others[server_id]


class TestEngineMemory(testtools.TestCase):
    """An engine whose memory would be exceeded gets no further request."""

    def setUp(self) -> None:
        """Create two engines that run three requests each."""
        super().setUp()
        self.use(EngineShape(memory_tokens=MEMORY_TOKENS))

    def use(self, shape: EngineShape) -> None:
        self.directory = Directory(pool=ConnectionPool())
        service = Service(name='engines', engine=shape)
        self.directory.put_configuration(
            GatewayConfiguration(
                version=1,
                routes=(),
                services_by_name={'engines': service},
                limits=LIMITS,
            )
        )
        self.directory.put_servers([make_server('a'), make_server('b')])
        self.reports = CountedReports(self.directory)
        self.engines = EngineMemory(
            directory=self.directory, reports=cast(PeerReports, self.reports)
        )
        first: Any = FirstPlacement(self.directory)
        self.plans = ServerPlans(
            directory=self.directory,
            placement=first,
            permits=first,
            suspects=first,
            links=first,
            engines=self.engines,
        )

    def choose(self, *avoided: str, excluded: tuple[str, ...] = ()) -> str:
        plan = self.plans.plan(
            make_pending(), set(excluded), blocked_ids=frozenset(avoided)
        )
        server = plan.choose()
        return server.server_id if server else ''

    def run_at(self, server_id: str, count: int) -> contextlib.ExitStack:
        """Let requests of this VM run at an engine."""
        server = self.directory.servers_by_id[server_id]
        stack = contextlib.ExitStack()
        for _ in range(count):
            stack.enter_context(self.engines.hold(make_pending(), server))
        self.addCleanup(stack.close)
        return stack

    def test_engine_without_room_is_avoided(self) -> None:
        """Guard against an engine that crashes under its running requests."""
        self.run_at('a', 2)
        self.assertEqual('a', self.choose())
        running = self.run_at('a', 1)
        self.assertEqual('b', self.choose())
        running.close()
        self.assertEqual('a', self.choose())

    def test_requests_of_peers_count_with_the_mean(self) -> None:
        """Guard against VMs that fill an engine together."""
        self.run_at('a', 1)
        self.reports.others['a'] = 1
        self.assertEqual('a', self.choose())
        self.reports.others['a'] = 2
        self.assertEqual('b', self.choose())

    def test_full_engine_is_used_without_another(self) -> None:
        """Guard against requests that are refused though engines may queue."""
        self.run_at('a', 3)
        self.run_at('b', 3)
        self.assertEqual('a', self.choose())
        self.assertEqual('a', self.choose(excluded=('b',)))

    def test_avoided_server_does_not_replace_a_full_one(self) -> None:
        """Guard against a server with failures that gets the load of others."""
        self.run_at('a', 3)
        self.assertEqual('a', self.choose('b'))

    def test_engine_of_unknown_memory_is_never_full(self) -> None:
        self.use(EngineShape())
        self.run_at('a', 100)
        self.assertEqual('a', self.choose())
        self.engines.check(make_pending(own=10**9))

    def test_request_larger_than_an_engine_is_refused(self) -> None:
        """Guard against a request that crashes each engine that gets it."""
        self.engines.check(make_pending(own=600, output=100))
        error = self.assertRaises(
            RefusedError,
            self.engines.check,
            make_pending(own=600, output=101),
        )
        self.assertEqual('engine_memory', error.code)
        self.assertEqual(503, error.status)
        self.assertEqual('not_run', error.run.value)
