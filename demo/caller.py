"""Caller of one program, according to docs/protocol.md."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http.client import HTTPException, HTTPResponse
from typing import Any, Final, TypeVar

from demo.endpoints import Endpoints
from demo.exchange import (
    BrokenStreamError,
    RefusedCallError,
    exchange_json,
    open_exchange,
    read_events,
)

MAX_ATTEMPTS: Final = 12
RECONNECT_SECONDS: Final = 0.2
CHAT_PATH: Final = '/v1/chat/completions'
CALL_NOT_FOUND: Final = 'call_not_found'

_Answer = TypeVar('_Answer')
Message = dict[str, Any]


@dataclass(kw_only=True, slots=True)
class ChatAnswer:
    """The part of a model answer that has arrived.

    With ``break_after`` the caller closes the first connection after that
    many chunks; zero means never.
    """

    break_after: int = 0
    is_complete: bool = False
    total_tokens: int = 0
    chunks_by_offset: dict[int, str] = field(default_factory=dict)

    @property
    def text(self) -> str:
        """Return the text in the order of the offsets."""
        offsets = sorted(self.chunks_by_offset)
        return ''.join(self.chunks_by_offset[offset] for offset in offsets)

    @property
    def next_offset(self) -> int:
        """Return the offset that follows the last chunk."""
        return max(self.chunks_by_offset, default=-1) + 1

    def read(self, response: HTTPResponse) -> None:
        """Read the events of a stream until it ends.

        Raises:
            BrokenStreamError: if it breaks off, or after ``break_after``
                chunks.
        """
        for offset, chunk in read_events(response):
            self._add(offset, chunk)
            if (
                self.break_after
                and len(self.chunks_by_offset) >= self.break_after
            ):
                self.break_after = 0
                raise BrokenStreamError('closed by the caller')
        self.is_complete = True

    def _add(self, offset: int, chunk: Mapping[str, Any]) -> None:
        choices = chunk['choices']
        delta = choices[0]['delta'] if choices else {}
        self.chunks_by_offset[offset] = delta.get('content') or ''
        usage = chunk.get('usage')
        if usage:
            self.total_tokens = usage['total_tokens']


class Caller:
    """Makes the calls of one program, or calls without a program."""

    def __init__(
        self,
        *,
        program: str,
        endpoints: Endpoints,
        budget: int | None = None,
        importance: int | None = None,
    ) -> None:
        """Start before the first call; an empty ``program`` means none."""
        self.program = program
        self.sequence = 0
        self._budget = budget
        self._importance = importance
        self._endpoints = endpoints

    @property
    def next_sequence(self) -> int:
        """Return the sequence number of the program's next call."""
        return self.sequence + 1

    def chat(self, body: Mapping[str, Any]) -> ChatAnswer:
        """Make a model call that is not streamed."""
        headers = self._headers(self.next_sequence)
        answer = self._send_with_retries(
            lambda address: exchange_json(
                'POST', address, CHAT_PATH, body=body, headers=headers
            )
        )
        self.sequence += 1
        return ChatAnswer(
            is_complete=True,
            total_tokens=answer['usage']['total_tokens'],
            chunks_by_offset={0: answer['choices'][0]['message']['content']},
        )

    def stream_chat(
        self, body: Mapping[str, Any], *, break_after: int = 0
    ) -> ChatAnswer:
        """Make a streamed model call and resume it if it breaks off."""
        answer = ChatAnswer(break_after=break_after)
        streaming_body = {**body, 'stream': True}
        self._send_with_retries(
            lambda address: self._post(address, streaming_body, answer)
        )
        attempts = 0
        while not answer.is_complete and attempts < MAX_ATTEMPTS:
            attempts += 1
            self._resume_or_repeat(streaming_body, answer)
        self.sequence += 1
        return answer

    def call_service(
        self,
        service: str,
        path: str,
        body: Mapping[str, Any],
        *,
        key: str = '',
    ) -> Any:
        """Make a call of a plain service.

        With a key it is non-idempotent. The sequence does not advance, so that
        copies of the call can be sent; ``finish_call`` advances it.
        """
        headers = self._headers(self.next_sequence)
        if key:
            headers['Bronzepost-Non-Idempotent'] = 'true'
            headers['Idempotency-Key'] = key
        return self._send_with_retries(
            lambda address: exchange_json(
                'POST',
                address,
                f'/v1/services/{service}/{path}',
                body=body,
                headers=headers,
            )
        )

    def finish_call(self) -> None:
        """Advance the sequence to the next call."""
        self.sequence += 1

    def end(self) -> Any:
        """End the program."""
        return self._send_with_retries(
            lambda address: exchange_json(
                'POST', address, f'/v1/programs/{self.program}/end', headers={}
            )
        )

    def _headers(self, sequence: int) -> dict[str, str]:
        if not self.program:
            return {}
        headers = {
            'Bronzepost-Program': self.program,
            'Bronzepost-Sequence': str(sequence),
        }
        if self._importance is not None:
            headers['Bronzepost-Importance'] = str(self._importance)
        if sequence == 1 and self._budget is not None:
            headers['Bronzepost-Budget'] = str(self._budget)
        return headers

    def _post(
        self, address: str, body: Mapping[str, Any], answer: ChatAnswer
    ) -> None:
        headers = self._headers(self.next_sequence)
        with open_exchange(
            'POST', address, CHAT_PATH, body=body, headers=headers
        ) as response:
            _read_part(response, answer)

    def _resume_or_repeat(
        self, body: Mapping[str, Any], answer: ChatAnswer
    ) -> None:
        try:
            self._send_with_retries(
                lambda address: self._resume(address, answer)
            )
        except RefusedCallError as refusal:
            if refusal.code != CALL_NOT_FOUND:
                raise
            # The call was lost with its owner; this refusal asks to repeat it
            # with the same sequence.
            self._send_with_retries(
                lambda address: self._post(address, body, answer)
            )

    def _resume(self, address: str, answer: ChatAnswer) -> None:
        path = f'/v1/programs/{self.program}/calls/{self.next_sequence}'
        query = f'offset={answer.next_offset}'
        with open_exchange(
            'GET', address, f'{path}?{query}', headers={}
        ) as response:
            _read_part(response, answer)

    def _send_with_retries(self, send: Callable[[str], _Answer]) -> _Answer:
        """Send until a node answers; retry refusals after their Retry-After."""
        failure: Exception = ConnectionError('no attempt was made')
        for _ in range(MAX_ATTEMPTS):
            try:
                return send(self._endpoints.choose())
            except RefusedCallError as refusal:
                if refusal.retry_seconds is None:
                    raise
                failure = refusal
                time.sleep(refusal.retry_seconds)
            except (
                OSError,
                HTTPException,
                BrokenStreamError,
            ) as error:
                failure = error
                self._endpoints.invalidate()
                time.sleep(RECONNECT_SECONDS)
        raise failure


def _read_part(response: HTTPResponse, answer: ChatAnswer) -> None:
    try:
        answer.read(response)
    except BrokenStreamError:
        # After a chunk the call is known to run and can be resumed. Without
        # one it is repeated with the same sequence.
        if not answer.chunks_by_offset:
            raise
