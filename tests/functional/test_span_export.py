"""Tests of the span export against a simulated OTLP endpoint."""

import time
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
from testtools import TestCase

from bronzepost._internal.telemetry import span_export
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.metrics import NoMetrics
from bronzepost._internal.telemetry.spans import Tracer

WAIT_TIMEOUT_SECONDS = 10


class CountingMetrics(NoMetrics):
    """Metrics that keep only the values of counters."""

    def __init__(self) -> None:
        """Start without counts."""
        self.counts: dict[Metric, int] = {}

    def count(self, metric: Metric, by: int = 1, label: str = '') -> None:
        """Add to a counter."""
        self.counts[metric] = self.counts.get(metric, 0) + by


def wait_for(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds or a timeout; return whether it holds."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition() and time.monotonic() < deadline:
        gevent.sleep(0.02)
    return condition()


class SpanExportTest(TestCase):
    """Tests of exported, failed and dropped spans."""

    def setUp(self) -> None:
        """Start the simulated endpoint."""
        super().setUp()
        self.bodies: list[bytes] = []
        self.delay_seconds = 0
        self.status = '200 OK'
        self.server = WSGIServer(('127.0.0.1', 0), self.answer, log=None)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.metrics = CountingMetrics()

    def answer(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Record the body of an export request and answer after the delay."""
        self.bodies.append(environ['wsgi.input'].read())
        gevent.sleep(self.delay_seconds)
        start_response(self.status, [])
        return [b'']

    def start_exporter(self, port: int) -> span_export.SpanExporter:
        """Start an exporter to a local port."""
        exporter = span_export.SpanExporter(
            endpoint=f'http://127.0.0.1:{port}/v1/traces',
            node='a-1',
            metrics=self.metrics,
        )
        self.addCleanup(exporter.close)
        return exporter

    def test_spans_are_encoded_as_otlp(self) -> None:
        """Guard against spans that an endpoint cannot decode."""
        exporter = self.start_exporter(self.server.server_port)
        with Tracer(sink=exporter).record_span('relay') as span:
            span.attributes['program'] = 'p'
        self.assertTrue(wait_for(lambda: bool(self.bodies)))
        request = trace_service_pb2.ExportTraceServiceRequest()
        request.ParseFromString(self.bodies[0])
        scope = request.resource_spans[0].scope_spans[0]
        sent = scope.spans[0]
        self.assertEqual('relay', sent.name)
        self.assertEqual(span.context.trace_id, sent.trace_id.hex())

    def test_failed_exports_are_only_counted(self) -> None:
        """Guard against an unavailable endpoint that disturbs the node."""
        self.status = '503 Unavailable'
        exporter = self.start_exporter(self.server.server_port)
        Tracer(sink=exporter).start_span('relay').end()
        failed = Metric.SPANS_FAILED
        self.assertTrue(wait_for(lambda: self.metrics.counts.get(failed) == 1))
        self.server.stop()
        Tracer(sink=exporter).start_span('relay').end()
        self.assertTrue(wait_for(lambda: self.metrics.counts.get(failed) == 2))

    def test_exports_go_on_once_the_endpoint_is_back(self) -> None:
        """Guard against an exporter that one broken connection stops."""
        port = self.server.server_port
        self.server.stop()
        exporter = self.start_exporter(port)
        Tracer(sink=exporter).start_span('relay').end()
        counts = self.metrics.counts
        self.assertTrue(wait_for(lambda: counts.get(Metric.SPANS_FAILED) == 1))
        server = WSGIServer(('127.0.0.1', port), self.answer, log=None)
        server.start()
        self.addCleanup(server.stop)
        Tracer(sink=exporter).start_span('relay').end()
        exported = Metric.SPANS_EXPORTED
        self.assertTrue(wait_for(lambda: counts.get(exported) == 1))

    def test_hanging_endpoint_blocks_no_span(self) -> None:
        """Guard against requests that wait for the trace endpoint."""
        self.delay_seconds = 60
        exporter = self.start_exporter(self.server.server_port)
        tracer = Tracer(sink=exporter)
        tracer.start_span('relay').end()
        self.assertTrue(wait_for(lambda: bool(self.bodies)))
        started = time.monotonic()
        for _ in range(span_export.MAX_QUEUED_SPANS + 1):
            tracer.start_span('relay').end()
        self.assertTrue(time.monotonic() - started < 1)
        self.assertEqual(1, self.metrics.counts[Metric.SPANS_DROPPED])
        self.delay_seconds = 0
