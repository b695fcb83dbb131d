"""Tests of the pages that are made from the code."""

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
    """Guard pages against code that has moved on."""

    def check_page(self, name: str, text: str) -> None:
        """Compare a page; run scripts/write_references.py to renew it."""
        self.assertEqual(text, (DOCS / name).read_text(encoding='utf-8'))

    def test_events(self) -> None:
        """Guard against an event that the catalogue page lacks."""
        self.check_page('events.md', write_events_page())

    def test_metrics(self) -> None:
        """Guard against a metric that the catalogue page lacks."""
        self.check_page('metrics.md', write_metrics_page())

    def test_settings(self) -> None:
        """Guard against a setting that the reference page lacks."""
        self.check_page('settings.md', write_settings_page())

    def test_exit_codes(self) -> None:
        """Guard against an exit code that operators cannot look up."""
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
