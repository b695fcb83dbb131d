"""Send metrics to a statsd server.

Values are collected in memory and sent once per interval, because a datagram
per value would exceed the 3 KB/s allowed for the control traffic of a node.
"""

from __future__ import annotations

import re
from collections import Counter
from typing import Any, Protocol

import statsd

from bronzepost._internal.settings.rules import split_address
from bronzepost._internal.telemetry.catalogue import Metric

FLUSH_INTERVAL_SECONDS = 10
# Further timings of a metric in an interval are dropped; 32 values in 10 s
# limit the traffic and still allow a p95.
MAX_SAMPLES_PER_FLUSH = 32

_FORBIDDEN_CHARACTER = re.compile('[^A-Za-z0-9_-]')


class Metrics(Protocol):
    """Interface for recording metrics."""

    def count(self, metric: Metric, by: int = 1, label: str = '') -> None:
        """Add to a counter; ``label`` splits it, for example by code."""

    def gauge(self, metric: Metric, value: float, label: str = '') -> None:
        """Set a gauge."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Add a duration, in milliseconds."""

    def flush(self) -> None:
        """Send the values; called every ``FLUSH_INTERVAL_SECONDS``."""


class NoMetrics:
    """Drop every value; used without a statsd address."""

    def count(self, metric: Metric, by: int = 1, label: str = '') -> None:
        """Do nothing."""

    def gauge(self, metric: Metric, value: float, label: str = '') -> None:
        """Do nothing."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Collect values and send them to a statsd server."""

    def __init__(self, *, client: Any) -> None:
        """Send through ``client``, a ``statsd.StatsClient``."""
        self._client = client
        self._counts_by_name: Counter[str] = Counter()
        self._gauges_by_name: dict[str, float] = {}
        self._timings_by_name: dict[str, list[float]] = {}

    def count(self, metric: Metric, by: int = 1, label: str = '') -> None:
        """Add to a counter; ``label`` splits it, for example by code."""
        self._counts_by_name[format_metric_name(metric, label)] += by

    def gauge(self, metric: Metric, value: float, label: str = '') -> None:
        """Set a gauge."""
        self._gauges_by_name[format_metric_name(metric, label)] = value

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Add a duration, in milliseconds."""
        name = format_metric_name(metric, '')
        samples = self._timings_by_name.setdefault(name, [])
        if len(samples) < MAX_SAMPLES_PER_FLUSH:
            samples.append(milliseconds)

    def flush(self) -> None:
        """Send the collected values, several in each datagram."""
        with self._client.pipeline() as pipe:
            self._write_to(pipe)
        self._counts_by_name.clear()
        self._gauges_by_name.clear()
        self._timings_by_name.clear()

    def _write_to(self, pipe: Any) -> None:
        for counter, total in self._counts_by_name.items():
            pipe.incr(counter, total)
        for gauge, value in self._gauges_by_name.items():
            pipe.gauge(gauge, value)
        for timing, samples in self._timings_by_name.items():
            for sample in samples:
                pipe.timing(timing, sample)


class _NonBlockingClient(statsd.StatsClient):  # type: ignore[misc]
    """A statsd client with a non-blocking socket."""

    def __init__(self, *, address: str, prefix: str) -> None:
        """Open a UDP socket; datagrams are dropped while its buffer is full."""
        host, port = split_address(address)
        super().__init__(host, port, prefix=prefix, ipv6=':' in host)
        self._sock.setblocking(False)


def format_metric_name(metric: Metric, label: str) -> str:
    """Return the name of a metric, with the label as its last part."""
    if not label:
        return metric.metric_name
    return f'{metric.metric_name}.{_FORBIDDEN_CHARACTER.sub("_", label)}'


def open_metrics(*, address: str, node: str) -> Metrics:
    """Return metrics that are sent to statsd as ``bronzepost.NODE.NAME``.

    With an empty address, every value is dropped.
    """
    if not address:
        return NoMetrics()
    prefix = f'bronzepost.{_FORBIDDEN_CHARACTER.sub("_", node)}'
    return StatsdMetrics(
        client=_NonBlockingClient(address=address, prefix=prefix)
    )
