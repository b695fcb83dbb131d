"""Replay a recording through the ledger and compare the outcomes.

Example::

    report = replay_file(Path('recordings/lost_answer.jsonl'))
    assert report.is_faithful
"""

import dataclasses
import functools
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from bronzepost._internal.core import recording
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.calls import begin_call
from bronzepost._internal.core.ledger.journal import (
    Journal,
    submit_record,
    withdraw_pending,
)
from bronzepost._internal.core.ledger.journal_handler import handle_event
from bronzepost._internal.exceptions import ProtocolError

# The outcome stated by a line, and the outcome of the replay.
Outcomes = tuple[Any, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """A line, counted from one, whose stated and replayed outcomes differ."""

    line: int
    stated: Any
    found: Any

    def __str__(self) -> str:
        """Return both outcomes as one line of text."""
        return f'line {self.line}: stated {self.stated}, found {self.found}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplayReport:
    """Result of the replay of a recording."""

    description: str
    line_count: int
    differences: tuple[Difference, ...]

    @property
    def is_faithful(self) -> bool:
        """Return whether every replayed outcome is the stated one."""
        return not self.differences


def replay_file(path: Path) -> ReplayReport:
    """Replay the recording in a file.

    Raises:
        OSError: if the file cannot be read.
        ProtocolError: if it is not a recording of this version.
    """
    with path.open(encoding='utf-8') as source:
        return replay(source)


def replay(lines: Iterable[str]) -> ReplayReport:
    """Replay the lines of a recording and compare every outcome.

    Raises:
        ProtocolError: if the lines are not a recording of this version.
    """
    texts = tuple(lines)
    if not texts:
        raise ProtocolError('the recording is empty', step=recording.READ_STEP)
    description = _read_heading(recording.decode_line(texts[0], 1))
    journals: dict[str, Journal] = {}
    differences: list[Difference] = []
    for number, text in enumerate(texts[1:], start=2):
        line = recording.decode_line(text, number)
        outcomes = _replay_line(line, journals)
        differences.extend(_compare(number, outcomes))
    return ReplayReport(
        description=description,
        line_count=len(texts),
        differences=tuple(differences),
    )


def _compare(number: int, outcomes: Outcomes) -> list[Difference]:
    stated, found = outcomes
    if stated == found:
        return []
    return [Difference(line=number, stated=stated, found=found)]


def _read_heading(line: recording.Line) -> str:
    if not isinstance(line, recording.HeadingLine):
        raise ProtocolError(
            'line 1 is not the heading of a recording',
            step=recording.READ_STEP,
        )
    if line.version != recording.VERSION:
        raise ProtocolError(
            f'the recording has version {line.version} and this program reads '
            f'version {recording.VERSION}',
            step=recording.READ_STEP,
        )
    return line.description


def _find_journal(journals: dict[str, Journal], name: str) -> Journal:
    if name not in journals:
        raise ProtocolError(
            f'the recording names journal {name!r} before it starts it',
            step=recording.READ_STEP,
        )
    return journals[name]


@functools.singledispatch
def _replay_line(
    line: recording.Line, journals: dict[str, Journal]
) -> Outcomes:
    raise ProtocolError(
        f'unexpected {type(line).__name__} inside a recording',
        step=recording.READ_STEP,
    )


@_replay_line.register
def _(line: recording.JournalLine, journals: dict[str, Journal]) -> Outcomes:
    journals[line.journal] = Journal(
        stream=line.stream, node=line.node, boot=line.boot
    )
    return None, None


@_replay_line.register
def _(line: recording.EventLine, journals: dict[str, Journal]) -> Outcomes:
    journal = _find_journal(journals, line.journal)
    actions = handle_event(recording.decode_event(line), journal)
    found = [recording.describe_action(action) for action in actions]
    return line.actions, found


@_replay_line.register
def _(line: recording.SubmitLine, journals: dict[str, Journal]) -> Outcomes:
    journal = _find_journal(journals, line.journal)
    verdict = submit_record(journal, records.decode_record(line.record))
    return (line.valid, line.reason), (verdict.valid, verdict.reason)


@_replay_line.register
def _(line: recording.CallLine, journals: dict[str, Journal]) -> Outcomes:
    journal = _find_journal(journals, line.journal)
    journal.record_count = line.record_count
    call = recording.decode_call(line)
    decision = begin_call(journal, call, line.at)
    return line.decision, recording.describe_decision(decision)


@_replay_line.register
def _(line: recording.WithdrawLine, journals: dict[str, Journal]) -> Outcomes:
    journal = _find_journal(journals, line.journal)
    return line.withdrawn, withdraw_pending(journal, line.record_id)


@_replay_line.register
def _(line: recording.StateLine, journals: dict[str, Journal]) -> Outcomes:
    state = _find_journal(journals, line.journal).state
    return line.state, recording.describe_state(state)
