"""The command ``config explain``."""

import dataclasses
from typing import Annotated

import cappa

from bronzepost._internal.cli.commands.config.entries import CONFIGURATION_PATH
from bronzepost._internal.cli.operators import print_resource
from bronzepost._internal.cli.options import OperatorOptions

COLUMNS = ('path', 'value', 'revision')


@cappa.command(
    name='explain',
    help='Show which value of a setting applies, and its path.',
    description=(
        'Example: `bronzepost config explain budget --organisation kostiumy'
        ' --service pass-assistant`'
    ),
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainCommand:
    """Show which value of a setting applies."""

    node: cappa.Destructured[OperatorOptions]
    name: Annotated[str, cappa.Arg(help='Setting, such as budget.')]
    organisation: Annotated[
        str, cappa.Arg(long=True, show_default=False, help='Organisation.')
    ] = ''
    service: Annotated[
        str, cappa.Arg(long=True, show_default=False, help='Service.')
    ] = ''
    program: Annotated[
        str, cappa.Arg(long=True, show_default=False, help='Program.')
    ] = ''

    def run(self) -> int:
        """Print the answer of the node."""
        return print_resource(
            self.node,
            f'{CONFIGURATION_PATH}/explain',
            columns=COLUMNS,
            name=self.name,
            organisation=self.organisation,
            service=self.service,
            program=self.program,
        )
