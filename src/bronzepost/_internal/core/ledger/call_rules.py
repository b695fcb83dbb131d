"""Rules for the records of calls: turns, intents and outcomes."""

import dataclasses
from typing import Final, TypeGuard

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.rule_base import (
    NOT_LIVE,
    VALID,
    Verdict,
    apply_by_kind,
    check_progress,
    invalid,
    update_program,
)
from bronzepost._internal.core.ledger.state import (
    IntentEntry,
    OutcomeEntry,
    PartitionState,
    ProgramEntry,
)

_NO_INTENT: Final = 'no such intent without an outcome'


@apply_by_kind.register
def _(
    record: records.TurnCompleted, state: PartitionState, offset: int
) -> Verdict:
    program = state.find_live_program(record.program)
    if program is None:
        return invalid(NOT_LIVE)
    refusal = check_progress(
        state,
        program,
        sequence=record.sequence,
        spent=record.spent,
        intent_id=record.intent_id,
    )
    if refusal is not None:
        return refusal
    _close_intent(state, record.intent_id, settled=True)
    update_program(
        state,
        program,
        sequence=record.sequence,
        digest=record.digest,
        message_count=record.message_count,
        spent=record.spent,
        last_key=record.key,
        history_offsets=(*program.history_offsets, offset),
    )
    return VALID


@apply_by_kind.register
def _(record: records.Intent, state: PartitionState, offset: int) -> Verdict:
    program = state.find_live_program(record.program)
    if program is None:
        return invalid(NOT_LIVE)
    if record.sequence != program.sequence + 1:
        return invalid(f'call {program.sequence + 1} is next')
    if state.find_open_intent(record.program) is not None:
        return invalid('another call was announced and has no outcome')
    if record.record_id in state.intents_by_id:
        return invalid('the intent exists')
    state.add_intent(
        IntentEntry(
            intent_id=record.record_id,
            program=record.program,
            sequence=record.sequence,
            key=record.key,
            epoch=record.epoch,
        )
    )
    state.open_intents_by_program[record.program] = record.record_id
    return VALID


@apply_by_kind.register
def _(
    record: records.IntentWithdrawn, state: PartitionState, offset: int
) -> Verdict:
    intent = state.intents_by_id.get(record.intent_id)
    # Only the owner that wrote the intent knows that the call was not sent.
    is_open = _is_open(intent) and _matches_call(intent, record)
    if not is_open or intent is None or intent.epoch != record.epoch:
        return invalid(_NO_INTENT)
    _close_intent(state, record.intent_id, withdrawn=True)
    return VALID


@apply_by_kind.register
def _(
    record: records.CallAbandoned, state: PartitionState, offset: int
) -> Verdict:
    intent = state.intents_by_id.get(record.intent_id)
    program = state.find_live_program(record.program)
    if not _is_open(intent) or program is None:
        return invalid(_NO_INTENT)
    if not _matches_call(intent, record):
        return invalid(_NO_INTENT)
    refusal = check_progress(
        state,
        program,
        sequence=record.sequence,
        spent=record.spent,
        intent_id=record.intent_id,
    )
    if refusal is not None:
        return refusal
    _close_intent(state, record.intent_id, abandoned=True)
    update_program(
        state,
        program,
        sequence=record.sequence,
        spent=record.spent,
        last_key=intent.key,
    )
    return VALID


@apply_by_kind.register
def _(record: records.Outcome, state: PartitionState, offset: int) -> Verdict:
    program = state.programs_by_id.get(record.program)
    if program is None:
        return invalid('the program is unknown')
    intent = state.intents_by_id.get(record.intent_id)
    refusal = _check_outcome(record, program, intent)
    if refusal is None and not (intent and intent.abandoned):
        refusal = _advance_program(state, record, program)
    if refusal is not None:
        return refusal
    _close_intent(state, record.intent_id, settled=True)
    _store_outcome(state, offset, record)
    return VALID


def _check_outcome(
    record: records.Outcome,
    program: ProgramEntry,
    intent: IntentEntry | None,
) -> Verdict | None:
    if record.intent_id:
        if intent is None or intent.settled or intent.withdrawn:
            return invalid(_NO_INTENT)
        if not _matches_call(intent, record):
            return invalid(_NO_INTENT)
    elif program.ended:
        return invalid(NOT_LIVE)
    return None


def _advance_program(
    state: PartitionState, record: records.Outcome, program: ProgramEntry
) -> Verdict | None:
    # The claim already counted the previous owner's allowance as spent.
    is_current = record.epoch == state.epoch and not program.ended
    spent = record.spent if is_current else program.spent
    refusal = check_progress(
        state,
        program,
        sequence=record.sequence,
        spent=spent,
        intent_id=record.intent_id,
    )
    if refusal is None:
        update_program(state, program, sequence=record.sequence, spent=spent)
    return refusal


def _is_open(intent: IntentEntry | None) -> TypeGuard[IntentEntry]:
    return intent is not None and not (
        intent.withdrawn or intent.abandoned or intent.settled
    )


def _matches_call(
    intent: IntentEntry,
    record: records.IntentWithdrawn | records.CallAbandoned | records.Outcome,
) -> bool:
    return (intent.program, intent.sequence) == (
        record.program,
        record.sequence,
    )


def _close_intent(
    state: PartitionState,
    intent_id: str,
    *,
    withdrawn: bool = False,
    abandoned: bool = False,
    settled: bool = False,
) -> None:
    intent = state.intents_by_id.get(intent_id)
    if intent is None:
        return
    state.intents_by_id[intent_id] = dataclasses.replace(
        intent,
        withdrawn=withdrawn or intent.withdrawn,
        abandoned=abandoned or intent.abandoned,
        settled=settled or intent.settled,
    )
    if state.open_intents_by_program.get(intent.program) == intent_id:
        state.open_intents_by_program.pop(intent.program)


def _store_outcome(
    state: PartitionState, offset: int, record: records.Outcome
) -> None:
    state.outcomes_by_call[record.program, record.sequence] = OutcomeEntry(
        program=record.program,
        sequence=record.sequence,
        key=record.key,
        offset=offset,
        status=record.status,
    )
    program = state.programs_by_id[record.program]
    if program.sequence == record.sequence:
        update_program(state, program, last_key=record.key)
