"""What all rules of a partition share: verdicts and changes to the tables."""

import dataclasses
import functools
from typing import Any, Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.state import PartitionState, ProgramEntry

NOT_LIVE: Final = 'the program is not live'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Whether a record had an effect, and if not, why."""

    valid: bool
    reason: str = ''


VALID: Final = Verdict(valid=True)


def invalid(reason: str) -> Verdict:
    """Return the verdict that a record has no effect."""
    return Verdict(valid=False, reason=reason)


@functools.singledispatch
def apply_kind(
    record: records.Record, state: PartitionState, offset: int
) -> Verdict:
    """Apply a record whose epoch is in force; one function a kind."""
    raise NotImplementedError(type(record).__name__)


def update_program(
    state: PartitionState, program: ProgramEntry, **changes: Any
) -> None:
    """Replace a program's entry by one with other values."""
    state.programs_by_id[program.program] = dataclasses.replace(
        program, **changes
    )


def check_progress(
    state: PartitionState,
    program: ProgramEntry,
    *,
    sequence: int,
    spent: int,
    intent_id: str = '',
) -> Verdict | None:
    """Return why a finished call cannot be the program's next, if so."""
    if sequence != program.sequence + 1:
        return invalid(f'call {program.sequence + 1} is next')
    if not program.spent <= spent <= program.granted:
        return invalid('the spending exceeds the allowance')
    # A call without an intent can't pass one that was announced, and no call
    # can finish whose intent was withdrawn.
    open_intent = state.open_intents_by_program.get(program.program, '')
    if open_intent != intent_id:
        return invalid('another call was announced and has no outcome')
    return None
