"""Client that streams chat completions and records token times."""

import dataclasses
import itertools
import os
import time
from contextlib import closing
from http.client import HTTPConnection, HTTPResponse
from typing import Any, Final

import msgspec

from standins.http_client import request_json

from .fleet import MODEL

CALL_TIMEOUT_SECONDS: Final = 30.0
_EVENT_PREFIX: Final = b'data: '
_END_OF_STREAM: Final = b'[DONE]'
_OK: Final = 200

_program_numbers = itertools.count()


class CallError(Exception):
    """The answer to a call is not a complete stream."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A complete answer; times are in seconds of ``time.perf_counter``."""

    text: str
    sent_at: float
    token_times: tuple[float, ...]

    @property
    def first_token_seconds(self) -> float:
        """Return the time from the request to the first token."""
        return self.token_times[0] - self.sent_at

    def mean_token_seconds(self) -> float:
        """Return the mean time between tokens.

        Excludes the last chunk, which a node delays until the turn is durable.
        """
        times = self.token_times[:-1]
        return (times[-1] - times[0]) / (len(times) - 1)


@dataclasses.dataclass(kw_only=True, slots=True)
class Conversation:
    """One program, which sends its whole history with each call."""

    address: str
    program: str = dataclasses.field(
        default_factory=lambda: (
            f'capacity-{os.getpid()}-{next(_program_numbers)}'
        )
    )
    messages: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    sequence: int = 0

    def make_call(self, tokens: int, text: str = 'go on') -> Answer:
        """Make the program's next call.

        Raises:
            CallError: if the answer is not a stream.
        """
        self.sequence += 1
        self.messages.append({'role': 'user', 'content': text})
        answer = stream_chat(
            self.address,
            self.messages,
            tokens=tokens,
            headers={
                'Bronzepost-Program': self.program,
                'Bronzepost-Sequence': str(self.sequence),
                'Bronzepost-Budget': '100000000',
            },
        )
        self.messages.append({'role': 'assistant', 'content': answer.text})
        return answer

    def end(self) -> None:
        """End the program, so that engines release its prefixes."""
        if self.sequence:
            request_json(
                'POST', f'{self.address}/v1/programs/{self.program}/end', {}
            )


def stream_chat(
    address: str,
    messages: list[dict[str, Any]],
    *,
    tokens: int,
    headers: dict[str, str],
) -> Answer:
    """Stream a completion from a node or an engine."""
    body = msgspec.json.encode({
        'model': MODEL,
        'messages': messages,
        'max_tokens': tokens,
        'min_tokens': tokens,
        'stream': True,
    })
    connection = HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    sent_at = time.perf_counter()
    with closing(connection):
        connection.request(
            'POST',
            '/v1/chat/completions',
            body,
            {'Content-Type': 'application/json', **headers},
        )
        return read_answer(connection.getresponse(), sent_at)


def read_answer(response: HTTPResponse, sent_at: float) -> Answer:
    """Read a stream to its end and record the arrival time of each token."""
    if response.status != _OK:
        raise CallError(f'{response.status}: {response.read()!r}')
    parts: list[str] = []
    times: list[float] = []
    for line in response:
        if not line.startswith(_EVENT_PREFIX):
            continue
        content = read_content(line.removeprefix(_EVENT_PREFIX).strip())
        if content:
            parts.append(content)
            times.append(time.perf_counter())
    return Answer(
        text=''.join(parts), sent_at=sent_at, token_times=tuple(times)
    )


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    error: Any = None


def read_content(event: bytes) -> str:
    """Return the text of a chunk, empty if it has none.

    Raises:
        CallError: if the chunk reports an error.
    """
    if event == _END_OF_STREAM:
        return ''
    chunk = msgspec.json.decode(event, type=_Chunk)
    if chunk.error:
        raise CallError(str(chunk.error))
    return ''.join(choice.delta.content or '' for choice in chunk.choices)
