"""Release a partition, so that another node can claim it immediately."""

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.journal import (
    Journal,
    build_checkpoint,
    submit_record,
)
from bronzepost._internal.core.ledger.state import ProgramEntry


def submit_release(journal: Journal) -> None:
    """Submit unused allowances, a checkpoint and the release.

    No call of the partition may be in progress: it would spend from an
    allowance that has been returned.
    """
    for program in list(journal.view.programs_by_id.values()):
        if program.allowance and not program.ended:
            submit_record(journal, _build_allowance_release(journal, program))
    submit_record(journal, build_checkpoint(journal))
    released = records.PartitionReleased(
        record_id=journal.next_record_id(),
        epoch=journal.view.epoch,
        node=journal.node,
    )
    submit_record(journal, released)


def _build_allowance_release(
    journal: Journal, program: ProgramEntry
) -> records.Record:
    return records.AllowanceReleased(
        record_id=journal.next_record_id(),
        epoch=journal.view.epoch,
        node=journal.node,
        program=program.program,
        granted=program.spent,
    )
