"""Tests of deferred imports."""

import subprocess
import sys

import testtools

SCRIPT = """
import sys
from bronzepost._internal.deferred_imports import defer_import
defer_import('colorsys')
import colorsys
print('rgb_to_hls' in vars(colorsys))
print(colorsys.rgb_to_hls(1, 1, 1)[1])
print(hasattr(colorsys, 'rgb_to_text'))
defer_import('sys')
print(sys.modules['sys'] is sys)
try:
    defer_import('no_such_module')
except ModuleNotFoundError as error:
    print(error)
"""


class DeferredImportTests(testtools.TestCase):
    """A deferred module works like an imported one once it is used."""

    def test_module_is_loaded_at_its_first_use(self) -> None:
        """Guard against a module that is loaded at its import, or never."""
        done = subprocess.run(
            [sys.executable, '-c', SCRIPT],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual(
            ['False', '1.0', 'False', 'True', 'no module no_such_module'],
            done.stdout.splitlines(),
        )
