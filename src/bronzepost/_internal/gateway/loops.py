"""Greenlets for periodic work and for single tasks."""

from collections.abc import Callable
from typing import Any

import gevent

from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


def start_loop(step: Callable[[], None], pause_seconds: float) -> Any:
    """Start a greenlet that calls ``step`` repeatedly, and return it.

    It pauses for ``pause_seconds`` after each call. An unexpected error is
    logged and does not end the loop.
    """
    return gevent.spawn(_repeat, step, pause_seconds)


def _repeat(step: Callable[[], None], pause_seconds: float) -> None:
    while True:  # noqa: WPS457 - ends with the process
        try:
            step()
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.GREENLET_FAILED, error=error, step=step.__qualname__)
        gevent.sleep(pause_seconds)


def start_task(task: Callable[[], object]) -> Any:
    """Start a greenlet for one task and return it; gevent logs its errors."""
    return gevent.spawn(task)
