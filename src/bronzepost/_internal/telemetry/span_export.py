"""Export spans by OTLP over HTTP in a separate greenlet.

A request never waits for the export: spans go to a bounded queue and are
dropped while it is full. Failures are counted in a metric and not logged,
because a trace endpoint that is down must not fill the log of every node.
"""

from __future__ import annotations

from collections import deque
from types import MappingProxyType
from urllib.parse import urlsplit

import gevent

from bronzepost._internal.node.callers.bounded_client import (
    BoundedClient,
    read_body,
)
from bronzepost._internal.settings.rules import split_address
from bronzepost._internal.telemetry import span_encoding
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.metrics import Metrics
from bronzepost._internal.telemetry.spans import FinishedSpan

MAX_QUEUED_SPANS = 2048
# Encoding blocks the event loop, for about 20 microseconds a span.
MAX_BATCH_SPANS = 64
EXPORT_INTERVAL_SECONDS = 1
EXPORT_TIMEOUT_SECONDS = 2
# Endpoints answer with a few bytes, or with the reason of an error.
MAX_ANSWER_BYTES = 65536

_FIRST_SUCCESS_STATUS = 200
_FIRST_REDIRECT_STATUS = 300
_HEADERS = MappingProxyType({'Content-Type': 'application/x-protobuf'})


class SpanExporter:
    """Queue finished spans and export them in batches."""

    def __init__(self, *, endpoint: str, node: str, metrics: Metrics) -> None:
        """Start the greenlet that sends to ``endpoint``, an http URL."""
        parts = urlsplit(endpoint)
        self._host_and_port = split_address(parts.netloc)
        self._path = parts.path or '/v1/traces'
        self._node = node
        self._metrics = metrics
        self._queue: deque[FinishedSpan] = deque()
        self._client = self._build_client()
        self._is_open = True
        self._greenlet = gevent.spawn(self._run)

    def add(self, span: FinishedSpan) -> None:
        """Queue a span, or drop it if the queue is full."""
        if len(self._queue) < MAX_QUEUED_SPANS:
            self._queue.append(span)
        else:
            self._metrics.count(Metric.SPANS_DROPPED)

    def close(self) -> None:
        """Stop the greenlet, then send one last batch within its timeout."""
        self._is_open = False
        self._greenlet.kill()
        self._send_batch()
        self._client.close()

    def _run(self) -> None:
        while self._is_open:
            gevent.sleep(EXPORT_INTERVAL_SECONDS)
            while self._queue:
                self._send_batch()

    def _send_batch(self) -> None:
        count = min(len(self._queue), MAX_BATCH_SPANS)
        batch = [self._queue.popleft() for _ in range(count)]
        if not batch:
            return
        with gevent.Timeout(EXPORT_TIMEOUT_SECONDS, False):
            if self._export(batch):
                self._metrics.count(Metric.SPANS_EXPORTED, len(batch))
                return
        self._metrics.count(Metric.SPANS_FAILED, len(batch))
        # A client can not be used again after its close, and a timeout may
        # leave its only connection taken.
        self._client.close()
        self._client = self._build_client()

    def _export(self, batch: list[FinishedSpan]) -> bool:
        body = span_encoding.encode_batch(batch, self._node)
        try:
            status = self._send_request(body)
        # No error of an export may end the greenlet.
        except Exception:
            return False
        return _FIRST_SUCCESS_STATUS <= status < _FIRST_REDIRECT_STATUS

    def _build_client(self) -> BoundedClient:
        host, port = self._host_and_port
        return BoundedClient(
            host,
            port,
            connection_timeout=EXPORT_TIMEOUT_SECONDS,
            network_timeout=EXPORT_TIMEOUT_SECONDS,
        )

    def _send_request(self, body: bytes) -> int:
        response = self._client.post(self._path, body, headers=_HEADERS)
        read_body(response, max_bytes=MAX_ANSWER_BYTES)
        return int(response.status_code)
