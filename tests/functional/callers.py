"""Callers of a deployment: calls, and streams that can be cut."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec

TIMEOUT_SECONDS = 30
RETRY_SECONDS = 0.2
RETRY_FOR_SECONDS = 25


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A whole HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: Any

    @property
    def run(self) -> str:
        """Return what a refusal says about the run, empty for an answer."""
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
    """Send one request; status 0 stands for a connection without answer."""
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
    """Repeat a call while it is answered as not run, or not at all."""
    deadline = time.monotonic() + RETRY_FOR_SECONDS
    answer = call(*positional, **named)
    while time.monotonic() < deadline and _may_repeat(answer):
        time.sleep(RETRY_SECONDS)
        answer = call(*positional, **named)
    return answer


def _may_repeat(answer: Answer) -> bool:
    is_refused = answer.status == 503 and answer.run == 'not_run'
    return answer.status in {0, 429} or is_refused


def wait_until(
    condition: Callable[[], bool], seconds: float = RETRY_FOR_SECONDS
) -> bool:
    """Wait for a condition and return whether it came true."""
    deadline = time.monotonic() + seconds
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

    def ask(
        self,
        address: str,
        text: str,
        *,
        sequence: int = 0,
        more: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a turn, and keep it in the history if it is answered."""
        asked = [*self.messages, {'role': 'user', 'content': text}]
        answer = send(
            address,
            '/v1/chat/completions',
            self.body(asked),
            headers=self.call_headers(sequence) | dict(more or {}),
        )
        if answer.status == 200:
            self.messages = [*asked, answer.message]
        return answer

    def open_stream(
        self, address: str, text: str, *, sequence: int = 0
    ) -> 'EventStream':
        """Send a streamed turn; the history is left as it is."""
        asked = [*self.messages, {'role': 'user', 'content': text}]
        return EventStream(
            address,
            '/v1/chat/completions',
            body={**self.body(asked), 'stream': True},
            headers=self.call_headers(sequence),
        )

    def resume_stream(
        self, address: str, sequence: int, offset: int
    ) -> 'EventStream':
        """Open the stream of a call again at an offset."""
        path = f'/v1/programs/{self.program}/calls/{sequence}?offset={offset}'
        return EventStream(address, path)

    def body(self, messages: Sequence[Any]) -> dict[str, Any]:
        """Return the body of a call that produces all its tokens."""
        return {
            'model': self.model,
            'messages': list(messages),
            'max_tokens': self.max_tokens,
            'min_tokens': self.max_tokens,
        }

    def call_headers(self, sequence: int) -> dict[str, str]:
        """Return the headers of a call; 0 leaves the sequence out."""
        headers = {'Bronzepost-Program': self.program, **self.headers}
        if sequence:
            headers['Bronzepost-Sequence'] = str(sequence)
        return headers


class EventStream:
    """A stream of server-sent events that the caller can cut."""

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

    def read(self, tokens: int = 0) -> 'EventStream':
        """Read until this many tokens are there, or to the end."""
        for line in self._lines():
            self._take(line)
            if self.is_complete or (tokens and len(self.tokens) >= tokens):
                break
        return self

    def cut(self) -> None:
        """Close the connection in the middle."""
        self._response.close()
        self._connection.close()

    def _lines(self) -> Iterator[str]:
        try:
            while line := self._response.readline():
                yield line.decode().strip()
        except (OSError, HTTPException):
            return

    def _take(self, line: str) -> None:
        name, _, value = line.partition(': ')
        self.is_complete |= line == 'data: [DONE]'
        if self.is_complete:
            return
        if line == 'event: error':
            self.error = {}
        elif name == 'id':
            self.next_offset = int(value) + 1
        elif name == 'data':
            self._take_data(msgspec.json.decode(value))

    def _take_data(self, data: dict[str, Any]) -> None:
        if self.error is None:
            self._take_chunk(data)
        else:
            self.error = data['error']

    def _take_chunk(self, chunk: dict[str, Any]) -> None:
        content = chunk['choices'][0]['delta'].get('content')
        if content:
            self.tokens.append(content)
        self.usage = chunk.get('usage') or self.usage
