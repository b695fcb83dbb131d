"""Start the telemetry of a node from its settings."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from bronzepost._internal.settings import Settings
from bronzepost._internal.telemetry.logs import configure_logs
from bronzepost._internal.telemetry.metrics import Metrics, open_metrics
from bronzepost._internal.telemetry.spans import NoSpans, Tracer


def _do_nothing() -> None:
    """Used as ``close`` without a span exporter."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Telemetry:
    """Metrics and tracer of a node; log events are written by ``emit``."""

    metrics: Metrics
    tracer: Tracer
    close: Callable[[], None] = _do_nothing


def start_telemetry(settings: Settings) -> Telemetry:
    """Configure the logs and return the metrics and the tracer.

    Metrics or spans are dropped if their address is empty in the settings. The
    caller must flush the metrics every ``FLUSH_INTERVAL_SECONDS`` and close the
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
