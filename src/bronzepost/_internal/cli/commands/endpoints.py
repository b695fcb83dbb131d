"""The command ``endpoints``."""

import dataclasses
from typing import Annotated

import cappa

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import CALLER_ADDRESS_VARIABLE, AsJson
from bronzepost._internal.cli.rendering import print_answer

COLUMNS = ('address', 'availability_zone')


@cappa.command(
    name='endpoints',
    help='List the addresses that callers should use.',
    description=(
        'The request goes to the caller port, which needs no key.\n\n'
        'Example: `bronzepost endpoints --address 127.0.0.1:8001`'
    ),
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointsCommand:
    """List the addresses that callers should use."""

    address: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(CALLER_ADDRESS_VARIABLE, default=''),
            show_default=False,
            help=(
                f'Caller address IP:port; default: ${CALLER_ADDRESS_VARIABLE}.'
            ),
        ),
    ]
    program: Annotated[
        str,
        cappa.Arg(
            long=True,
            show_default=False,
            help='Id of a program, to list its owner first.',
        ),
    ] = ''
    as_json: AsJson = False

    def run(self) -> int:
        """Print the answer of the node."""
        # The HTTP client is imported only by commands that talk to a node.
        from bronzepost._internal.cli.client import (  # noqa: PLC0415
            NodeClient,
        )

        client = NodeClient(address=self.address)
        answer = client.get('/v1/endpoints', program=self.program)
        print_answer(answer, as_json=self.as_json, columns=COLUMNS)
        return ExitCode.OK
