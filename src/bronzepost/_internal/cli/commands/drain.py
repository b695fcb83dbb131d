"""The command ``drain``."""

import dataclasses

import cappa

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.operators import open_client
from bronzepost._internal.cli.options import OperatorOptions
from bronzepost._internal.cli.rendering import print_answer


@cappa.command(
    name='drain',
    help='Stop a node gracefully: it hands over its programs, then stops.',
    description='Example: `bronzepost drain --address 127.0.0.1:9001`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainCommand:
    """Stop a node gracefully."""

    node: cappa.Destructured[OperatorOptions]

    def run(self) -> int:
        """Request the drain; the node stops when its last stream has ended."""
        answer = open_client(self.node).post('/v1/drain', {})
        print_answer(answer, as_json=self.node.as_json)
        return ExitCode.OK
