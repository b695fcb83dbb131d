"""The command ``config set``."""

import dataclasses
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Annotated

import cappa

from bronzepost._internal.cli.commands.config.entries import (
    COLUMNS,
    CONFIGURATION_PATH,
    list_entries,
)
from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.operators import open_client
from bronzepost._internal.cli.options import (
    AUTHOR_VARIABLE,
    OperatorOptions,
    SettingPath,
)
from bronzepost._internal.cli.rendering import print_answer
from bronzepost._internal.exceptions import RefusedError

if TYPE_CHECKING:
    from bronzepost._internal.cli.client import NodeClient


@cappa.command(
    name='set',
    help='Change one path of the settings tree.',
    description=(
        'The change is refused if the path has been changed since the'
        ' revision that it is based on.\n\n'
        'Example: `bronzepost config set kostiumy:cache_weight'
        ' 0.8`'
    ),
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class SetCommand:
    """Change one path of the settings tree."""

    node: cappa.Destructured[OperatorOptions]
    path: SettingPath
    new_value: Annotated[
        str,
        cappa.Arg(value_name='VALUE', help='New value in JSON, or a string.'),
    ]
    author: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Default(
                cappa.Env(AUTHOR_VARIABLE),
                cappa.Env('USER', default='operator'),
            ),
            show_default=False,
            help=f'Author; default: ${AUTHOR_VARIABLE}, then $USER.',
        ),
    ]
    base_revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Revision that the change is based on; default: the latest.',
        ),
    ] = None

    def run(self) -> int:
        """Propose the change and print the answer of the node."""
        client = open_client(self.node)
        base_revision = self.base_revision
        if base_revision is None:
            base_revision = find_revision(client, self.path)
        answer = client.post(
            CONFIGURATION_PATH,
            {
                'path': self.path,
                'value': parse_value(self.new_value),
                'base_revision': base_revision,
                'author': self.author,
            },
        )
        print_answer(answer, as_json=self.node.as_json, columns=COLUMNS)
        return ExitCode.OK


def parse_value(text: str) -> object:
    """Return the JSON value in a text, or the text if it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def find_revision(client: 'NodeClient', path: str) -> int:
    """Return the revision of a path, or 0 if it was never set."""
    try:
        answer = client.get(CONFIGURATION_PATH, path=path)
    except RefusedError as error:
        if error.status == HTTPStatus.NOT_FOUND:
            return 0
        raise
    entry = list_entries(answer).get(path)
    return entry.revision if entry else 0
