"""Write log events as lines of JSON, or as text for a console."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import msgspec
import structlog

from bronzepost._internal.exceptions import BronzepostError
from bronzepost._internal.telemetry.events import Level, LogEvent

CONSOLE = 'console'

_EventFields = structlog.typing.EventDict


def configure_logs(
    *,
    log_format: str = 'json',
    node: str = '',
    level: Level = Level.INFO,
    stream: TextIO | None = None,
) -> None:
    """Send log lines to ``stream``, which is standard error by default.

    ``node`` is added to every line. Standard output stays free for what
    commands print.
    """
    renderer: structlog.typing.Processor = _render_json
    if log_format == CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso', key='at'),
            structlog.processors.add_log_level,
            _NodeField(node),
            _write_errors,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level.value),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def emit(event: LogEvent, **fields: Any) -> None:
    """Log an event with fields of its own.

    An error as a field value is written as its message, its step and its
    peer. Example: ``emit(LogEvent.MEMBER_DEAD, member='hall-b-2')``.
    """
    logger = structlog.get_logger()
    write = getattr(logger, event.level.value)
    write(event.event_name, number=event.number, **fields)


class _NodeField:
    """Add the name of the node to every line.

    This is a processor and not a context variable, because each greenlet has
    a context of its own, which would lack the variable.
    """

    def __init__(self, node: str) -> None:
        self._node = node

    def __call__(
        self, _logger: Any, _method: str, fields: _EventFields
    ) -> _EventFields:
        if self._node:
            fields.setdefault('node', self._node)
        return fields


def _write_errors(
    _logger: Any, _method: str, fields: _EventFields
) -> _EventFields:
    for name, entry in tuple(fields.items()):
        if isinstance(entry, BronzepostError):
            fields[name] = entry.message
            fields.setdefault('step', entry.step)
            fields.setdefault('peer', entry.peer)
        elif isinstance(entry, BaseException):
            fields[name] = f'{type(entry).__name__}: {entry}'
    return fields


def _render_json(_logger: Any, _method: str, fields: _EventFields) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()
