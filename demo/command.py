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
    # The context manager of a deployment stops its processes on the way out.
    gevent.signal_handler(signal.SIGTERM, sys.exit, NOT_RUN)
    try:
        report = _replay_all(read_trace(options.trace), options.binary)
    except (OSError, ValueError, LaunchError) as error:
        show(f'the trace was not replayed: {error}')
        return NOT_RUN
    for program, problems in report.problems_by_program.items():
        show(f'{program}: {"; ".join(problems)}')
    line = msgspec.json.encode(report.summary()).decode()
    sys.stdout.write(f'{line}\n')
    return 0 if report.is_met else OUTCOMES_FAILED


def show(text: str) -> None:
    """Write a line of progress."""
    sys.stderr.write(f'{text}\n')


def _replay_all(trace: Trace, binary: Path | None) -> Report:
    report = Report()
    for organisation in _find_organisations(trace):
        started_at = time.monotonic()
        results, observation = replay(organisation, trace, show, binary=binary)
        report.add(results, observation)
        seconds = time.monotonic() - started_at
        show(f'{organisation.name}: {seconds:.1f} s with start and stop')
    return report


def _find_organisations(trace: Trace) -> list[Organisation]:
    names = {program.organisation for program in trace.programs}
    names.update(setting.organisation for setting in trace.settings)
    found = [it for it in ORGANISATIONS if it.name in names]
    unknown = names.difference(it.name for it in found)
    if unknown:
        raise ValueError(f'unknown organisations: {", ".join(sorted(unknown))}')
    if not trace.programs:
        raise ValueError('no program in the trace')
    return found
