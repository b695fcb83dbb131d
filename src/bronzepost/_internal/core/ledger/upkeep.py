"""Periodic upkeep of an owned partition: histories, limits, old programs."""

import dataclasses
from collections.abc import Callable, Collection
from typing import Final

from bronzepost._internal.core.ledger.journal import Journal
from bronzepost._internal.core.ledger.state import PartitionState, ProgramEntry

# Histories are stored again once they are in the older half of the retained
# records, which leaves half of the retention time for the new records.
_AGING_SHARE: Final = 0.5

TURN_LIMIT_REASON: Final = 'turn limit reached'
IDLE_REASON: Final = 'no call for too long'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgramLimits:
    """Limits of one program; it ends after ``idle_seconds`` without a call."""

    turn_limit: int
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Activity:
    """The last observed call of a program, and the time of observation."""

    sequence: int
    at: float


FindLimits = Callable[[ProgramEntry], ProgramLimits]


def list_aging_histories(journal: Journal) -> list[ProgramEntry]:
    """Return live programs whose history has to be stored again."""
    first = journal.first_retained_offset
    if not first:
        return []
    retained = journal.state.next_offset - first
    due_before = first + retained * _AGING_SHARE
    return [
        program
        for program in journal.state.programs_by_id.values()
        if not program.ended
        and program.history_offsets
        and program.history_offsets[0] < due_before
    ]


def prune_ended_programs(journal: Journal) -> int:
    """Remove programs whose end has left the log; return how many.

    Removing them earlier would let a late copy of an old record start a program
    again. By now the log has no such copy, and a record in flight is
    invalid because of its epoch or the end of its program.
    """
    ended = [
        program.program
        for program in journal.state.programs_by_id.values()
        if program.ended
        and program.ended_offset < journal.first_retained_offset
    ]
    for program in ended:
        _remove_program(journal.state, program)
        if journal.view is not journal.state:
            _remove_program(journal.view, program)
    return len(ended)


def find_programs_to_end(
    journal: Journal,
    activity_by_program: dict[str, Activity],
    *,
    at: float,
    running: Collection[str],
    find_limits: FindLimits,
) -> dict[str, str]:
    """Return the programs that have to end, with the reason for each.

    A call of a sub-agent counts as activity of its whole program tree.
    """
    live = []
    for program in journal.view.programs_by_id.values():
        if program.ended:
            activity_by_program.pop(program.program, None)
            continue
        live.append(program)
        _update_activity(program, activity_by_program, at, running)
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
    """Return the roots of program trees that have been idle for too long."""
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


def _update_activity(
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


def _remove_program(state: PartitionState, program: str) -> None:
    state.programs_by_id.pop(program, None)
    calls = [call for call in state.outcomes_by_call if call[0] == program]
    for finished in calls:
        state.outcomes_by_call.pop(finished)
