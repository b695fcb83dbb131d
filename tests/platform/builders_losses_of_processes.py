"""A world of real processes that are all lost, and programs with budgets."""

import dataclasses
import itertools
import math
import random
import tempfile
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import gevent

from tests.platform.builders_platform import TOKENS_PER_EVENT
from tests.soak.callers import TURN_TOKENS, Caller
from tests.soak.observations import Attempt, Observations, is_served
from tests.soak.workspaces import draw_lasting_key
from tests.soak.world import World

VMS: Final = 8
PROGRAMS: Final = 40
BUDGETS_IN_TURNS: Final = (10, 14, 20)
# A turn begins about once a second, and is tried again after up to a second.
TURN_PAUSE_SECONDS: Final = 1.2
RETRY_PAUSE_SECONDS: Final = 1.0
# Lost processes start again within this time.
RESTART_SECONDS: Final = 1.0
# By rule, programs go on from this time after a loss, and such a number of tries
# that reach no server is a broken promise.
RECOVERY_SECONDS: Final = 8.0
REFUSED_TRIES: Final = 5
# Long enough for more than that number of tries.
WATCHED_SECONDS: Final = 9.0
MAX_SECONDS_BEFORE_LOSS: Final = 12.0
POLL_SECONDS: Final = 0.1
_ID_NUMBERS = itertools.count(1)


class BudgetedProgram:
    """A program that asks for turns without end, one after the other.

    It goes on after status 402, so that what it is handed shows whether its
    budget holds.
    """

    def __init__(
        self,
        *,
        caller: Caller,
        observations: Observations,
        budget_in_turns: int,
    ) -> None:
        """Prepare a program; its budget is in turns of the most tokens."""
        self.program_id = f'budgeted-{next(_ID_NUMBERS)}'
        self.budget = TURN_TOKENS * budget_in_turns
        self._caller = caller
        self._key = draw_lasting_key()
        self._previous_turn = ''
        self._history = b''
        observations.budgets_by_program[self.program_id] = self.budget

    def run(self) -> None:
        """Ask for turns until killed."""
        while True:  # noqa: WPS457 - killed at the end
            text = b'input %d;' % next(_ID_NUMBERS)
            attempt = self._send(text)
            pause_seconds = RETRY_PAUSE_SECONDS
            if is_served(attempt):
                pause_seconds = TURN_PAUSE_SECONDS
                self._append_to_history(text, attempt)
            gevent.sleep(random.random() * pause_seconds)  # noqa: S311

    def _send(self, text: bytes) -> Attempt:
        headers = [
            f'Program-Id: {self.program_id}',
            f'Token-Budget: {self.budget}',
            f'Token-Usage: 10,{TURN_TOKENS}',
        ]
        if self._previous_turn:
            headers.append(f'Previous-Turn: {self._previous_turn}')
        return self._caller.call(
            '/chat/x',
            text,
            *headers,
            kind='turn',
            program_id=self.program_id,
            key=self._key,
            expected=self._history + text,
        )

    def _append_to_history(self, text: bytes, attempt: Attempt) -> None:
        prefix = b'data: '
        answers = [
            b'%b\n' % line.removeprefix(prefix)
            for line in attempt.body.split(b'\n')
            if line.startswith(prefix)
        ]
        self._history = b''.join((self._history, text, *answers))
        self._previous_turn = attempt.request_id


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefusedProgram:
    """A program with tokens left whose tries reach no server.

    ``used`` counts the tokens of all runs, those at their most that did not end
    whole. ``tries`` reached no server one after the other, from ``seconds`` after
    the loss on, and ended with ``statuses``.
    """

    program_id: str
    budget: int
    used: int
    tries: int
    seconds: float
    statuses: tuple[int, ...]


