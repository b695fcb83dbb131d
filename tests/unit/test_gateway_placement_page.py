"""The explanation of a placement agrees with what is then sent."""

import contextlib
import io
import json
from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools
from testtools.matchers import HasLength

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.main import run_command_line
from bronzepost._internal.core.gateway.entities import Route, RouteKind
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.callers.pages import start_pages_server
from bronzepost._internal.gateway.requests.placement_page import (
    PLACEMENT_PATH,
)
from bronzepost._internal.gateway.servers.server_permits import ServerPermits
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    ScriptedServer,
    TestGateway,
    answer_with,
    find_port,
    make_answer,
    make_request,
    open_gateway,
)

OK = make_answer(b'done')
PLAIN = make_route(kind=RouteKind.NON_IDEMPOTENT)
STICKY = make_route(kind=RouteKind.NON_IDEMPOTENT, is_sticky=True)
SUBJECTS = ('o-1', 'o-2', 'o-3', 'o-4', 'o-5', 'o-6')
NOTHING: Callable[[TestGateway], None] = lambda _gateway: None  # noqa: E731


def explain(gateway: TestGateway, subject: str = '') -> dict[str, Any]:
    """Return the explanation of a request."""
    page = gateway.placement_page.render({
        'host': 'desk.example',
        'path': '/chat/x',
        'headers': f'Bronzepost-Request: q-1\nSubject: {subject}',
    })
    answer: dict[str, Any] = json.loads(page.body)
    return answer


def fail_first(gateway: TestGateway) -> None:
    """Let the server in the zone of the gateway have failed."""
    for _ in range(3):
        gateway.directory.ratings.report_failure('s-0')


def leave_first(gateway: TestGateway) -> None:
    """Let the server in the zone of the gateway say that it is leaving."""
    gateway.directory.report_leaving(gateway.directory.servers_by_id['s-0'])


class TestPlacementPage(testtools.TestCase):
    """Guard against an explanation that differs from the decision."""

    def setUp(self) -> None:
        super().setUp()
        # No request is a control.
        self.use_patch(mock.patch('random.random', lambda: 0.99))

    def use_patch(self, patch: Any) -> None:
        """Apply a patch until the end of the test."""
        patch.start()
        self.addCleanup(patch.stop)

    def compare(
        self,
        route: Route,
        *,
        subject: str = '',
        prepare: Callable[[TestGateway], None] = NOTHING,
    ) -> dict[str, Any]:
        """Explain a request, send it, and return the explanation."""
        servers = [ScriptedServer(script=answer_with(OK)) for _ in range(3)]
        with open_gateway(route, *servers) as gateway:
            prepare(gateway)
            explained = explain(gateway, subject)
            self.assertEqual([0, 0, 0], [len(one.requests) for one in servers])
            header = b'Subject: %b' % subject.encode()
            gateway.call(make_request(header)).read_answer()
        used = [
            f's-{number}'
            for number, server in enumerate(servers)
            if server.requests
        ]
        self.assertThat(used, HasLength(1))
        equal = explained['equal_servers']
        self.assertIn(used[0], [explained['server'], *equal])
        return explained

    def find_states(self, explained: dict[str, Any]) -> dict[str, str]:
        """Return the states of the servers."""
        return {row['server']: row['state'] for row in explained['servers']}

    def test_nearest_server(self) -> None:
        explained = self.compare(PLAIN)
        self.assertEqual('s-0', explained['server'])
        self.assertEqual([], explained['equal_servers'])
        row = explained['servers'][1]
        self.assertEqual((0.01, 0.02), (row['zone'], row['connection']))

    def test_warm_server(self) -> None:
        used = set()
        for subject in SUBJECTS:
            explained = self.compare(STICKY, subject=subject)
            self.assertEqual('warm', explained['placed'])
            self.assertEqual([], explained['equal_servers'])
            used.add(explained['server'])
        self.assertThat(used, HasLength(3))

    def test_failing_server(self) -> None:
        explained = self.compare(PLAIN, prepare=fail_first)
        self.assertEqual('failing', self.find_states(explained)['s-0'])

    def test_leaving_server(self) -> None:
        explained = self.compare(PLAIN, prepare=leave_first)
        self.assertEqual('leaving', self.find_states(explained)['s-0'])

    def test_limited_server(self) -> None:
        self.use_patch(
            mock.patch.object(
                ServerPermits, 'list_blocked', lambda _: frozenset(('s-0',))
            )
        )
        explained = self.compare(PLAIN)
        self.assertEqual('limited', self.find_states(explained)['s-0'])

    def test_nothing_is_recorded(self) -> None:
        """Guard against a look that changes where requests go."""
        server = ScriptedServer(script=answer_with(OK))
        with open_gateway(STICKY, server) as gateway:
            known = gateway.directory.warm_requests
            for _ in range(5):
                explain(gateway, 'o-1')
            self.assertEqual(0, known.count_subjects())
            gateway.call(make_request(b'Subject: o-1')).read_answer()
            self.assertEqual(1, known.count_subjects())

    def test_request_without_a_route_is_refused(self) -> None:
        server = ScriptedServer(script=answer_with(OK))
        with open_gateway(PLAIN, server) as gateway:
            self.assertRaises(
                RefusedError,
                gateway.placement_page.render,
                {'host': 'desk.example', 'path': '/other'},
            )


class TestPlacementCommand(testtools.TestCase):
    """Operators ask a running gateway with ``bronzepost placement``."""

    def setUp(self) -> None:
        super().setUp()
        self.address = f'127.0.0.1:{find_port()}'

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Return the exit code and the output of the command."""
        output = io.StringIO()
        server = ScriptedServer(script=answer_with(OK))
        with open_gateway(STICKY, server) as gateway:
            pages = start_pages_server(
                self.address, {PLACEMENT_PATH: gateway.placement_page.render}
            )
            self.addCleanup(pages.stop)
            with contextlib.redirect_stdout(output):
                exit_code = run_command_line([
                    'placement',
                    '--address',
                    self.address,
                    *arguments,
                ])
        self.assertEqual([], server.requests)
        return exit_code, output.getvalue()

    def test_table(self) -> None:
        exit_code, text = self.run_command('desk.example', '/chat/x')
        self.assertEqual(0, exit_code)
        self.assertIn('decision', text)
        self.assertIn('s-0', text.splitlines()[-1])

    def test_json(self) -> None:
        exit_code, text = self.run_command(
            'desk.example', '/chat/x', '--header', 'Subject: o-1', '--json'
        )
        self.assertEqual(0, exit_code)
        answer = json.loads(text)
        self.assertEqual('s-0', answer['server'])
        self.assertEqual('undecided', answer['stickiness'])

    def test_unknown_route(self) -> None:
        exit_code, _ = self.run_command('other.example', '/')
        self.assertEqual(ExitCode.REFUSED, exit_code)
