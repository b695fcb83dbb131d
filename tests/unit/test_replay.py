"""Tests of recordings and their replay."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from testtools import TestCase

from bronzepost._internal.core import recording, replay
from bronzepost._internal.core.ledger import apply
from bronzepost._internal.exceptions import ProtocolError
from tests import builders_recordings


def falsify(line: dict[str, Any]) -> dict[str, Any] | None:
    """Return the line with a changed outcome, None if it has none."""
    outcomes: dict[str, Callable[[Any], Any]] = {
        'actions': lambda actions: [*actions, {'kind': 'OwnershipGained'}],
        'valid': lambda valid: not valid,
        'decision': lambda decision: decision | {'sequence': 99},
        'withdrawn': lambda withdrawn: not withdrawn,
        'state': lambda state: state | {'epoch': 99},
    }
    stated = outcomes.keys() & line.keys()
    if not stated:
        return None
    return line | {name: outcomes[name](line[name]) for name in stated}


class RecordingTest(TestCase):
    """Guard the outcomes of the recorded faults."""

    def setUp(self) -> None:
        """List the committed recordings."""
        super().setUp()
        self.paths = sorted(builders_recordings.DIRECTORY.glob('*.jsonl'))

    def test_lost_append_answer_and_other_recordings(self) -> None:
        """Guard against changed decisions of the ledger."""
        self.assertEqual(len(builders_recordings.SCENES), len(self.paths))
        for path in self.paths:
            report = replay.replay_file(path)
            shown = [str(difference) for difference in report.differences]
            self.assertEqual([], shown, path.name)

    def test_recordings_are_what_the_scenes_show(self) -> None:
        """Guard against a recording that was edited by hand."""
        for path in self.paths:
            scene = builders_recordings.SCENES[path.stem]
            self.assertEqual(path.read_text(encoding='utf-8'), scene())

    def test_every_falsified_outcome_is_reported(self) -> None:
        """Guard against a comparison that ignores an outcome."""
        for path in self.paths:
            self.check_falsified(path)

    def check_falsified(self, path: Path) -> None:
        """Expect a difference exactly at the line whose outcome is changed."""
        lines = path.read_text(encoding='utf-8').splitlines()
        for number, text in enumerate(lines):
            changed = falsify(json.loads(text))
            if changed is not None:
                falsified = list(lines)
                falsified[number] = json.dumps(changed)
                report = replay.replay(falsified)
                found = [entry.line for entry in report.differences]
                self.assertEqual([number + 1], found, path.name)

    def test_frozen_owner_recording_fails_without_the_epoch_rule(self) -> None:
        """Guard against a recording that does not exercise the epoch rule."""
        path = builders_recordings.DIRECTORY / 'frozen_owner.jsonl'
        with mock.patch.object(apply, '_is_stale', return_value=False):
            report = replay.replay_file(path)
        self.assertFalse(report.is_faithful)

    def test_invalid_recording_is_refused(self) -> None:
        """Guard against a report on a file that is not a valid recording."""
        heading = recording.encode_line(
            recording.HeadingLine(version=1, description='')
        )
        other_version = recording.encode_line(
            recording.HeadingLine(version=2, description='')
        )
        event = '{"type":"event","journal":"a","event":"Tick","actions":[],'
        for lines in (
            [],
            ['{}'],
            ['no JSON'],
            [other_version],
            [heading, heading],
            [heading, f'{event}"body":{{"at":1}}}}'],
        ):
            self.assertRaises(ProtocolError, replay.replay, lines)
