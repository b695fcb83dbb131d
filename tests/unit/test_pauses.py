"""Tests of programs paused between two calls."""

from typing import Any
from unittest import mock

from testtools import TestCase

from bronzepost._internal.core.scheduling.policies import ProgramAware
from bronzepost._internal.node import pauses
from tests.builders_scheduling import build_tables

PROGRAM = 'trip'


class PausesTest(TestCase):
    """Guard the engines' memory against programs that never resume."""

    def setUp(self) -> None:
        """Begin a pause with a clock that the test controls."""
        super().setUp()
        self.memory: Any = mock.Mock()
        self.now = 1000.0
        patch = mock.patch.object(pauses, 'read_clock', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.pauses = pauses.Pauses(
            tables=build_tables(), engine_memory=self.memory
        )
        self.pauses.begin(PROGRAM, {'role': 'assistant'}, ProgramAware())

    def test_dormant_program_is_released_once(self) -> None:
        """Guard against callers that never end their programs."""
        self.now += pauses.DORMANT_AFTER_SECONDS
        self.pauses.review()
        self.pauses.review()
        self.memory.release_ended.assert_called_once_with(PROGRAM)

    def test_resumed_program_is_not_dormant(self) -> None:
        """Guard against releasing a program that has a call in flight."""
        self.pauses.end(PROGRAM)
        self.now += pauses.DORMANT_AFTER_SECONDS
        self.pauses.review()
        self.memory.release_ended.assert_not_called()
