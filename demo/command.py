"""The command line of the demo."""

import signal
import sys
import time
from argparse import ArgumentParser
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import gevent
import msgspec

from demo.replay import replay
from demo.report import Report
from demo.trace import Trace, read_trace
from standins.organisations import CONVENTIONS, HANGAR_TRUST, Organisation
from standins.processes import LaunchError

ROOT: Final = Path(__file__).resolve().parent.parent
DEFAULT_TRACE: Final = ROOT / 'traces' / 'default.jsonl'
ORGANISATIONS: Final = (CONVENTIONS, HANGAR_TRUST)

OUTCOMES_FAILED: Final = 1
NOT_RUN: Final = 2


def main(arguments: Sequence[str]) -> int:
    """Replay a trace, print the figures and return the exit code."""
    parser = ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument('--trace', type=Path, default=DEFAULT_TRACE)
    parser.add_argument('--binary', type=Path, help='binary of the nodes')
    options = parser.parse_args(arguments)
    # SystemExit makes the deployment's context manager stop its processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, NOT_RUN)
    try:
        report = _replay_all(read_trace(options.trace), options.binary)
    except (OSError, ValueError, LaunchError) as error:
        print_progress(f'the trace was not replayed: {error}')
        return NOT_RUN
    for program, problems in report.problems_by_program.items():
        print_progress(f'{program}: {"; ".join(problems)}')
    line = msgspec.json.encode(report.summary()).decode()
    sys.stdout.write(f'{line}\n')
    return 0 if report.has_passed else OUTCOMES_FAILED


def print_progress(text: str) -> None:
    """Write a line of progress to stderr."""
    sys.stderr.write(f'{text}\n')


def _replay_all(trace: Trace, binary: Path | None) -> Report:
    report = Report()
    for organisation in _find_organisations(trace):
        started_at = time.monotonic()
        results, observation = replay(
            organisation, trace, print_progress, binary=binary
        )
        report.add(results, observation)
        seconds = time.monotonic() - started_at
        print_progress(
            f'{organisation.name}: {seconds:.1f} s with start and stop'
        )
    return report


def _find_organisations(trace: Trace) -> list[Organisation]:
    names = {program.organisation for program in trace.programs}
    names.update(setting.organisation for setting in trace.settings)
    organisations = [
        organisation
        for organisation in ORGANISATIONS
        if organisation.name in names
    ]
    unknown = names.difference(
        organisation.name for organisation in organisations
    )
    if unknown:
        raise ValueError(f'unknown organisations: {", ".join(sorted(unknown))}')
    if not trace.programs:
        raise ValueError('no program in the trace')
    return organisations
