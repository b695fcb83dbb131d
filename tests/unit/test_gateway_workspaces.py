"""Tests of keys of workspaces and of what workspaces share."""

import io
from typing import Any

import testtools

from bronzepost._internal.core.gateway import configuration_lag as lag
from bronzepost._internal.core.gateway.entities import CallRequest, RouteKind
from bronzepost._internal.core.gateway.route_table import RouteTable
from bronzepost._internal.core.gateway.scopes import SEPARATOR, scope_id
from bronzepost._internal.core.gateway.workspaces import (
    MAX_KEY_BYTES,
    AccessProblem,
    WorkspaceTable,
    decide_access,
    find_rank,
    scope_call,
)
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_headers
from bronzepost._internal.telemetry.exposition import METRICS
from bronzepost._internal.telemetry.logs import configure_logs
from tests.builders_gateway import make_pending_call, make_route, make_turn_call
from tests.builders_gateway_servers import (
    NAMES,
    ScriptedServer,
    TestGateway,
    answer_with,
    make_answer,
    make_request,
    open_gateway,
)
from tests.builders_workspaces import make_keyed_configuration, make_workspace

KEY = b'tarn-key'
KEY_LINE = b'Bronzepost-Key: tarn-key'
PLAIN = make_route(kind=RouteKind.IDEMPOTENT)
PUBLIC = make_route(kind=RouteKind.IDEMPOTENT, is_public=True)


class TestAccess(testtools.TestCase):
    """A request needs exactly one key that the configuration has."""

    def decide(self, *keys: bytes, **changes: Any) -> Any:
        configuration = make_keyed_configuration(**changes)
        return decide_access(
            RouteTable.build(routes=configuration.routes),
            WorkspaceTable.build(workspaces=configuration.workspaces),
            host='desk.example',
            target='/chat/x',
            keys=keys,
        )

    def test_key_names_its_workspace(self) -> None:
        """Guard against requests that run for another workspace."""
        for name in ('tarn', 'fell'):
            decision = self.decide(f'{name}-key'.encode())
            self.assertIsNone(decision.problem)
            self.assertEqual(name, decision.workspace.name)

    def test_keys_that_admit_nothing(self) -> None:
        """Guard against keys that are missing, malformed or not known."""
        cases = (
            ((), AccessProblem.KEY_MISSING),
            ((b'',), AccessProblem.KEY_EMPTY),
            ((b' \t',), AccessProblem.KEY_EMPTY),
            ((KEY, KEY), AccessProblem.KEY_REPEATED),
            ((KEY, b''), AccessProblem.KEY_REPEATED),
            ((b'k' * (MAX_KEY_BYTES + 1),), AccessProblem.KEY_TOO_LONG),
            (('klúč'.encode(),), AccessProblem.KEY_NOT_ASCII),
            ((b'Tarn-Key',), AccessProblem.KEY_UNKNOWN),
            ((b'tarn-key, fell-key',), AccessProblem.KEY_UNKNOWN),
            ((b'tarn',), AccessProblem.KEY_UNKNOWN),
        )
        for keys, problem in cases:
            decision = self.decide(*keys)
            self.assertEqual(problem, decision.problem, str(keys))
            self.assertIsNone(decision.workspace)

    def test_whitespace_is_no_part_of_a_key(self) -> None:
        """Guard against keys that fail for the spaces around them."""
        self.assertIsNone(self.decide(b'tarn-key \t').problem)

    def test_public_routes_need_no_key(self) -> None:
        """Guard against refusals there, and against the loss of a known key."""
        for keys in ((), (b'',), (KEY, KEY), (b'unknown',)):
            decision = self.decide(*keys, routes=(PUBLIC,))
            self.assertIsNone(decision.problem, str(keys))
            self.assertIsNone(decision.workspace)
        known = self.decide(KEY, routes=(PUBLIC,))
        self.assertEqual('tarn', known.workspace.name)

    def test_deployments_without_workspaces_need_no_key(self) -> None:
        """Guard against a change for deployments without workspaces."""
        for keys in ((), (KEY, KEY), (b'\xff',)):
            decision = self.decide(*keys, workspaces=None)
            self.assertIsNone(decision.problem)
            self.assertIsNone(decision.workspace)

    def test_configuration_with_no_workspace_admits_no_key(self) -> None:
        """Guard against an empty list that is taken for no list."""
        self.assertEqual(
            AccessProblem.KEY_UNKNOWN,
            self.decide(KEY, workspaces=()).problem,
        )

    def test_names_that_cannot_be_sent(self) -> None:
        """Guard against names that would add headers to a request."""
        for name in ('', 'a\r\nX: b', ' a', 'a\x00'):
            table = WorkspaceTable.build(
                workspaces=(make_workspace(name, ('k',)),)
            )
            self.assertEqual({}, table.workspaces_by_digest)
            self.assertEqual(1, len(table.unusable))


