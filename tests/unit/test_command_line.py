"""Tests of the commands that do not need a node."""

import io
import json
import subprocess
import sys
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

import cappa
from testtools import TestCase

from bronzepost._internal.cli import rendering
from bronzepost._internal.cli.commands.config import ConfigCommand
from bronzepost._internal.cli.commands.config.diff import compare_entries
from bronzepost._internal.cli.commands.config.entries import list_entries
from bronzepost._internal.cli.commands.config.set import parse_value
from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.main import CommandLine, run_command_line
from tests import builders_settings as builders

COMMANDS = (
    'serve',
    'check',
    'programs',
    'runners',
    'endpoints',
    'drain',
    'status',
    'version',
    'config',
    'config get',
    'config set',
    'config diff',
    'config history',
    'config explain',
)


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a command and return its exit code, output and errors."""
    output = io.StringIO()
    errors = io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        code = run_command_line(arguments)
    return code, output.getvalue(), errors.getvalue()


class CommandLineTest(TestCase):
    """Tests of the commands and their exit codes."""

    def write_settings(self, text: str) -> str:
        """Write the text to a file and return the name of the file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / 'node.toml'
        path.write_text(text, encoding='utf-8')
        return str(path)

    def test_help_has_an_example(self) -> None:
        """Guard against a command without an example in its help."""
        for command in COMMANDS:
            code, output, errors = run(*command.split(), '--help')
            self.assertEqual((ExitCode.OK, ''), (code, errors))
            self.assertIn(f'Example: bronzepost {command}', output)

    def test_usage_errors(self) -> None:
        """Guard against exit code 0 for a mistyped command."""
        for command in ('', 'bogus', 'serve', 'status --bogus'):
            code, _output, errors = run(*command.split())
            self.assertEqual(ExitCode.USAGE, code, command)
            self.assertIn('Usage: bronzepost', errors)

    def test_version(self) -> None:
        """Guard against output that a script cannot parse."""
        _code, output, _errors = run('version', '--json')
        self.assertIn('bronzepost', json.loads(output))

    def test_check_accepts(self) -> None:
        """Guard against refusing a correct file."""
        name = self.write_settings(builders.build_settings_text())
        code, output, errors = run('check', name)
        self.assertEqual((ExitCode.OK, ''), (code, errors))
        self.assertIn('hall-a-1', output)

    def test_check_names_problems(self) -> None:
        """Guard against a wrong file that passes, and problems not listed."""
        name = self.write_settings('[node]\nname = 1\n')
        code, output, errors = run('check', name)
        self.assertEqual((ExitCode.USAGE, ''), (code, errors))
        self.assertIn(':2: node.name is 1;', output)
        code, output, errors = run('check', name, '--json')
        self.assertEqual((ExitCode.USAGE, ''), (code, errors))
        self.assertEqual(10, len(json.loads(output)['problems']))

    def test_serve_refuses_wrong_settings(self) -> None:
        """Guard against a node that starts without its settings."""
        code, _output, errors = run('serve', '--settings', '/nowhere.toml')
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn('/nowhere.toml: cannot read', errors)

    def test_invalid_address(self) -> None:
        """Guard against a traceback for an invalid address."""
        code, _output, errors = run('status', '--address', 'localhost')
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn('--address is "localhost"', errors)

    def test_version_imports_no_clients(self) -> None:
        """Guard against a slow start of commands that open no socket."""
        script = (
            'import sys\n'
            'from bronzepost._internal.cli.main import run_command_line\n'
            'run_command_line(["version"])\n'
            'slow = {"geventhttpclient", "pynng", "structlog", "statsd"}\n'
            'print(sorted(slow & set(sys.modules)))'
        )
        done = subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual('[]', done.stdout.splitlines()[-1])

    def test_key_is_not_in_repr(self) -> None:
        """Guard against a key in a traceback."""
        parsed = cappa.parse(
            CommandLine, argv=['programs', '--key', 'sekret'], completion=False
        )
        self.assertNotIn('sekret', repr(parsed))


class ConfigTest(TestCase):
    """Tests of the values that the config commands compare and send."""

    def test_values(self) -> None:
        """Guard against numbers sent as strings."""
        self.assertEqual(0.8, parse_value('0.8'))
        self.assertEqual(['a'], parse_value('["a"]'))
        self.assertEqual('round_robin', parse_value('round_robin'))

    def test_differences(self) -> None:
        """Guard against missing an added, changed or removed path."""
        saved = {
            'entries': [{'path': 'a', 'value': 1}, {'path': 'b', 'value': 1}]
        }
        now = {
            'entries': [{'path': 'b', 'value': 2}, {'path': 'c', 'value': 1}]
        }
        rows = list(compare_entries(list_entries(saved), list_entries(now)))
        self.assertEqual(
            [
                {'path': 'a', 'saved': 1, 'now': None},
                {'path': 'b', 'saved': 1, 'now': 2},
                {'path': 'c', 'saved': None, 'now': 1},
            ],
            rows,
        )

    def test_unexpected_answers(self) -> None:
        """Guard against a traceback for an answer of an unexpected type."""
        answers: tuple[object, ...] = (None, [], {'entries': [1]}, {})
        for answer in answers:
            self.assertEqual({}, list_entries(answer))
        single = list_entries({'path': 'a', 'value': 1, 'revision': 7})
        self.assertEqual(7, single['a'].revision)

    def test_subcommand_is_required(self) -> None:
        """Guard against a config command without a subcommand."""
        self.assertRaises(
            cappa.Exit, cappa.parse, ConfigCommand, argv=[], completion=False
        )


class RenderingTest(TestCase):
    """Tests of the output as text."""

    def test_unknown_fields_are_shown(self) -> None:
        """Guard against hiding the fields of a newer node."""
        text = rendering.render(
            {
                'node': 'a-1',
                'load': 0.12345,
                'programs': [
                    {'program': 'p', 'spent': 10},
                    {'later': None, 'spent': 2, 'program': 'long-name'},
                ],
                'runners': [],
            },
            ('program',),
        )
        self.assertEqual(
            'node  a-1\n'
            'load  0.123\n'
            '\n'
            'programs:\n'
            'program    spent  later\n'
            'p          10     -\n'
            'long-name  2      -\n'
            '\n'
            'runners:\n'
            'none',
            text,
        )

    def test_long_cells_are_cut(self) -> None:
        """Guard against tables that wrap on a terminal."""
        cell = rendering.format_cell({'value': 'v' * 100})
        self.assertEqual(rendering.MAX_CELL_WIDTH, len(cell))
