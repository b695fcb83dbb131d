"""The command ``replay``."""

import dataclasses
from pathlib import Path
from typing import Annotated

import cappa

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import AsJson
from bronzepost._internal.cli.rendering import print_answer
from bronzepost._internal.exceptions import SettingsError


@cappa.command(
    name='replay',
    help='Replay a recording and compare the outcomes.',
    description='Example: `bronzepost replay recordings/lost_answer.jsonl`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayCommand:
    """Replay a recording of ledger events."""

    file_name: Annotated[
        str, cappa.Arg(value_name='FILE', help='Recording, in JSON lines.')
    ]
    as_json: AsJson = False

    def run(self) -> int:
        """Print each outcome that differs from the recording."""
        # The ledger is imported only by commands that use it.
        from bronzepost._internal.core.replay import (  # noqa: PLC0415
            replay_file,
        )

        try:
            report = replay_file(Path(self.file_name))
        except OSError as error:
            raise SettingsError(
                f'cannot read the recording: {error}', step='read recording'
            ) from error
        answer = {
            'description': report.description,
            'lines': report.line_count,
            'faithful': report.is_faithful,
            'differences': list(map(str, report.differences)),
        }
        print_answer(answer, as_json=self.as_json)
        return ExitCode.OK if report.is_faithful else ExitCode.REFUSED
