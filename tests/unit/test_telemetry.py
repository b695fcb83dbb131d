"""Tests of log events, metrics and spans."""

import io
import json
import subprocess
import sys

import structlog
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.telemetry import metrics as metrics_module
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.events import Level, LogEvent
from bronzepost._internal.telemetry.logs import configure_logs, emit
from bronzepost._internal.telemetry.spans import (
    FinishedSpan,
    Tracer,
    format_traceparent,
    parse_traceparent,
)

TRACEPARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


class EventTest(TestCase):
    """Tests of the catalogue of events."""

    def test_numbers_are_unique_and_in_an_area(self) -> None:
        """Guard against two events that an alarm cannot distinguish."""
        numbers = [event.number for event in LogEvent]
        self.assertEqual(sorted(set(numbers)), sorted(numbers))
        for event in LogEvent:
            self.assertTrue(event.area <= event.number, event)


class LogTest(TestCase):
    """Tests of the log lines."""

    def setUp(self) -> None:
        """Create a stream that collects the log lines."""
        super().setUp()
        self.stream = io.StringIO()
        self.addCleanup(structlog.reset_defaults)

    def test_json_line(self) -> None:
        """Guard against lines without number, node, step or peer."""
        configure_logs(node='a-1', stream=self.stream)
        emit(
            LogEvent.APPEND_RETRIED,
            error=LogServiceError('busy', step='append', peer='127.0.0.1:5'),
            seconds=0.5,
            zone=object,
        )
        line = json.loads(self.stream.getvalue())
        self.assertEqual(2009, line['number'])
        self.assertEqual('append_retried', line['event'])
        self.assertEqual('warning', line['level'])
        self.assertEqual('a-1', line['node'])
        self.assertEqual('busy', line['error'])
        self.assertEqual('append', line['step'])
        self.assertEqual('127.0.0.1:5', line['peer'])

    def test_events_below_the_level_are_dropped(self) -> None:
        """Guard against debug events in the log at the default level."""
        configure_logs(stream=self.stream, level=Level.INFO)
        emit(LogEvent.CALL_ANSWERED)
        self.assertEqual('', self.stream.getvalue())

    def test_console(self) -> None:
        """Guard against a console format that omits fields."""
        configure_logs(log_format='console', stream=self.stream)
        emit(LogEvent.MEMBER_DEAD, member='b-2', cause=OSError('gone'))
        self.assertIn('member=b-2', self.stream.getvalue())
        self.assertIn('OSError: gone', self.stream.getvalue())


class FakePipeline:
    """A statsd client, and its pipeline, that collects the values."""

    def __init__(self) -> None:
        """Initialise the list of sent values."""
        self.sent: list[tuple[str, str, float]] = []

    def pipeline(self) -> 'FakePipeline':
        """Return itself, as the pipeline of the client."""
        return self

    def __enter__(self) -> 'FakePipeline':
        """Enter the pipeline."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Leave the pipeline."""

    def incr(self, name: str, total: float) -> None:
        """Collect a counter."""
        self.sent.append(('count', name, total))

    def gauge(self, name: str, value: float) -> None:
        """Collect a gauge."""
        self.sent.append(('gauge', name, value))

    def timing(self, name: str, value: float) -> None:
        """Collect a timing."""
        self.sent.append(('timing', name, value))


