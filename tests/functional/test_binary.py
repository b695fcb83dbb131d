"""Tests of the single-file binary, which is built once for all tests."""

import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar

from testtools import TestCase

from standins.deployment import Deployment
from standins.organisations import CONVENTIONS

ROOT = Path(__file__).resolve().parents[2]
BUILD_TIMEOUT_SECONDS = 120
RUN_TIMEOUT_SECONDS = 30
LIBRARIES = (
    'cappa, gevent, geventhttpclient, hdrh, msgspec, pynng, statsd, structlog,'
    ' xxhash, opentelemetry.sdk.trace,'
    ' opentelemetry.exporter.otlp.proto.common.trace_encoder'
)


def list_processes() -> Iterator[tuple[int, int]]:
    """Yield the id of each process with the id of its parent."""
    for path in Path('/proc').glob('[0-9]*/stat'):
        try:
            stat = path.read_text(encoding='utf-8', errors='replace')
        # The process may have ended since it was listed.
        except OSError:
            continue
        # The name, in parentheses, may contain spaces.
        _state, parent = stat.rpartition(')')[2].split()[:2]
        yield int(path.parent.name), int(parent)


def list_children(process_id: int) -> list[int]:
    """Return the ids of the child processes of a process."""
    return [child for child, parent in list_processes() if parent == process_id]


class BinaryTest(TestCase):
    """Tests of the binary that is released."""

    directory: ClassVar[tempfile.TemporaryDirectory[str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Build the binary in a temporary directory."""
        super().setUpClass()
        cls.directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.directory.cleanup)
        subprocess.run(
            [
                sys.executable,
                'scripts/build_binary.py',
                f'{cls.directory.name}/bronzepost',
            ],
            check=True,
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            timeout=BUILD_TIMEOUT_SECONDS,
        )

    def build_environment(self) -> dict[str, str]:
        """Return an environment without the libraries of the test's Python."""
        interpreter = Path(sys.base_prefix) / 'bin'
        return {
            'PATH': f'{interpreter}:{os.environ["PATH"]}',
            'SHIV_ROOT': f'{self.directory.name}/root',
        }

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        """Start the binary as a command, not as a script of Python."""
        process = subprocess.Popen(
            [f'{self.directory.name}/bronzepost', *arguments],
            env=self.build_environment(),
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def test_command_starts_no_other_process(self) -> None:
        """Guard against a launcher process that gets the signals instead."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        listener.settimeout(RUN_TIMEOUT_SECONDS)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        started = self.start('endpoints', '--address', address)
        children: list[int] = []
        deadline = time.monotonic() + RUN_TIMEOUT_SECONDS
        listener.setblocking(False)
        connection = None
        while connection is None and time.monotonic() < deadline:
            children.extend(list_children(started.pid))
            try:
                connection, _peer = listener.accept()
            except BlockingIOError:
                time.sleep(0.005)
        assert connection is not None, 'the binary did not connect'
        self.addCleanup(connection.close)
        # The command has started completely: it waits for an answer.
        self.assertEqual([], children + list_children(started.pid))
        command = Path(f'/proc/{started.pid}/cmdline').read_bytes()
        self.assertIn(b'endpoints', command)

    def test_serving_node_starts_no_other_process(self) -> None:
        """Guard against a node that runs as more than one process."""
        binary = Path(self.directory.name) / 'bronzepost'
        with Deployment(
            organisation=CONVENTIONS, nodes=1, scale=0.1, binary=binary
        ) as running:
            node = running.nodes[0].process
            self.assertEqual([], list_children(node.process_id))
            command = Path(f'/proc/{node.process_id}/cmdline').read_bytes()
            self.assertIn(str(binary).encode(), command)

    def test_version(self) -> None:
        """Guard against a binary that lacks one of its own modules."""
        process = self.start('version')
        output, _errors = process.communicate(timeout=RUN_TIMEOUT_SECONDS)
        self.assertEqual(0, process.returncode, output)
        self.assertIn('bronzepost', output)

    def test_check_accepts_an_example(self) -> None:
        """Guard against a binary that cannot read settings files."""
        process = self.start('check', 'examples/pl-central.toml')
        output, _errors = process.communicate(timeout=RUN_TIMEOUT_SECONDS)
        self.assertEqual(0, process.returncode, output)

    def test_binary_contains_its_libraries(self) -> None:
        """Guard against a library that is found on this machine only."""
        interpreter = Path(sys.base_prefix) / 'bin' / 'python3.11'
        binary = f'{self.directory.name}/bronzepost'
        environment = self.build_environment()
        environment['SHIV_INTERPRETER'] = '1'
        script = Path(self.directory.name) / 'libraries.py'
        script.write_text(f'import {LIBRARIES}\n', encoding='utf-8')
        # -S hides the libraries of the base interpreter.
        finished = subprocess.run(
            [str(interpreter), '-S', binary, str(script)],
            env=environment,
            capture_output=True,
            check=False,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
        )
        self.assertEqual('', finished.stderr)
        self.assertEqual(0, finished.returncode)
