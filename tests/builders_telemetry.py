"""Builder of a telemetry that measures and traces nothing."""

from bronzepost._internal.telemetry.metrics import NoMetrics
from bronzepost._internal.telemetry.spans import NoSpans, Tracer
from bronzepost._internal.telemetry.start import Telemetry


def build_telemetry() -> Telemetry:
    """Return what a part of a node needs to count and to trace."""
    return Telemetry(metrics=NoMetrics(), tracer=Tracer(sink=NoSpans()))
