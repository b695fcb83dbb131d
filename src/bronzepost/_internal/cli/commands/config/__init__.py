"""The command ``config`` and its subcommands."""

import dataclasses

import cappa

from bronzepost._internal.cli.commands.config.diff import DiffCommand
from bronzepost._internal.cli.commands.config.explain import ExplainCommand
from bronzepost._internal.cli.commands.config.get import GetCommand
from bronzepost._internal.cli.commands.config.history import HistoryCommand
from bronzepost._internal.cli.commands.config.set import SetCommand


@cappa.command(
    name='config',
    help='Read and change the settings tree.',
    description='Example: `bronzepost config get`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigCommand:
    """Read and change the settings tree."""

    command: cappa.Subcommands[
        GetCommand | SetCommand | DiffCommand | HistoryCommand | ExplainCommand
    ]

    def run(self) -> int:
        """Run the subcommand."""
        return self.command.run()
