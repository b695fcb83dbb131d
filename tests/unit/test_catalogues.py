"""Tests that the code uses all events and metrics of the catalogues."""

from pathlib import Path

from testtools import TestCase

import bronzepost
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import LogEvent

SOURCE = Path(bronzepost.__file__).parent
# The adapter to the users' platform logs events of the same catalogue.
ADAPTER = SOURCE.parent.parent / 'platform'
CATALOGUES = frozenset(('events.py', 'catalogue.py'))


class CatalogueTest(TestCase):
    """Guard against unused entries of the catalogues."""

    def setUp(self) -> None:
        """Read the code of the package and of the platform adapter."""
        super().setUp()
        self.code = '\n'.join(
            path.read_text(encoding='utf-8')
            for folder in (SOURCE, ADAPTER)
            for path in folder.rglob('*.py')
            if path.name not in CATALOGUES or path.parent.name != 'telemetry'
        )

    def test_every_event_is_logged(self) -> None:
        """Guard against documented events that are never logged."""
        names = [f'LogEvent.{event.name}' for event in LogEvent]
        unused = [name for name in names if name not in self.code]
        self.assertEqual([], unused)

    def test_every_metric_is_sent(self) -> None:
        """Guard against documented metrics that are never sent."""
        names = [f'Metric.{metric.name}' for metric in Metric]
        unused = [name for name in names if name not in self.code]
        self.assertEqual([], unused)
