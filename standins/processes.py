"""Child processes of a deployment."""

import os
import signal
import subprocess  # noqa: S404 - the launcher's purpose
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 5
POLL_SECONDS = 0.02
LAST_OUTPUT_BYTES = 4096
READY_PREFIX = 'ready '
ROOT = Path(__file__).resolve().parent.parent


class LaunchError(Exception):
    """A process did not become ready in time."""


class ManagedProcess:
    """One child process, whose output goes to a file."""

    def __init__(
        self,
        *,
        name: str,
        arguments: Sequence[str],
        output: Path,
        binary: Path | None = None,
    ) -> None:
        """Start a module of the worktree, or a binary, with arguments.

        The output goes to a file because a full pipe without a reader would
        block the process.
        """
        self.name = name
        self.output = output
        with output.open('ab') as output_file:
            self._process = subprocess.Popen(
                _build_command(binary, arguments),
                stdout=output_file,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env=_build_environment(binary, output.parent),
            )

    @property
    def process_id(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def wait_ready(self) -> str:
        """Return TEXT of the line ``ready TEXT`` that a stand-in prints.

        Raises:
            LaunchError: if the line does not appear within 20 seconds.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and self.is_running:
            for line in self.output.read_text(errors='replace').splitlines():
                if line.startswith(READY_PREFIX):
                    return line.removeprefix(READY_PREFIX)
            time.sleep(POLL_SECONDS)
        raise LaunchError(f'{self.name} is not ready: {self.last_output()}')

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.is_running:
            self._process.send_signal(number)

    def request_stop(self) -> None:
        """Send SIGTERM, and SIGCONT so that a paused process handles it."""
        self.send_signal(signal.SIGTERM)
        self.send_signal(signal.SIGCONT)

    def wait_ended(self, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Return the exit status; after the timeout, send SIGKILL first."""
        try:
            return self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
        return self._process.wait()

    def last_output(self) -> str:
        """Return the last 4 KiB of the output."""
        written = self.output.read_bytes()[-LAST_OUTPUT_BYTES:]
        return written.decode(errors='replace')


def child_environment(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the environment with the import path of the worktree."""
    return {
        **environment,
        'PYTHONPATH': os.pathsep.join((str(ROOT / 'src'), str(ROOT))),
        'PYTHONDONTWRITEBYTECODE': '1',
    }


def _build_command(binary: Path | None, arguments: Sequence[str]) -> list[str]:
    if binary is None:
        return [sys.executable, '-m', *arguments]
    return [str(binary), *arguments]


def _build_environment(binary: Path | None, directory: Path) -> dict[str, str]:
    if binary is None:
        return child_environment(os.environ)
    # The binary contains its modules and must not import those of the
    # worktree.
    interpreter = Path(sys.base_prefix) / 'bin'
    return {
        'PATH': f'{interpreter}:{os.environ["PATH"]}',
        'SHIV_ROOT': str(directory / 'unpacked'),
    }
