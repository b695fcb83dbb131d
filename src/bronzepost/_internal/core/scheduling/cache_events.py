"""Handlers of events about cached prefixes."""

import dataclasses

from .dispatch import Actions, handle_event
from .events import CacheEventKind, CacheEventReceived, SessionReleased
from .tables import CachedPrefix, SchedulingTables


def record_prefix(
    tables: SchedulingTables,
    session: str,
    backend_server_id: str,
    *,
    tokens: int,
    at: float,
) -> None:
    """Record that a server has the first ``tokens`` of a session cached."""
    if backend_server_id not in tables.backend_servers_by_id:
        return
    prefixes = tables.prefixes_by_session.setdefault(session, {})
    previous = prefixes.get(backend_server_id)
    previous_tokens = 0 if previous is None else previous.tokens
    adjust_estimated_tokens(tables, backend_server_id, tokens - previous_tokens)
    prefixes[backend_server_id] = CachedPrefix(tokens=tokens, used_at=at)


def adjust_estimated_tokens(
    tables: SchedulingTables,
    backend_server_id: str,
    change: int,
) -> None:
    """Add ``change`` to the estimated cached tokens of a server."""
    server = tables.backend_servers_by_id.get(backend_server_id)
    if server is not None:
        tables.backend_servers_by_id[backend_server_id] = dataclasses.replace(
            server,
            estimated_cache_tokens=server.estimated_cache_tokens + change,
        )


def remove_prefix(
    tables: SchedulingTables,
    session: str,
    backend_server_id: str,
) -> None:
    """Remove the session's prefix on one server, not on the others."""
    prefixes = tables.prefixes_by_session.get(session)
    if prefixes is None:
        return
    prefix = prefixes.pop(backend_server_id, None)
    if prefix is not None:
        adjust_estimated_tokens(tables, backend_server_id, -prefix.tokens)
    if not prefixes:
        tables.prefixes_by_session.pop(session)


@handle_event.register
def _(event: CacheEventReceived, tables: SchedulingTables) -> Actions:
    # This node records the prefixes of its own calls when they are sent and
    # finished, so only an eviction is new information.
    if event.kind is not CacheEventKind.EVICTED:
        return ()
    prefixes = tables.prefixes_by_session.get(event.session, {})
    prefix = prefixes.get(event.backend_server_id)
    if prefix is None:
        return ()
    remaining_tokens = prefix.tokens - event.tokens
    if remaining_tokens <= 0:
        remove_prefix(tables, event.session, event.backend_server_id)
    else:
        record_prefix(
            tables,
            event.session,
            event.backend_server_id,
            tokens=remaining_tokens,
            at=prefix.used_at,
        )
    return ()


@handle_event.register
def _(event: SessionReleased, tables: SchedulingTables) -> Actions:
    remove_prefix(tables, event.session, event.backend_server_id)
    return ()
