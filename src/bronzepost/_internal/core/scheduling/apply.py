"""Apply events to the scheduler's tables."""

from . import cache_events, call_events, program_events, server_events
from .dispatch import Actions, handle_event
from .events import SchedulingEvent
from .tables import SchedulingTables

# Importing a module with event handlers registers them.
HANDLER_MODULES = (cache_events, call_events, program_events, server_events)


def apply_event(tables: SchedulingTables, event: SchedulingEvent) -> Actions:
    """Apply an event to the tables and return the resulting actions.

    Events of unknown calls and backend servers are ignored, since they can
    arrive after ``ProgramEnded`` or ``BackendServerGone``. Raises
    ``TypeError`` for an unknown type of event.
    """
    return handle_event(event, tables)
