"""Tests that the reference pages match the code."""

import re
from pathlib import Path

from testtools import TestCase

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.settings.reference import write_settings_page
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.reference import (
    write_events_page,
    write_metrics_page,
)

DOCS = Path(__file__).parents[2] / 'docs'


class ReferenceTest(TestCase):
    """Guard against pages that were not updated after a change of the code."""

    def check_page(self, name: str, text: str) -> None:
        """Compare a page; scripts/write_references.py updates it."""
        self.assertEqual(text, (DOCS / name).read_text(encoding='utf-8'))

    def test_events(self) -> None:
        """Guard against an outdated page of events."""
        self.check_page('events.md', write_events_page())

    def test_metrics(self) -> None:
        """Guard against an outdated page of metrics."""
        self.check_page('metrics.md', write_metrics_page())

    def test_settings(self) -> None:
        """Guard against an outdated page of settings."""
        self.check_page('settings.md', write_settings_page())

    def test_exit_codes(self) -> None:
        """Guard against an exit code missing from the page for operators."""
        page = (DOCS / 'operators.md').read_text(encoding='utf-8')
        for code in ExitCode:
            self.assertIn(f'| {code.value} |', page)

    def test_events_named_for_operators(self) -> None:
        """Guard against advice about an event that no longer exists."""
        page = (DOCS / 'operators.md').read_text(encoding='utf-8')
        named = set(re.findall(r'(\d{4}) `(\w+)`', page))
        known = {(str(event.number), event.event_name) for event in LogEvent}
        self.assertNotEqual(set(), named)
        self.assertEqual(set(), named - known)
