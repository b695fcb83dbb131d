"""Application of events to the scheduler's tables."""

from . import cache_events, call_events, program_events, server_events
from .dispatch import Actions, handle_event
from .events import SchedulingEvent
from .tables import SchedulingTables

# Importing a module of handlers registers them.
HANDLER_MODULES = (cache_events, call_events, program_events, server_events)


def apply_event(tables: SchedulingTables, event: SchedulingEvent) -> Actions:
    """Apply an event to the tables and return the actions it calls for.

    Events of calls and backend servers that are not known are ignored, since
    they can arrive after ``ProgramEnded`` or ``BackendServerGone``. Raises
    ``TypeError`` for an event that the scheduler does not know.
    """
    return handle_event(event, tables)
