"""Options shared by several commands."""

import dataclasses
from typing import Annotated

import cappa

ADDRESS_VARIABLE = 'BRONZEPOST_OPERATOR_ADDRESS'
# The name of a variable, not a key.
KEY_VARIABLE = 'BRONZEPOST_OPERATOR_KEY'
CALLER_ADDRESS_VARIABLE = 'BRONZEPOST_CALLER_ADDRESS'
AUTHOR_VARIABLE = 'BRONZEPOST_AUTHOR'

AsJson = Annotated[
    bool,
    cappa.Arg(long='--json', show_default=False, help='Print JSON.'),
]
SettingPath = Annotated[
    str, cappa.Arg(help='Path in the settings tree, as `config get` shows it.')
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorOptions:
    """How an operator command reaches a node and prints its answer."""

    address: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(ADDRESS_VARIABLE, default=''),
            show_default=False,
            help=f'Operator address IP:port; default: ${ADDRESS_VARIABLE}.',
        ),
    ]
    key: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(KEY_VARIABLE, default=''),
            show_default=False,
            help=(
                f'Operator key; default: ${KEY_VARIABLE}. Other users of the'
                ' machine can read an option, but not the variable.'
            ),
        ),
    ] = dataclasses.field(repr=False)
    as_json: AsJson = False
