"""Tests of the public coordination library."""

import doctest

from testtools import TestCase

from bronzepost import coordination
from bronzepost._internal.core import rendezvous


class DocumentationTest(TestCase):
    """The documentation of the library matches its code."""

    def test_examples_run(self) -> None:
        """Guard against examples that no longer work."""
        for module in (coordination, rendezvous):
            failed, attempted = doctest.testmod(module)
            self.assertEqual(0, failed)
            self.assertGreater(attempted, 0)

    def test_every_public_name_exists(self) -> None:
        """Guard against a name in ``__all__`` that does not exist."""
        for name in coordination.__all__:
            self.assertTrue(hasattr(coordination, name))
