"""Handlers of events about calls."""

import dataclasses

from .cache_events import record_prefix, remove_prefix
from .dispatch import Actions, handle_event, update_mean
from .events import CallFinished, CallSent
from .program_events import add_program, set_history_tokens
from .server_events import count_own_call
from .speeds import output_seconds, prefill_seconds
from .tables import (
    CallInFlight,
    ScheduledProgram,
    SchedulingTables,
    ServiceStatistics,
    find_root,
)


@handle_event.register
def _(event: CallSent, tables: SchedulingTables) -> Actions:
    call = event.call
    prefixes = tables.prefixes_by_session.get(call.program_id, {})
    prefix = prefixes.get(event.backend_server_id)
    tables.calls_in_flight_by_id[event.call_id] = CallInFlight(
        call=call,
        backend_server_id=event.backend_server_id,
        sent_at=event.at,
        expected_cached_tokens=0 if prefix is None else prefix.tokens,
    )
    add_program(tables, call, event.at)
    change_program_calls(tables, call.program_id, 1)
    count_own_call(
        tables,
        event.backend_server_id,
        event.at,
        change=1,
        tokens=call.prompt_tokens,
    )
    statistics = tables.statistics_by_service.get(
        call.service, ServiceStatistics()
    )
    tables.statistics_by_service[call.service] = dataclasses.replace(
        statistics,
        calls_sent=statistics.calls_sent + 1,
    )
    if call.model:
        set_history_tokens(tables, call.program_id, call.prompt_tokens)
        record_prefix(
            tables,
            call.program_id,
            event.backend_server_id,
            tokens=call.prompt_tokens,
            at=event.at,
        )
        # Only model engines cache a prefix, so only their calls gain from
        # returning to the same server.
        tables.last_server_id_by_session[call.program_id] = (
            event.backend_server_id
        )
    return ()


def change_program_calls(
    tables: SchedulingTables,
    program_id: str,
    change: int,
) -> None:
    """Change the number of calls in flight of one program."""
    program = tables.programs_by_id.get(program_id)
    if program is not None:
        tables.programs_by_id[program_id] = dataclasses.replace(
            program,
            calls_in_flight=program.calls_in_flight + change,
        )


@handle_event.register
def _(event: CallFinished, tables: SchedulingTables) -> Actions:
    call_in_flight = tables.calls_in_flight_by_id.pop(event.call_id, None)
    if call_in_flight is None:
        return ()
    call = call_in_flight.call
    count_own_call(
        tables,
        call_in_flight.backend_server_id,
        event.at,
        change=-1,
        tokens=call.prompt_tokens,
    )
    change_program_calls(tables, call.program_id, -1)
    if event.is_failed:
        remove_prefix(tables, call.program_id, call_in_flight.backend_server_id)
        return ()
    statistics = tables.statistics_by_service[call.service]
    tables.statistics_by_service[call.service] = dataclasses.replace(
        statistics,
        calls_finished=statistics.calls_finished + 1,
        mean_call_seconds=update_mean(
            statistics.mean_call_seconds,
            event.at - call_in_flight.sent_at,
            statistics.calls_finished,
        ),
        mean_output_tokens=update_mean(
            statistics.mean_output_tokens,
            event.output_tokens,
            statistics.calls_finished,
        ),
    )
    if call.program_id in tables.programs_by_id:
        record_call_result(tables, call_in_flight, event)
    return ()


def record_call_result(
    tables: SchedulingTables,
    call_in_flight: CallInFlight,
    event: CallFinished,
) -> None:
    """Update the program tree and the cached prefix after a call."""
    call = call_in_flight.call
    cached_tokens = event.cached_tokens
    if cached_tokens is None:
        cached_tokens = call_in_flight.expected_cached_tokens
    history_tokens = call.prompt_tokens + event.output_tokens
    root_id = find_root(call.program_id)
    root = tables.programs_by_id.get(root_id)
    if root is not None:
        tables.programs_by_id[root_id] = add_attained_service(
            root,
            max(call.prompt_tokens - cached_tokens, 0),
            event.output_tokens,
        )
    if call.model:
        set_history_tokens(tables, call.program_id, history_tokens)
        record_prefix(
            tables,
            call.program_id,
            call_in_flight.backend_server_id,
            tokens=history_tokens,
            at=event.at,
        )


def add_attained_service(
    root: ScheduledProgram,
    prefill_tokens: int,
    output_tokens: int,
) -> ScheduledProgram:
    """Return the root program's row with the service of one call added."""
    seconds = prefill_seconds(prefill_tokens) + output_seconds(output_tokens)
    return dataclasses.replace(
        root,
        attained_tokens=root.attained_tokens + prefill_tokens + output_tokens,
        attained_seconds=root.attained_seconds + seconds,
    )
