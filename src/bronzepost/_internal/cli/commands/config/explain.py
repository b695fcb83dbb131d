"""The command ``config explain``."""

import dataclasses
from typing import Annotated

import cappa

from bronzepost._internal.cli.commands.config.entries import CONFIGURATION
from bronzepost._internal.cli.operators import show
from bronzepost._internal.cli.options import OperatorOptions

COLUMNS = ('path', 'value', 'revision')


@cappa.command(
    name='explain',
    help='Say which value of a setting applies, and from which path.',
    description=(
        'Example: `bronzepost config explain budget --organisation kostiumy'
        ' --service pass-assistant`'
    ),
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainCommand:
    """Say which value of a setting applies."""

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
        """Print what the node answers."""
        return show(
            self.node,
            f'{CONFIGURATION}/explain',
            columns=COLUMNS,
            name=self.name,
            organisation=self.organisation,
            service=self.service,
            program=self.program,
        )
