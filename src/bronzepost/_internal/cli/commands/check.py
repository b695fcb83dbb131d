"""The command ``check``."""

import dataclasses
from typing import TYPE_CHECKING, Annotated

import cappa

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import AsJson
from bronzepost._internal.cli.rendering import print_answer
from bronzepost._internal.exceptions import SettingsErrorGroup

if TYPE_CHECKING:
    from bronzepost._internal.settings import Settings

COLUMNS = ('file', 'line', 'path', 'shown', 'expected', 'message')


@cappa.command(
    name='check',
    help='Check a settings file and list all its problems.',
    description='Example: `bronzepost check node.toml`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckCommand:
    """Check a settings file."""

    file_name: Annotated[
        str, cappa.Arg(value_name='FILE', help='Settings file.')
    ]
    as_json: AsJson = False

    def run(self) -> int:
        """Print the problems of the file, or a summary if it is correct."""
        # The settings classes are imported only by commands that use them.
        from bronzepost._internal.settings import (  # noqa: PLC0415
            load_settings,
        )

        try:
            settings = load_settings(self.file_name)
        except SettingsErrorGroup as group:
            return self._print_problems(group)
        answer = {'file': self.file_name, 'correct': True}
        print_answer({**answer, **summarize(settings)}, as_json=self.as_json)
        return ExitCode.OK

    def _print_problems(self, group: SettingsErrorGroup) -> int:
        if self.as_json:
            problems = [
                {name: getattr(error, name, '') for name in COLUMNS[1:]}
                for error in group.exceptions
            ]
            print_answer(
                {
                    'file': self.file_name,
                    'correct': False,
                    'problems': problems,
                },
                as_json=True,
            )
            return ExitCode.USAGE
        for error in group.exceptions:
            print(getattr(error, 'message', error))
        print(group.message)
        return ExitCode.USAGE


def summarize(settings: 'Settings') -> dict[str, object]:
    """Return the values that identify a node, and counts of its lists."""
    return {
        'node': settings.node.name,
        'organisation': settings.node.organisation,
        'availability_zone': settings.node.availability_zone,
        'caller_address': settings.node.caller_address,
        'operator_address': settings.node.operator_address,
        'seeds': len(settings.peers.seeds),
        'distances': len(settings.distances),
    }
