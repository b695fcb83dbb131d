"""Common parts of the rules: verdicts, dispatch and program updates."""

import dataclasses
import functools
from typing import Any, Final

from bronzepost._internal.core.ledger import records
from bronzepost._internal.core.ledger.state import PartitionState, ProgramEntry

NOT_LIVE: Final = 'the program is not live'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Whether a record takes effect; ``reason`` says why not."""

    valid: bool
    reason: str = ''


VALID: Final = Verdict(valid=True)


def invalid(reason: str) -> Verdict:
    """Return the verdict that a record has no effect."""
    return Verdict(valid=False, reason=reason)


@functools.singledispatch
def apply_by_kind(
    record: records.Record, state: PartitionState, offset: int
) -> Verdict:
    """Apply a record that is not stale, by the rule for its class."""
    raise NotImplementedError(type(record).__name__)


def update_program(
    state: PartitionState, program: ProgramEntry, **changes: Any
) -> None:
    """Replace a program's entry by a copy with the given values."""
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
    """Check sequence, spending and intent of the program's next finished call.

    Returns None if the call is valid.
    """
    if sequence != program.sequence + 1:
        return invalid(f'call {program.sequence + 1} is next')
    if not program.spent <= spent <= program.granted:
        return invalid('the spending exceeds the allowance')
    # A call cannot finish before an earlier announced one, nor after its own
    # intent was withdrawn.
    open_intent = state.open_intents_by_program.get(program.program, '')
    if open_intent != intent_id:
        return invalid('another call was announced and has no outcome')
    return None
