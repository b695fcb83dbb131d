"""The command ``runners``."""

import dataclasses

import cappa

from bronzepost._internal.cli.operators import print_resource
from bronzepost._internal.cli.options import OperatorOptions

COLUMNS = ('runner', 'service', 'model', 'availability_zone', 'state')


@cappa.command(
    name='runners',
    help='List the backend servers as a node sees them.',
    description='Example: `bronzepost runners --address 127.0.0.1:9001`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnersCommand:
    """List the backend servers as a node sees them."""

    node: cappa.Destructured[OperatorOptions]

    def run(self) -> int:
        """Print the answer of the node."""
        return print_resource(self.node, '/v1/runners', columns=COLUMNS)
