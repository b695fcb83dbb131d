"""Calls to one server, in a process of its own, with what they cost.

``python -m tests.endless_probe CALL ADDRESS`` makes the call and prints its
report as JSON. The process ends itself if the call does not end: a client that
never yields can not be ended from its own loop, and may take all memory.
"""

import dataclasses
import json
import os
import resource
import signal
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import gevent

from bronzepost._internal.cli import client as command_client
from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.engines.engine_client import (
    EngineCall,
    stream_completion,
)
from bronzepost._internal.node.engines.service_client import call_service
from bronzepost._internal.telemetry.catalogue import Metric
from bronzepost._internal.telemetry.metrics import NoMetrics
from bronzepost._internal.telemetry.span_export import SpanExporter
from bronzepost._internal.telemetry.spans import Tracer
from tests.builders_node import build_log_client

CALL_TIMEOUT_SECONDS: Final = 2.0
COMMAND_TIMEOUT_SECONDS: Final = command_client.TIMEOUT_SECONDS
# Ends a process whose loop stands still, before it has taken all memory.
_LIFETIME_SECONDS: Final = 5.0
# A command has a timeout of its own, so its process lives longer.
_COMMAND_LIFETIME_SECONDS: Final = COMMAND_TIMEOUT_SECONDS + _LIFETIME_SECONDS
_TICK_SECONDS: Final = 0.01
_KIB: Final = 1024
_Call = Callable[[str], int]
_REPOSITORY: Final = Path(__file__).parents[1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What a call took and how it ended.

    ``largest_gap_seconds`` is the longest time for which no other greenlet of
    the process ran, ``growth_bytes`` what its memory grew by at most.
    """

    outcome: str
    seconds: float
    largest_gap_seconds: float
    growth_bytes: int
    size: int = 0


def probe(call: str, address: str) -> Report:
    """Make a call in a new process and return its report."""
    finished = subprocess.run(  # noqa: S603
        (sys.executable, '-m', 'tests.endless_probe', call, address),
        capture_output=True,
        check=False,
        text=True,
        cwd=_REPOSITORY,
        env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
    )
    if finished.returncode:
        return Report(
            outcome=f'ended with {finished.returncode}: {finished.stderr}',
            seconds=_LIFETIME_SECONDS,
            largest_gap_seconds=_LIFETIME_SECONDS,
            growth_bytes=0,
        )
    return Report(**json.loads(finished.stdout.splitlines()[-1]))


def _exchange(address: str) -> int:
    client = ExchangeClient(address=address)
    return len(client.exchange('GET', '/x', step='probe').body)


def _read_lines(address: str) -> int:
    stream = ExchangeClient(address=address).open_stream(
        'GET', '/x', step='probe'
    )
    with stream:
        return sum(len(line) for line in stream.read_lines())


def _call_service(address: str) -> int:
    client = ExchangeClient(address=address)
    answer = call_service(client, 'x', body=b'{}', request_id='r', headers={})
    return len(answer.body)


def _call_engine(address: str) -> int:
    call = EngineCall(request_id='r', session='s', priority=0, body={})
    client = ExchangeClient(address=address)
    return sum(1 for _chunk in stream_completion(client, call))


def _read_log(address: str) -> int:
    page = build_log_client(address).read_records('programs-01', 0)
    return len(page.records)


def _run_command(address: str) -> int:
    return len(command_client.NodeClient(address=address).get('/x'))


def _export_spans(address: str) -> int:
    failed = _FailedSpans()
    exporter = SpanExporter(
        endpoint=f'http://{address}/v1/traces', node='n', metrics=failed
    )
    Tracer(sink=exporter).start_span('probe').end()
    while not failed.count_by_metric:
        gevent.sleep(_TICK_SECONDS)
    return failed.count_by_metric.get(Metric.SPANS_FAILED, 0)


class _FailedSpans(NoMetrics):
    def __init__(self) -> None:
        self.count_by_metric: dict[Metric, int] = {}

    def count(self, metric: Metric, by: int = 1, label: str = '') -> None:
        self.count_by_metric[metric] = by


_CALLS_BY_NAME: Final[Mapping[str, _Call]] = MappingProxyType({
    'exchange': _exchange,
    'lines': _read_lines,
    'service': _call_service,
    'engine': _call_engine,
    'log': _read_log,
    'command': _run_command,
    'spans': _export_spans,
})


def _tick(gaps: list[float]) -> None:
    for started_at in iter(time.monotonic, None):
        gevent.sleep(_TICK_SECONDS)
        gaps.append(time.monotonic() - started_at - _TICK_SECONDS)


def _measure(name: str, address: str) -> Report:
    gaps: list[float] = [0]
    gevent.spawn(_tick, gaps)
    gevent.sleep(_TICK_SECONDS)
    memory_before = _read_largest_memory()
    started_at = time.monotonic()
    size = 0
    try:
        with gevent.Timeout(_find_timeout(name)):
            size = _CALLS_BY_NAME[name](address)
    except (Exception, gevent.Timeout) as error:  # noqa: BLE001
        outcome = f'{type(error).__name__}: {error}'
    else:
        outcome = 'complete'
    seconds = time.monotonic() - started_at
    # Lets the ticker see a gap that lasted until the end.
    gevent.sleep(2 * _TICK_SECONDS)
    return Report(
        outcome=outcome,
        seconds=seconds,
        largest_gap_seconds=max(gaps),
        growth_bytes=_read_largest_memory() - memory_before,
        size=size,
    )


def _find_lifetime(name: str) -> float:
    is_command = name == 'command'
    return _COMMAND_LIFETIME_SECONDS if is_command else _LIFETIME_SECONDS


def _find_timeout(name: str) -> float:
    has_own = name in {'command', 'spans'}
    return _find_lifetime(name) if has_own else CALL_TIMEOUT_SECONDS


def _read_largest_memory() -> int:
    usage: Any = resource.getrusage(resource.RUSAGE_SELF)
    return int(usage.ru_maxrss) * _KIB


if __name__ == '__main__':
    call_name, server_address = sys.argv[1:]
    signal.setitimer(signal.ITIMER_REAL, _find_lifetime(call_name))
    final_report = _measure(call_name, server_address)
    sys.stdout.write(json.dumps(dataclasses.asdict(final_report)))