class TestScopes(testtools.TestCase):
    """The same ids in two workspaces are two things."""

    def scope(self, call: CallRequest, name: str) -> CallRequest:
        return scope_call(call, make_workspace(name))

    def test_ids_of_two_workspaces_differ(self) -> None:
        """Guard against a budget, history, stream or branch of two workspaces."""
        call = make_turn_call(
            previous_turn='q-0', resumed_request='q-9', affinity_key='seat 4'
        )
        tarn, fell = self.scope(call, 'tarn'), self.scope(call, 'fell')
        for name in (
            'program_id',
            'previous_turn',
            'resumed_request',
            'affinity_key',
            'turn_id',
            'branch_ids',
        ):
            ids = {getattr(one, name) for one in (call, tarn, fell)}
            self.assertEqual(3, len(ids), name)

    def test_what_servers_and_engines_share_stays(self) -> None:
        """Guard against another request id, and shared parts kept twice."""
        call = make_turn_call()
        scoped = self.scope(call, 'tarn')
        self.assertEqual(call.request_id, scoped.request_id)
        self.assertEqual(call.shared_part, scoped.shared_part)
        self.assertEqual(call.unshared_tokens, scoped.unshared_tokens)

    def test_first_turns_stay_first(self) -> None:
        """Guard against an empty id that becomes one by its scope."""
        scoped = self.scope(make_turn_call(), 'tarn')
        self.assertEqual('', scoped.previous_turn)
        self.assertTrue(scoped.is_first_turn)

    def test_nothing_changes_without_a_workspace(self) -> None:
        """Guard against other bytes in the store and in messages."""
        call = make_turn_call()
        self.assertIs(call, scope_call(call, None))
        self.assertEqual(call.request_id, call.turn_id)
        self.assertEqual(('own',), call.branch_ids)

    def test_no_caller_can_send_a_scoped_id(self) -> None:
        """Guard against a caller without a workspace that names another's id."""
        forged = scope_id('tarn', 'p-1').encode()
        with open_gateway(PLAIN) as gateway:
            caller = gateway.call(make_request(b'X: %b' % forged))
            head = caller.read_answer().head
        self.assertIsNotNone(head)
        self.assertEqual(400, head.status if head else 0)
        self.assertIn(SEPARATOR, forged.decode())

    def test_crashes_of_one_workspace_do_not_accuse_another(self) -> None:
        """Guard against requests refused for those of another workspace."""
        server = ScriptedServer(script=answer_with(make_answer(b'')))
        self.addCleanup(server.close)
        with open_gateway(PLAIN, server) as gateway:
            gateway.call(make_request(body=b'x')).read_answer()
        request = server.requests[0]
        call = make_turn_call()
        plain, tarn, fell = (
            make_pending_call(request=request, call=one).fingerprints
            for one in (
                call,
                self.scope(call, 'tarn'),
                self.scope(call, 'fell'),
            )
        )
        self.assertEqual(6, len({*plain, *tarn, *fell}))


class TestRank(testtools.TestCase):
    """The priority of a workspace goes before that of a route."""

    def test_rank(self) -> None:
        """Guard against a priority 0 of a workspace that counts as none."""
        route = make_route(priority=3)
        self.assertEqual(3, find_rank(route, None))
        self.assertEqual(3, find_rank(route, make_workspace()))
        self.assertEqual(0, find_rank(route, make_workspace(priority=0)))


class TestLag(testtools.TestCase):
    """A VM that may be behind refuses nothing for good."""

    def test_own_feed(self) -> None:
        """Guard against 401 and 404 by a VM that the store does not answer."""
        newer = lag.NewerVersions()
        self.assertTrue(lag.may_lag(newer, 7, is_feed_current=False))
        self.assertFalse(lag.may_lag(newer, 7, is_feed_current=True))

    def test_newer_versions_of_peers(self) -> None:
        """Guard against a VM that does not heed what its peers report."""
        newer = lag.NewerVersions()
        lag.record_version(newer, 'a', 8, own_version=7, at=10)
        lag.record_version(newer, 'b', 9, own_version=7, at=10.2)
        lag.record_version(newer, 'c', 7, own_version=7, at=10.2)
        self.assertTrue(lag.may_lag(newer, 7, is_feed_current=True))
        self.assertEqual(['b', 'a'], lag.list_newer(newer, 7))
        self.assertFalse(lag.is_overdue(newer, 7, at=10.29))
        self.assertTrue(lag.is_overdue(newer, 7, at=10.3))

    def test_reached_versions_are_forgotten(self) -> None:
        """Guard against a VM that asks its peers for what it has."""
        newer = lag.NewerVersions()
        lag.record_version(newer, 'a', 8, own_version=7, at=10)
        self.assertFalse(lag.is_overdue(newer, 8, at=20))
        self.assertFalse(lag.may_lag(newer, 8, is_feed_current=True))
        lag.record_version(newer, 'a', 9, own_version=8, at=30)
        self.assertFalse(lag.is_overdue(newer, 8, at=30.1))


