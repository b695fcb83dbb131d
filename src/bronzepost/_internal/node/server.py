"""Run a node in this process until a signal stops it."""

import signal
from collections.abc import Callable
from typing import Final

import gevent

from bronzepost._internal.exceptions import SettingsError, SettingsErrorGroup
from bronzepost._internal.node.node import Node
from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit
from bronzepost._internal.telemetry.start import start_telemetry

ReadSettings = Callable[[], Settings]

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def serve(settings: Settings, read_settings: ReadSettings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code.

    SIGHUP reads the settings again and replaces the keys by those in them.
    """
    telemetry = start_telemetry(settings)
    emit(
        LogEvent.SETTINGS_LOADED,
        availability_zone=settings.node.availability_zone,
    )
    node = Node(settings=settings, telemetry=telemetry)
    for signal_number in _STOP_SIGNALS:
        gevent.signal_handler(signal_number, _stop, node, signal_number)
    gevent.signal_handler(signal.SIGHUP, _replace_keys, node, read_settings)
    try:
        node.start()
    except (OSError, SettingsError) as error:
        emit(LogEvent.LISTEN_FAILED, error=error)
        return 1
    node.run()
    telemetry.close()
    return 0


def _replace_keys(node: Node, read_settings: ReadSettings) -> None:
    try:
        settings = read_settings()
    except SettingsErrorGroup as group:
        emit(LogEvent.KEYS_REFUSED, problems=list(map(str, group.exceptions)))
    else:
        node.replace_keys(settings)


def _stop(node: Node, signal_number: int) -> None:
    emit(LogEvent.SIGNAL_RECEIVED, signal=signal.Signals(signal_number).name)
    node.request_drain()
