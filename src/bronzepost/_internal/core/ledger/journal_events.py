"""Inputs and outputs of a journal.

All times are seconds of one monotonic clock that counts suspended time.
"""

import dataclasses
from typing import Any

from bronzepost._internal.core.ledger.records import Record

# The offset of a record on the log, and the record as a JSON object.
StoredRecord = tuple[int, dict[str, Any]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """What every input carries: the time at which it arrived."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick(Event):
    """Give the journal the chance to do work that is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipWanted(Event):
    """This node should own the partition."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefreshWanted(Event):
    """Read what other nodes have appended."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendSucceeded(Event):
    """The log stored the records from ``first_offset`` on."""

    first_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRefused(Event):
    """The log did not store the records; try after some seconds."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendAmbiguous(Event):
    """The log gave no answer; the records may be stored or may be later."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordsRead(Event):
    """The log returned the records from ``from_offset`` on.

    ``first_offset`` is the oldest offset that the log still keeps and
    ``next_offset`` the end of the stream.
    """

    from_offset: int
    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed(Event):
    """The log did not answer a read; try after some seconds."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Action:
    """What the journal asks its caller to do or to know."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords(Action):
    """Append the records, in this order, with one request."""

    records: tuple[Record, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords(Action):
    """Read the stream from an offset on."""

    from_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordSettled(Action):
    """A submitted record is on the log, or will have no effect any more."""

    record_id: str
    valid: bool
    offset: int = -1
    reason: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipGained(Action):
    """The node's claim is valid; it owns the partition."""

    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipLost(Action):
    """Another node owns the partition, or a claim came too late."""

    owner: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordsSkipped(Action):
    """The log no longer keeps records that have not been read."""

    from_offset: int
    to_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordUnreadable(Action):
    """The log holds a record that this version cannot read."""

    offset: int
    problem: str
