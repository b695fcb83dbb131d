"""Load by several programs at once, bounded in time."""

import dataclasses
import sys
import time
from collections.abc import Sequence

import gevent

from .client import CallError, Conversation


@dataclasses.dataclass(kw_only=True, slots=True)
class LoadResult:
    """What programs did: calls finished, calls refused, seconds."""

    calls: int = 0
    failed: int = 0
    seconds: float = 0
    last_error: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """What the programs of one run have in common."""

    result: LoadResult
    tokens: int
    text: str
    ends_at: float

    def take_turns(self, address: str) -> None:
        """Let one program after another call until the time is up."""
        program = Conversation(address=address)
        while time.monotonic() < self.ends_at:
            if self._is_answered(program):
                # The history is not to grow with the speed of the calls.
                program = renew_program(program)
            else:
                program = Conversation(address=address)
        program.end()

    def _is_answered(self, program: Conversation) -> bool:
        try:
            program.take_turn(self.tokens, self.text)
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
    """Let programs call one after another until the time is up."""
    result = LoadResult()
    started = time.monotonic()
    load = Load(
        result=result, tokens=tokens, text=text, ends_at=started + seconds
    )
    gevent.joinall([
        gevent.spawn(load.take_turns, addresses[number % len(addresses)])
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
    """Return a new program after some turns."""
    if program.sequence < turns:
        return program
    program.end()
    return Conversation(address=program.address)
