"""Start the telemetry of a node from its settings."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.logs import configure_logs
from bronzepost._internal.telemetry.metrics import Metrics, open_metrics
from bronzepost._internal.telemetry.spans import NoSpans, Tracer


def _do_nothing() -> None:
    """Close nothing: spans are off."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Telemetry:
    """Metrics and spans of a node; log events go through ``emit``."""

    metrics: Metrics
    tracer: Tracer
    close: Callable[[], None] = _do_nothing


def start_telemetry(settings: Settings) -> Telemetry:
    """Configure the logs and return metrics and spans, each off or on.

    The caller flushes the metrics every ``FLUSH_INTERVAL_SECONDS`` and closes the
    telemetry when the node stops.
    """
    telemetry = settings.telemetry
    node = settings.node.name
    configure_logs(log_format=telemetry.log_format, node=node)
    metrics = open_metrics(address=telemetry.statsd_address, node=node)
    if not telemetry.trace_endpoint:
        return Telemetry(metrics=metrics, tracer=Tracer(sink=NoSpans()))
    # The OpenTelemetry SDK is imported only where spans are exported.
    from bronzepost._internal.telemetry.span_export import (  # noqa: PLC0415
        SpanExporter,
    )

    exporter = SpanExporter(
        endpoint=telemetry.trace_endpoint, node=node, metrics=metrics
    )
    return Telemetry(
        metrics=metrics, tracer=Tracer(sink=exporter), close=exporter.close
    )