class MetricsTest(TestCase):
    """Tests of the values sent to the statsd server."""

    def test_values_are_combined(self) -> None:
        """Guard against a datagram for each value, and values sent twice."""
        pipe = FakePipeline()
        metrics = metrics_module.StatsdMetrics(client=pipe)
        metrics.count(Metric.CALLS_REFUSED, label='no slot')
        metrics.count(Metric.CALLS_REFUSED, by=2, label='no slot')
        metrics.gauge(Metric.CALLS_RUNNING, 1)
        metrics.gauge(Metric.CALLS_RUNNING, 2)
        for sample in range(2 * metrics_module.MAX_SAMPLES_PER_FLUSH):
            metrics.timing(Metric.TICK_TIME, sample)
        metrics.flush()
        sent = list(pipe.sent)
        metrics.flush()
        self.assertEqual(sent, pipe.sent)
        self.assertIn(('count', 'calls_refused.no_slot', 3), sent)
        self.assertIn(('gauge', 'calls_running', 2), sent)
        self.assertEqual(2 + metrics_module.MAX_SAMPLES_PER_FLUSH, len(sent))

    def test_no_metrics_without_address(self) -> None:
        """Guard against a node that cannot run without a statsd server."""
        metrics = metrics_module.open_metrics(address='', node='a-1')
        self.assertIsInstance(metrics, metrics_module.NoMetrics)


class ListSink:
    """A span sink that collects finished spans."""

    def __init__(self) -> None:
        """Initialise the list of spans."""
        self.spans: list[FinishedSpan] = []

    def add(self, span: FinishedSpan) -> None:
        """Collect a span."""
        self.spans.append(span)


class SpanTest(TestCase):
    """Tests of spans and their trace context."""

    def test_child_keeps_trace(self) -> None:
        """Guard against the hops of a call in different traces."""
        sink = ListSink()
        parent = parse_traceparent(TRACEPARENT)
        assert parent is not None
        with Tracer(sink=sink).record_span('relay', parent) as span:
            child = parse_traceparent(span.traceparent)
        assert child is not None
        self.assertEqual(parent.trace_id, child.trace_id)
        self.assertNotEqual(parent.span_id, child.span_id)
        self.assertEqual(parent.span_id, sink.spans[0].parent_span_id)
        self.assertTrue(sink.spans[0].ended_at >= sink.spans[0].started_at)

    def test_error_ends_span_once(self) -> None:
        """Guard against a failed hop without an error, or reported twice."""
        sink = ListSink()

        def fail() -> None:
            with Tracer(sink=sink).record_span('send'):
                raise OSError('reset')

        self.assertRaises(OSError, fail)
        self.assertEqual(
            ['OSError: reset'], [span.error for span in sink.spans]
        )

    def test_sampled_flag_is_honoured(self) -> None:
        """Guard against spans that the caller asked not to record."""
        sink = ListSink()
        parent = parse_traceparent(f'{TRACEPARENT[:-1]}0')
        span = Tracer(sink=sink).start_span('send', parent)
        span.end()
        self.assertEqual([], sink.spans)
        self.assertEqual('00', span.traceparent[-2:])

    def test_invalid_headers(self) -> None:
        """Guard against passing an invalid header on to the next hop."""
        later = TRACEPARENT.replace('00-', '01-', 1)
        for header in (
            '',
            TRACEPARENT.replace('00-', 'ff-', 1),
            f'{TRACEPARENT}-x',
            TRACEPARENT.upper(),
            f'00-{"0" * 32}-b7ad6b7169203331-01',
            f'00-0af7651916cd43dd8448eb211c80319c-{"0" * 16}-01',
        ):
            self.assertIsNone(parse_traceparent(header), header)
        self.assertIsNotNone(parse_traceparent(f'{later}-x'))

    @given(st.text(max_size=60))
    def test_any_header(self, header: str) -> None:
        """Guard against a header that raises instead of being ignored."""
        context = parse_traceparent(header)
        if context:
            self.assertEqual(context, parse_traceparent(header))

    def test_round_trip(self) -> None:
        """Guard against a header that differs from the one received."""
        context = parse_traceparent(TRACEPARENT)
        assert context is not None
        self.assertEqual(TRACEPARENT, format_traceparent(context))

    def test_tracing_off_imports_no_sdk(self) -> None:
        """Guard against importing the SDK without a trace endpoint."""
        script = (
            'import sys\n'
            'import bronzepost._internal.telemetry.start\n'
            'print([m for m in sys.modules if "opentelemetry" in m])'
        )
        done = subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual('[]', done.stdout.strip())
