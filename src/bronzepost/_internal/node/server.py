"""Run a node as a process."""

import signal
from typing import Final

import gevent

from bronzepost._internal.exceptions import SettingsError
from bronzepost._internal.node.node import Node
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.start import start_telemetry

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def serve(settings: Settings) -> int:
    """Serve until a signal asks to stop; return the exit code."""
    telemetry = start_telemetry(settings)
    node = Node(settings=settings, telemetry=telemetry)
    for number in _STOP_SIGNALS:
        gevent.signal_handler(number, _stop, node, number)
    try:
        node.start()
    except (OSError, SettingsError) as error:
        emit(LogEvent.LISTEN_FAILED, error=error)
        return 1
    node.run()
    telemetry.close()
    return 0


def _stop(node: Node, number: int) -> None:
    emit(LogEvent.SIGNAL_RECEIVED, signal=signal.Signals(number).name)
    node.drain()
