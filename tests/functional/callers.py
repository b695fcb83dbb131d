"""Callers of a deployment, with streams that can be closed early."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec

TIMEOUT_SECONDS = 30
RETRY_INTERVAL_SECONDS = 0.2
RETRY_TIMEOUT_SECONDS = 25


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: Any

    @property
    def run(self) -> str:
        """Return the run state of a refusal, empty for an answer."""
        return str(self._error.get('run', ''))

    @property
    def code(self) -> str:
        """Return the code of a refusal, empty for an answer."""
        return str(self._error.get('code', ''))

    @property
    def message(self) -> Any:
        """Return the assistant's message of a chat completion."""
        return self.body['choices'][0]['message']

    @property
    def _error(self) -> Mapping[str, Any]:
        error: Mapping[str, Any] = self.body.get('error', {})
        return error


NO_ANSWER = Answer(status=0, headers={}, body={})


def send(
    address: str,
    path: str,
    body: object = None,
    *,
    method: str = 'POST',
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Send one request; the status is 0 if no answer came."""
    connection = HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    content = None if body is None else msgspec.json.encode(body)
    try:
        connection.request(method, path, content, dict(headers or {}))
        response = connection.getresponse()
        text = response.read()
    except (OSError, HTTPException):
        return NO_ANSWER
    finally:
        connection.close()
    return Answer(
        status=response.status,
        headers={name.lower(): value for name, value in response.getheaders()},
        body=msgspec.json.decode(text) if text else {},
    )


def retry(
    call: Callable[..., Answer], *positional: Any, **named: Any
) -> Answer:
    """Repeat a call while it is refused as not run or gets no answer."""
    deadline = time.monotonic() + RETRY_TIMEOUT_SECONDS
    answer = call(*positional, **named)
    while time.monotonic() < deadline and _may_repeat(answer):
        time.sleep(RETRY_INTERVAL_SECONDS)
        answer = call(*positional, **named)
    return answer


def _may_repeat(answer: Answer) -> bool:
    is_refused = answer.status == 503 and answer.run == 'not_run'
    return answer.status in {0, 429} or is_refused


def wait_until(
    condition: Callable[[], bool],
    timeout_seconds: float = RETRY_TIMEOUT_SECONDS,
) -> bool:
    """Wait for a condition; return whether it became true in time."""
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True


@dataclass(kw_only=True, slots=True)
class ProgramCaller:
    """A program that sends its whole history with each call.

    ``messages`` is the history as the caller knows it.
    """

    program: str
    model: str
    max_tokens: int = 8
    headers: dict[str, str] = field(default_factory=dict)
    messages: list[Any] = field(default_factory=list)

    def send_turn(
        self,
        address: str,
        text: str,
        *,
        sequence: int = 0,
        extra_headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a turn and add it to the history if it is answered."""
        sent_messages = [*self.messages, {'role': 'user', 'content': text}]
        answer = send(
            address,
            '/v1/chat/completions',
            self.build_body(sent_messages),
            headers=self.build_headers(sequence) | dict(extra_headers or {}),
        )
        if answer.status == 200:
            self.messages = [*sent_messages, answer.message]
        return answer

    def open_stream(
        self, address: str, text: str, *, sequence: int = 0
    ) -> 'EventStream':
        """Send a streamed turn; the history does not change."""
        sent_messages = [*self.messages, {'role': 'user', 'content': text}]
        return EventStream(
            address,
            '/v1/chat/completions',
            body={**self.build_body(sent_messages), 'stream': True},
            headers=self.build_headers(sequence),
        )

    def resume_stream(
        self, address: str, sequence: int, offset: int
    ) -> 'EventStream':
        """Reopen the stream of a call at an offset."""
        path = f'/v1/programs/{self.program}/calls/{sequence}?offset={offset}'
        return EventStream(address, path)

    def build_body(self, messages: Sequence[Any]) -> dict[str, Any]:
        """Return the body of a call that produces ``max_tokens`` tokens."""
        return {
            'model': self.model,
            'messages': list(messages),
            'max_tokens': self.max_tokens,
            'min_tokens': self.max_tokens,
        }

    def build_headers(self, sequence: int) -> dict[str, str]:
        """Return the headers of a call; 0 omits the sequence."""
        headers = {'Bronzepost-Program': self.program, **self.headers}
        if sequence:
            headers['Bronzepost-Sequence'] = str(sequence)
        return headers


class EventStream:
    """A stream of server-sent events that the caller can close early."""

    def __init__(
        self,
        address: str,
        path: str,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the request and read the status."""
        self.tokens: list[str] = []
        self.next_offset = 0
        self.usage: Any = None
        self.error: Any = None
        self.is_complete = False
        self._connection = HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        self._connection.request(
            'GET' if body is None else 'POST',
            path,
            None if body is None else msgspec.json.encode(body),
            dict(headers or {}),
        )
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.headers = self._response.headers

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return ''.join(self.tokens)

    def read(self, token_count: int = 0) -> 'EventStream':
        """Read until this many tokens have arrived, or to the end if zero."""
        for line in self._lines():
            self._process_line(line)
            if self.is_complete or (
                token_count and len(self.tokens) >= token_count
            ):
                break
        return self

    def close(self) -> None:
        """Close the connection before the stream has ended."""
        self._response.close()
        self._connection.close()

    def _lines(self) -> Iterator[str]:
        try:
            while line := self._response.readline():
                yield line.decode().strip()
        except (OSError, HTTPException):
            return

    def _process_line(self, line: str) -> None:
        name, _, value = line.partition(': ')
        self.is_complete |= line == 'data: [DONE]'
        if self.is_complete:
            return
        if line == 'event: error':
            self.error = {}
        elif name == 'id':
            self.next_offset = int(value) + 1
        elif name == 'data':
            self._process_data(msgspec.json.decode(value))

    def _process_data(self, data: dict[str, Any]) -> None:
        if self.error is None:
            self._process_chunk(data)
        else:
            self.error = data['error']

    def _process_chunk(self, chunk: dict[str, Any]) -> None:
        content = chunk['choices'][0]['delta'].get('content')
        if content:
            self.tokens.append(content)
        self.usage = chunk.get('usage') or self.usage
