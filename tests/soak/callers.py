"""Programs of callers: turns with histories and budgets, and tool calls."""

import contextlib
import itertools
import random
from http import HTTPStatus
from typing import Any, Final

import gevent

from bronzepost._internal.gateway.header_names import find_header
from bronzepost._internal.gateway.http_messages import AnswerReader
from tests.builders_gateway_servers import CallerSocket
from tests.platform.builders_platform import HOST, TOKENS_PER_EVENT
from tests.soak.backends import MOST_EVENTS
from tests.soak.observations import Attempt, Observations
from tests.soak.vms import Vm

TURN_TOKENS: Final = MOST_EVENTS * TOKENS_PER_EVENT
TRIES: Final = 3
# Turns that the budget of a program without end holds.
LOOP_TURNS: Final = 3
PAUSE_SECONDS: Final = 0.1
MOST_PAUSE_SECONDS: Final = 1.0
ANSWER_SECONDS: Final = 5.0
_NUMBERS = itertools.count(1)


class Caller:
    """Sends requests to the VMs and notes how each ended."""

    def __init__(self, *, vms: list[Vm], seen: Observations) -> None:
        """Call any of ``vms``."""
        self._vms = vms
        self._seen = seen

    def call(
        self,
        path: str,
        body: bytes,
        *headers: str,
        vm: Vm | None = None,
        **fields: Any,
    ) -> Attempt:
        """Send one request and return how it ended."""
        asked = vm or random.choice(self._vms)  # noqa: S311
        attempt = Attempt(
            request_id=f'q-{next(_NUMBERS)}',
            boot=asked.boot,
            **{'expected': body, **fields},
        )
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {attempt.request_id}',
            'Deadline-Ms: 3000',
            f'Content-Length: {len(body)}',
            *headers,
            '',
            '',
        ]
        self._seen.note_attempt(attempt)
        request = '\r\n'.join(lines).encode() + body
        ended = finish_attempt(attempt, exchange(asked, request))
        self._seen.note_attempt(ended)
        return ended

    def call_tool(self) -> Attempt:
        """Call a plain service, by a route that may or may not repeat."""
        kind = random.choice(('look', 'book'))  # noqa: S311
        return self.call(f'/{kind}/x', b'tool', kind=kind)


class Program:
    """A chain of turns within a budget; one that loops never ends itself."""

    def __init__(
        self, *, caller: Caller, seen: Observations, turns: int, is_loop: bool
    ) -> None:
        """Plan a program; a loop has a budget of three turns."""
        self.is_failed = False
        self.is_spent = False
        self.turns_done = 0
        self._caller = caller
        self._program_id = f'p-{next(_NUMBERS)}'
        self._turns = turns
        self._is_loop = is_loop
        self._budget = TURN_TOKENS * LOOP_TURNS
        if not is_loop:
            self._budget = 2 * TURN_TOKENS * turns
        self._previous = ''
        self._chain = b''
        seen.budgets_by_program[self._program_id] = self._budget

    def run(self, tries: int = TRIES) -> None:
        """Send the turns one after the other, with tool calls between."""
        while self.turns_done < self._turns or self._is_loop:
            if not self._take_turn(tries):
                return
            self.turns_done += 1
            self._caller.call_tool()
            gevent.sleep(random.random() * PAUSE_SECONDS)  # noqa: S311

    def _take_turn(self, tries: int) -> bool:
        for _ in range(tries):
            text = b'input %d;' % next(_NUMBERS)
            attempt = self._send(text)
            if attempt.status == HTTPStatus.OK and attempt.is_complete:
                self._keep(text, attempt)
                return True
            if attempt.status == HTTPStatus.PAYMENT_REQUIRED:
                self.is_spent = True
                return False
            gevent.sleep(random.random() * MOST_PAUSE_SECONDS)  # noqa: S311
        self.is_failed = True
        return False

    def _send(self, text: bytes) -> Attempt:
        headers = [
            f'Program-Id: {self._program_id}',
            f'Token-Budget: {self._budget}',
            f'Token-Usage: 10,{TURN_TOKENS}',
        ]
        if self._previous:
            headers.append(f'Previous-Turn: {self._previous}')
        return self._caller.call(
            '/chat/x',
            text,
            *headers,
            kind='turn',
            program_id=self._program_id,
            expected=self._chain + text,
        )

    def _keep(self, text: bytes, attempt: Attempt) -> None:
        prefix = b'data: '
        answers = [
            line.removeprefix(prefix)
            for line in attempt.body.split(b'\n')
            if line.startswith(prefix)
        ]
        self._chain = b''.join((
            self._chain,
            text,
            *(b'%b\n' % answer for answer in answers),
        ))
        self._previous = attempt.request_id


def exchange(vm: Vm, request: bytes) -> AnswerReader:
    """Send a request and return its answer, as far as it came."""
    reader = AnswerReader()
    with contextlib.suppress(OSError, gevent.Timeout):
        with gevent.Timeout(ANSWER_SECONDS):
            host, _, port = vm.link.address.rpartition(':')
            caller = CallerSocket(address=(host, int(port)))
            with contextlib.closing(caller.sock):
                caller.sock.sendall(request)
                read_into(reader, caller)
    return reader


def read_into(reader: AnswerReader, caller: CallerSocket) -> None:
    """Read until the answer is complete or the connection ends."""
    while not reader.is_complete:
        received = caller.sock.recv(65536)
        if not received:
            reader.feed_eof()
            return
        reader.feed(received)


def finish_attempt(attempt: Attempt, answer: AnswerReader) -> Attempt:
    """Return the attempt with what its answer says."""
    if answer.head is None:
        return attempt
    stamp = find_header(answer.head.headers, b'server-stamp')
    return Attempt(
        request_id=attempt.request_id,
        kind=attempt.kind,
        program_id=attempt.program_id,
        expected=attempt.expected,
        boot=attempt.boot,
        status=answer.head.status,
        body=answer.pop_body(),
        is_complete=answer.is_complete,
        is_from_server=stamp is not None,
    )
