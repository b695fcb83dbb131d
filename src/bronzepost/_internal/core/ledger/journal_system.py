"""How events change a journal.

The journal loads the partition, claims it, groups records into appends, and
reads back whenever it does not know what the log holds. One request to the
log is under way at a time. A submitted record is settled exactly once.
"""

import functools
from collections import deque
from typing import Final

from bronzepost._internal.core.ledger import journal_events as events
from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.apply import apply_record
from bronzepost._internal.core.ledger.journal import (
    APPEND_BURST,
    Journal,
    Loading,
    is_fact,
    note_applied,
    reset_view,
    submit_record,
)
from bronzepost._internal.core.ledger.loading import load_records

# 48 partitions at 5 appends/s stay below the several hundred appends/s that
# the log takes; the burst keeps a lone program from waiting.
APPENDS_PER_SECOND: Final = 5.0
MAX_APPEND_RECORDS: Final = 500

Actions = tuple[events.Action, ...]


@functools.singledispatch
def handle_event(event: events.Event, journal: Journal) -> Actions:
    """Change the journal by an event and return what has to be done."""
    raise NotImplementedError(type(event).__name__)


@handle_event.register
def _(event: events.Tick, journal: Journal) -> Actions:
    return _next_request(journal, event.at)


@handle_event.register
def _(event: events.RefreshWanted, journal: Journal) -> Actions:
    journal.requests.refresh_wanted = True
    return _next_request(journal, event.at)


@handle_event.register
def _(event: events.OwnershipWanted, journal: Journal) -> Actions:
    if journal.loading.done and not _claim_is_under_way(journal):
        claim = records.Claim(
            record_id=journal.next_record_id(),
            epoch=journal.state.epoch + 1,
            node=journal.node,
        )
        if submit_record(journal, claim).valid:
            journal.claim_id = claim.record_id
    return _next_request(journal, event.at)


@handle_event.register
def _(event: events.AppendSucceeded, journal: Journal) -> Actions:
    journal.requests.busy = False
    journal.requests.appends_failing = False
    journal.requests.failing_since = None
    if event.first_offset != journal.state.next_offset:
        # Another writer came first; only a read shows in which order.
        journal.requests.refresh_wanted = True
        return _next_request(journal, event.at)
    settled: list[events.Action] = []
    stored = list(journal.in_flight_by_id.values())
    for offset, record in enumerate(stored, start=event.first_offset):
        settled.extend(_apply(journal, offset, record))
    after = _after_apply(journal)
    return (*settled, *after, *_next_request(journal, event.at))


@handle_event.register
def _(event: events.AppendRefused, journal: Journal) -> Actions:
    _fail(journal, event.at, event.retry_after_seconds)
    journal.requests.appends_failing = True
    maybe_stored = journal.requests.maybe_stored_ids
    not_stored = [
        record
        for record_id, record in journal.in_flight_by_id.items()
        if record_id not in maybe_stored
    ]
    for not_stored_record in not_stored:
        journal.in_flight_by_id.pop(not_stored_record.record_id)
    journal.pending.extendleft(reversed(not_stored))
    return ()


@handle_event.register
def _(event: events.AppendAmbiguous, journal: Journal) -> Actions:
    _fail(journal, event.at, retry_after_seconds=0)
    journal.requests.appends_failing = True
    journal.requests.maybe_stored_ids.update(journal.in_flight_by_id)
    journal.requests.refresh_wanted = True
    return _next_request(journal, event.at)


@handle_event.register
def _(event: events.ReadFailed, journal: Journal) -> Actions:
    _fail(journal, event.at, event.retry_after_seconds)
    return ()


@handle_event.register
def _(event: events.RecordsRead, journal: Journal) -> Actions:
    journal.requests.busy = False
    had_in_flight = bool(journal.in_flight_by_id)
    journal.first_kept_offset = event.first_offset
    skipped: Actions = ()
    if journal.loading.done and event.first_offset > journal.state.next_offset:
        skipped = _load_again(journal, event.first_offset)
    applied: Actions
    if journal.loading.done:
        applied = _apply_read(journal, event)
    else:
        applied = load_records(journal, event)
    after = _after_apply(journal)
    _note_read(journal, had_in_flight)
    return skipped + applied + after + _next_request(journal, event.at)


def _claim_is_under_way(journal: Journal) -> bool:
    return journal.is_owner or any(
        isinstance(record, records.Claim)
        for record in (*journal.pending, *journal.in_flight_by_id.values())
    )


def _load_again(journal: Journal, first_offset: int) -> Actions:
    """Start over: the log no longer keeps what was not read."""
    skipped = events.RecordsSkipped(
        from_offset=journal.state.next_offset, to_offset=first_offset
    )
    journal.loading = Loading()
    return (skipped,)


