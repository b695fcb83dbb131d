"""The command ``programs``."""

import dataclasses

import cappa

from bronzepost._internal.cli.operators import print_resource
from bronzepost._internal.cli.options import OperatorOptions

COLUMNS = ('program', 'organisation', 'state', 'spent', 'forfeited', 'budget')


@cappa.command(
    name='programs',
    help='List the programs that a node owns.',
    description='Example: `bronzepost programs --address 127.0.0.1:9001`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ProgramsCommand:
    """List the programs that a node owns."""

    node: cappa.Destructured[OperatorOptions]

    def run(self) -> int:
        """Print the answer of the node."""
        return print_resource(self.node, '/v1/programs', columns=COLUMNS)
