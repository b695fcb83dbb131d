"""Callers that run programs: turns with history and budget, and tool calls."""

import dataclasses
import itertools
import random
import time
from http import HTTPStatus
from typing import Any, Final

import gevent

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers.header_names import find_header
from tests.builders_gateway_servers import CallerSocket
from tests.platform.builders_platform import HOST, TOKENS_PER_EVENT
from tests.soak.backends import MAX_EVENTS, STREAM_PATH
from tests.soak.connection_ends import ConnectionEnd, Exchange
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
# After a loss of all VMs programs go on trying until the last check of the soak has
# ended, so that refusals show in the calm times after the faults.
PATIENCE_SECONDS: Final = 40.0
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

    def _send_request(self, vm: Vm, request: bytes) -> Exchange:
        """Send a request and return what came of it.

        Connections are kept open and used again until the other side closes.
        """
        exchange = Exchange()
        idle = self._idle_by_boot.setdefault(vm.boot, [])
        try:
            with gevent.Timeout(ANSWER_TIMEOUT_SECONDS):
                caller = idle.pop() if idle else open_connection(vm)
                exchange.address = caller.sock.getsockname()
                exchange.run(caller, request)
                if exchange.is_kept_open:
                    idle.append(caller)
        except (OSError, gevent.Timeout, ProtocolError) as error:
            exchange.fail(error)
        if vm.link.pop_refusal(exchange.address):
            exchange.end = ConnectionEnd.REFUSED
        return exchange

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
        self._observations = observations
        self._started_at = time.monotonic()
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
        tries = 0
        while tries < max_tries or self._is_return_awaited():
            tries += 1
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

    def _is_return_awaited(self) -> bool:
        """Return whether a loss of all VMs is so recent that tries go on."""
        now = time.monotonic()
        lost_at = self._observations.find_return(self._started_at, now)
        return lost_at is not None and now < lost_at + PATIENCE_SECONDS

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


def open_connection(vm: Vm) -> CallerSocket:
    """Connect to a VM through its link."""
    host, _, port = vm.link.address.rpartition(':')
    return CallerSocket(address=(host, int(port)))


def finish_attempt(attempt: Attempt, exchange: Exchange) -> Attempt:
    """Return the attempt with the contents of its answer and its end."""
    answer = exchange.reader
    ended_attempt = dataclasses.replace(
        attempt,
        written_at=exchange.written_at,
        ended_at=time.monotonic(),
        end=exchange.end,
    )
    if answer.head is None:
        return ended_attempt
    stamp = find_header(answer.head.headers, b'server-stamp')
    is_leaving = find_header(answer.head.headers, b'server-leaving') is not None
    return dataclasses.replace(
        ended_attempt,
        status=answer.head.status,
        body=answer.pop_body(),
        is_complete=answer.is_complete,
        is_from_server=stamp is not None,
        leaving_id=stamp.decode() if stamp and is_leaving else '',
    )
