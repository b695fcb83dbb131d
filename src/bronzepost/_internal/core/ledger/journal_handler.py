"""Handle the events of a journal.

The journal loads the partition, claims it, batches records into appends, and
reads the stream whenever it does not know what the log holds. It has at most
one request to the log in flight. Each submitted record is settled exactly
once.
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
    LoadingProgress,
    is_epoch_independent,
    mark_applied,
    rebuild_view,
    submit_record,
)
from bronzepost._internal.core.ledger.loading import load_records

# 48 partitions at 5 appends/s stay below the several hundred appends/s that
# the log accepts. The burst lets a single program append without waiting.
APPENDS_PER_SECOND: Final = 5.0
MAX_APPEND_RECORDS: Final = 500

Actions = tuple[events.Action, ...]


@functools.singledispatch
def handle_event(event: events.Event, journal: Journal) -> Actions:
    """Update the journal and return the actions that the caller carries out."""
    raise NotImplementedError(type(event).__name__)


@handle_event.register
def _(event: events.Tick, journal: Journal) -> Actions:
    return _request_next(journal, event.at)


@handle_event.register
def _(event: events.RefreshWanted, journal: Journal) -> Actions:
    journal.requests.refresh_wanted = True
    return _request_next(journal, event.at)


@handle_event.register
def _(event: events.OwnershipWanted, journal: Journal) -> Actions:
    if journal.loading.done and not _is_owner_or_claiming(journal):
        claim = records.Claim(
            record_id=journal.next_record_id(),
            epoch=journal.state.epoch + 1,
            node=journal.node,
        )
        if submit_record(journal, claim).valid:
            journal.claim_id = claim.record_id
    return _request_next(journal, event.at)


@handle_event.register
def _(event: events.AppendSucceeded, journal: Journal) -> Actions:
    journal.requests.busy = False
    journal.requests.appends_failing = False
    journal.requests.failing_since = None
    if event.first_offset != journal.state.next_offset:
        # Another node appended in between; only a read shows its records.
        journal.requests.refresh_wanted = True
        return _request_next(journal, event.at)
    settled: list[events.Action] = []
    stored = list(journal.in_flight_by_id.values())
    for offset, record in enumerate(stored, start=event.first_offset):
        settled.extend(_apply_stored_record(journal, offset, record))
    ownership_actions = _update_ownership(journal)
    return (*settled, *ownership_actions, *_request_next(journal, event.at))


@handle_event.register
def _(event: events.AppendRefused, journal: Journal) -> Actions:
    _record_failure(journal, event.at, event.retry_after_seconds)
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
    _record_failure(journal, event.at, retry_after_seconds=0)
    journal.requests.appends_failing = True
    journal.requests.maybe_stored_ids.update(journal.in_flight_by_id)
    journal.requests.refresh_wanted = True
    return _request_next(journal, event.at)


@handle_event.register
def _(event: events.ReadFailed, journal: Journal) -> Actions:
    _record_failure(journal, event.at, event.retry_after_seconds)
    return ()


@handle_event.register
def _(event: events.RecordsRead, journal: Journal) -> Actions:
    journal.requests.busy = False
    had_in_flight = bool(journal.in_flight_by_id)
    journal.first_retained_offset = event.first_offset
    skipped: Actions = ()
    if journal.loading.done and event.first_offset > journal.state.next_offset:
        skipped = _restart_loading(journal, event.first_offset)
    applied: Actions
    if journal.loading.done:
        applied = _apply_read_records(journal, event)
    else:
        applied = load_records(journal, event)
    ownership_actions = _update_ownership(journal)
    _update_failure_state(journal, had_in_flight)
    return (
        skipped + applied + ownership_actions + _request_next(journal, event.at)
    )


def _is_owner_or_claiming(journal: Journal) -> bool:
    return journal.is_owner or any(
        isinstance(record, records.Claim)
        for record in (*journal.pending, *journal.in_flight_by_id.values())
    )


def _restart_loading(journal: Journal, first_offset: int) -> Actions:
    """Load the partition anew after unread records have left the log."""
    skipped = events.RecordsSkipped(
        from_offset=journal.state.next_offset, to_offset=first_offset
    )
    journal.loading = LoadingProgress()
    return (skipped,)


def _apply_read_records(journal: Journal, event: events.RecordsRead) -> Actions:
    actions: list[events.Action] = []
    # Decode all records first, so that none is applied if decoding fails.
    decoded = [
        (offset, records.decode_stored(body))
        for offset, body in event.records
        if offset >= journal.state.next_offset
    ]
    for offset, record in decoded:
        actions.extend(_apply_stored_record(journal, offset, record))
    has_more = journal.state.next_offset < event.next_offset
    journal.requests.refresh_wanted = has_more
    return tuple(actions)


def _apply_stored_record(
    journal: Journal, offset: int, record: records.Record
) -> Actions:
    verdict = apply_record(journal.state, offset, record)
    is_own = mark_applied(journal, record)
    if is_own != verdict.valid:
        # The view assumes that only this node's records apply and are valid.
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


def _update_ownership(journal: Journal) -> Actions:
    """Report a change of ownership and drop records that became invalid."""
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
    if not _is_owner_or_claiming(journal):
        # Also drops records that were submitted under a claim that lost.
        actions = (*_drop_submitted(journal), *actions)
    if journal.is_settled:
        journal.view = journal.state
        journal.is_view_stale = False
    elif actions or journal.is_view_stale:
        rebuild_view(journal)
    return actions


def _drop_submitted(journal: Journal) -> Actions:
    """Settle submitted records as invalid after the loss of ownership.

    Even if the log stores them, they come after the successor's claim and have
    no effect. Outcomes of calls with an intent are accepted from any epoch, so
    they are still appended.
    """
    submitted = (*journal.in_flight_by_id.values(), *journal.pending)
    dropped = [
        record for record in submitted if not is_epoch_independent(record)
    ]
    journal.pending = deque(filter(is_epoch_independent, journal.pending))
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


def _update_failure_state(journal: Journal, had_in_flight: bool) -> None:
    """Clear the failure state if a read shows that the log works again.

    A read that finds the records of an append without an answer shows that
    appends work. If there is nothing to append, any successful read counts.
    """
    if journal.is_settled or (had_in_flight and not journal.in_flight_by_id):
        journal.requests.appends_failing = False
    if not journal.requests.appends_failing:
        journal.requests.failing_since = None


def _record_failure(
    journal: Journal, at: float, retry_after_seconds: float
) -> None:
    journal.requests.busy = False
    journal.requests.retry_at = at + retry_after_seconds
    if journal.requests.failing_since is None:
        journal.requests.failing_since = at


def _request_next(journal: Journal, at: float) -> Actions:
    """Return the next request if one is due, and mark the log as busy."""
    if journal.requests.busy or at < journal.requests.retry_at:
        return ()
    if _is_read_due(journal):
        journal.requests.busy = True
        start = journal.loading.start or 0
        if journal.loading.done:
            start = journal.state.next_offset
        return (events.ReadRecords(from_offset=start),)
    if journal.is_settled or not _consume_append_token(journal, at):
        return ()
    return _start_append(journal)


def _is_read_due(journal: Journal) -> bool:
    if not journal.loading.done or journal.requests.refresh_wanted:
        return True
    # Calls are refused during an outage, so that nothing is appended: only a
    # read can show that the log works again.
    return journal.is_settled and journal.requests.failing_since is not None


def _consume_append_token(journal: Journal, at: float) -> bool:
    requests = journal.requests
    elapsed = max(0, at - requests.tokens_refilled_at)
    refilled = requests.append_tokens + elapsed * APPENDS_PER_SECOND
    requests.append_tokens = min(APPEND_BURST, refilled)
    requests.tokens_refilled_at = at
    if requests.append_tokens < 1:
        return False
    requests.append_tokens -= 1
    return True


def _start_append(journal: Journal) -> Actions:
    # Records of an append without an answer that no read has found are sent
    # again first. They keep their identifiers, so a copy has no further effect.
    in_flight = journal.in_flight_by_id
    while journal.pending and len(in_flight) < MAX_APPEND_RECORDS:
        record = journal.pending.popleft()
        in_flight[record.record_id] = record
    journal.requests.busy = True
    return (events.AppendRecords(records=tuple(in_flight.values())),)
