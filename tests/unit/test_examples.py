"""Tests of the example settings files."""

import itertools
from pathlib import Path
from types import MappingProxyType

from testtools import TestCase

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.main import run_command_line
from bronzepost._internal.settings import load_settings

EXAMPLES = Path(__file__).parents[2] / 'examples'
ZONES_BY_REGION = MappingProxyType({
    'pl-central': {'hall-a', 'hall-b', 'hall-c'},
    'wa-region': {
        'jandakot-hall',
        'serpentine-row',
        'bunbury-hangar',
        'york-annex',
    },
})


class ExampleTest(TestCase):
    """Tests of the files that new deployments are based on."""

    def test_examples_pass_check(self) -> None:
        """Guard against an example that a node would refuse."""
        for region in ZONES_BY_REGION:
            path = EXAMPLES / f'{region}.toml'
            code = run_command_line(['check', str(path)])
            self.assertEqual(ExitCode.OK, code, region)

    def test_every_pair_of_zones_has_a_distance(self) -> None:
        """Guard against a pair of zones without a distance."""
        for region, zones in ZONES_BY_REGION.items():
            settings = load_settings(EXAMPLES / f'{region}.toml')
            pairs = {frozenset(entry.between) for entry in settings.distances}
            expected = set(map(frozenset, itertools.combinations(zones, 2)))
            self.assertEqual(expected, pairs)
            self.assertIn(settings.node.availability_zone, zones)
            self.assertEqual(region, settings.node.region)