class TestKeysOfRequests(testtools.TestCase):
    """The key of each request decides; servers get the workspace instead."""

    def setUp(self) -> None:
        """Start a server that answers everything."""
        super().setUp()
        self.server = ScriptedServer(script=answer_with(make_answer(b'ok')))
        self.logs = io.StringIO()
        configure_logs(stream=self.logs)
        self.addCleanup(configure_logs)

    def open(self, **changes: Any) -> Any:
        fields = {'routes': (PLAIN,), **changes}
        return open_gateway(
            PLAIN, self.server, configuration=make_keyed_configuration(**fields)
        )

    def call(self, gateway: TestGateway, *headers: bytes) -> AnswerReader:
        return gateway.call(make_request(*headers)).read_answer()

    def call_status(self, gateway: TestGateway, *headers: bytes) -> int:
        head = self.call(gateway, *headers).head
        return head.status if head else 0

    def list_sent(self, name: bytes) -> list[bytes]:
        return find_headers(self.server.requests[-1].headers, name)

    def test_server_gets_the_workspace_and_not_the_key(self) -> None:
        """Guard against keys at servers, and workspaces that callers choose."""
        hostile = (
            (),
            (b'Bronzepost-Workspace: fell',),
            (b'BRONZEPOST-WORKSPACE: fell', b'bronzepost-workspace: ridge'),
            (b'Connection: bronzepost-workspace', b'Bronzepost-Workspace: f'),
        )
        with self.open() as gateway:
            for headers in hostile:
                status = self.call_status(gateway, KEY_LINE.upper(), *headers)
                self.assertEqual(401, status)
                line = b'BRONZEPOST-KEY: %b' % KEY
                status = self.call_status(gateway, line, *headers)
                self.assertEqual(200, status, str(headers))
                self.assertEqual([b'tarn'], self.list_sent(NAMES.workspace))
                self.assertEqual([], self.list_sent(NAMES.key))

    def test_public_routes_send_neither(self) -> None:
        """Guard against keys and workspaces that pass by a public route."""
        with self.open(routes=(PUBLIC,)) as gateway:
            for key in (b'unknown', b'', b'tarn-key, x'):
                line = b'Bronzepost-Key: %b' % key
                workspace = b'Bronzepost-Workspace: fell'
                status = self.call_status(gateway, line, line, workspace)
                self.assertEqual(200, status)
                self.assertEqual([], self.list_sent(NAMES.key))
                self.assertEqual([], self.list_sent(NAMES.workspace))

    def test_refused_requests_run_nowhere(self) -> None:
        """Guard against requests that run without a key of the configuration."""
        cases = (
            (401, ()),
            (401, (b'Bronzepost-Key: ',)),
            (401, (b'Bronzepost-Key: other',)),
            (401, (b'Bronzepost-Key : tarn-key',)),
            (401, (b'Bronzepost_Key: tarn-key',)),
            (400, (KEY_LINE, KEY_LINE)),
            (400, (KEY_LINE, b'bronzepost-key: fell-key')),
            (400, (b'Bronzepost-Key: k\xc3\xbac',)),
            (400, (b'Bronzepost-Key: %b' % (b'k' * 2000),)),
            (400, (b'Bronzepost-Key: tarn\x00key',)),
        )
        with self.open() as gateway:
            for status, headers in cases:
                answer = self.call_status(gateway, *headers)
                # A space before the colon makes the request malformed.
                is_malformed = b'Key :' in b''.join(headers)
                self.assertEqual(
                    400 if is_malformed else status, answer, str(headers)
                )
        self.assertEqual([], self.server.requests)

    def test_key_in_a_trailer_is_repeated(self) -> None:
        """Guard against a second key that comes after the body."""
        request = b'\r\n'.join((
            b'POST /chat/x HTTP/1.1',
            b'Host: desk.example',
            b'Bronzepost-Key: tarn-key',
            b'Transfer-Encoding: chunked',
            b'',
            b'0',
            b'Bronzepost-Key: fell-key',
            b'',
            b'',
        ))
        with self.open() as gateway:
            head = gateway.call(request).read_answer().head
        self.assertEqual(400, head.status if head else 0)
        self.assertEqual([], self.server.requests)

    def test_key_that_is_gone_stops_on_a_kept_connection(self) -> None:
        """Guard against keys that are checked once for a connection."""
        with self.open() as gateway:
            caller = gateway.call(make_request(KEY_LINE))
            first = caller.read_answer().head
            gateway.directory.put_configuration(
                make_keyed_configuration(
                    make_workspace('fell'), version=2, routes=(PLAIN,)
                )
            )
            caller.sock.sendall(make_request(KEY_LINE))
            second = caller.read_answer().head
        self.assertEqual(200, first.status if first else 0)
        self.assertEqual(401, second.status if second else 0)
        self.assertEqual(1, len(self.server.requests))

    def test_keys_are_in_no_log_or_metric(self) -> None:
        """Guard against keys that leave the VM by what operators read."""
        secret = b'a-secret-of-a-caller'
        with self.open() as gateway:
            for headers in (
                (KEY_LINE,),
                (b'Bronzepost-Key: %b' % secret,),
                (b'Bronzepost-Key: %b' % secret, KEY_LINE),
            ):
                self.call(gateway, *headers)
        digests = [
            digest
            for workspace in make_keyed_configuration().workspaces or ()
            for digest in workspace.key_digests
        ]
        metrics = METRICS.render().decode()
        written = f'{self.logs.getvalue()}{metrics}'
        for text in (KEY.decode(), secret.decode(), *digests):
            self.assertNotIn(text, written)
        self.assertIn('key_unknown', written)
        self.assertIn('"route":"r-1"', written.replace(' ', ''))

    def test_metrics_have_names_of_the_configuration_only(self) -> None:
        """Guard against labels that callers choose."""
        with self.open() as gateway:
            before = self.count_answered('tarn')
            self.call(gateway, KEY_LINE, b'Bronzepost-Workspace: forged')
            self.call(gateway, b'Bronzepost-Key: forged')
            after = self.count_answered('tarn')
        self.assertEqual(before + 1, after)
        self.assertNotIn(b'forged', METRICS.render())

    def count_answered(self, workspace: str) -> float:
        counter = METRICS.workspace_requests.labels(
            workspace=workspace, outcome='answered'
        )
        return counter.value

    def test_vm_that_may_lag_refuses_nothing_for_good(self) -> None:
        """Guard against 401 and 404 where a newer configuration may allow it."""
        elsewhere = make_request().replace(b'/chat/', b'/new/')
        with self.open() as gateway:
            gateway.source.may_lag = True
            for request in (
                make_request(b'Bronzepost-Key: new'),
                make_request(),
                elsewhere,
            ):
                answer = gateway.call(request).read_answer()
                head = answer.head
                self.assertEqual(503, head.status if head else 0)
                self.assertIn(b'configuration_behind', answer.pop_body())
                retry = find_headers(
                    head.headers if head else (), b'retry-after'
                )
                self.assertEqual(1, len(retry))
            self.assertEqual(200, self.call_status(gateway, KEY_LINE))
            self.assertEqual(3, gateway.source.fetches)
            gateway.source.may_lag = False
            self.assertEqual(
                404, self.read_status(gateway, elsewhere), 'no route'
            )

    def read_status(self, gateway: TestGateway, request: bytes) -> int:
        head = gateway.call(request).read_answer().head
        return head.status if head else 0

    def test_newer_configuration_is_fetched_before_a_refusal(self) -> None:
        """Guard against callers sent away although a peer knows their key."""
        with self.open() as gateway:

            def fetch() -> None:  # noqa: WPS430 - script of this test
                gateway.directory.put_configuration(
                    make_keyed_configuration(
                        make_workspace('ridge'), version=2, routes=(PLAIN,)
                    )
                )
                gateway.source.may_lag = False

            gateway.source.may_lag = True
            gateway.source.fetch = fetch
            line = b'Bronzepost-Key: ridge-key'
            self.assertEqual(200, self.call_status(gateway, line))
            self.assertEqual([b'ridge'], self.list_sent(NAMES.workspace))
            self.assertEqual(401, self.call_status(gateway, KEY_LINE))
            self.assertEqual(1, gateway.source.fetches)

    def test_without_workspaces_headers_pass_as_before(self) -> None:
        """Guard against a change for deployments without workspaces."""
        with self.open(workspaces=None) as gateway:
            lines = (KEY_LINE, b'Bronzepost-Workspace: mine')
            self.assertEqual(200, self.call_status(gateway, *lines))
            self.assertEqual([KEY], self.list_sent(NAMES.key))
            self.assertEqual([b'mine'], self.list_sent(NAMES.workspace))
