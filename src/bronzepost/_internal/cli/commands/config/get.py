"""The command ``config get``."""

import dataclasses

import cappa

from bronzepost._internal.cli.commands.config.entries import (
    COLUMNS,
    CONFIGURATION_PATH,
)
from bronzepost._internal.cli.operators import print_resource
from bronzepost._internal.cli.options import OperatorOptions, SettingPath


@cappa.command(
    name='get',
    help='Print the settings tree, or one path of it.',
    description='Example: `bronzepost config get --json > saved.json`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class GetCommand:
    """Print the settings tree."""

    node: cappa.Destructured[OperatorOptions]
    path: SettingPath = ''

    def run(self) -> int:
        """Print the answer of the node."""
        return print_resource(
            self.node, CONFIGURATION_PATH, columns=COLUMNS, path=self.path
        )
