"""Apply records to the state of a partition in log order.

Example::

    state = PartitionState()
    verdict = apply_record(state, 0, claim)
    assert verdict.valid
"""

from bronzepost._internal.core.ledger import (
    call_rules,
    program_rules,
    records,
)
from bronzepost._internal.core.ledger.rule_base import (
    Verdict,
    apply_by_kind,
    invalid,
)
from bronzepost._internal.core.ledger.state import PartitionState

# Importing the modules registers their rules with apply_by_kind.
RULE_MODULES = (call_rules, program_rules)


def apply_record(
    state: PartitionState, offset: int, record: records.Record
) -> Verdict:
    """Apply the record at ``offset`` and return whether it had an effect.

    Every record has to be applied, in the order of the log.
    """
    state.next_offset = offset + 1
    if isinstance(record, records.UnreadableRecord):
        return invalid(record.problem)
    if _is_stale(state, record):
        return invalid(
            f'epoch {record.epoch} is not in force: '
            f'{state.owner or "nobody"} owns epoch {state.epoch}'
        )
    return apply_by_kind(record, state, offset)


def _is_stale(state: PartitionState, record: records.Record) -> bool:
    if isinstance(record, records.Claim | records.Checkpoint):
        return False
    if isinstance(record, records.Outcome) and record.intent_id:
        return False
    if record.epoch != state.epoch or not state.owner:
        return True
    # Nodes that claim at the same time use the same epoch, so the writer has to
    # be compared too: a node whose claim lost must not write in the epoch.
    return record.writer != records.writer_of(state.claim_id)
