"""The command ``status``."""

import dataclasses
from typing import Annotated

import cappa

from bronzepost._internal.cli.operators import print_resource
from bronzepost._internal.cli.options import OperatorOptions

COLUMNS = ('name', 'availability_zone', 'state', 'incarnation')


@cappa.command(
    name='status',
    help='Show the state of a node, or of all nodes as it sees them.',
    description='Example: `bronzepost status --members`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusCommand:
    """Show the state of a node."""

    node: cappa.Destructured[OperatorOptions]
    members: Annotated[
        bool,
        cappa.Arg(
            long=True, show_default=False, help='List all nodes instead.'
        ),
    ] = False

    def run(self) -> int:
        """Print the answer of the node."""
        path = '/v1/members' if self.members else '/v1/status'
        return print_resource(self.node, path, columns=COLUMNS)
