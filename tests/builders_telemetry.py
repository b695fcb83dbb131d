"""Builder of a telemetry object that drops metrics and spans."""

from bronzepost._internal.telemetry.metrics import NoMetrics
from bronzepost._internal.telemetry.spans import NoSpans, Tracer
from bronzepost._internal.telemetry.start import Telemetry


def build_telemetry() -> Telemetry:
    """Return a telemetry object that drops metrics and spans."""
    return Telemetry(metrics=NoMetrics(), tracer=Tracer(sink=NoSpans()))
