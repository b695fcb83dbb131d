"""Gateway processes of a soak, each with its own links."""

import os
import signal
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import gevent
from gevent.lock import BoundedSemaphore
from gevent.socket import socket as open_socket
from gevent.subprocess import Popen

from tests.builders_gateway_servers import CallerSocket
from tests.platform.builders_links import ServerLinkSet
from tests.platform.builders_platform import make_settings
from tests.soak.links import Link

ROOT: Final = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_SECONDS: Final = 30.0
STOP_TIMEOUT_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.05
FIRST_PEER_PORT: Final = 7380


class Vm:
    """One VM: a gateway process that can be restarted with the same name.

    Callers reach it through ``link``, and it reaches the store through
    ``store_link`` and backend servers through ``server_links``. ``is_wanted`` is set while the process should be running.
    """

    def __init__(
        self,
        *,
        number: int,
        network: str,
        server_links: ServerLinkSet,
        folder: Path,
    ) -> None:
        """Choose ports; ``network`` has the first three bytes of the IP."""
        self.name = f'edge-{number}'
        self.boot = ''
        self.is_wanted = False
        self.violations: list[str] = []
        self.freezes: list[tuple[str, float]] = []
        self._ip = f'{network}.{number}'
        self._network = network
        self._folder = folder
        self._starts = 0
        self.pauses = 0
        self._start_lock = BoundedSemaphore(1)
        self._process: Any = None
        front, readiness, directory = find_free_ports(self._ip, 3)
        self._ports = {
            'front': f'{self._ip}:{front}',
            'readiness': f'{self._ip}:{readiness}',
            'directory': f'{self._ip}:{directory}',
        }
        self.link = Link(target=self._ports['front'])
        self.server_links = server_links
        self.store_link = Link(target=server_links.store_address)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process if it is not running."""
        # Two faults may start the VM at once, and a start yields to greenlets.
        with self._start_lock:
            if not self.is_running:
                self._start_process()

    def wait_until_ready(self) -> None:
        """Wait until the readiness address answers with status 200.

        Raises:
            Timeout: if it is not ready in time.
        """
        with gevent.Timeout(READY_TIMEOUT_SECONDS):
            while not self._is_ready():
                gevent.sleep(POLL_SECONDS)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.is_wanted = False
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def stop(self) -> None:
        """Send SIGTERM and wait; record a process that does not stop."""
        self.is_wanted = False
        process, boot = self._process, self.boot
        if not self.is_running:
            return
        self.resume()
        process.terminate()
        pauses = -1
        # A pause restarts the timeout, since a frozen process cannot stop.
        while process.poll() is None and pauses != self.pauses:
            pauses = self.pauses
            with gevent.Timeout(STOP_TIMEOUT_SECONDS, False):
                process.wait()
        if process.poll() is None:
            self.violations.append(f'{boot} does not stop')
            process.kill()
            process.wait()

    def pause(self) -> None:
        """Freeze the process with SIGSTOP."""
        self.pauses += 1
        self.freezes.append((self.boot, time.monotonic()))
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process."""
        self.freezes.append((self.boot, time.monotonic()))
        self._signal(signal.SIGCONT)

    def reread_settings(self) -> None:
        """Send SIGHUP, unless the process has not come to handle it yet.

        The signal ends a process whose interpreter is still starting.
        """
        if self.is_running and handles_signal(self._process.pid, signal.SIGHUP):
            self._signal(signal.SIGHUP)

    def check(self) -> None:
        """Record a process that ended by itself."""
        if self.is_wanted and not self.is_running:
            code = self._process.returncode
            self.violations.append(
                f'{self.boot} ended by itself with status {code}'
            )
            self.is_wanted = False

    def close(self) -> None:
        """End the process and close its links."""
        self.kill()
        self.link.close()
        self.store_link.close()

    def _start_process(self) -> None:
        self._starts += 1
        self.boot = f'{self.name}/{self._starts}'
        settings = make_settings(
            nodeName=self.name,
            ip=self._ip,
            listen=self._ports,
            seedNodes=[f'{self._network}.{number}:1' for number in (21, 22)],
            platform={'address': self.store_link.address, 'parts': 2},
            portRange=[FIRST_PEER_PORT, FIRST_PEER_PORT + 9],
        )
        path = self._folder / f'{self.name}.json'
        path.write_bytes(settings)
        log_path = self._folder / f'{self.name}.{self._starts}.log'
        with log_path.open('wb') as log:
            self._process = Popen(
                [sys.executable, str(ROOT / 'platform' / 'serve.py')],
                env={
                    **os.environ,
                    'BRONZEPOST_BOOT': str(path),
                    # The stack of a process that a signal ends goes to its log.
                    'PYTHONFAULTHANDLER': '1',
                },
                stdout=log,
                stderr=log,
            )
        self.is_wanted = True

    def _signal(self, number: int) -> None:
        if self.is_running:
            self._process.send_signal(number)

    def _is_ready(self) -> bool:
        host, _, port = self._ports['readiness'].rpartition(':')
        try:
            caller = CallerSocket(address=(host, int(port)))
        except OSError:
            return False
        caller.sock.sendall(b'GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n')
        head = caller.read_answer().head
        return head is not None and head.status == HTTPStatus.OK


def handles_signal(pid: int, number: int) -> bool:
    """Return whether a process ignores or catches a signal."""
    lines = Path(f'/proc/{pid}/status').read_text(encoding='utf-8').splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    mask = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
    return bool(mask & (1 << (number - 1)))


def find_free_ports(address: str, count: int) -> list[int]:
    """Return free ports of an address."""
    probes = [open_socket() for _ in range(count)]
    for probe in probes:
        probe.bind((address, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
