"""Tests of the operator commands against a simulated node."""

import io
import json
import os
import tempfile
from collections.abc import Iterable
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from typing import Any
from unittest import mock
from urllib.parse import parse_qs

from gevent.pywsgi import WSGIServer
from testtools import TestCase

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.main import run_command_line

KEY = 'operator-key'
PATH = 'organisations/kostiumy/cache_weight'


class OperatorCommandTest(TestCase):
    """Tests of the requests, the exit codes and the output."""

    def setUp(self) -> None:
        """Start the simulated node and set its address in the environment."""
        super().setUp()
        self.requests: list[tuple[str, str, Any]] = []
        self.answers: dict[str, Any] = {}
        self.server = WSGIServer(('127.0.0.1', 0), self.answer, log=None)
        self.server.start()
        self.addCleanup(self.server.stop)
        address = f'127.0.0.1:{self.server.server_port}'
        environment = mock.patch.dict(
            os.environ,
            {
                'BRONZEPOST_OPERATOR_ADDRESS': address,
                'BRONZEPOST_CALLER_ADDRESS': address,
                'BRONZEPOST_OPERATOR_KEY': KEY,
                'BRONZEPOST_AUTHOR': 'anna',
            },
        )
        environment.start()
        self.addCleanup(environment.stop)

    def answer(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request: 401 without a valid key, 404 with no answer set."""
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        fields: dict[str, Any] = parse_qs(environ['QUERY_STRING'])
        if method == 'POST':
            fields = json.loads(environ['wsgi.input'].read())
        self.requests.append((method, path, fields))
        status, body = self.answers.get(f'{method} {path}', ('404 No', {}))
        is_operator = path != '/v1/endpoints'
        if is_operator and environ.get('HTTP_AUTHORIZATION') != f'Bearer {KEY}':
            status = '401 Unauthorized'
            body = {'error': {'message': 'wrong key', 'code': 'key'}}
        start_response(status, [('Content-Type', 'application/json')])
        return [json.dumps(body).encode()]

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit code and its output."""
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            code = run_command_line(arguments)
        return code, output.getvalue()

    def test_reading_commands_request_their_resource(self) -> None:
        """Guard against commands that request the wrong resource."""
        for command, path in (
            ('programs', '/v1/programs'),
            ('runners', '/v1/runners'),
            ('status', '/v1/status'),
            ('status --members', '/v1/members'),
            ('endpoints', '/v1/endpoints'),
            ('config get', '/v1/configuration'),
            ('config history', '/v1/configuration/history'),
            ('config explain budget', '/v1/configuration/explain'),
        ):
            self.answers[f'GET {path}'] = ('200 OK', {'rows': [{'new': 'yes'}]})
            code, output = self.run_command(*command.split())
            self.assertEqual(ExitCode.OK, code, command)
            self.assertEqual('rows:\nnew\nyes\n', output)
            code, output = self.run_command(*command.split(), '--json')
            self.assertEqual({'rows': [{'new': 'yes'}]}, json.loads(output))

    def test_explain_sends_organisation(self) -> None:
        """Guard against the explanation of another organisation's value."""
        self.run_command('config', 'explain', 'budget', '--organisation', 'k')
        self.assertEqual(
            {'name': ['budget'], 'organisation': ['k']}, self.requests[0][2]
        )

    def test_set_is_based_on_latest_revision(self) -> None:
        """Guard against a change that overwrites a newer one."""
        entry = {'path': PATH, 'value': 0.5, 'revision': 41}
        self.answers['GET /v1/configuration'] = ('200 OK', {'entries': [entry]})
        self.answers['POST /v1/configuration'] = ('200 OK', {'revision': 42})
        code, output = self.run_command('config', 'set', PATH, '0.8')
        self.assertEqual((ExitCode.OK, 'revision  42\n'), (code, output))
        self.assertEqual(
            {
                'path': PATH,
                'value': 0.8,
                'base_revision': 41,
                'author': 'anna',
            },
            self.requests[-1][2],
        )

    def test_set_of_a_new_path(self) -> None:
        """Guard against a failure because the path has no entry yet."""
        self.answers['POST /v1/configuration'] = ('200 OK', {'revision': 1})
        code, _output = self.run_command('config', 'set', PATH, 'text')
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(0, self.requests[-1][2]['base_revision'])

    def test_set_refused(self) -> None:
        """Guard against a refusal that does not name the accepted change."""
        error = {
            'message': 'changed since revision 3',
            'code': 'conflict',
            'accepted': {'author': 'jan', 'revision': 9},
        }
        self.answers['POST /v1/configuration'] = ('409 No', {'error': error})
        code, output = self.run_command(
            'config', 'set', PATH, '1', '--base-revision', '3'
        )
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn('changed since revision 3', output)
        self.assertIn('jan', output)
        self.assertEqual(1, len(self.requests))

    def test_diff_with_saved_tree(self) -> None:
        """Guard against a change since the saved tree that is not shown."""
        entry = {'path': PATH, 'value': 0.5, 'revision': 41}
        self.answers['GET /v1/configuration'] = ('200 OK', {'entries': [entry]})
        with tempfile.TemporaryDirectory() as directory:
            saved = Path(directory) / 'saved.json'
            saved.write_text(json.dumps({'entries': []}), encoding='utf-8')
            code, output = self.run_command('config', 'diff', str(saved))
        self.assertEqual(ExitCode.OK, code)
        self.assertIn(f'{PATH}  -      0.5', output)

    def test_drain_posts_the_request(self) -> None:
        """Guard against a drain command that only reads the state."""
        self.answers['POST /v1/drain'] = ('202 Accepted', {'draining': True})
        code, output = self.run_command('drain')
        self.assertEqual((ExitCode.OK, 'draining  true\n'), (code, output))

    def test_wrong_key(self) -> None:
        """Guard against a refused key that is shown as an empty answer."""
        code, output = self.run_command('programs', '--key', 'other-key')
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn('refused with 401 key: wrong key', output)
        self.assertNotIn('other-key', output)

    def test_unreachable(self) -> None:
        """Guard against an unreachable node that is reported as a refusal."""
        self.server.stop()
        code, output = self.run_command('status')
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn('no node answers', output)