class LossWorld:
    """Gateways that are lost together, and programs that go on."""

    def __init__(self, *, seed: int) -> None:
        """Start 8 VMs; the folder of their logs is left behind."""
        random.seed(seed)
        self.folder = Path(tempfile.mkdtemp(prefix=f'loss-{seed}-'))
        self._world = World(vms=VMS, folder=self.folder)
        self.observations = self._world.observations
        self.store = self._world.store
        self.programs = [
            BudgetedProgram(
                caller=self._world.caller,
                observations=self.observations,
                budget_in_turns=BUDGETS_IN_TURNS[
                    number % len(BUDGETS_IN_TURNS)
                ],
            )
            for number in range(PROGRAMS)
        ]
        self._greenlets: list[Any] = []

    @property
    def lost_at(self) -> float:
        """Return the time of the last loss, or that in place of one."""
        return self.observations.losses[-1]

    def start(self) -> None:
        """Start the VMs, and the programs once all VMs are ready."""
        self._world.start()
        self._greenlets = [
            gevent.spawn(program.run) for program in self.programs
        ]

    def close(self) -> None:
        """Stop the programs, the VMs and the stand-ins."""
        gevent.killall(self._greenlets)
        self._world.close()

    def wait_until_used(self, share: float) -> None:
        """Wait until half of the programs have used a share of their budgets."""
        ends_at = time.monotonic() + MAX_SECONDS_BEFORE_LOSS
        while time.monotonic() < ends_at:
            late = sum(
                count_used(self.observations, program.program_id)
                > share * program.budget
                for program in self.programs
            )
            if 2 * late >= len(self.programs):
                return
            gevent.sleep(POLL_SECONDS)

    def lose_none(self) -> None:
        """Let the programs be watched from now on as after a loss."""
        self.observations.losses.append(time.monotonic())

    def lose_all(self) -> None:
        """End all VMs with SIGKILL at once, and start each within a second."""
        vms = self._world.vms
        self.lose_none()
        gevent.joinall([gevent.spawn(vm.kill) for vm in vms])
        gevent.joinall([
            gevent.spawn_later(
                random.random() * RESTART_SECONDS,  # noqa: S311
                vm.start,
            )
            for vm in vms
        ])

    def watch(self) -> None:
        """Let the programs go on until tries after the recovery are seen."""
        ends_at = self.lost_at + RECOVERY_SECONDS + WATCHED_SECONDS
        gevent.sleep(max(ends_at - time.monotonic(), 0))
        gevent.killall(self._greenlets)
        for vm in self._world.vms:
            vm.check()
            self.observations.violations.extend(vm.violations)

    def list_unspent(self) -> list[str]:
        """Return the programs with tokens for a turn at the last loss."""
        return [
            program.program_id
            for program in self.programs
            if program.budget - TURN_TOKENS
            >= count_used(
                self.observations, program.program_id, until=self.lost_at
            )
        ]

    def find_refused(self) -> list[RefusedProgram]:
        """Return the programs that are refused though they have tokens left."""
        refused = (
            find_refused(
                self.observations, program.program_id, lost_at=self.lost_at
            )
            for program in self.programs
        )
        return list(filter(None, refused))


def find_refused(
    observations: Observations, program_id: str, *, lost_at: float
) -> RefusedProgram | None:
    """Return what a program was refused though it has tokens left, if anything.

    These are tries that reached no server, one after the other, from the end of
    the recovery on. Only tries for which the budget holds one more turn count.
    """
    budget = observations.budgets_by_program[program_id]
    longest: list[Attempt] = []
    series: list[Attempt] = []
    for tried in list_tries(observations, program_id):
        used = count_used(observations, program_id, until=tried.sent_at)
        is_counted = (
            tried.sent_at >= lost_at + RECOVERY_SECONDS
            and used + TURN_TOKENS <= budget
            and tried.request_id not in observations.runs_by_id
        )
        series = [*series, tried] if is_counted else []
        longest = max(longest, series, key=len)
    if len(longest) < REFUSED_TRIES:
        return None
    first_at = longest[0].sent_at
    return RefusedProgram(
        program_id=program_id,
        budget=budget,
        used=count_used(observations, program_id, until=first_at),
        tries=len(longest),
        seconds=round(first_at - lost_at, 1),
        statuses=tuple(sorted({tried.status for tried in longest})),
    )


def list_tries(observations: Observations, program_id: str) -> list[Attempt]:
    """Return the tries of a program in their order.

    The last one is left out if it has no answer: it may have been cut off by the
    end of the test.
    """
    tries = [
        attempt
        for attempt in observations.attempts
        if attempt.program_id == program_id
    ]
    if tries and not tries[-1].ended_at:
        tries.pop()
    return tries


def count_used(
    observations: Observations, program_id: str, *, until: float = math.inf
) -> int:
    """Return the tokens of a program's runs that began before a time.

    A run counts at its most unless its try was answered whole.
    """
    used = 0
    for attempt in observations.attempts:
        if attempt.program_id != program_id:
            continue
        for run in observations.runs_by_id.get(attempt.request_id, ()):
            if run.at < until:
                used += count_run(attempt, run.answer)
    return used


def count_run(attempt: Attempt, answer: bytes) -> int:
    """Return the tokens of one run, at their most if they may not be known."""
    is_whole = attempt.status == HTTPStatus.OK and attempt.is_complete
    events = answer.count(b'\n\n')
    return events * TOKENS_PER_EVENT if is_whole else TURN_TOKENS
