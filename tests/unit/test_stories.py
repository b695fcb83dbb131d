"""The story of a request from the logs of several VMs."""

import json
import tempfile
from pathlib import Path
from typing import Any

import testtools

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.main import run_command_line
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.stories import (
    LogLine,
    Story,
    read_line,
    tell_story,
)

REQUEST = 'q-1'


def make_text(event: LogEvent, second: float, node: str, **more: Any) -> str:
    """Return a line as a VM writes it, so long after half past seven."""
    fields = {
        'number': event.number,
        'event': event.event_name,
        'at': f'2026-05-11T07:30:{second:09.6f}Z',
        'node': node,
        **more,
    }
    return json.dumps(fields)


# A turn whose home had lost the store; the clock of the home is 40 s ahead.
TEXTS = (
    make_text(LogEvent.STORE_LOST, 41, 'vm-b', feed='servers'),
    make_text(
        LogEvent.ALLOWANCE_REFUSED,
        42.5,
        'vm-b',
        request=REQUEST,
        reason='more than may be lost',
    ),
    make_text(LogEvent.HOME_SILENT, 1.9, 'vm-a', request=REQUEST, peer='vm-c'),
    make_text(
        LogEvent.REQUEST_REFUSED,
        3,
        'vm-a',
        request=REQUEST,
        code='budget_unsure',
        seconds=2,
    ),
    make_text(LogEvent.REQUEST_DONE, 3, 'vm-a', request='q-2', seconds=1),
    make_text(LogEvent.SERVER_GONE, 2, 'vm-a', server='i-1'),
    'Traceback (most recent call last):',
    '[1, 2]',
)


class TestStories(testtools.TestCase):
    """On call, only logs and metrics are there."""

    def tell(self) -> Story:
        lines = [line for line in map(read_line, TEXTS) if line is not None]
        return tell_story(lines, REQUEST)

    def list_numbers(self, lines: tuple[LogLine, ...]) -> list[int]:
        return [line.number for line in lines]

    def test_lines_of_two_vms_are_in_order(self) -> None:
        """By its own clock the home decided 39 s after the answer."""
        expected = [
            LogEvent.STORE_LOST.number,
            LogEvent.HOME_SILENT.number,
            LogEvent.ALLOWANCE_REFUSED.number,
            LogEvent.REQUEST_REFUSED.number,
        ]
        story = self.tell()
        self.assertEqual(expected, self.list_numbers(story.lines))
        self.assertEqual({'vm-b': -39.5}, story.shift_by_node)

    def test_unknown_request_has_no_story(self) -> None:
        self.assertEqual((), tell_story((), 'q-9').lines)

    def test_command_reads_the_files_of_all_vms(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'vm.log'
            path.write_text('\n'.join(TEXTS), encoding='utf-8')
            known = run_command_line(['explain', REQUEST, str(path)])
            unknown = run_command_line(['explain', 'q-9', str(path)])
            missing = run_command_line(['explain', REQUEST, f'{path}.none'])
        self.assertEqual(
            (ExitCode.OK, ExitCode.REFUSED, ExitCode.USAGE),
            (known, unknown, missing),
        )
