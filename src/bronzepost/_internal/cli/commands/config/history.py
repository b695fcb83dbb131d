"""The command ``config history``."""

import dataclasses

import cappa

from bronzepost._internal.cli.commands.config.entries import CONFIGURATION_PATH
from bronzepost._internal.cli.operators import print_resource
from bronzepost._internal.cli.options import OperatorOptions, SettingPath

COLUMNS = ('revision', 'path', 'value', 'author', 'accepted')


@cappa.command(
    name='history',
    help='List the changes of the settings tree, or of one path.',
    description='Example: `bronzepost config history`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class HistoryCommand:
    """List the changes of the settings tree."""

    node: cappa.Destructured[OperatorOptions]
    path: SettingPath = ''

    def run(self) -> int:
        """Print the answer of the node."""
        return print_resource(
            self.node,
            f'{CONFIGURATION_PATH}/history',
            columns=COLUMNS,
            path=self.path,
        )
