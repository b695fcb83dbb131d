"""Retention of the prefixes of paused programs."""

import functools

from .actions import Retention
from .policies import Policy
from .tables import ProgramPause, SchedulingTables


@functools.singledispatch
def retention(
    policy: Policy,
    tables: SchedulingTables,
    pause: ProgramPause,
    at: float,
) -> Retention:
    """Return whether a paused program keeps its cached prefix.

    Ask when the pause begins and every few seconds after that, since a pause
    that goes on says more about its end. The baselines leave the cache to the
    engine.
    """
    return Retention.KEEP
