"""Handlers of events about programs."""

import dataclasses

from .actions import ReleaseSession
from .cache_events import remove_prefix
from .dispatch import Actions, handle_event, update_mean
from .events import PauseEnded, ProgramEnded, ProgramRefused
from .tables import (
    CallRequest,
    PauseStatistics,
    Refusal,
    ScheduledProgram,
    SchedulingTables,
    find_root,
)

# Bounds the table, since some refused programs never retry.
MAX_REFUSALS = 10000


def add_program(
    tables: SchedulingTables,
    call: CallRequest,
    at: float,
) -> None:
    """Add a row for a program that is not in the table yet."""
    program_id = call.program_id
    if program_id in tables.programs_by_id:
        return
    tables.programs_by_id[program_id] = ScheduledProgram(
        program_id=program_id,
        service=call.service,
        model=call.model,
        importance=call.importance,
        started_at=at,
    )
    tables.refusals_by_program.pop(program_id, None)
    root_id = find_root(program_id)
    if root_id == program_id:
        live = tables.live_roots_by_service.get(call.service, 0)
        tables.live_roots_by_service[call.service] = live + 1
    else:
        tables.sub_agents_by_root.setdefault(root_id, set()).add(program_id)


@handle_event.register
def _(event: PauseEnded, tables: SchedulingTables) -> Actions:
    statistics = tables.pause_statistics_by_tool.get(
        event.tool, PauseStatistics()
    )
    mean = update_mean(statistics.mean_seconds, event.seconds, statistics.count)
    deviation = abs(event.seconds - mean)
    tables.pause_statistics_by_tool[event.tool] = PauseStatistics(
        count=statistics.count + 1,
        mean_seconds=mean,
        mean_deviation_seconds=update_mean(
            statistics.mean_deviation_seconds, deviation, statistics.count
        ),
    )
    return ()


@handle_event.register
def _(event: ProgramRefused, tables: SchedulingTables) -> Actions:
    refusals = tables.refusals_by_program
    previous = refusals.get(event.program_id)
    first_refused_at = (
        event.at if previous is None else previous.first_refused_at
    )
    if previous is None and len(refusals) >= MAX_REFUSALS:
        refusals.pop(next(iter(refusals)))
    # Replacing a row keeps its position, so the table stays in the order of
    # the first refusals.
    refusals[event.program_id] = Refusal(
        service=event.service,
        prompt_tokens=event.prompt_tokens,
        first_refused_at=first_refused_at,
        expected_at=event.at + event.retry_after_seconds,
    )
    return ()


def set_history_tokens(
    tables: SchedulingTables,
    program_id: str,
    tokens: int,
) -> None:
    """Set the length of a program's history and update its service's total."""
    program = tables.programs_by_id.get(program_id)
    if program is None:
        return
    service_tokens = tables.history_tokens_by_service.get(program.service, 0)
    tables.history_tokens_by_service[program.service] = (
        service_tokens + tokens - program.history_tokens
    )
    tables.programs_by_id[program_id] = dataclasses.replace(
        program,
        history_tokens=tokens,
    )


@handle_event.register
def _(event: ProgramEnded, tables: SchedulingTables) -> Actions:
    program_id = event.program_id
    ended = [program_id]
    if find_root(program_id) == program_id:
        sub_agents = tables.sub_agents_by_root.pop(program_id, set())
        ended = [*sorted(sub_agents), program_id]
    actions: list[ReleaseSession] = []
    for ended_id in ended:
        actions.extend(end_program(tables, ended_id))
    return tuple(actions)


def end_program(
    tables: SchedulingTables,
    program_id: str,
) -> list[ReleaseSession]:
    """Remove one program's rows; return actions that release its prefixes."""
    set_history_tokens(tables, program_id, 0)
    program = tables.programs_by_id.pop(program_id, None)
    tables.last_server_id_by_session.pop(program_id, None)
    tables.refusals_by_program.pop(program_id, None)
    siblings = tables.sub_agents_by_root.get(find_root(program_id))
    if siblings is not None:
        siblings.discard(program_id)
    if program is not None and find_root(program_id) == program_id:
        tables.live_roots_by_service[program.service] -= 1
    server_ids = tuple(tables.prefixes_by_session.get(program_id, ()))
    for server_id in server_ids:
        remove_prefix(tables, program_id, server_id)
    return [
        ReleaseSession(backend_server_id=released_id, session=program_id)
        for released_id in server_ids
    ]
