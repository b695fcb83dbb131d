"""The command ``config diff``."""

import dataclasses
import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated

import cappa

from bronzepost._internal.cli.commands.config.entries import (
    CONFIGURATION_PATH,
    Entry,
    list_entries,
)
from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.operators import open_client
from bronzepost._internal.cli.options import OperatorOptions
from bronzepost._internal.cli.rendering import print_answer
from bronzepost._internal.exceptions import SettingsError

COLUMNS = ('path', 'saved', 'now')


@cappa.command(
    name='diff',
    help='Compare the settings tree with a saved one.',
    description=(
        'The file contains the output of `config get --json`, from this node'
        ' at an earlier time or from another node.\n\n'
        'Example: `bronzepost config diff saved.json`'
    ),
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class DiffCommand:
    """Compare the settings tree with a saved one."""

    node: cappa.Destructured[OperatorOptions]
    file_name: Annotated[
        str, cappa.Arg(value_name='FILE', help='Saved settings tree.')
    ]

    def run(self) -> int:
        """Print the paths whose values differ."""
        saved = read_saved_entries(self.file_name)
        current = list_entries(open_client(self.node).get(CONFIGURATION_PATH))
        differences = list(compare_entries(saved, current))
        print_answer(
            {'differences': differences},
            as_json=self.node.as_json,
            columns=COLUMNS,
        )
        return ExitCode.OK


def read_saved_entries(file_name: str) -> dict[str, Entry]:
    """Return the entries of a saved tree."""
    try:
        return list_entries(json.loads(Path(file_name).read_bytes()))
    except (OSError, ValueError) as error:
        raise SettingsError(
            f'{file_name}: cannot read a saved settings tree ({error}); save'
            ' one with "bronzepost config get --json"',
            step='read options',
        ) from error


def compare_entries(
    saved: Mapping[str, Entry], current: Mapping[str, Entry]
) -> Iterator[dict[str, object]]:
    """Yield a row for each path whose value differs or is missing."""
    for path in sorted(saved.keys() | current.keys()):
        old = saved[path].value if path in saved else None
        new = current[path].value if path in current else None
        if old != new:
            yield {'path': path, 'saved': old, 'now': new}
