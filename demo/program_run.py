"""Run the steps of one program as its caller."""

import time
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, Final

import gevent
import msgspec
from gevent.util import wrap_errors

from demo import trace
from demo.caller import Caller, ChatAnswer, Message
from demo.endpoints import EndpointCache
from demo.exchange import RefusedCallError
from standins.text import answer_text

UNKNOWN_PROGRAM: Final = 'unknown_program'


@dataclass(kw_only=True, slots=True)
class RunResult:
    """Result of a program as its caller saw it.

    ``tokens`` is the sum of the tokens that the answers report.

    ``spent_by_program`` and ``budgets_by_program`` are in budget units and
    include sub-agents.
    """

    program: trace.Program
    answers: int = 0
    tokens: int = 0
    seconds: float = 0
    is_finished: bool = False
    refusal: RefusedCallError | None = None
    problems: list[str] = field(default_factory=list)
    spent_by_program: dict[str, int] = field(default_factory=dict)
    budgets_by_program: dict[str, int] = field(default_factory=dict)

    @property
    def overspent_programs(self) -> list[str]:
        """Return the programs that spent more than their budget."""
        return [
            name
            for name, spent in self.spent_by_program.items()
            if spent > self.budgets_by_program.get(name, spent)
        ]


class Agent:
    """One program or sub-agent, with its caller and its messages so far."""

    def __init__(
        self,
        *,
        caller: Caller,
        model: str,
        entry_addresses: Sequence[str],
        result: RunResult,
    ) -> None:
        """Start without messages."""
        self.messages: list[Message] = []
        self._caller = caller
        self._model = model
        self._entry_addresses = entry_addresses
        self._result = result

    def run(self, steps: Sequence[trace.Step]) -> None:
        """Run steps in sequence, then end the program.

        Raises:
            RefusedCallError: if a step is refused; the program is still ended.
        """
        with ExitStack() as stack:
            stack.callback(self._end)
            for step in steps:
                self.run_step(step)

    @singledispatchmethod
    def run_step(self, step: Any) -> None:
        """Run one step of any type in the trace."""
        raise TypeError(f'no such step: {type(step).__name__}')

    @run_step.register
    def _(self, step: trace.Chat) -> None:
        self._add_message('user', step.text)
        body = {
            'model': self._model,
            'messages': self.messages,
            'max_tokens': step.max_tokens,
        }
        if step.stream:
            answer = self._caller.stream_chat(
                body, break_after=step.break_after
            )
        else:
            answer = self._caller.chat(body)
        self._check_answer(answer, step.max_tokens)
        self._add_message('assistant', answer.text)

    @run_step.register
    def _(self, step: trace.Pause) -> None:
        gevent.sleep(step.seconds)

    @run_step.register
    def _(self, step: trace.Tool) -> None:
        answer = self._caller.call_service(step.service, step.path, step.body)
        self._caller.finish_call()
        if answer['echo'] != step.body:
            self._result.problems.append(f'{step.path}: another answer')
        self._add_message('tool', msgspec.json.encode(answer['echo']).decode())

    @run_step.register
    def _(self, step: trace.NonIdempotentCall) -> None:
        body = {**step.body, 'business_key': step.key}
        # Returned as a value: gevent prints an exception that ends a
        # greenlet.
        send = wrap_errors(RefusedCallError, self._caller.call_service)
        copies = [
            gevent.spawn(send, step.service, step.path, body, key=step.key)
            for _ in range(step.copies)
        ]
        answers = [copy.get() for copy in copies]
        refusals = [
            answer for answer in answers if isinstance(answer, RefusedCallError)
        ]
        if refusals:
            raise refusals[0]
        self._caller.finish_call()
        if any(answer != answers[0] for answer in answers):
            self._result.problems.append(f'{step.key}: answers differ')
        self._add_message('tool', f'{step.key} is done')

    @run_step.register
    def _(self, step: trace.SubAgent) -> None:
        name = f'{self._caller.program}.{step.name}'
        caller = Caller(
            program=name,
            endpoints=EndpointCache(
                program=name, entry_addresses=self._entry_addresses
            ),
            budget=step.budget,
        )
        self._result.budgets_by_program[name] = step.budget
        child = Agent(
            caller=caller,
            model=self._model,
            entry_addresses=self._entry_addresses,
            result=self._result,
        )
        child.run(step.steps)
        report = child.messages[-1]['content']
        self._add_message('user', f'{step.name} reports: {report}')

    def _add_message(self, role: str, text: str) -> None:
        self.messages.append({'role': role, 'content': text})

    def _check_answer(self, answer: ChatAnswer, max_tokens: int) -> None:
        self._result.tokens += answer.total_tokens
        expected = answer_text(
            self._model, self.messages, max_tokens=max_tokens
        )
        if answer.is_complete and answer.text == expected:
            self._result.answers += 1
            return
        self._result.problems.append(
            f'answer {self._caller.sequence} of {self._caller.program}: '
            f'{answer.text!r}, expected {expected!r}'
        )

    def _end(self) -> None:
        if not self._caller.program:
            return
        try:
            ended = self._caller.end()
        except RefusedCallError as refusal:
            # A program whose first call was refused has never started.
            is_unknown = refusal.code == UNKNOWN_PROGRAM
            is_not_found = refusal.status == HTTPStatus.NOT_FOUND
            if self._caller.sequence or not (is_unknown and is_not_found):
                self._result.problems.append(f'end: {refusal}')
            return
        self._result.spent_by_program[self._caller.program] = ended['spent']


def run_program(
    program: trace.Program, *, model: str, entry_addresses: Sequence[str]
) -> RunResult:
    """Run a program from its start time on and return its result."""
    result = RunResult(program=program)
    if program.budget is not None:
        result.budgets_by_program[program.name] = program.budget
    gevent.sleep(program.start_seconds)
    name = '' if program.is_alone else program.name
    agent = Agent(
        caller=Caller(
            program=name,
            endpoints=EndpointCache(
                program=name, entry_addresses=entry_addresses
            ),
            budget=program.budget,
            importance=program.importance,
        ),
        model=model,
        entry_addresses=entry_addresses,
        result=result,
    )
    started_at = time.monotonic()
    try:
        agent.run(program.steps)
    except RefusedCallError as refusal:
        result.refusal = refusal
    except Exception as error:  # noqa: BLE001 - one caller must not end others
        result.problems.append(f'{type(error).__name__}: {error}')
    else:
        result.is_finished = True
    result.seconds = time.monotonic() - started_at
    return result
