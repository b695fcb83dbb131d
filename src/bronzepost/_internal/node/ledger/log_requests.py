"""Make requests to the log and return the answers as journal events."""

from typing import Final

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger.records import Record, encode_record
from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    LogRefusedError,
    LogServiceError,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.node.ledger.log_client import (
    DEFAULT_RETRY_DELAY_SECONDS,
    LogClient,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

MILLISECONDS_PER_SECOND: Final = 1000


def request_append(
    log: LogClient, stream: str, records: tuple[Record, ...]
) -> events.Event:
    """Append records and return the result as an event.

    A log in an outage may take seconds to refuse; the idle timeout of the
    client bounds each attempt.
    """
    bodies = [encode_record(record) for record in records]
    try:
        first_offset = log.append_records(stream, bodies)
    except AmbiguousAppendError as ambiguous:
        emit(LogEvent.APPEND_AMBIGUOUS, error=ambiguous)
        return events.AppendAmbiguous(at=read_clock())
    except LogRefusedError as refused:
        emit(LogEvent.APPEND_RETRIED, error=refused)
        return events.AppendRefused(
            at=read_clock(), retry_after_seconds=refused.retry_after_seconds
        )
    return events.AppendSucceeded(at=read_clock(), first_offset=first_offset)


def request_read(log: LogClient, stream: str, from_offset: int) -> events.Event:
    """Read records and return them, or the failure, as an event."""
    try:
        page = log.read_records(stream, from_offset)
    except LogServiceError:
        return events.ReadFailed(
            at=read_clock(), retry_after_seconds=DEFAULT_RETRY_DELAY_SECONDS
        )
    return events.RecordsRead(
        at=read_clock(),
        from_offset=from_offset,
        records=page.records,
        first_offset=page.first_offset,
        next_offset=page.next_offset,
    )
