"""Builders of scheduling rows and events for tests."""

from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.events import (
    BackendServerListed,
    CallSent,
    LoadReported,
)
from bronzepost._internal.core.scheduling.tables import (
    BackendServer,
    CallRequest,
    SchedulingTables,
)

SERVICE = 'pool'
MODEL = 'model-a'
ZONE = 'zone-a'


def build_server(identifier: str, **fields: object) -> BackendServer:
    """Return an idle server with 4 slots; ``fields`` replace the defaults."""
    defaults: dict[str, object] = {
        'service': SERVICE,
        'model': MODEL,
        'availability_zone': ZONE,
        'slots': 4,
        'cache_capacity': 100000,
    }
    return BackendServer(
        backend_server_id=identifier,
        **(defaults | fields),  # type: ignore[arg-type]
    )


def build_tables(*servers: BackendServer) -> SchedulingTables:
    """Return tables with rows for the given servers."""
    tables = SchedulingTables()
    for server in servers:
        apply_event(tables, BackendServerListed(at=0, backend_server=server))
    return tables


def build_call(program_id: str = 'program', **fields: object) -> CallRequest:
    """Return a call of 1,000 prompt tokens; ``fields`` replace the defaults."""
    defaults: dict[str, object] = {
        'service': SERVICE,
        'model': MODEL,
        'availability_zone': ZONE,
        'prompt_tokens': 1000,
        'max_output_tokens': 100,
    }
    return CallRequest(
        program_id=program_id,
        **(defaults | fields),  # type: ignore[arg-type]
    )


def build_report(
    identifier: str,
    *,
    at: float,
    measured_at: float,
    running: int = 0,
    waiting: int = 0,
) -> LoadReported:
    """Return a load report of a server with 4 slots."""
    return LoadReported(
        at=at,
        measured_at=measured_at,
        backend_server_id=identifier,
        running=running,
        waiting=waiting,
        slots=4,
        cache_capacity=100000,
    )


def send_call(
    tables: SchedulingTables,
    call: CallRequest,
    identifier: str,
    *,
    call_id: str,
    at: float,
) -> None:
    """Record a call as sent to the server ``identifier``."""
    apply_event(
        tables,
        CallSent(
            at=at, call_id=call_id, backend_server_id=identifier, call=call
        ),
    )
