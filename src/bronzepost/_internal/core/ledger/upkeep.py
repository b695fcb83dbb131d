"""Periodic decisions about the programs of an owned partition."""

import dataclasses
from collections.abc import Callable, Collection
from typing import Final

from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ledger.state import PartitionState, ProgramEntry

# Histories are repeated when they are in the older half of what the log
# keeps, which leaves as much time again for the new records to be written.
_KEPT_SHARE: Final = 0.5

TURN_LIMIT_REASON: Final = 'turn limit reached'
IDLE_REASON: Final = 'no call for too long'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramLimits:
    """Bounds of one program; ``idle_seconds`` is the time without a call."""

    turn_limit: int
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Activity:
    """The last call of a program that was seen, and when."""

    sequence: int
    at: float


FindLimits = Callable[[ProgramEntry], ProgramLimits]


def list_aging_histories(journal: Journal) -> list[ProgramEntry]:
    """Return live programs whose history is about to leave the log."""
    first = journal.first_kept_offset
    if not first:
        return []
    kept = journal.state.next_offset - first
    due_before = first + kept * _KEPT_SHARE
    return [
        program
        for program in journal.state.programs_by_id.values()
        if not program.ended
        and program.history_offsets
        and program.history_offsets[0] < due_before
    ]


def prune_ended(journal: Journal) -> int:
    """Forget programs whose end has left the log; return how many.

    A copy of an old record could bring a program back that was forgotten
    earlier. The log no longer has such a copy, and an append that is still
    under way is refused by its epoch or its program's end.
    """
    ended = [
        program.program
        for program in journal.state.programs_by_id.values()
        if program.ended and program.ended_offset < journal.first_kept_offset
    ]
    for program in ended:
        _forget(journal.state, program)
        if journal.view is not journal.state:
            _forget(journal.view, program)
    return len(ended)


def find_ends(
    journal: Journal,
    activity_by_program: dict[str, Activity],
    *,
    at: float,
    running: Collection[str],
    find_limits: FindLimits,
) -> dict[str, str]:
    """Return the root programs that have to end, with the reason for each.

    A call of a sub-agent counts as activity of its whole tree.
    """
    live = []
    for program in journal.view.programs_by_id.values():
        if program.ended:
            activity_by_program.pop(program.program, None)
            continue
        live.append(program)
        _note_activity(program, activity_by_program, at, running)
    reasons = dict.fromkeys(
        _list_idle(live, activity_by_program, at, find_limits), IDLE_REASON
    )
    for limited in live:
        if limited.sequence >= find_limits(limited).turn_limit:
            reasons[limited.program] = TURN_LIMIT_REASON
    return {
        name: reason for name, reason in reasons.items() if name not in running
    }


def _list_idle(
    live: list[ProgramEntry],
    activity_by_program: dict[str, Activity],
    at: float,
    find_limits: FindLimits,
) -> list[str]:
    """Return the roots of the trees in which no call was made for too long."""
    last_by_root: dict[str, float] = {}
    for program in live:
        root = program.program.partition('.')[0]
        seen_at = activity_by_program[program.program].at
        last_by_root[root] = max(seen_at, last_by_root.get(root, 0))
    return [
        entry.program
        for entry in live
        if entry.program in last_by_root
        and at - last_by_root[entry.program] >= find_limits(entry).idle_seconds
    ]


def _note_activity(
    program: ProgramEntry,
    activity_by_program: dict[str, Activity],
    at: float,
    running: Collection[str],
) -> None:
    known = activity_by_program.get(program.program)
    is_active = program.program in running
    if known is None or is_active or known.sequence != program.sequence:
        activity_by_program[program.program] = Activity(
            sequence=program.sequence, at=at
        )


def _forget(state: PartitionState, program: str) -> None:
    state.programs_by_id.pop(program, None)
    calls = [call for call in state.outcomes_by_call if call[0] == program]
    for finished in calls:
        state.outcomes_by_call.pop(finished)
