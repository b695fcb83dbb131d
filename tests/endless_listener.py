"""A listener of a node beside callers without end, in a process of its own.

``python -m tests.endless_listener SHAPE COUNT`` prints a report as JSON. An
honest caller in the process sends a request every 50 ms.
"""

import dataclasses
import json
import os
import resource
import subprocess  # noqa: S404
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Final

import gevent

from bronzepost._internal.node.callers.http_exchange import ExchangeClient
from bronzepost._internal.node.callers.listeners import listen
from bronzepost._internal.node.callers.web import (
    Request,
    Response,
    Route,
    WebApplication,
)
from bronzepost._internal.settings.classes import DEFAULT_BODY_BYTES
from bronzepost._internal.telemetry.metrics import NoMetrics

_RUN_SECONDS: Final = 3.0
_REQUEST_INTERVAL_SECONDS: Final = 0.05
# Ends a process whose loop stands still.
_LIFETIME_SECONDS: Final = 20.0
_KIB: Final = 1024
_REPOSITORY: Final = Path(__file__).parents[1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListenerReport:
    """What an honest caller saw, and what the memory grew by at most."""

    answer_count: int
    largest_answer_seconds: float
    growth_bytes: int


def serve_beside(shape: str, count: int) -> ListenerReport:
    """Run a listener beside callers of a shape and return the report."""
    finished = subprocess.run(  # noqa: S603
        (sys.executable, '-m', 'tests.endless_listener', shape, str(count)),
        capture_output=True,
        check=True,
        text=True,
        cwd=_REPOSITORY,
        env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
        timeout=_LIFETIME_SECONDS,
    )
    return ListenerReport(**json.loads(finished.stdout.splitlines()[-1]))


def _echo(request: Request) -> Response:
    return Response(body=b'%d' % len(request.body))


def _measure(shape: str, count: str) -> ListenerReport:
    application = WebApplication(
        routes=[
            Route(method=method, pattern='/echo', handler=_echo)
            for method in ('GET', 'POST')
        ],
        max_body_bytes=DEFAULT_BODY_BYTES,
        metrics=NoMetrics(),
    )
    server = listen('127.0.0.1:0', application)
    client = ExchangeClient(address=f'127.0.0.1:{server.server_port}')
    client.exchange('POST', '/echo', step='probe', body={})
    memory_before = _read_largest_memory()
    callers: Any = subprocess.Popen(  # noqa: S603
        (
            sys.executable,
            '-m',
            'tests.endless_caller',
            shape,
            str(server.server_port),
            count,
        ),
        stdin=subprocess.PIPE,
    )
    durations: list[float] = []
    with ExitStack() as stack:
        stack.callback(callers.kill)
        _send_requests(client, durations)
    return ListenerReport(
        answer_count=len(durations),
        largest_answer_seconds=max(durations),
        growth_bytes=_read_largest_memory() - memory_before,
    )


def _send_requests(client: ExchangeClient, durations: list[float]) -> None:
    ends_at = time.monotonic() + _RUN_SECONDS
    while time.monotonic() < ends_at:
        gevent.sleep(_REQUEST_INTERVAL_SECONDS)
        started_at = time.monotonic()
        client.exchange('POST', '/echo', step='probe', body={})
        durations.append(time.monotonic() - started_at)


def _read_largest_memory() -> int:
    usage: Any = resource.getrusage(resource.RUSAGE_SELF)
    return int(usage.ru_maxrss) * _KIB


if __name__ == '__main__':
    sys.stdout.write(json.dumps(dataclasses.asdict(_measure(*sys.argv[1:]))))
