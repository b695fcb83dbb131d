"""Retention of the prefixes of paused programs."""

import functools

from .actions import Retention
from .policies import Policy
from .tables import SchedulingTables


@functools.singledispatch
def retention(
    policy: Policy,
    tables: SchedulingTables,
    session: str,
    tool: str,
    at: float,
) -> Retention:
    """Return whether a program that pauses for ``tool`` keeps its prefix.

    The baselines leave the cache to the engine.
    """
    return Retention.KEEP
