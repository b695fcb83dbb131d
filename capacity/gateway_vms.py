"""Gateway processes on loopback addresses, with stand-ins in this process."""

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
# Starts are spread out, since each uses most of a second of processor time.
START_INTERVAL_SECONDS: Final = 0.25
STORE_PARTITIONS: Final = 12
SEED_COUNT: Final = 5
READINESS_PORT: Final = 8141
DIRECTORY_PORT: Final = 8143
METRICS_PORT: Final = 9102
_HOSTS_PER_NETWORK: Final = 200
_FIRST_NETWORK: Final = 20
_NETWORKS: Final = 200
_METRICS_TIMEOUT_SECONDS: Final = 20.0
_METRIC: Final = re.compile(r'^(\w+?)(?:_total)?(?:\{(.*)\})? (\S+)$', re.M)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Totals over all processes since their start."""

    times: ThreadTimes
    messages_sent: float
    messages_received: float
    store_calls: float

    def scaled_difference(self, before: 'Usage', *, factor: float) -> 'Usage':
        """Return the differences from ``before``, multiplied by ``factor``."""
        return Usage(
            times=ThreadTimes(
                main_seconds=factor
                * (self.times.main_seconds - before.times.main_seconds),
                other_seconds=factor
                * (self.times.other_seconds - before.times.other_seconds),
                switches=factor * (self.times.switches - before.times.switches),
            ),
            messages_sent=factor * (self.messages_sent - before.messages_sent),
            messages_received=factor
            * (self.messages_received - before.messages_received),
            store_calls=factor * (self.store_calls - before.store_calls),
        )


class GatewayVms:
    """Gateway processes, started as the platform does; a context manager."""

    def __init__(self, *, count: int, store: StandinStore) -> None:
        """Prepare ``count`` VMs that use ``store``."""
        network = _FIRST_NETWORK + os.getpid() % _NETWORKS
        self.addresses = [
            f'127.{network}.'
            f'{number // _HOSTS_PER_NETWORK}.{number % _HOSTS_PER_NETWORK + 1}'
            for number in range(count)
        ]
        self._store = store
        self._processes: list[Any] = []
        self._directory = tempfile.TemporaryDirectory(prefix='capacity-')

    def __enter__(self) -> 'GatewayVms':
        """Start the processes at intervals."""
        for address in self.addresses:
            self._processes.append(self._start(address))
            gevent.sleep(START_INTERVAL_SECONDS)
        return self

    def __exit__(self, *error: object) -> None:
        """Kill the processes and wait for them."""
        for running in self._processes:
            running.kill()
        for process in self._processes:
            process.wait()
        self._directory.cleanup()

    def read_usage(self) -> Usage:
        """Return the totals of all processes until now."""
        times = [read_thread_times(process.pid) for process in self._processes]
        metrics = [read_metrics(address) for address in self.addresses]
        return Usage(
            times=ThreadTimes(
                main_seconds=sum(time.main_seconds for time in times),
                other_seconds=sum(time.other_seconds for time in times),
                switches=sum(time.switches for time in times),
            ),
            messages_sent=_sum_metrics(metrics, 'name="peer_messages_sent"'),
            messages_received=_sum_metrics(
                metrics, 'name="peer_messages_received"'
            ),
            store_calls=_sum_metrics(metrics, 'bronzepost_store_calls'),
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
            seedNodes=[f'{seed}:1' for seed in self.addresses[:SEED_COUNT]],
            platform={
                'address': self._store.address,
                'parts': STORE_PARTITIONS,
            },
        )
        path = Path(self._directory.name) / f'{address}.json'
        path.write_bytes(settings)
        return Popen(
            [sys.executable, str(ROOT / 'platform' / 'serve.py')],
            env={**os.environ, 'BRONZEPOST_BOOT': str(path)},
            stdout=DEVNULL,
        )


def read_metrics(address: str) -> dict[str, float]:
    """Return the metric values of a process by name and labels."""
    connection = HTTPConnection(
        address, METRICS_PORT, timeout=_METRICS_TIMEOUT_SECONDS
    )
    with contextlib.closing(connection):
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
    return {
        f'{name} {labels}': float(value)
        for name, labels, value in _METRIC.findall(text)
    }


def _sum_metrics(metrics: Sequence[dict[str, float]], part: str) -> float:
    return sum(
        value
        for values_by_name in metrics
        for name, value in values_by_name.items()
        if part in name and '_created' not in name
    )
