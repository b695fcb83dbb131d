"""Dispatch events to the handlers in the ``*_events`` modules."""

import functools

from .actions import SchedulingAction
from .events import SchedulingEvent
from .tables import SchedulingTables

Actions = tuple[SchedulingAction, ...]

# Minimum weight of a new observation in a moving mean.
MIN_OBSERVATION_WEIGHT = 0.1


def update_mean(mean: float, observed: float, count: int) -> float:
    """Return the moving mean with one more observation.

    ``count`` is the number of earlier observations; the first ones have equal
    weights.
    """
    return mean + (observed - mean) * max(
        MIN_OBSERVATION_WEIGHT, 1 / (count + 1)
    )


@functools.singledispatch
def handle_event(event: SchedulingEvent, tables: SchedulingTables) -> Actions:
    """Apply an event to the tables and return the resulting actions.

    Raises ``TypeError`` for an unknown type of event.
    """
    raise TypeError(f'scheduler: no handler for {type(event).__name__}')
