"""The command ``version``."""

import dataclasses
import platform

import cappa

from bronzepost import __version__
from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import AsJson
from bronzepost._internal.cli.rendering import print_answer


@cappa.command(
    name='version',
    help='Print the version.',
    description='Example: `bronzepost version`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionCommand:
    """Print the version."""

    as_json: AsJson = False

    def run(self) -> int:
        """Print the versions of bronzepost and Python."""
        print_answer(
            {'bronzepost': __version__, 'python': platform.python_version()},
            as_json=self.as_json,
        )
        return ExitCode.OK
