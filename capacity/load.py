"""Load from several concurrent programs for a fixed time."""

import dataclasses
import sys
import time
from collections.abc import Sequence

import gevent

from .client import CallError, Conversation


@dataclasses.dataclass(kw_only=True, slots=True)
class LoadResult:
    """Numbers of answered and failed calls, and the elapsed seconds."""

    calls: int = 0
    failed: int = 0
    seconds: float = 0
    last_error: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Parameters and result that the programs of one run share."""

    result: LoadResult
    tokens: int
    text: str
    ends_at: float

    def run_until_end(self, address: str) -> None:
        """Run programs one after another until ``ends_at``."""
        program = Conversation(address=address)
        while time.monotonic() < self.ends_at:
            if self._try_call(program):
                # Renewed, so that histories do not grow with the call rate.
                program = renew_program(program)
            else:
                program = Conversation(address=address)
        program.end()

    def _try_call(self, program: Conversation) -> bool:
        try:
            program.make_call(self.tokens, self.text)
        except (CallError, OSError) as error:
            self.result.failed += 1
            self.result.last_error = str(error)
            return False
        self.result.calls += 1
        return True


def run_programs(
    addresses: Sequence[str],
    *,
    programs: int,
    tokens: int,
    seconds: float,
    text: str = 'go on',
) -> LoadResult:
    """Keep this many programs running for some seconds."""
    result = LoadResult()
    started = time.monotonic()
    load = Load(
        result=result, tokens=tokens, text=text, ends_at=started + seconds
    )
    gevent.joinall([
        gevent.spawn(load.run_until_end, addresses[number % len(addresses)])
        for number in range(programs)
    ])
    result.seconds = time.monotonic() - started
    if result.failed:
        sys.stderr.write(
            f'{result.failed} of {result.failed + result.calls} calls failed,'
            f' the last with: {result.last_error}\n'
        )
    return result


def renew_program(program: Conversation, turns: int = 20) -> Conversation:
    """Return the program, or a new one if it has had all its turns."""
    if program.sequence < turns:
        return program
    program.end()
    return Conversation(address=program.address)
