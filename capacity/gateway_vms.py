"""Gateway processes on loopback addresses, against stand-ins in this process."""

import contextlib
import dataclasses
import os
import re
import sys
import tempfile
from collections.abc import Sequence
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, Final

import gevent
from gevent.subprocess import DEVNULL, Popen

from tests.platform.builders_platform import make_settings
from tests.platform.gateway_load import FRONT_PORT
from tests.platform.standin_store import StandinStore

from .proc import ThreadTimes, read_thread_times

ROOT: Final = Path(__file__).resolve().parent.parent
# Starts are spread, since each takes most of a second of a core.
START_GAP_SECONDS: Final = 0.25
STORE_PARTITIONS: Final = 12
SEEDS: Final = 5
READINESS_PORT: Final = 8141
DIRECTORY_PORT: Final = 8143
METRICS_PORT: Final = 9102
_HOSTS: Final = 200
_FIRST_NETWORK: Final = 20
_NETWORKS: Final = 200
_ANSWER_SECONDS: Final = 20.0
_METRIC: Final = re.compile(r'^(\w+?)(?:_total)?(?:\{(.*)\})? (\S+)$', re.M)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """What all processes have used since their start, in sum."""

    times: ThreadTimes
    sent: float
    received: float
    store_calls: float

    def rates(self, before: 'Usage', *, share: float) -> 'Usage':
        """Return the differences multiplied by ``share``."""
        return Usage(
            times=ThreadTimes(
                main_seconds=share
                * (self.times.main_seconds - before.times.main_seconds),
                other_seconds=share
                * (self.times.other_seconds - before.times.other_seconds),
                switches=share * (self.times.switches - before.times.switches),
            ),
            sent=share * (self.sent - before.sent),
            received=share * (self.received - before.received),
            store_calls=share * (self.store_calls - before.store_calls),
        )


class GatewayVms:
    """Processes as the platform starts them; use with ``with``."""

    def __init__(self, *, count: int, store: StandinStore) -> None:
        """Prepare ``count`` VMs that use ``store``."""
        network = _FIRST_NETWORK + os.getpid() % _NETWORKS
        self.addresses = [
            f'127.{network}.{number // _HOSTS}.{number % _HOSTS + 1}'
            for number in range(count)
        ]
        self._store = store
        self._processes: list[Any] = []
        self._folder = tempfile.TemporaryDirectory(prefix='capacity-')

    def __enter__(self) -> 'GatewayVms':
        """Start the processes one after the other."""
        for address in self.addresses:
            self._processes.append(self._start(address))
            gevent.sleep(START_GAP_SECONDS)
        return self

    def __exit__(self, *error: object) -> None:
        """End the processes."""
        for ended in self._processes:
            ended.kill()
        for process in self._processes:
            process.wait()
        self._folder.cleanup()

    def read_usage(self) -> Usage:
        """Return what the processes have used until now."""
        times = [read_thread_times(found.pid) for found in self._processes]
        metrics = [read_metrics(address) for address in self.addresses]
        return Usage(
            times=ThreadTimes(
                main_seconds=sum(time.main_seconds for time in times),
                other_seconds=sum(time.other_seconds for time in times),
                switches=sum(time.switches for time in times),
            ),
            sent=_sum_metric(metrics, 'name="peer_messages_sent"'),
            received=_sum_metric(metrics, 'name="peer_messages_received"'),
            store_calls=_sum_metric(metrics, 'bronzepost_store_calls'),
        )

    def _start(self, address: str) -> Any:
        settings = make_settings(
            nodeName=f'edge-{address}',
            ip=address,
            listen={
                'front': f'{address}:{FRONT_PORT}',
                'readiness': f'{address}:{READINESS_PORT}',
                'directory': f'{address}:{DIRECTORY_PORT}',
            },
            seedNodes=[f'{seed}:1' for seed in self.addresses[:SEEDS]],
            platform={
                'address': self._store.address,
                'parts': STORE_PARTITIONS,
            },
        )
        path = Path(self._folder.name) / f'{address}.json'
        path.write_bytes(settings)
        return Popen(
            [sys.executable, str(ROOT / 'platform' / 'serve.py')],
            env={**os.environ, 'BRONZEPOST_BOOT': str(path)},
            stdout=DEVNULL,
        )


def read_metrics(address: str) -> dict[str, float]:
    """Return the figures of a process by name and labels."""
    connection = HTTPConnection(address, METRICS_PORT, timeout=_ANSWER_SECONDS)
    with contextlib.closing(connection):
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
    return {
        f'{name} {labels}': float(figure)
        for name, labels, figure in _METRIC.findall(text)
    }


def _sum_metric(metrics: Sequence[dict[str, float]], part: str) -> float:
    return sum(
        figure
        for found in metrics
        for name, figure in found.items()
        if part in name and '_created' not in name
    )
