"""Tests of the settings file."""

import tempfile
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from bronzepost._internal.exceptions import SettingsError, SettingsErrorGroup
from bronzepost._internal.settings import load_settings, parse_settings
from bronzepost._internal.settings.rules import is_address
from tests import builders_settings as builders

FILE = 'node.toml'


def list_errors(text: str) -> list[SettingsError]:
    """Return the errors that a settings text raises."""
    try:
        parse_settings(text, FILE)
    except SettingsErrorGroup as group:
        return list(group.exceptions)  # type: ignore[arg-type]
    return []


def list_messages(text: str) -> list[str]:
    """Return the messages of the errors that a settings text raises."""
    return [error.message for error in list_errors(text)]


class SettingsTest(TestCase):
    """Tests of loading correct files."""

    def test_values_and_defaults(self) -> None:
        """Guard against lost values and wrong defaults."""
        settings = parse_settings(builders.build_settings_text(), FILE)
        self.assertEqual('hall-a-1', settings.node.name)
        self.assertEqual(('127.0.0.2:7001',), settings.peers.seeds)
        self.assertEqual(4194304, settings.limits.body_bytes)
        self.assertEqual('json', settings.telemetry.log_format)
        self.assertEqual(('hall-b', 'hall-c'), settings.distances[1].between)
        self.assertEqual(1.0, settings.distances[0].milliseconds)

    def test_design_page_example(self) -> None:
        """Guard against an outdated example on the design page."""
        design = Path(__file__).parents[2] / 'docs' / 'design.md'
        text = design.read_text(encoding='utf-8')
        example = text.split('```toml\n')[1].split('```')[0]
        self.assertEqual([], list_messages(example))

    def test_repr_hides_keys(self) -> None:
        """Guard against keys in log lines."""
        settings = parse_settings(builders.build_settings_text(), FILE)
        self.assertNotIn('operator-key', repr(settings))
        self.assertNotIn('peer-key', repr(settings))

    def test_missing_file(self) -> None:
        """Guard against a traceback for a missing file."""
        with tempfile.TemporaryDirectory() as directory:
            missing = Path(directory) / FILE
            group = self.assertRaises(
                SettingsErrorGroup, load_settings, missing
            )
        self.assertIn('No such file', group.exceptions[0].message)


class ProblemTest(TestCase):
    """Tests of the problems reported for wrong files."""

    def test_all_problems_in_one_run(self) -> None:
        """Guard against a check that stops at the first problem."""
        node = builders.NODE.replace('127.0.0.1:8001', 'localhost:8001')
        node = node.replace('name = "hall-a-1"', 'nmae = "hall-a-1"')
        text = builders.build_settings_text(
            node=node, extra='[limits]\nbody_bytes = "big"\n'
        )
        self.assertEqual(
            [
                'node.toml:2: node.name is missing; expected a name of 1 to 64'
                ' letters, digits, dots, dashes and underscores',
                'node.toml:3: node.nmae is an unknown key; expected "name"',
                'node.toml:7: node.caller_address is "localhost:8001";'
                ' expected an IP address with a port, such as 127.0.0.1:8001',
                'node.toml:23: limits.body_bytes is "big";'
                ' expected a whole number of bytes above 0',
            ],
            list_messages(text),
        )

    def test_missing_tables(self) -> None:
        """Guard against a missing table that hides its required keys."""
        paths = [error.path for error in list_errors('')]
        self.assertEqual(10, len(paths))
        self.assertIn('platform.log_address', paths)
        self.assertIn('node.peer_address', paths)

    def test_keys_needed_off_loopback(self) -> None:
        """Guard against a port without keys that other machines can reach."""
        node = builders.NODE.replace('127.0.0.1:9001', '10.0.0.1:9001')
        text = builders.build_settings_text(
            node=node, keys='[peers]\nkeys = ["peer-key"]\n'
        )
        error = list_errors(text)[0]
        self.assertEqual('node.operator_address', error.path)
        self.assertIn('at least one key in operators.keys', error.expected)
        self.assertEqual(
            [], list_errors(builders.build_settings_text(node=node))
        )

    def test_wrong_key_is_hidden(self) -> None:
        """Guard against a message that shows a key."""
        text = builders.build_settings_text(
            keys='[peers]\nkeys = ["a b", "b", "c"]\n[operators]\nkeys = "d e"'
        )
        shown = {error.path: error.shown for error in list_errors(text)}
        self.assertEqual(
            {
                'peers.keys': '(hidden)',
                'peers.keys[0]': '(hidden)',
                'operators.keys': '(hidden)',
            },
            shown,
        )

    def test_distances_naming_zones_twice(self) -> None:
        """Guard against silently ignoring one of two distances."""
        text = builders.build_settings_text(
            extra=(
                '[[distances]]\nbetween = ["a", "b"]\nmilliseconds = 1\n'
                '[[distances]]\nbetween = ["b", "a"]\nmilliseconds = 2\n'
                '[[distances]]\nbetween = ["a", "a"]\nmilliseconds = nan\n'
            )
        )
        errors = [(error.line, error.path) for error in list_errors(text)]
        self.assertEqual(
            [
                (26, 'distances[1].between'),
                (29, 'distances[2].between'),
                (30, 'distances[2].milliseconds'),
            ],
            errors,
        )

    def test_same_address_twice(self) -> None:
        """Guard against a node that fails late, when it binds its port."""
        node = builders.NODE.replace(':9001', ':8001')
        errors = list_errors(builders.build_settings_text(node=node))
        self.assertEqual(
            ['node.operator_address'], [error.path for error in errors]
        )

    def test_broken_toml_names_line(self) -> None:
        """Guard against a syntax error reported without its line."""
        self.assertEqual(2, list_errors('[node]\nname = \n')[0].line)

    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3),
            max_leaves=4,
        )
    )
    def test_any_value_of_any_type(self, value: object) -> None:
        """Guard against a wrong type that raises another exception."""
        shown = repr(value).replace('None', 'true').replace('\\', '')
        for path in ('distances', 'peers', 'node', 'limits', 'unknown'):
            list_errors(f'{path} = {shown}')


class AddressTest(TestCase):
    """Tests of the check of addresses."""

    def test_addresses(self) -> None:
        """Guard against accepting host names and invalid ports."""
        for address in ('127.0.0.1:1', '[::1]:65535'):
            self.assertTrue(is_address(address), address)
        for address in (
            '127.0.0.1',
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '127.0.0.1:٣',
            '::1:80',
            'localhost:80',
            ':80',
            '',
        ):
            self.assertFalse(is_address(address), address)
