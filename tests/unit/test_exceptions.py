"""Tests of the errors."""

from testtools import TestCase

from bronzepost._internal import exceptions


class BronzepostErrorTest(TestCase):
    """Errors state the failed step and the peer."""

    def test_text_names_step_and_peer(self) -> None:
        """Guard against errors that do not say what failed."""
        error = exceptions.LogServiceError(
            'append refused: retry later', step='append', peer='127.0.0.1:9'
        )
        self.assertEqual(
            'append refused: retry later (at append, peer 127.0.0.1:9)',
            str(error),
        )
