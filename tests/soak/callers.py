"""Callers that run programs: turns with history and budget, and tool calls."""

import contextlib
import itertools
import random
import time
from http import HTTPStatus
from typing import Any, Final

import gevent

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from tests.builders_gateway_servers import CallerSocket
from tests.platform.builders_platform import HOST, TOKENS_PER_EVENT
from tests.soak.backends import MAX_EVENTS, STREAM_PATH
from tests.soak.observations import (
    Attempt,
    Observations,
    StreamRecord,
)
from tests.soak.vms import Vm
from tests.soak.workspaces import NAMES, draw_lasting_key, find_lasting_key

MAX_STREAM_EVENTS: Final = 12
TURN_TOKENS: Final = MAX_EVENTS * TOKENS_PER_EVENT
MAX_TRIES: Final = 3
# Turns that the budget of an endless program covers.
LOOP_TURNS: Final = 3
PAUSE_SECONDS: Final = 0.1
MAX_PAUSE_SECONDS: Final = 1.0
ANSWER_TIMEOUT_SECONDS: Final = 5.0
_ID_NUMBERS = itertools.count(1)


class Caller:
    """Sends requests to the VMs and records how each ended."""

    def __init__(self, *, vms: list[Vm], observations: Observations) -> None:
        """Send to random ``vms`` and record in ``observations``."""
        self._vms = vms
        self._observations = observations
        self._idle_by_boot: dict[str, list[CallerSocket]] = {}

    def call(
        self,
        path: str,
        body: bytes,
        *headers: str,
        vm: Vm | None = None,
        **fields: Any,
    ) -> Attempt:
        """Send one request, by default to a random VM; return its result."""
        target_vm = vm or random.choice(self._vms)  # noqa: S311
        attempt = Attempt(
            request_id=f'q-{next(_ID_NUMBERS)}',
            boot=target_vm.boot,
            pauses=target_vm.pauses,
            sent_at=time.monotonic(),
            **{
                'expected': body,
                'key': find_lasting_key(NAMES[0]),
                **fields,
            },
        )
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {attempt.request_id}',
            'Deadline-Ms: 3000',
            f'Content-Length: {len(body)}',
            f'X-Api-Key: {attempt.key}',
            *headers,
            '',
            '',
        ]
        self._observations.record_attempt(attempt)
        request = '\r\n'.join(lines).encode() + body
        finished_attempt = finish_attempt(
            attempt, self._send_request(target_vm, request)
        )
        self._observations.record_attempt(finished_attempt)
        return finished_attempt

    def _send_request(self, vm: Vm, request: bytes) -> AnswerReader:
        """Send a request and return the part of the answer that arrived.

        Connections are kept open and used again until the other side closes.
        """
        reader = AnswerReader()
        idle = self._idle_by_boot.setdefault(vm.boot, [])
        with contextlib.suppress(OSError, gevent.Timeout, ProtocolError):
            with gevent.Timeout(ANSWER_TIMEOUT_SECONDS):
                caller = idle.pop() if idle else open_connection(vm)
                exchange(reader, caller, request)
                if is_kept_open(reader):
                    idle.append(caller)
        return reader

    def call_tool(self, key: str) -> Attempt:
        """Call a plain service by an idempotent or non-idempotent route."""
        kind = random.choice(('look', 'book'))  # noqa: S311
        return self.call(f'/{kind}/x', b'tool', kind=kind, key=key)


class Program:
    """A sequence of turns within a budget; a loop has no last turn."""

    def __init__(
        self,
        *,
        caller: Caller,
        observations: Observations,
        turns: int,
        is_loop: bool,
    ) -> None:
        """Prepare a program; the budget of a loop covers three turns."""
        self.is_failed = False
        self.is_spent = False
        self.turns_done = 0
        self._caller = caller
        self._key = draw_lasting_key()
        self._program_id = f'p-{next(_ID_NUMBERS)}'
        self._turns = turns
        self._is_loop = is_loop
        self._budget = TURN_TOKENS * LOOP_TURNS
        if not is_loop:
            self._budget = 2 * TURN_TOKENS * turns
        self._previous_turn = ''
        self._history = b''
        observations.budgets_by_program[self._program_id] = self._budget

    def run(self, max_tries: int = MAX_TRIES) -> None:
        """Send the turns in sequence, each followed by a tool call."""
        while self.turns_done < self._turns or self._is_loop:
            if not self._run_turn(max_tries):
                return
            self.turns_done += 1
            self._caller.call_tool(self._key)
            gevent.sleep(random.random() * PAUSE_SECONDS)  # noqa: S311

    def _run_turn(self, max_tries: int) -> bool:
        for _ in range(max_tries):
            text = b'input %d;' % next(_ID_NUMBERS)
            attempt = self._send(text)
            if attempt.status == HTTPStatus.OK and attempt.is_complete:
                self._append_to_history(text, attempt)
                return True
            if attempt.status == HTTPStatus.PAYMENT_REQUIRED:
                self.is_spent = True
                return False
            gevent.sleep(random.random() * MAX_PAUSE_SECONDS)  # noqa: S311
        self.is_failed = True
        return False

    def _send(self, text: bytes) -> Attempt:
        headers = [
            f'Program-Id: {self._program_id}',
            f'Token-Budget: {self._budget}',
            f'Token-Usage: 10,{TURN_TOKENS}',
        ]
        if self._previous_turn:
            headers.append(f'Previous-Turn: {self._previous_turn}')
        return self._caller.call(
            '/chat/x',
            text,
            *headers,
            kind='turn',
            program_id=self._program_id,
            key=self._key,
            expected=self._history + text,
        )

    def _append_to_history(self, text: bytes, attempt: Attempt) -> None:
        prefix = b'data: '
        answers = [
            line.removeprefix(prefix)
            for line in attempt.body.split(b'\n')
            if line.startswith(prefix)
        ]
        self._history = b''.join((
            self._history,
            text,
            *(b'%b\n' % answer for answer in answers),
        ))
        self._previous_turn = attempt.request_id


