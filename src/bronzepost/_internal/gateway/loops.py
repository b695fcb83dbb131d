"""Work that a process repeats until it ends."""

from collections.abc import Callable
from typing import Any

import gevent

from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


def start_loop(step: Callable[[], None], seconds: float) -> Any:
    """Start a greenlet that calls ``step`` again and again, and return it.

    It pauses for ``seconds`` after each call. An unexpected error is logged
    and does not end the work.
    """
    return gevent.spawn(_repeat, step, seconds)


def _repeat(step: Callable[[], None], seconds: float) -> None:
    while True:  # noqa: WPS457 - ends with the process
        try:
            step()
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.GREENLET_FAILED, error=error, step=step.__qualname__)
        gevent.sleep(seconds)


def start_once(task: Callable[[], object]) -> Any:
    """Start a greenlet for one task and return it; gevent logs its errors."""
    return gevent.spawn(task)
