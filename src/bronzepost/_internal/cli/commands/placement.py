"""The command ``placement``."""

import dataclasses
from typing import Annotated

import cappa

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import AsJson
from bronzepost._internal.cli.rendering import print_answer

COLUMNS = ('server', 'zone', 'state', 'is_warm', 'cost', 'in_flight')


@cappa.command(
    name='placement',
    help='Show where a gateway would send a request now, and why.',
    description=(
        'Nothing is sent. Costs are in times of a request on an idle server;'
        ' the columns after them are the parts of the cost.\n\n'
        'Example: `bronzepost placement --address 127.0.0.1:9102 shop.example'
        ' /orders --header "Subject: o-7"`'
    ),
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementCommand:
    """Ask a gateway where a request would go."""

    host: Annotated[
        str, cappa.Arg(value_name='HOST', help='Host of the request.')
    ]
    path: Annotated[
        str, cappa.Arg(value_name='PATH', help='Path of the request.')
    ]
    address: Annotated[
        str,
        cappa.Arg(long=True, help='Metrics address IP:port of the gateway.'),
    ]
    method: Annotated[
        str,
        cappa.Arg(long=True, show_default=False, help='Method; default: GET.'),
    ] = 'GET'
    headers: Annotated[
        list[str],
        cappa.Arg(
            long='--header',
            show_default=False,
            help='A header "Name: value"; may be repeated.',
        ),
    ] = dataclasses.field(default_factory=list)
    workspace: Annotated[
        str,
        cappa.Arg(
            long=True,
            show_default=False,
            help="Name of the caller's workspace; no key is needed.",
        ),
    ] = ''
    service: Annotated[
        str,
        cappa.Arg(
            long=True,
            show_default=False,
            help='A service of the route; default: the one of most weight.',
        ),
    ] = ''
    as_json: AsJson = False

    def run(self) -> int:
        """Print the answer of the gateway."""
        # The HTTP client is imported only by commands that talk to a node.
        from bronzepost._internal.cli.client import (  # noqa: PLC0415
            NodeClient,
        )

        answer = NodeClient(address=self.address).get(
            '/placement',
            host=self.host,
            path=self.path,
            method=self.method,
            headers='\n'.join(self.headers),
            workspace=self.workspace,
            service=self.service,
        )
        print_answer(answer, as_json=self.as_json, columns=COLUMNS)
        return ExitCode.OK
