"""Encode spans as OTLP protobuf with the OpenTelemetry SDK.

Only this module imports the SDK, and it is imported only if a trace endpoint
is set: the SDK takes about as long to import as the rest of the node.
"""

from collections.abc import Sequence

from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from opentelemetry.trace import SpanContext, TraceFlags
from opentelemetry.trace.status import Status, StatusCode

from bronzepost._internal.telemetry.spans import FinishedSpan

SERVICE_NAME = 'bronzepost'

_HEX_BASE = 16


def encode_batch(batch: Sequence[FinishedSpan], node: str) -> bytes:
    """Return the body of one OTLP export request."""
    resource = Resource({
        'service.name': SERVICE_NAME,
        'service.instance.id': node,
    })
    spans = [_convert_span(span, resource) for span in batch]
    body: bytes = encode_spans(spans).SerializeToString()
    return body


def _convert_span(span: FinishedSpan, resource: Resource) -> ReadableSpan:
    status = Status(StatusCode.UNSET)
    if span.error:
        status = Status(StatusCode.ERROR, span.error)
    parent = None
    if span.parent_span_id:
        parent = _make_context(span, span.parent_span_id)
    return ReadableSpan(
        name=span.name,
        context=_make_context(span, span.context.span_id),
        parent=parent,
        resource=resource,
        attributes=span.attributes,
        status=status,
        start_time=span.started_at,
        end_time=span.ended_at,
        instrumentation_scope=InstrumentationScope(SERVICE_NAME),
    )


def _make_context(span: FinishedSpan, span_id: str) -> SpanContext:
    return SpanContext(
        trace_id=int(span.context.trace_id, _HEX_BASE),
        span_id=int(span_id, _HEX_BASE),
        is_remote=False,
        trace_flags=TraceFlags(TraceFlags.SAMPLED),
    )
