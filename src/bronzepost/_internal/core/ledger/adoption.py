"""Adopt records of the previous owner that are not on the log.

During an outage of the log, an owner keeps its records in memory and mirrors
them to the node that would claim the partition next. When that node claims, it
submits them again under its own epoch, before it serves any call.
"""

import dataclasses
import functools
from collections.abc import Sequence

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import Journal, submit_record


def list_adoptable_records(journal: Journal) -> list[records.Record]:
    """Return the unsettled records that a successor may adopt.

    Intents are left out: a call is sent only after its intent is on the log.
    """
    unsettled = (*journal.in_flight_by_id.values(), *journal.pending)
    return [
        record for record in unsettled if not isinstance(record, _NEVER_ADOPTED)
    ]


def adopt_records(journal: Journal, mirrored: Sequence[records.Record]) -> int:
    """Submit the mirrored records under this epoch; return how many are valid.

    Records that are already on the log are invalid and not counted. The
    allowances that the records grant count as spent.
    """
    adopted = 0
    programs: set[str] = set()
    for record in mirrored:
        adapted = adapt_record(record, journal)
        if adapted is None:
            continue
        resubmitted = dataclasses.replace(
            adapted,
            record_id=journal.next_record_id(),
            epoch=journal.view.epoch,
            node=journal.node,
        )
        if submit_record(journal, resubmitted).valid:
            adopted += 1
            programs.add(getattr(record, 'program', ''))
    for program in sorted(programs):
        _forfeit_allowance(journal, program)
    return adopted


@functools.singledispatch
def adapt_record(
    record: records.Record, journal: Journal
) -> records.Record | None:
    """Return the record adapted to the new claim, None if it is not adopted."""
    adapted: records.Record | None = None
    return adapted


@adapt_record.register
def _(
    record: records.ProgramStarted
    | records.AllowanceGranted
    | records.ProgramEnded,
    journal: Journal,
) -> records.Record | None:
    return record


@adapt_record.register
def _(
    record: records.TurnCompleted | records.Outcome | records.CallAbandoned,
    journal: Journal,
) -> records.Record | None:
    program = journal.view.programs_by_id.get(record.program)
    # The claim already counted the outstanding allowance as spent.
    spent = max(record.spent, program.spent) if program else record.spent
    return dataclasses.replace(record, spent=spent)


def _forfeit_allowance(journal: Journal, program: str) -> None:
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
