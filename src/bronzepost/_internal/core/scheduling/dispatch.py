"""Dispatch of events; the handlers are in the ``*_events`` modules."""

import functools

from .actions import SchedulingAction
from .events import SchedulingEvent
from .tables import SchedulingTables

Actions = tuple[SchedulingAction, ...]

# Weight of a new observation in a moving mean.
MEAN_WEIGHT = 0.1


def update_mean(mean: float, observed: float, count: int) -> float:
    """Return the moving mean; the first observations count equally."""
    return mean + (observed - mean) * max(MEAN_WEIGHT, 1 / (count + 1))


@functools.singledispatch
def handle_event(event: SchedulingEvent, tables: SchedulingTables) -> Actions:
    """Apply an event to the tables and return the actions it calls for.

    Raises ``TypeError`` for an event that the scheduler does not know.
    """
    raise TypeError(f'scheduler: no handler for {type(event).__name__}')
