"""Runs single stand-ins for tests."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from standins.processes import ManagedProcess


@contextmanager
def running_standin(*arguments: str) -> Iterator[str]:
    """Run a stand-in during a block; yield the addresses of its ready line."""
    with TemporaryDirectory() as directory:
        process = ManagedProcess(
            name=arguments[0],
            arguments=('standins', *arguments, '--stop-with-parent'),
            output=Path(directory) / 'output',
        )
        try:
            yield process.wait_ready()
        finally:
            process.request_stop()
            process.wait_ended()
