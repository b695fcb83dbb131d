"""Handlers of events about cached prefixes."""

from .dispatch import Actions, handle_event
from .events import CacheEventKind, CacheEventSeen, SessionReleased
from .tables import CachedPrefix, SchedulingTables


def believe_prefix(
    tables: SchedulingTables,
    session: str,
    backend_server_id: str,
    *,
    tokens: int,
    at: float,
) -> None:
    """Record that a server holds the first ``tokens`` of a session."""
    if backend_server_id not in tables.backend_servers_by_id:
        return
    prefixes = tables.prefixes_by_session.setdefault(session, {})
    prefixes[backend_server_id] = CachedPrefix(tokens=tokens, used_at=at)


def forget_prefix(
    tables: SchedulingTables,
    session: str,
    backend_server_id: str,
) -> None:
    """Remove a belief; the session keeps its other servers."""
    prefixes = tables.prefixes_by_session.get(session)
    if prefixes is None:
        return
    prefixes.pop(backend_server_id, None)
    if not prefixes:
        tables.prefixes_by_session.pop(session)


@handle_event.register
def _(event: CacheEventSeen, tables: SchedulingTables) -> Actions:
    # Own calls already tell what was filled and used. An eviction is news.
    if event.kind is not CacheEventKind.EVICTED:
        return ()
    prefixes = tables.prefixes_by_session.get(event.session, {})
    prefix = prefixes.get(event.backend_server_id)
    if prefix is None:
        return ()
    left = prefix.tokens - event.tokens
    if left <= 0:
        forget_prefix(tables, event.session, event.backend_server_id)
    else:
        prefixes[event.backend_server_id] = CachedPrefix(
            tokens=left,
            used_at=prefix.used_at,
        )
    return ()


@handle_event.register
def _(event: SessionReleased, tables: SchedulingTables) -> Actions:
    forget_prefix(tables, event.session, event.backend_server_id)
    return ()
