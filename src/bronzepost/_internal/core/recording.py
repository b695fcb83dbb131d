"""Lines of a recording: the inputs of journals and their outcomes.

A recording is a text of JSON lines. It begins with a ``recording`` line. A
``journal`` line introduces a journal. Each further line has one input with its
outcome, except that a ``state`` line has the state of a journal at that point.

Example::

    {"type":"recording","version":1,"description":"a lost answer"}
    {"type":"journal","journal":"a","stream":"programs-07","node":"hall-a-1",
     "boot":"4f1c"}
    {"type":"event","journal":"a","event":"Tick","body":{"at":1.0},
     "actions":[{"kind":"ReadRecords","from_offset":0}]}
"""

from types import MappingProxyType
from typing import Any, Final, TypeVar

import msgspec

from bronzepost._internal.core.ledger import calls, records
from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger.state import PartitionState
from bronzepost._internal.exceptions import ProtocolError

Converted = TypeVar('Converted')

VERSION: Final = 1
READ_STEP: Final = 'read recording'

_EVENT_CLASSES: Final = (
    events.Tick,
    events.OwnershipWanted,
    events.RefreshWanted,
    events.AppendSucceeded,
    events.AppendRefused,
    events.AppendAmbiguous,
    events.RecordsRead,
    events.ReadFailed,
)

_EVENT_CLASSES_BY_NAME: Final = MappingProxyType({
    event_class.__name__: event_class for event_class in _EVENT_CLASSES
})


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the lines."""


class HeadingLine(Line, frozen=True, kw_only=True, tag='recording'):
    """Describe the recording and name its format version."""

    version: int
    description: str


class JournalLine(Line, frozen=True, kw_only=True, tag='journal'):
    """Create a journal, to which later lines refer by its name."""

    journal: str
    stream: str
    node: str
    boot: str


class EventLine(Line, frozen=True, kw_only=True, tag='event'):
    """Pass an event to a journal; ``actions`` is the outcome."""

    journal: str
    event: str
    body: dict[str, Any]
    actions: list[dict[str, Any]]


class SubmitLine(Line, frozen=True, kw_only=True, tag='submit'):
    """Submit a record; ``valid`` and ``reason`` are the outcome."""

    journal: str
    record: dict[str, Any]
    valid: bool
    reason: str = ''


class CallLine(Line, frozen=True, kw_only=True, tag='call'):
    """Begin a call; ``decision`` is the outcome.

    ``record_count`` is the number of record identifiers that the journal had
    used before, so that a replay uses the same ones.
    """

    journal: str
    at: float
    record_count: int
    call: dict[str, Any]
    decision: dict[str, Any]


class WithdrawLine(Line, frozen=True, kw_only=True, tag='withdraw'):
    """Withdraw a pending record; ``withdrawn`` is the outcome."""

    journal: str
    record_id: str
    withdrawn: bool


class StateLine(Line, frozen=True, kw_only=True, tag='state'):
    """State of a journal in the form of :func:`describe_state`."""

    journal: str
    state: dict[str, Any]


AnyLine = (
    HeadingLine
    | JournalLine
    | EventLine
    | SubmitLine
    | CallLine
    | WithdrawLine
    | StateLine
)

_DECODER: Final = msgspec.json.Decoder(AnyLine)


def encode_line(line: Line) -> str:
    """Return the line as JSON without a line break."""
    return msgspec.json.encode(line).decode()


def decode_line(text: str, number: int) -> Line:
    """Return the line of a JSON text.

    Raises:
        ProtocolError: if the text is not a line of a recording. The message
            contains the line number.
    """
    try:
        return _DECODER.decode(text)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f'line {number} is not part of a recording: {error}',
            step=READ_STEP,
        ) from error


def decode_event(line: EventLine) -> events.Event:
    """Return the event of a line.

    Raises:
        ProtocolError: if the kind is unknown or a field is missing or wrong.
    """
    event_class = _EVENT_CLASSES_BY_NAME.get(line.event)
    if event_class is None:
        raise ProtocolError(
            f'unknown event {line.event!r}: was it recorded by a newer version?',
            step=READ_STEP,
        )
    return _convert(line.body, event_class)


def decode_call(line: CallLine) -> calls.CallRequest:
    """Return the call of a line.

    Raises:
        ProtocolError: if a field is missing or wrong.
    """
    return _convert(line.call, calls.CallRequest)


def describe_event(event: events.Event) -> dict[str, Any]:
    """Return the fields of an event as JSON values."""
    body: dict[str, Any] = msgspec.to_builtins(event)
    return body


def describe_action(action: events.Action) -> dict[str, Any]:
    """Return an action as JSON values, with its kind."""
    if isinstance(action, events.AppendRecords):
        encoded = [records.encode_record(record) for record in action.records]
        return {'kind': 'AppendRecords', 'records': to_json_values(encoded)}
    return _describe(action)


def describe_decision(decision: calls.Decision) -> dict[str, Any]:
    """Return a decision on a call as JSON values, with its kind."""
    return _describe(decision)


def describe_state(state: PartitionState) -> dict[str, Any]:
    """Return owner, programs, calls and budgets of a state as JSON values."""
    amounts = ('sequence', 'budget', 'granted', 'spent', 'carved', 'forfeited')
    texts = ('digest', 'ended')
    return {
        'epoch': state.epoch,
        'owner': state.owner,
        'next_offset': state.next_offset,
        'programs': {
            program: {name: getattr(entry, name) for name in amounts + texts}
            for program, entry in state.programs_by_id.items()
        },
        'open_intents': dict(state.open_intents_by_program),
        'answers': [
            [entry.program, entry.sequence, entry.offset]
            for entry in state.outcomes_by_call.values()
        ],
    }


def to_json_values(body: Any) -> Any:
    """Encode values as JSON and return the decoded result."""
    return msgspec.json.decode(msgspec.json.encode(body))


def _describe(item: events.Action | calls.Decision) -> dict[str, Any]:
    return {'kind': type(item).__name__, **to_json_values(item)}


def _convert(body: dict[str, Any], kind: type[Converted]) -> Converted:
    try:
        return msgspec.convert(body, kind)
    except msgspec.ValidationError as error:
        raise ProtocolError(
            f'malformed {kind.__name__}: {error}', step=READ_STEP
        ) from error
