"""Records of a partition's stream on the log, and their JSON encoding.

A record is a JSON object whose ``kind`` is the name of its class. Records state
absolute values (a sequence number, a total), never increments, so a record that
is on the log twice takes effect once.
"""

import dataclasses
from types import MappingProxyType
from typing import Any, Final

import msgspec

from bronzepost._internal.exceptions import ProtocolError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """Base class of the records.

    ``record_id`` is unique over all nodes and boots. ``epoch`` is the epoch
    of the claim under which the record was written, and ``node`` its writer.
    """

    record_id: str
    epoch: int
    node: str

    @property
    def writer(self) -> str:
        """Return the boot and the stream in the identifier."""
        return writer_of(self.record_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim(Record):
    """Claim the partition; ``epoch`` is the new epoch."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PartitionReleased(Record):
    """Release the partition, so that another node may claim it immediately."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramStarted(Record):
    """Create a program with its budget in units.

    ``granted`` is the first allowance, so that starting a program takes only
    one append. The whole ``budget`` of a sub-agent comes from its ``parent``.
    """

    program: str
    organisation: str
    service: str
    budget: int
    granted: int
    importance: int = 1
    parent: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AllowanceGranted(Record):
    """Raise the total that the owner may spend to ``granted`` units."""

    program: str
    granted: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AllowanceReleased(Record):
    """Lower the granted total to ``granted``, before a planned handover."""

    program: str
    granted: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AllowanceForfeited(Record):
    """Count the remaining allowance of a program as spent.

    A successor writes this after it adopted records of the previous owner,
    which may have spent the allowance or may still do so.
    """

    program: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TurnCompleted(Record):
    """Finish a model call.

    ``messages`` are the messages of the request that the last turn did not
    have, ``answer`` is the assistant's message. ``digest`` and
    ``message_count`` describe the whole history including the answer.
    ``spent`` is the program's total spending in units.
    """

    program: str
    sequence: int
    messages: list[dict[str, Any]]
    answer: dict[str, Any]
    digest: str
    message_count: int
    spent: int
    key: str = ''
    intent_id: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Intent(Record):
    """Announce a non-idempotent call before it is sent."""

    program: str
    sequence: int
    key: str
    service: str
    path: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IntentWithdrawn(Record):
    """State that the announced call was not sent and never will be."""

    program: str
    sequence: int
    intent_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallAbandoned(Record):
    """Stop waiting for the outcome of an announced call.

    The program may continue with its next call. An outcome that arrives later
    is still stored and returned to a caller that repeats the call.
    """

    program: str
    sequence: int
    intent_id: str
    spent: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome(Record):
    """State what a service call returned.

    For a non-idempotent call, ``intent_id`` names its intent, and the record
    is accepted from any epoch, because the call ran whoever owns the partition.
    """

    program: str
    sequence: int
    intent_id: str
    status: int
    body: str
    spent: int
    key: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HistorySnapshot(Record):
    """Store a live program's history again before its records leave the log."""

    program: str
    messages: list[dict[str, Any]]
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramEnded(Record):
    """End a program; ``reason`` is shown to callers and operators."""

    program: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Checkpoint(Record):
    """Store the state after all records before ``covers_offset``.

    The state follows from the log alone, so a checkpoint is valid whichever
    epoch wrote it.
    """

    covers_offset: int
    state: dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnreadableRecord(Record):
    """Placeholder, without effect, for a record that cannot be decoded."""

    problem: str


RECORD_CLASSES: Final = (
    Claim,
    PartitionReleased,
    ProgramStarted,
    AllowanceGranted,
    AllowanceReleased,
    AllowanceForfeited,
    TurnCompleted,
    Intent,
    IntentWithdrawn,
    CallAbandoned,
    Outcome,
    HistorySnapshot,
    ProgramEnded,
    Checkpoint,
)

_CLASSES_BY_KIND: Final = MappingProxyType({
    record_class.__name__: record_class for record_class in RECORD_CLASSES
})


def writer_of(record_id: str) -> str:
    """Return the boot and the stream in a record's identifier."""
    return record_id.rpartition('-')[0]


def encode_record(record: Record) -> dict[str, Any]:
    """Return a record as a JSON object with its ``kind``."""
    body: dict[str, Any] = msgspec.to_builtins(record)
    return {'kind': type(record).__name__, **body}


def decode_record(body: dict[str, Any]) -> Record:
    """Return the record of a JSON object.

    Raises:
        ProtocolError: if the kind is unknown or a field is missing or wrong.
    """
    fields = dict(body)
    kind = fields.pop('kind', None)
    record_class = _CLASSES_BY_KIND.get(kind) if kind else None
    if record_class is None:
        raise ProtocolError(
            f'unknown record kind {kind!r}: is a newer version running?',
            step='read log',
        )
    try:
        return msgspec.convert(fields, record_class)
    except msgspec.ValidationError as error:
        raise ProtocolError(
            f'malformed {kind} record: {error}', step='read log'
        ) from error


def decode_stored(body: dict[str, Any]) -> Record:
    """Return the record of a JSON object, a placeholder if it is unreadable.

    One unreadable record must not stop the rest of a partition from being read.
    """
    try:
        return decode_record(body)
    except ProtocolError as error:
        return UnreadableRecord(
            record_id=str(body.get('record_id', '')),
            epoch=0,
            node=str(body.get('node', '')),
            problem=error.message,
        )
