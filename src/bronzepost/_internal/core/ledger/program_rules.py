"""Rules for the records of ownership, programs and budgets."""

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.rule_base import (
    NOT_LIVE,
    VALID,
    Verdict,
    apply_by_kind,
    invalid,
    update_program,
)
from bronzepost._internal.core.ledger.state import PartitionState, ProgramEntry


@apply_by_kind.register
def _(record: records.Claim, state: PartitionState, offset: int) -> Verdict:
    if record.epoch != state.epoch + 1:
        return invalid(f'claim of epoch {record.epoch} after {state.epoch}')
    state.epoch = record.epoch
    state.owner = record.node
    state.claim_id = record.record_id
    # The previous owner may have spent its whole allowance without a record, or
    # may still do so, so all of it counts as spent.
    for program in list(state.programs_by_id.values()):
        _forfeit_allowance(state, program)
    return VALID


@apply_by_kind.register
def _(
    record: records.PartitionReleased, state: PartitionState, offset: int
) -> Verdict:
    state.owner = ''
    return VALID


@apply_by_kind.register
def _(
    record: records.ProgramStarted, state: PartitionState, offset: int
) -> Verdict:
    if record.program in state.programs_by_id:
        return invalid('the program exists')
    if record.granted > record.budget:
        return invalid('the first allowance exceeds the budget')
    if record.parent:
        parent = state.find_live_program(record.parent)
        if parent is None:
            return invalid('the parent program is not live')
        if record.budget > parent.ungranted:
            return invalid('the budget exceeds what the parent has left')
        update_program(state, parent, carved=parent.carved + record.budget)
    state.programs_by_id[record.program] = ProgramEntry(
        program=record.program,
        organisation=record.organisation,
        service=record.service,
        budget=record.budget,
        granted=record.granted,
        importance=record.importance,
        parent=record.parent,
    )
    return VALID


@apply_by_kind.register
def _(
    record: records.AllowanceGranted, state: PartitionState, offset: int
) -> Verdict:
    program = state.find_live_program(record.program)
    if program is None:
        return invalid(NOT_LIVE)
    if not program.granted < record.granted <= program.budget - program.carved:
        return invalid('the grant exceeds the budget or is not new')
    update_program(state, program, granted=record.granted)
    return VALID


@apply_by_kind.register
def _(
    record: records.AllowanceReleased, state: PartitionState, offset: int
) -> Verdict:
    program = state.find_live_program(record.program)
    if program is None:
        return invalid(NOT_LIVE)
    if not program.spent <= record.granted < program.granted:
        return invalid('the release is below what was spent or not new')
    # After a new grant, a late copy of an older release would return units that
    # the owner has reserved for a call.
    if record.record_id in program.release_ids:
        return invalid('the release had its effect before')
    update_program(
        state,
        program,
        granted=record.granted,
        release_ids=(*program.release_ids, record.record_id),
    )
    return VALID


@apply_by_kind.register
def _(
    record: records.HistorySnapshot, state: PartitionState, offset: int
) -> Verdict:
    program = state.find_live_program(record.program)
    if program is None or program.digest != record.digest:
        return invalid('the program has ended or moved on')
    update_program(state, program, history_offsets=(offset,))
    return VALID


@apply_by_kind.register
def _(
    record: records.ProgramEnded, state: PartitionState, offset: int
) -> Verdict:
    if state.find_live_program(record.program) is None:
        return invalid(NOT_LIVE)
    tree = _list_live_tree(state, record.program)
    # Descendants end first, so that each returns its rest to its parent.
    for program in sorted(tree, key=_count_ancestors, reverse=True):
        _end_program(
            state, state.programs_by_id[program], record.reason, offset
        )
    return VALID


@apply_by_kind.register
def _(
    record: records.Checkpoint, state: PartitionState, offset: int
) -> Verdict:
    return VALID


def _count_ancestors(program: str) -> int:
    return program.count('.')


def _list_live_tree(state: PartitionState, program: str) -> list[str]:
    prefix = f'{program}.'
    return [
        entry.program
        for entry in state.programs_by_id.values()
        if not entry.ended
        and (entry.program == program or entry.program.startswith(prefix))
    ]


def _end_program(
    state: PartitionState, program: ProgramEntry, reason: str, offset: int
) -> None:
    # A call in flight may still spend the allowance, so it counts as spent.
    update_program(
        state,
        program,
        ended=reason,
        ended_offset=offset,
        spent=program.granted,
    )
    parent = state.programs_by_id.get(program.parent)
    if parent is None:
        return
    # The parent pays what the sub-agent spent and regains the rest.
    used = program.granted + program.carved
    update_program(
        state,
        parent,
        carved=parent.carved - program.budget,
        granted=parent.granted + used,
        spent=parent.spent + used,
    )


@apply_by_kind.register
def _(
    record: records.AllowanceForfeited, state: PartitionState, offset: int
) -> Verdict:
    program = state.find_live_program(record.program)
    if program is None:
        return invalid(NOT_LIVE)
    _forfeit_allowance(state, program)
    return VALID


def _forfeit_allowance(state: PartitionState, program: ProgramEntry) -> None:
    if program.allowance or program.release_ids:
        update_program(
            state,
            program,
            spent=program.granted,
            forfeited=program.forfeited + program.allowance,
            release_ids=(),
        )
