"""Spans of the hops of a call, and their W3C trace context.

The header format is that of W3C Trace Context, level 1, section 3.2.
"""

from __future__ import annotations

import dataclasses
import re
import secrets
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
SAMPLED_FLAG = 1

_HEX_BASE = 16
_FORBIDDEN_VERSION = 'ff'
_KNOWN_VERSION = '00'
_TRACEPARENT = re.compile(
    '(?P<version>[0-9a-f]{2})-(?P<trace_id>[0-9a-f]{32})'
    '-(?P<span_id>[0-9a-f]{16})-(?P<flags>[0-9a-f]{2})(?P<rest>-.*)?'
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TraceContext:
    """A span's trace id and span id, in lower-case hex."""

    trace_id: str
    span_id: str
    sampled: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FinishedSpan:
    """A span that has ended; times are in nanoseconds since 1970."""

    name: str
    context: TraceContext
    parent_span_id: str
    started_at: int
    ended_at: int
    error: str
    attributes: dict[str, str]


class SpanSink(Protocol):
    """Interface for storing or exporting finished spans."""

    def add(self, span: FinishedSpan) -> None:
        """Accept a span without blocking."""


class NoSpans:
    """Drop every span; used without a trace endpoint."""

    def add(self, span: FinishedSpan) -> None:
        """Do nothing."""


def parse_traceparent(header: str) -> TraceContext | None:
    """Return the context of a ``traceparent`` header, or None if invalid.

    The standard requires that an invalid header is ignored and a new trace is
    started, so this raises no error.
    """
    match = _TRACEPARENT.fullmatch(header.strip())
    if match is None or match['version'] == _FORBIDDEN_VERSION:
        return None
    if match['rest'] and match['version'] == _KNOWN_VERSION:
        return None
    if not (
        int(match['trace_id'], _HEX_BASE) and int(match['span_id'], _HEX_BASE)
    ):
        return None
    return TraceContext(
        trace_id=match['trace_id'],
        span_id=match['span_id'],
        sampled=bool(int(match['flags'], _HEX_BASE) & SAMPLED_FLAG),
    )


def format_traceparent(context: TraceContext) -> str:
    """Return the ``traceparent`` header for the next hop."""
    flags = SAMPLED_FLAG if context.sampled else 0
    return f'00-{context.trace_id}-{context.span_id}-{flags:02x}'


def create_context(parent: TraceContext | None) -> TraceContext:
    """Return the context of a new span, in a new trace without a parent."""
    if parent is None:
        trace_id = secrets.token_hex(TRACE_ID_BYTES)
        sampled = True
    else:
        trace_id = parent.trace_id
        sampled = parent.sampled
    return TraceContext(
        trace_id=trace_id,
        span_id=secrets.token_hex(SPAN_ID_BYTES),
        sampled=sampled,
    )


class Span:
    """A span that starts when it is created."""

    def __init__(
        self, *, name: str, parent: TraceContext | None, sink: SpanSink
    ) -> None:
        """Start the span; it goes to ``sink`` when it ends."""
        self.name = name
        self.context = create_context(parent)
        self.attributes: dict[str, str] = {}
        self._parent_span_id = parent.span_id if parent else ''
        self._started_at = time.time_ns()
        self._sink: SpanSink | None = sink

    @property
    def traceparent(self) -> str:
        """Return the header that makes a span of the next hop its child."""
        return format_traceparent(self.context)

    def end(self, *, error: str = '') -> None:
        """End the span; later calls have no effect."""
        sink = self._sink
        self._sink = None
        if sink is None or not self.context.sampled:
            return
        sink.add(
            FinishedSpan(
                name=self.name,
                context=self.context,
                parent_span_id=self._parent_span_id,
                started_at=self._started_at,
                ended_at=time.time_ns(),
                error=error,
                attributes=self.attributes,
            )
        )


class Tracer:
    """Create the spans of a node."""

    def __init__(self, *, sink: SpanSink) -> None:
        """Send finished spans to ``sink``."""
        self._sink = sink

    def start_span(self, name: str, parent: TraceContext | None = None) -> Span:
        """Return a started span; the caller must end it."""
        return Span(name=name, parent=parent, sink=self._sink)

    @contextmanager
    def record_span(
        self, name: str, parent: TraceContext | None = None
    ) -> Iterator[Span]:
        """Return a context manager whose block is recorded as a span.

        An exception is recorded as the error of the span and raised again.
        """
        span = self.start_span(name, parent)
        try:
            yield span
        except BaseException as error:
            span.end(error=f'{type(error).__name__}: {error}')
            raise
        finally:
            span.end()
