"""Counters and latency histograms in the text format of Prometheus."""

import functools
from collections.abc import Iterator
from typing import Any, Final

from bronzepost._internal.telemetry.instruments import (
    CounterOrGauge,
    Histogram,
    MetricFamily,
)

# Answers of tools take 10 ms or more, and no request of the deployments takes
# longer than 4 s.
LATENCY_BOUNDS_SECONDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2,
    4,
)


class GatewayMetrics:
    """All metrics of a gateway; ``render`` returns them as text."""

    def __init__(self) -> None:
        """Create all families; their names and labels are a public format."""
        self.requests = MetricFamily(
            'bronzepost_requests',
            'Requests by kind of route and outcome.',
            ('kind', 'outcome'),
            CounterOrGauge,
        )
        self.refusals = MetricFamily(
            'bronzepost_refusals',
            'Refusals by their code and whether the request had run.',
            ('code', 'run'),
            CounterOrGauge,
        )
        self.request_seconds = MetricFamily(
            'bronzepost_request_seconds',
            'Time from the whole request to the end of its answer.',
            ('kind',),
            functools.partial(Histogram, LATENCY_BOUNDS_SECONDS),
        )
        self.server_failures = MetricFamily(
            'bronzepost_server_failures',
            'Sends that a backend server did not take or broke off.',
            ('server', 'reason'),
            CounterOrGauge,
        )
        self.server_sends = MetricFamily(
            'bronzepost_server_sends',
            'Requests sent to a backend server, each attempt by itself.',
            ('server',),
            CounterOrGauge,
        )
        self.store_calls = MetricFamily(
            'bronzepost_store_calls',
            'Calls to the store by what they do and how they ended.',
            ('call', 'outcome'),
            CounterOrGauge,
        )
        self.workspace_requests = MetricFamily(
            'bronzepost_workspace_requests',
            'Admitted requests by workspace and outcome.',
            ('workspace', 'outcome'),
            CounterOrGauge,
        )
        self.keys_refused = MetricFamily(
            'bronzepost_keys_refused',
            'Requests that were refused for their key, by the reason.',
            ('reason',),
            CounterOrGauge,
        )
        self.messages_unknown = MetricFamily(
            'bronzepost_peer_messages_unknown',
            'Messages of VMs of other builds that could not be decoded.',
            ('kind',),
            CounterOrGauge,
        )
        self.messages_held_back = MetricFamily(
            'bronzepost_peer_messages_held_back',
            "Messages that were not sent, since the receiver's build is older.",
            ('kind',),
            CounterOrGauge,
        )
        self.memory_refusals = MetricFamily(
            'bronzepost_memory_refusals',
            'Requests that were refused for lack of memory of the VM.',
            ('kind',),
            CounterOrGauge,
        )
        self.held_bytes = MetricFamily(
            'bronzepost_held_bytes',
            'Bytes that the VM holds for others, see docs/design/memory.md.',
            ('kind',),
            CounterOrGauge,
        )
        self.store_attempts = MetricFamily(
            'bronzepost_store_attempts',
            'Attempts to write to the store or to read from it, by outcome.',
            ('kind', 'outcome'),
            CounterOrGauge,
        )
        self.quota_requests = MetricFamily(
            'bronzepost_quota_requests',
            'Requests of workspaces with a quota by what was decided.',
            ('workspace', 'outcome'),
            CounterOrGauge,
        )
        logs_left_out = MetricFamily(
            'bronzepost_log_lines_left_out',
            'Log lines that were not written, to bound their volume.',
            (),
            CounterOrGauge,
        )
        self.logs_left_out = logs_left_out.labels()
        self.state = MetricFamily(
            'bronzepost_state',
            'What the VM believes now, see docs/OPERATIONS.md.',
            ('name',),
            CounterOrGauge,
        )
        self.warm_requests = MetricFamily(
            'bronzepost_warm_requests',
            'Requests about a subject by route and how they were placed.',
            ('route', 'placed'),
            CounterOrGauge,
        )
        self.warm_gain = MetricFamily(
            'bronzepost_warm_gain',
            'The share of its time that a request saves on a warm server.',
            ('route',),
            CounterOrGauge,
        )
        self.engine_slowness = MetricFamily(
            'bronzepost_engine_slowness',
            'Time per event of an engine over the median of its service.',
            ('server',),
            CounterOrGauge,
        )
        self.engine_load = MetricFamily(
            'bronzepost_engine_load',
            'Load of an engine over its fair share by speed.',
            ('server',),
            CounterOrGauge,
        )
        self._gauges = (
            self.state,
            self.held_bytes,
            self.warm_gain,
            self.engine_slowness,
            self.engine_load,
        )
        self._counters = (
            self.requests,
            self.refusals,
            self.server_failures,
            self.server_sends,
            self.store_calls,
            self.workspace_requests,
            self.keys_refused,
            self.messages_unknown,
            self.messages_held_back,
            self.warm_requests,
            self.memory_refusals,
            self.store_attempts,
            self.quota_requests,
            logs_left_out,
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Imported on first use: the library loads its HTTP servers too, and
        # most processes are never asked for their metrics.
        from prometheus_client import (  # noqa: PLC0415
            CollectorRegistry,
            generate_latest,
        )

        registry = CollectorRegistry()
        registry.register(self)
        content: bytes = generate_latest(registry)
        return content

    def collect(self) -> Iterator[Any]:
        """Yield all families; called by the registry of the library."""
        from prometheus_client import core  # noqa: PLC0415

        for counter in self._counters:
            yield _build_family(core.CounterMetricFamily, counter)
        for gauge in self._gauges:
            yield _build_family(core.GaugeMetricFamily, gauge)
        histogram = core.HistogramMetricFamily(
            self.request_seconds.name,
            self.request_seconds.description,
            labels=self.request_seconds.label_names,
        )
        for labels, child in self.request_seconds:
            histogram.add_metric(labels, child.list_buckets(), child.total)
        yield histogram


def _build_family(
    family_class: Any, family: MetricFamily[CounterOrGauge]
) -> Any:
    metric = family_class(
        family.name, family.description, labels=family.label_names
    )
    for labels, child in family:
        metric.add_metric(labels, child.value)
    return metric


METRICS: Final = GatewayMetrics()
