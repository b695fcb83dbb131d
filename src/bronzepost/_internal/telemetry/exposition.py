"""Counters and latency histograms in the text format of Prometheus."""

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Bounds of the latency histograms in seconds: answers of tools begin at 10 ms,
# and no request of the deployments lasts longer than 4 s.
LATENCY_BOUNDS: Final = (
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
    """What a gateway counts; ``render`` writes all of it as text."""

    def __init__(self) -> None:
        """Start all counters at zero."""
        self._registry = CollectorRegistry()
        self.requests = Counter(
            'bronzepost_requests',
            'Requests by kind of route and outcome.',
            ('kind', 'outcome'),
            registry=self._registry,
        )
        self.refusals = Counter(
            'bronzepost_refusals',
            'Refusals by their code and whether the request had run.',
            ('code', 'run'),
            registry=self._registry,
        )
        self.seconds = Histogram(
            'bronzepost_request_seconds',
            'Time from the whole request to the end of its answer.',
            ('kind',),
            buckets=LATENCY_BOUNDS,
            registry=self._registry,
        )
        self.failures = Counter(
            'bronzepost_server_failures',
            'Sends that a backend server did not take or broke off.',
            ('server', 'reason'),
            registry=self._registry,
        )
        self.store_calls = Counter(
            'bronzepost_store_calls',
            'Calls to the store by what they do and how they ended.',
            ('call', 'outcome'),
            registry=self._registry,
        )
        self.logs_left_out = Counter(
            'bronzepost_log_lines_left_out',
            'Log lines that were not written, to bound their volume.',
            registry=self._registry,
        )
        self.state = Gauge(
            'bronzepost_state',
            'What the VM believes now, see docs/OPERATIONS.md.',
            ('name',),
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return all figures as text."""
        content: bytes = generate_latest(self._registry)
        return content


METRICS: Final = GatewayMetrics()
