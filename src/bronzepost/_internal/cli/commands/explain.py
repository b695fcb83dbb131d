"""The command ``explain``."""

import dataclasses
import datetime
import sys
from collections.abc import Iterator
from typing import Annotated, Any

import cappa

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import AsJson
from bronzepost._internal.cli.rendering import print_answer
from bronzepost._internal.exceptions import SettingsError
from bronzepost._internal.telemetry.request_timeline import (
    LogLine,
    RequestTimeline,
    build_timeline,
    read_line,
)

# Shown in columns of their own, or equal on every line.
_COMMON = frozenset(('at', 'node', 'number', 'event', 'level', 'request'))


@cappa.command(
    name='explain',
    help='Show from log files what happened to a request.',
    description='Example: `bronzepost explain c9c836779a53017 vm-*.log`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainCommand:
    """Print the lines of all VMs about one request in the order of time."""

    request_id: Annotated[
        str, cappa.Arg(value_name='REQUEST', help='Id of the request.')
    ]
    file_names: Annotated[
        list[str],
        cappa.Arg(value_name='FILE', num_args=-1, help='Log files of VMs.'),
    ]
    as_json: AsJson = False

    def run(self) -> int:
        """Print the timeline; exit code 1 if no line is about the request."""
        timeline = build_timeline(self._read_lines(), self.request_id)
        if not timeline.lines:
            print(
                f'bronzepost: no line about {self.request_id}: add the files'
                ' of all VMs, and look for 8028 logs_left_out',
                file=sys.stderr,
            )
            return ExitCode.REFUSED
        print_answer(build_table(timeline), as_json=self.as_json)
        return ExitCode.OK

    def _read_lines(self) -> Iterator[LogLine]:
        for file_name in self.file_names:
            try:
                yield from read_file(file_name)
            except OSError as error:
                raise SettingsError(
                    f'cannot read the log file: {error}',
                    step='explain',
                    path=file_name,
                ) from error


def read_file(file_name: str) -> Iterator[LogLine]:
    """Yield the log lines of a file and skip other text in it."""
    with open(file_name, encoding='utf-8', errors='replace') as log_file:
        yield from filter(None, map(read_line, log_file))


def build_table(timeline: RequestTimeline) -> dict[str, Any]:
    """Return a timeline as a table with one row for each line."""
    rows = [
        {
            'at': format_time(line.at),
            'vm': line.node,
            'event': f'{line.number} {line.fields.get("event", "")}',
            'details': ' '.join(
                f'{name}={entry}'
                for name, entry in line.fields.items()
                if name not in _COMMON
            ),
        }
        for line in timeline.lines
    ]
    shifts = [
        {'vm': name, 'seconds': round(seconds, 3)}
        for name, seconds in timeline.clock_shift_by_node.items()
    ]
    answer: dict[str, Any] = {'lines': rows}
    if shifts:
        answer['clocks moved by'] = shifts
    return answer


def format_time(at: float) -> str:
    """Return the time of day in UTC, with microseconds."""
    moment = datetime.datetime.fromtimestamp(at, tz=datetime.UTC)
    return moment.time().isoformat('microseconds')