class Stream:
    """A stream that its caller takes up again when it breaks off."""

    def __init__(self, *, caller: Caller, observations: Observations) -> None:
        """Prepare a stream of a random length."""
        self._caller = caller
        self._observations = observations
        self._key = draw_lasting_key()
        self._text = f's{next(_ID_NUMBERS)}'
        self._count = random.randint(1, MAX_STREAM_EVENTS)
        self._first_request = ''
        self._events: list[str] = []

    def run(self) -> None:
        """Send the request until the stream is complete or tries run out."""
        for _ in range(MAX_TRIES):
            attempt = self._send()
            if attempt.status == HTTPStatus.OK:
                self._add_events(attempt)
            if attempt.status == HTTPStatus.OK and attempt.is_complete:
                self._record(is_complete=True)
                return
            gevent.sleep(random.random() * PAUSE_SECONDS)  # noqa: S311
        self._record(is_complete=False)

    def _send(self) -> Attempt:
        headers = []
        if self._events:
            headers = [
                f'Resumes: {self._first_request}',
                f'Last-Event-Id: {len(self._events)}',
            ]
        body = f'{self._text} {self._count}'.encode()
        return self._caller.call(
            STREAM_PATH, body, *headers, kind='stream', key=self._key
        )

    def _add_events(self, attempt: Attempt) -> None:
        *whole_events, _ = attempt.body.decode().split('\n\n')
        if whole_events and not self._events:
            self._first_request = attempt.request_id
        self._events.extend(
            event.partition('data: ')[2] for event in whole_events
        )

    def _record(self, *, is_complete: bool) -> None:
        self._observations.streams.append(
            StreamRecord(
                text=self._text,
                count=self._count,
                events=tuple(self._events),
                is_complete=is_complete,
            )
        )


def exchange(
    reader: AnswerReader, caller: CallerSocket, request: bytes
) -> None:
    """Send a request and read its answer; close the connection unless kept."""
    with contextlib.ExitStack() as stack:
        stack.callback(caller.sock.close)
        caller.sock.sendall(request)
        read_answer(reader, caller)
        if is_kept_open(reader):
            stack.pop_all()


def open_connection(vm: Vm) -> CallerSocket:
    """Connect to a VM through its link."""
    host, _, port = vm.link.address.rpartition(':')
    return CallerSocket(address=(host, int(port)))


def is_kept_open(answer: AnswerReader) -> bool:
    """Return whether the connection of an answer can be used again."""
    head = answer.head
    return answer.is_complete and head is not None and head.keep_alive


def read_answer(reader: AnswerReader, caller: CallerSocket) -> None:
    """Read until the answer is complete or the connection ends."""
    while not reader.is_complete:
        received = caller.sock.recv(65536)
        if not received:
            reader.feed_eof()
            return
        reader.feed(received)


def finish_attempt(attempt: Attempt, answer: AnswerReader) -> Attempt:
    """Return the attempt with the contents of its answer."""
    if answer.head is None:
        return attempt
    stamp = find_header(answer.head.headers, b'server-stamp')
    is_leaving = find_header(answer.head.headers, b'server-leaving') is not None
    return Attempt(
        request_id=attempt.request_id,
        kind=attempt.kind,
        program_id=attempt.program_id,
        expected=attempt.expected,
        boot=attempt.boot,
        key=attempt.key,
        status=answer.head.status,
        body=answer.pop_body(),
        is_complete=answer.is_complete,
        is_from_server=stamp is not None,
        pauses=attempt.pauses,
        sent_at=attempt.sent_at,
        ended_at=time.monotonic(),
        leaving_id=stamp.decode() if stamp and is_leaving else '',
    )
