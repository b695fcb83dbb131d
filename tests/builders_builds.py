"""Earlier builds of bronzepost, from the history of the repository."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import testtools

ROOT = Path(__file__).resolve().parent.parent
RECORDINGS = ROOT / 'recordings' / 'messages'
SCRIPT = ROOT / 'scripts' / 'record_messages.py'
# Earlier builds beside which VMs of this one may run.
EARLIER_BUILDS = ('01a0da3', '1cd2fca')


def make_folder(test: testtools.TestCase) -> Path:
    """Return a temporary folder, removed at the end of the test."""
    folder = tempfile.mkdtemp()
    test.addCleanup(shutil.rmtree, folder)
    return Path(folder)


def unpack_build(test: testtools.TestCase, commit: str) -> Path:
    """Return a temporary folder with the sources of an earlier build.

    The test fails if the clone does not have the commit.
    """
    folder = make_folder(test)
    archive = subprocess.run(
        ['git', '-C', str(ROOT), 'archive', commit, 'src', 'platform'],
        check=True,
        capture_output=True,
    )
    subprocess.run(
        ['tar', '-x', '-C', str(folder)], check=True, input=archive.stdout
    )
    return folder


def run_script(root: Path, action: str, path: Path) -> str:
    """Record or check messages with a build; return the output."""
    run = subprocess.run(
        [sys.executable, str(SCRIPT), action, str(path)],
        check=True,
        capture_output=True,
        env={**os.environ, 'PYTHONPATH': str(root / 'src')},
        text=True,
    )
    return run.stdout


def check_recording(root: Path, path: Path) -> dict[str, str]:
    """Return the kinds of a recording that a build cannot decode whole."""
    failures: dict[str, str] = json.loads(run_script(root, 'check', path))
    return failures


def read_recording(path: Path) -> dict[str, Any]:
    """Return a recording: the protocol version, and examples by kind."""
    recording: dict[str, Any] = json.loads(path.read_text(encoding='utf-8'))
    return recording
