"""What callers and backend servers saw, and what must hold of it."""

import collections
import dataclasses
from collections.abc import Iterator
from http import HTTPStatus
from typing import Final

from tests.platform.builders_platform import TOKENS_PER_EVENT

# Statuses by which the gateway says that a request did not run and never will.
NOT_RUN: Final = frozenset((
    HTTPStatus.PAYMENT_REQUIRED,
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


# Kinds of requests that the gateway may send to a second server.
REPEATABLE: Final = frozenset(('look', 'probe'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One request of a caller and how it ended.

    ``expected`` is the body that a backend server has to get, and ``boot``
    tells apart the processes of one VM. A status of zero means no answer.
    """

    request_id: str
    kind: str
    program_id: str = ''
    expected: bytes = b''
    status: int = 0
    body: bytes = b''
    is_complete: bool = False
    is_from_server: bool = False
    boot: str = ''

    @property
    def events(self) -> int:
        """Return the whole events that the caller got."""
        return self.body.count(b'\n\n')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One request that a backend server began to work on.

    ``answer`` is the whole answer that it would send.
    """

    request_id: str
    server_id: str
    body: bytes
    answer: bytes


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All attempts and runs of a soak."""

    attempts_by_id: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    runs_by_id: dict[str, list[Run]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    budgets_by_program: dict[str, int] = dataclasses.field(default_factory=dict)
    turn_tokens: int = 0
    found: list[str] = dataclasses.field(default_factory=list)

    @property
    def attempts(self) -> list[Attempt]:
        """Return all attempts, those without an end included."""
        return list(self.attempts_by_id.values())

    def note_attempt(self, attempt: Attempt) -> None:
        """Note an attempt as far as it has gone."""
        self.attempts_by_id[attempt.request_id] = attempt

    def note_run(self, run: Run) -> None:
        """Note the start of a run."""
        self.runs_by_id[run.request_id].append(run)

    def find_violations(self) -> list[str]:
        """Return the broken promises, each with the request or program."""
        return [
            *self.found,
            *self._check_answers(),
            *self._check_runs(),
            *self._check_budgets(),
        ]

    def _check_answers(self) -> Iterator[str]:
        for attempt in self.attempts:
            runs = self.runs_by_id.get(attempt.request_id, [])
            if attempt.status == HTTPStatus.OK:
                yield from check_success(attempt, runs)
            if attempt.status in NOT_RUN and not attempt.is_from_server:
                if runs and attempt.kind not in REPEATABLE:
                    yield f'{attempt.status} but run: {attempt.request_id}'
            is_probe = attempt.kind == 'probe'
            if attempt.status == HTTPStatus.NOT_FOUND and not is_probe:
                yield f'404 for what is there: {attempt.request_id}'

    def _check_runs(self) -> Iterator[str]:
        for request_id, runs in self.runs_by_id.items():
            attempt = self.attempts_by_id.get(request_id)
            if attempt is None:
                yield f'run that nobody asked for: {request_id}'
                continue
            if len(runs) > 1 and attempt.kind not in REPEATABLE:
                yield f'run {len(runs)} times: {request_id}'
            if any(run.body != attempt.expected for run in runs):
                yield f'run with another body: {request_id}'

    def _check_budgets(self) -> Iterator[str]:
        handed: collections.Counter[str] = collections.Counter()
        for attempt in self.attempts:
            handed[attempt.program_id] += attempt.events * TOKENS_PER_EVENT
        for program_id, budget in self.budgets_by_program.items():
            if handed[program_id] > budget + self.turn_tokens:
                yield (
                    f'program {program_id} got {handed[program_id]} tokens'
                    f' of {budget}'
                )


def check_success(attempt: Attempt, runs: list[Run]) -> Iterator[str]:
    """Yield what is wrong with a success that a caller got."""
    wholes = [run.answer for run in runs]
    if not attempt.is_from_server:
        yield f'success without a server: {attempt.request_id}'
    if attempt.is_complete and attempt.body not in wholes:
        yield f'answer is not whole: {attempt.request_id}'
    if not any(whole.startswith(attempt.body) for whole in wholes):
        yield f'answer of another request: {attempt.request_id}'
