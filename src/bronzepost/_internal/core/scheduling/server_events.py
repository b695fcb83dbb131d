"""Handlers of events about backend servers."""

import collections
import dataclasses

from .dispatch import Actions, handle_event
from .events import (
    BackendServerGone,
    BackendServerLeaving,
    BackendServerListed,
    LoadReported,
)
from .tables import MAX_OWN_CALL_CHANGES, BackendServer, SchedulingTables


@handle_event.register
def _(event: BackendServerListed, tables: SchedulingTables) -> Actions:
    listed = event.backend_server
    known = tables.backend_servers_by_id.get(listed.backend_server_id)
    if known is None:
        add_backend_server(tables, listed)
    elif listed.is_leaving:
        # The flag is only ever set: the list lags, so a later answer may still
        # name a leaving server as live.
        mark_leaving(tables, known)
    return ()


def add_backend_server(
    tables: SchedulingTables,
    server: BackendServer,
) -> None:
    """Add the row of a server that is not in the table yet."""
    server_id = server.backend_server_id
    tables.backend_servers_by_id[server_id] = server
    tables.own_call_changes_by_backend_server[server_id] = collections.deque(
        maxlen=MAX_OWN_CALL_CHANGES,
    )
    tables.backend_server_ids_by_service.setdefault(server.service, []).append(
        server_id,
    )


def mark_leaving(tables: SchedulingTables, server: BackendServer) -> None:
    """Set the leaving flag, which is never cleared."""
    tables.backend_servers_by_id[server.backend_server_id] = (
        dataclasses.replace(server, is_leaving=True)
    )


@handle_event.register
def _(event: BackendServerLeaving, tables: SchedulingTables) -> Actions:
    server = tables.backend_servers_by_id.get(event.backend_server_id)
    if server is not None:
        mark_leaving(tables, server)
    return ()


@handle_event.register
def _(event: BackendServerGone, tables: SchedulingTables) -> Actions:
    server_id = event.backend_server_id
    server = tables.backend_servers_by_id.pop(server_id, None)
    if server is None:
        return ()
    tables.own_call_changes_by_backend_server.pop(server_id)
    tables.backend_server_ids_by_service[server.service].remove(server_id)
    for prefixes in tables.prefixes_by_session.values():
        prefixes.pop(server_id, None)
    return ()


@handle_event.register
def _(event: LoadReported, tables: SchedulingTables) -> Actions:
    server = tables.backend_servers_by_id.get(event.backend_server_id)
    if server is None or event.measured_at < server.reported_at:
        return ()
    changes = tables.own_call_changes_by_backend_server[event.backend_server_id]
    while changes and changes[0][0] <= event.measured_at:
        changes.popleft()
    tables.backend_servers_by_id[event.backend_server_id] = dataclasses.replace(
        server,
        running=event.running,
        waiting=event.waiting,
        slots=event.slots,
        cache_tokens=event.cache_tokens,
        cache_capacity=event.cache_capacity,
        reported_at=event.measured_at,
        is_leaving=server.is_leaving or event.is_leaving,
        own_calls_since_report=sum(change for _, change in changes),
    )
    return ()


def count_own_call(
    tables: SchedulingTables,
    server_id: str,
    at: float,
    *,
    change: int,
    tokens: int,
) -> None:
    """Count one own call sent (``change`` +1) or finished (-1) at a server.

    ``tokens`` is the number of prompt tokens of the call.
    """
    server = tables.backend_servers_by_id.get(server_id)
    if server is None:
        return
    tables.own_call_changes_by_backend_server[server_id].append((at, change))
    tables.backend_servers_by_id[server_id] = dataclasses.replace(
        server,
        own_calls_since_report=server.own_calls_since_report + change,
        own_calls_in_flight=max(server.own_calls_in_flight + change, 0),
        own_prompt_tokens_in_flight=max(
            server.own_prompt_tokens_in_flight + change * tokens, 0
        ),
    )
