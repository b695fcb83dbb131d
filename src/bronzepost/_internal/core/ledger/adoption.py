"""Adopt records of the last owner that the log has not taken.

During an outage of the log, an owner's records wait in its memory and at the
node that would claim the partition next. When that node claims, it writes
them again under its own epoch, before it serves any call.
"""

import dataclasses
import functools
from collections.abc import Sequence

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import Journal, submit_record


def list_unsettled(journal: Journal) -> list[records.Record]:
    """Return the records that wait for the log and may be adopted.

    An intent is left out: its call is sent only when the log itself has the
    intent.
    """
    waiting = (*journal.in_flight_by_id.values(), *journal.pending)
    return [
        record for record in waiting if not isinstance(record, _NEVER_ADOPTED)
    ]


def adopt_records(journal: Journal, mirrored: Sequence[records.Record]) -> int:
    """Submit the mirrored records under this epoch; return how many.

    What the log already has is invalid and left out. The allowances that the
    records grant count as spent.
    """
    adopted = 0
    programs: set[str] = set()
    for record in mirrored:
        fitted = fit_record(record, journal)
        if fitted is None:
            continue
        renewed = dataclasses.replace(
            fitted,
            record_id=journal.next_record_id(),
            epoch=journal.view.epoch,
            node=journal.node,
        )
        if submit_record(journal, renewed).valid:
            adopted += 1
            programs.add(getattr(record, 'program', ''))
    for program in sorted(programs):
        _forfeit(journal, program)
    return adopted


@functools.singledispatch
def fit_record(
    record: records.Record, journal: Journal
) -> records.Record | None:
    """Return the record as it holds under the new claim, None if it can't."""
    fitted: records.Record | None = None
    return fitted


@fit_record.register
def _(
    record: records.ProgramStarted
    | records.AllowanceGranted
    | records.ProgramEnded,
    journal: Journal,
) -> records.Record | None:
    return record


@fit_record.register
def _(
    record: records.TurnCompleted | records.Outcome | records.CallAbandoned,
    journal: Journal,
) -> records.Record | None:
    program = journal.view.programs_by_id.get(record.program)
    # The claim has counted the outstanding allowance as spent.
    spent = max(record.spent, program.spent) if program else record.spent
    return dataclasses.replace(record, spent=spent)


def _forfeit(journal: Journal, program: str) -> None:
    submit_record(
        journal,
        records.AllowanceForfeited(
            record_id=journal.next_record_id(),
            epoch=journal.view.epoch,
            node=journal.node,
            program=program,
        ),
    )


_NEVER_ADOPTED = (
    records.Claim,
    records.PartitionReleased,
    records.Checkpoint,
    records.Intent,
    records.IntentWithdrawn,
    records.AllowanceReleased,
    records.HistorySnapshot,
)
