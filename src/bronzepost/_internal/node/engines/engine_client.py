"""Stream a chat completion from a model engine.

A stream that is silent or broken is resumed on a new connection after the last
chunk received: an open connection can be dead while new ones work.
"""

import dataclasses
from collections.abc import Iterator, Mapping
from http import HTTPStatus
from typing import Any, Final

import msgspec

from bronzepost._internal.exceptions import (
    BackendServerError,
    ExchangeError,
    ProtocolError,
)
from bronzepost._internal.node.callers.http_exchange import (
    ExchangeClient,
    HttpStream,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Consecutive resumes without a new chunk before the call fails.
MAX_RESUMES: Final = 2
# A node keeps the chunks of a running answer for callers that resume it. 100,000
# tokens with chunks of 250 bytes fit.
MAX_COMPLETION_BYTES: Final = 33_554_432
# The memory that a chunk takes beside its text.
_CHUNK_BYTES: Final = 64

_DATA: Final = b'data:'
_ID: Final = b'id:'
_DONE: Final = b'[DONE]'
_STEP: Final = 'model call'
_MAX_SHOWN_BYTES: Final = 200


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None
    tool_calls: list[dict[str, Any]] | None = None


class _ChunkChoice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _PromptDetails(msgspec.Struct, frozen=True):
    cached_tokens: int | None = None


class Usage(msgspec.Struct, frozen=True):
    """Tokens that an engine counted for a call."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None

    @property
    def cached_tokens(self) -> int | None:
        """Return the prompt tokens found in the cache, None if not reported."""
        details = self.prompt_tokens_details
        return None if details is None else details.cached_tokens


class _ChunkBody(msgspec.Struct, frozen=True):
    id: str = ''
    choices: list[_ChunkChoice] = []
    usage: Usage | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineChunk:
    """One event of a completion stream; ``raw`` is its JSON text."""

    offset: int
    raw: bytes
    content: str
    tool_calls: list[dict[str, Any]]
    finish_reason: str | None
    usage: Usage | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineCall:
    """A completion to run; a lower ``priority`` runs sooner."""

    request_id: str
    session: str
    priority: int
    body: Mapping[str, Any]
    traceparent: str = ''

    def headers(self) -> dict[str, str]:
        """Return the headers of the request."""
        return {
            'X-Request-Id': self.request_id,
            'X-Session': self.session,
            'X-Priority': str(self.priority),
            'traceparent': self.traceparent,
        }


def stream_completion(
    client: ExchangeClient, call: EngineCall
) -> Iterator[EngineChunk]:
    """Run a completion and yield its chunks, each offset once and in order.

    Raises:
        ExchangeError: if the engine did not answer, or the stream broke and
            could not be resumed.
        BackendServerError: if the engine answered with an error.
        ProtocolError: if a chunk belongs to another request.
    """
    stream = client.open_stream(
        'POST',
        '/v1/chat/completions',
        step=_STEP,
        body=msgspec.json.encode(call.body),
        headers=call.headers(),
    )
    yield from resume_completion(client, call.request_id, stream=stream)


def resume_completion(
    client: ExchangeClient,
    request_id: str,
    *,
    offset: int = 0,
    stream: HttpStream | None = None,
) -> Iterator[EngineChunk]:
    """Yield the chunks of a running completion, starting at an offset.

    Raises:
        BackendServerError: if the chunks are larger than
            ``MAX_COMPLETION_BYTES``, or as for ``stream_completion``.
        ExchangeError: as for ``stream_completion``.
    """
    resumes = 0
    kept_bytes = 0
    while True:
        stream = stream or _open_resumed(client, request_id, offset)
        try:
            for chunk in _read_and_close(stream, client, request_id, offset):
                offset = chunk.offset + 1
                resumes = 0
                kept_bytes += len(chunk.raw) + _CHUNK_BYTES
                _check_size(kept_bytes, client)
                yield chunk
        except ExchangeError as error:
            resumes += 1
            if resumes > MAX_RESUMES:
                raise
            emit(LogEvent.STREAM_SILENT, error=error, offset=offset)
        else:
            return
        stream = None


def cancel_completion(client: ExchangeClient, request_id: str) -> None:
    """Ask an engine to stop a completion.

    A failure is only logged: an engine that is gone has stopped it.
    """
    path = f'/v1/streams/{request_id}/cancel'
    try:
        client.exchange('POST', path, step='cancel stream', body={})
    except ExchangeError as error:
        emit(LogEvent.CANCEL_FAILED, error=error)


def _check_size(kept_bytes: int, client: ExchangeClient) -> None:
    if kept_bytes > MAX_COMPLETION_BYTES:
        raise BackendServerError(
            f'the completion is larger than {MAX_COMPLETION_BYTES} bytes',
            step=_STEP,
            peer=client.address,
        )


def _read_and_close(
    stream: HttpStream, client: ExchangeClient, request_id: str, offset: int
) -> Iterator[EngineChunk]:
    with stream:
        yield from _read_chunks(stream, client, request_id, offset)


def _open_resumed(
    client: ExchangeClient, request_id: str, offset: int
) -> HttpStream:
    return client.open_stream(
        'GET',
        f'/v1/streams/{request_id}?offset={offset}',
        step='resume stream',
    )


def _read_chunks(
    stream: HttpStream, client: ExchangeClient, request_id: str, offset: int
) -> Iterator[EngineChunk]:
    if stream.status != HTTPStatus.OK:
        body = stream.read_start(_MAX_SHOWN_BYTES)
        raise BackendServerError(
            f'status {stream.status}: {body!r}', step=_STEP, peer=client.address
        )
    expected = offset
    for event_id, raw in _read_events(stream, offset):
        if raw == _DONE:
            return
        if event_id > expected:
            raise _build_stream_error(
                f'chunk {event_id} came instead of {expected}', client
            )
        # A resumed stream may repeat chunks that were already read.
        if event_id == expected:
            expected += 1
            yield _decode_chunk(raw, event_id, request_id, client.address)
    raise _build_stream_error('the stream ended before its last chunk', client)


def _read_events(
    stream: HttpStream, offset: int
) -> Iterator[tuple[int, bytes]]:
    """Yield the offset and the data of each server-sent event."""
    event_id = offset
    for line in stream.read_lines():
        if line.startswith(_ID):
            event_id = int(line.removeprefix(_ID))
        elif line.startswith(_DATA):
            yield event_id, line.removeprefix(_DATA).strip()


def _build_stream_error(problem: str, client: ExchangeClient) -> ExchangeError:
    return ExchangeError(
        problem, step=_STEP, peer=client.address, was_sent=True
    )


def _decode_chunk(
    raw: bytes, offset: int, request_id: str, address: str
) -> EngineChunk:
    try:
        body = msgspec.json.decode(raw, type=_ChunkBody)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f'malformed chunk: {error}', step=_STEP, peer=address
        ) from error
    if body.id != request_id:
        emit(LogEvent.ANSWER_MISMATCHED, peer=address, request_id=request_id)
        raise ProtocolError(
            f'a chunk of {body.id!r} came for {request_id!r}',
            step=_STEP,
            peer=address,
        )
    choice = body.choices[0] if body.choices else _ChunkChoice()
    return EngineChunk(
        offset=offset,
        raw=raw,
        content=choice.delta.content or '',
        tool_calls=choice.delta.tool_calls or [],
        finish_reason=choice.finish_reason,
        usage=body.usage,
    )
