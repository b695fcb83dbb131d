"""Tests of the timeline of a request from the logs of several VMs."""

import json
import tempfile
from pathlib import Path
from typing import Any

import testtools

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.main import run_command_line
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.request_timeline import (
    LogLine,
    RequestTimeline,
    build_timeline,
    read_line,
)

REQUEST = 'q-1'


def make_log_line(
    event: LogEvent, second: float, node: str, **more: Any
) -> str:
    """Return a line as a VM writes it, ``second`` s after 07:30."""
    fields = {
        'number': event.number,
        'event': event.event_name,
        'at': f'2026-05-11T07:30:{second:09.6f}Z',
        'node': node,
        **more,
    }
    return json.dumps(fields)


# A turn whose home VM had lost the store; its clock is about 40 s ahead.
LOG_LINES = (
    make_log_line(LogEvent.STORE_LOST, 41, 'vm-b', feed='servers'),
    make_log_line(
        LogEvent.ALLOWANCE_REFUSED,
        42.5,
        'vm-b',
        request=REQUEST,
        reason='more than may be lost',
    ),
    make_log_line(
        LogEvent.HOME_SILENT, 1.9, 'vm-a', request=REQUEST, peer='vm-c'
    ),
    make_log_line(
        LogEvent.REQUEST_REFUSED,
        3,
        'vm-a',
        request=REQUEST,
        code='budget_unsure',
        seconds=2,
    ),
    make_log_line(LogEvent.REQUEST_DONE, 3, 'vm-a', request='q-2', seconds=1),
    make_log_line(LogEvent.SERVER_GONE, 2, 'vm-a', server='i-1'),
    'Traceback (most recent call last):',
    '[1, 2]',
)


class TestTimelines(testtools.TestCase):
    """An operator on call has only logs and metrics to find a cause."""

    def build(self) -> RequestTimeline:
        lines = [line for line in map(read_line, LOG_LINES) if line is not None]
        return build_timeline(lines, REQUEST)

    def list_numbers(self, lines: tuple[LogLine, ...]) -> list[int]:
        return [line.number for line in lines]

    def test_refusal_for_a_key_is_shown(self) -> None:
        """Guard against a refused key whose reason and route are not found."""
        texts = (
            make_log_line(LogEvent.SNAPSHOT_TAKEN, 1, 'vm-a', version=8),
            make_log_line(
                LogEvent.KEY_REFUSED,
                2,
                'vm-a',
                request=REQUEST,
                route='r-chat',
                reason='key_unknown',
                version=8,
            ),
            make_log_line(
                LogEvent.REQUEST_REFUSED,
                2,
                'vm-a',
                request=REQUEST,
                code='key_unknown',
                seconds=0,
            ),
        )
        lines = [line for line in map(read_line, texts) if line is not None]
        timeline = build_timeline(lines, REQUEST)
        self.assertEqual(
            [
                LogEvent.SNAPSHOT_TAKEN.number,
                LogEvent.KEY_REFUSED.number,
                LogEvent.REQUEST_REFUSED.number,
            ],
            self.list_numbers(timeline.lines),
        )
        refused = timeline.lines[1].fields
        self.assertEqual('r-chat', refused['route'])
        self.assertEqual('key_unknown', refused['reason'])

    def test_lines_of_two_vms_are_in_order(self) -> None:
        """Guard against an order by the wrong clock of the home VM."""
        expected = [
            LogEvent.STORE_LOST.number,
            LogEvent.HOME_SILENT.number,
            LogEvent.ALLOWANCE_REFUSED.number,
            LogEvent.REQUEST_REFUSED.number,
        ]
        timeline = self.build()
        self.assertEqual(expected, self.list_numbers(timeline.lines))
        self.assertEqual({'vm-b': -39.5}, timeline.clock_shift_by_node)

    def test_unknown_request_has_no_lines(self) -> None:
        self.assertEqual((), build_timeline((), 'q-9').lines)

    def test_command_reads_the_files_of_all_vms(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'vm.log'
            path.write_text('\n'.join(LOG_LINES), encoding='utf-8')
            known = run_command_line(['explain', REQUEST, str(path)])
            unknown = run_command_line(['explain', 'q-9', str(path)])
            missing = run_command_line(['explain', REQUEST, f'{path}.none'])
        self.assertEqual(
            (ExitCode.OK, ExitCode.REFUSED, ExitCode.USAGE),
            (known, unknown, missing),
        )
