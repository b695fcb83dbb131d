"""Gateway processes of tests, started as the platform does."""

import os
import shutil
import sys
import tempfile
from pathlib import Path

import gevent
import msgspec
import testtools
from bronzepost_platform.settings import METRICS_PORT
from gevent.socket import socket as open_socket
from gevent.subprocess import Popen

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from tests.builders_gateway_servers import CallerSocket
from tests.platform.builders_platform import HOST, make_settings

ROOT = Path(__file__).resolve().parent.parent.parent
# Each run of the tests uses its own loopback network, since the port of the
# metrics is fixed.
NETWORK = f'127.{100 + os.getpid() // 250 % 100}.{1 + os.getpid() % 250}'
START_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface."""
    probes = [open_socket() for _ in range(count)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def list_seeds(numbers: tuple[int, ...]) -> list[str]:
    """Return the addresses of VMs as a settings file names them."""
    return [f'{NETWORK}.{number}:1' for number in numbers]


class Vm:
    """A gateway process on a loopback address of its own."""

    def __init__(
        self,
        *,
        test: testtools.TestCase,
        number: int,
        store: str,
        root: Path = ROOT,
        log_path: Path | None = None,
        stderr: int | None = None,
        seeds: tuple[int, ...] = (21, 22),
    ) -> None:
        """Start the process; it is killed at the end of the test.

        ``seeds`` are the numbers of VMs. ``root`` is a checkout of the build, and ``log_path`` where its log goes,
        with its errors unless there is a descriptor ``stderr``.
        """
        ip = f'{NETWORK}.{number}'
        front, readiness, directory = find_ports(3)
        self.front = (ip, front)
        self.readiness = (ip, readiness)
        self.directory = (ip, directory)
        self.metrics = (ip, METRICS_PORT)
        settings = make_settings(
            nodeName=f'edge-{number}',
            ip=ip,
            listen={
                'front': f'{ip}:{front}',
                'readiness': f'{ip}:{readiness}',
                'directory': f'{ip}:{directory}',
            },
            seedNodes=list_seeds(seeds),
            platform={'address': store, 'parts': 2},
        )
        folder = tempfile.mkdtemp()
        test.addCleanup(shutil.rmtree, folder)
        path = Path(folder) / 'settings.json'
        path.write_bytes(settings)
        self._settings_path = path
        self._log_path = log_path or Path(folder) / 'log'
        with self._log_path.open('ab') as log:
            self.process = Popen(
                [sys.executable, str(root / 'platform' / 'serve.py')],
                env={
                    **os.environ,
                    'BRONZEPOST_BOOT': str(path),
                    'PYTHONPATH': os.pathsep.join((
                        str(root / 'src'),
                        str(root / 'platform'),
                    )),
                },
                stdout=log,
                stderr=log if stderr is None else stderr,
            )
        test.addCleanup(self.process.wait)
        test.addCleanup(self.process.kill)

    def write_seeds(self, *numbers: int) -> None:
        """Change the seeds in the settings file, without a signal."""
        document = msgspec.json.decode(self._settings_path.read_bytes())
        document['seedNodes'] = list_seeds(numbers)
        self._settings_path.write_bytes(msgspec.json.encode(document))

    def read_log(self) -> bytes:
        """Return what the process has logged."""
        return self._log_path.read_bytes()

    def wait_until_ready(self) -> None:
        """Return once the process reports that it is ready."""
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while self.fetch_page(self.readiness, '/api/readyz')[0] != 200:
                gevent.sleep(POLL_INTERVAL_SECONDS)

    def wait_for_vms(self, count: int) -> None:
        """Return once the process lists ``count`` VMs to callers."""
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while self.count_vms() != count:
                gevent.sleep(POLL_INTERVAL_SECONDS)

    def count_vms(self) -> int:
        """Return the number of VMs that the process lists to callers."""
        status, body = self.fetch_page(
            self.directory, '/api/resolve?zone=hall-a'
        )
        if status != 200:
            return 0
        return len(msgspec.json.decode(body)['addresses'])

    def send_turn(self, request_id: str, *headers: str) -> AnswerReader:
        """Send a turn and return its answer."""
        lines = [
            'POST /chat/x HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {request_id}',
            'Token-Usage: 10,50',
            'Deadline-Ms: 3000',
            'Content-Length: 3',
            *headers,
            '',
            request_id[:3],
        ]
        caller = CallerSocket(address=self.front)
        caller.sock.sendall('\r\n'.join(lines).encode())
        return caller.read_answer()

    def fetch_page(
        self, address: tuple[str, int], target: str
    ) -> tuple[int, bytes]:
        """Return status and body of a page; status 0 without a connection."""
        try:
            caller = CallerSocket(address=address)
        except OSError:
            return 0, b''
        caller.sock.sendall(
            f'GET {target} HTTP/1.1\r\nHost: a\r\n\r\n'.encode()
        )
        answer = caller.read_answer()
        return answer.head.status if answer.head else 0, answer.pop_body()
