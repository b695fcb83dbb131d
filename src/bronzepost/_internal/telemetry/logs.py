"""Write log events as JSON lines, or as text for a console."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import msgspec
import structlog

from bronzepost._internal.exceptions import BronzepostError
from bronzepost._internal.telemetry.events import Level, LogEvent

CONSOLE_FORMAT = 'console'

_EventFields = structlog.typing.EventDict


def configure_logs(
    *,
    log_format: str = 'json',
    node: str = '',
    level: Level = Level.INFO,
    stream: TextIO | None = None,
) -> None:
    """Send log lines to ``stream``, which is standard error by default.

    ``node`` is added to every line. Standard output is for the output of
    commands.
    """
    renderer: structlog.typing.Processor = _render_json
    if log_format == CONSOLE_FORMAT:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso', key='at'),
            structlog.processors.add_log_level,
            _NodeField(node),
            _format_errors,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level.value),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def emit(event: LogEvent, **fields: Any) -> None:
    """Log an event with additional fields.

    A ``BronzepostError`` as a field value is logged as its message, with its
    step and peer as fields of the line.
    Example: ``emit(LogEvent.MEMBER_DEAD, member='hall-b-2')``.
    """
    logger = structlog.get_logger()
    log = getattr(logger, event.level.value)
    log(event.event_name, number=event.number, **fields)


class _NodeField:
    """Add the name of the node to every line.

    This is a processor rather than a context variable, because each greenlet
    has its own context, in which the variable would not be set.
    """

    def __init__(self, node: str) -> None:
        self._node = node

    def __call__(
        self, _logger: Any, _method: str, fields: _EventFields
    ) -> _EventFields:
        if self._node:
            fields.setdefault('node', self._node)
        return fields


def _format_errors(
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