def _apply_read(journal: Journal, event: events.RecordsRead) -> Actions:
    actions: list[events.Action] = []
    # A malformed record must not cut off the report on those before it.
    decoded = [
        (offset, records.decode_stored(body))
        for offset, body in event.records
        if offset >= journal.state.next_offset
    ]
    for offset, record in decoded:
        actions.extend(_apply(journal, offset, record))
    has_more = journal.state.next_offset < event.next_offset
    journal.requests.refresh_wanted = has_more
    return tuple(actions)


def _apply(journal: Journal, offset: int, record: records.Record) -> Actions:
    verdict = apply_record(journal.state, offset, record)
    is_own = note_applied(journal, record)
    if is_own != verdict.valid:
        # The view holds what this node submitted, and takes it for valid.
        journal.is_view_stale = True
    if isinstance(record, records.UnreadableRecord):
        unreadable = events.RecordUnreadable(
            offset=offset, problem=record.problem
        )
        return (unreadable,)
    if not is_own:
        return ()
    settled = events.RecordSettled(
        record_id=record.record_id,
        valid=verdict.valid,
        offset=offset,
        reason=verdict.reason,
    )
    return (settled,)


def _after_apply(journal: Journal) -> Actions:
    """Report a change of ownership and drop what lost its effect."""
    is_owner = journal.is_owner
    actions: Actions = ()
    if is_owner and not journal.was_owner:
        actions = (events.OwnershipGained(epoch=journal.state.epoch),)
    elif journal.was_owner and not is_owner:
        lost = events.OwnershipLost(
            owner=journal.state.owner, epoch=journal.state.epoch
        )
        actions = (lost,)
    journal.was_owner = is_owner
    if not _claim_is_under_way(journal):
        # This includes records that were written ahead of a claim that lost.
        actions = (*_drop_submitted(journal), *actions)
    if journal.is_settled:
        journal.view = journal.state
        journal.is_view_stale = False
    elif actions or journal.is_view_stale:
        reset_view(journal)
    return actions


def _drop_submitted(journal: Journal) -> Actions:
    """Settle records that can only come after the successor's claim.

    Whether the log stores them or not, they have no effect. Facts about calls
    that ran are accepted from any epoch, so they are still appended.
    """
    submitted = (*journal.in_flight_by_id.values(), *journal.pending)
    dropped = [record for record in submitted if not is_fact(record)]
    journal.pending = deque(filter(is_fact, journal.pending))
    reason = f'{journal.state.owner or "nobody"} owns the partition'
    return tuple(
        _drop_record(journal, dropped_record, reason)
        for dropped_record in dropped
    )


def _drop_record(
    journal: Journal, record: records.Record, reason: str
) -> events.Action:
    journal.in_flight_by_id.pop(record.record_id, None)
    journal.requests.maybe_stored_ids.discard(record.record_id)
    return events.RecordSettled(
        record_id=record.record_id, valid=False, reason=reason
    )


def _note_read(journal: Journal, had_in_flight: bool) -> None:
    """Decide whether a read shows that the log works.

    It shows that appends do if it found the records of one without an answer,
    and it has to do if there is nothing to append.
    """
    if journal.is_settled or (had_in_flight and not journal.in_flight_by_id):
        journal.requests.appends_failing = False
    if not journal.requests.appends_failing:
        journal.requests.failing_since = None


def _fail(journal: Journal, at: float, retry_after_seconds: float) -> None:
    journal.requests.busy = False
    journal.requests.retry_at = at + retry_after_seconds
    if journal.requests.failing_since is None:
        journal.requests.failing_since = at


def _next_request(journal: Journal, at: float) -> Actions:
    """Return the next request to the log, if one is due."""
    if journal.requests.busy or at < journal.requests.retry_at:
        return ()
    if _wants_read(journal):
        journal.requests.busy = True
        start = journal.loading.start or 0
        if journal.loading.done:
            start = journal.state.next_offset
        return (events.ReadRecords(from_offset=start),)
    if journal.is_settled or not _take_token(journal, at):
        return ()
    return _append(journal)


def _wants_read(journal: Journal) -> bool:
    if not journal.loading.done or journal.requests.refresh_wanted:
        return True
    # Calls are refused while the log fails, so without a read nothing would
    # show that it is back.
    return journal.is_settled and journal.requests.failing_since is not None


def _take_token(journal: Journal, at: float) -> bool:
    requests = journal.requests
    elapsed = max(0, at - requests.tokens_at)
    refilled = requests.append_tokens + elapsed * APPENDS_PER_SECOND
    requests.append_tokens = min(APPEND_BURST, refilled)
    requests.tokens_at = at
    if requests.append_tokens < 1:
        return False
    requests.append_tokens -= 1
    return True


def _append(journal: Journal) -> Actions:
    # Records of an append without an answer that a read did not show go
    # first, with the same identifiers; a late copy has no second effect.
    in_flight = journal.in_flight_by_id
    while journal.pending and len(in_flight) < MAX_APPEND_RECORDS:
        record = journal.pending.popleft()
        in_flight[record.record_id] = record
    journal.requests.busy = True
    return (events.AppendRecords(records=tuple(in_flight.values())),)
