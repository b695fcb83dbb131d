"""The command ``config history``."""

import dataclasses

import cappa

from bronzepost._internal.cli.commands.config.entries import CONFIGURATION
from bronzepost._internal.cli.operators import show
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
        """Print what the node answers."""
        return show(
            self.node,
            f'{CONFIGURATION}/history',
            columns=COLUMNS,
            path=self.path,
        )
