"""Events (inputs) and actions (outputs) of a journal.

All times are in seconds of a monotonic clock that includes suspended time.
"""

import dataclasses
from typing import Any

from bronzepost._internal.core.ledger.records import Record

# The offset of a record on the log, and the record as a JSON object.
StoredRecord = tuple[int, dict[str, Any]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class of the events; ``at`` is the time of arrival."""

    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick(Event):
    """Let the journal send its next request if one is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipWanted(Event):
    """This node should claim the partition unless it owns it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefreshWanted(Event):
    """The journal should read records that other nodes have appended."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendSucceeded(Event):
    """The log stored the records from ``first_offset`` on."""

    first_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRefused(Event):
    """The log did not store the records; retry after the delay."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendAmbiguous(Event):
    """The log did not answer; the records may be stored now, later or never."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordsRead(Event):
    """The log returned records from ``from_offset`` on.

    ``first_offset`` is the oldest offset that the log retains and
    ``next_offset`` the end of the stream.
    """

    from_offset: int
    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed(Event):
    """The log did not answer a read; retry after the delay."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Action:
    """Base class of requests to the log and notices to the caller."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords(Action):
    """Append the records in this order with one request."""

    records: tuple[Record, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords(Action):
    """Read the stream from ``from_offset``."""

    from_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordSettled(Action):
    """A submitted record is on the log, or can no longer take effect."""

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
    """This node no longer owns the partition; ``owner`` may be empty."""

    owner: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordsSkipped(Action):
    """Records left the log before this node read them."""

    from_offset: int
    to_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordUnreadable(Action):
    """The log contains a record that this version cannot read."""

    offset: int
    problem: str
