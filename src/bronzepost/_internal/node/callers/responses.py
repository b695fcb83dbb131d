"""Build HTTP responses from the answers of calls."""

import time
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.node.callers.answer_stream import AnswerStream
from bronzepost._internal.node.callers.web import (
    EVENT_STREAM_TYPE,
    Response,
)
from bronzepost._internal.refusal_bodies import encode_refusal
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# The HTTP status of a stream is sent after this time even without a chunk, and
# a keep-alive line whenever this time passes without a chunk. Both show that
# the connection works.
KEEP_ALIVE_INTERVAL_SECONDS: Final = 1.0

KEEP_ALIVE: Final = b': keep-alive\n\n'
END_OF_STREAM: Final = b'data: [DONE]\n\n'
NOT_DURABLE: Final = b': not durable\n\n'
_NOT_DURABLE_HEADER: Final = ('Bronzepost-Durable', 'false')

Headers = tuple[tuple[str, str], ...]


def build_event_response(
    stream: AnswerStream, *, offset: int = 0, headers: Headers = ()
) -> Response:
    """Return an answer as server-sent events, starting at an offset.

    Raises:
        RefusedError: if the call failed before its first chunk.
    """
    if stream.wait_started(KEEP_ALIVE_INTERVAL_SECONDS) and not stream.chunks:
        if stream.error is not None:
            raise stream.error
    no_buffering = ('Cache-Control', 'no-cache')
    return Response(
        headers=(no_buffering, *headers),
        body=_generate_events(stream, offset),
        content_type=EVENT_STREAM_TYPE,
    )


def build_completion_response(
    stream: AnswerStream, *, headers: Headers = ()
) -> Response:
    """Wait for the whole answer and return it as one chat completion.

    Raises:
        RefusedError: if the call failed.
    """
    chunks = [
        msgspec.json.decode(chunk)
        for _, chunk in stream.read_from()
        if chunk is not None
    ]
    return Response(
        headers=_add_durability_header(stream, headers),
        body=msgspec.json.encode(_build_completion(chunks)),
    )


def build_service_response(
    stream: AnswerStream, *, headers: Headers = ()
) -> Response:
    """Wait for the answer of a plain service and return it unchanged.

    Raises:
        RefusedError: if the call failed.
    """
    chunks = [chunk for _, chunk in stream.read_from() if chunk is not None]
    return Response(
        status=stream.status,
        headers=_add_durability_header(stream, headers),
        body=b''.join(chunks),
    )


def build_call_headers(program: str, stream: AnswerStream) -> Headers:
    """Return the headers that identify a call; none without a program."""
    if not program:
        return ()
    return (
        ('Bronzepost-Program', program),
        ('Bronzepost-Sequence', str(stream.sequence)),
    )


def _add_durability_header(stream: AnswerStream, headers: Headers) -> Headers:
    return headers if stream.is_durable else (*headers, _NOT_DURABLE_HEADER)


def encode_event(offset: int, chunk: bytes) -> bytes:
    """Return one server-sent event."""
    return b'id: %d\ndata: %b\n\n' % (offset, chunk)


def encode_upstream_comment(upstream: str) -> bytes:
    """Return the comment that names the engine's stream.

    A caller that repeats the call at another node sends this name with it, so
    that the new owner resumes the stream instead of running the call again.
    """
    return b': upstream %b\n\n' % upstream.encode()


def encode_error_event(error: RefusedError) -> bytes:
    """Return the event that ends a stream with an error."""
    return b'event: error\ndata: %b\n\n' % encode_refusal(error)


def _generate_events(stream: AnswerStream, offset: int) -> Iterator[bytes]:
    upstream = ''
    try:
        for event_offset, chunk in stream.read_from(
            offset, KEEP_ALIVE_INTERVAL_SECONDS
        ):
            if stream.upstream != upstream:
                upstream = stream.upstream
                yield encode_upstream_comment(upstream)
            if chunk is None:
                yield KEEP_ALIVE
            else:
                yield encode_event(event_offset, chunk)
    except RefusedError as error:
        yield encode_error_event(error)
        return
    except GeneratorExit:
        emit(LogEvent.CALLER_DISCONNECTED, upstream=upstream)
        raise
    if not stream.is_durable:
        yield NOT_DURABLE
    yield END_OF_STREAM


def _build_completion(chunks: list[dict[str, Any]]) -> dict[str, Any]:
    last = chunks[-1]
    deltas = [chunk['choices'][0] for chunk in chunks if chunk['choices']]
    text = ''.join(choice['delta'].get('content') or '' for choice in deltas)
    message: dict[str, Any] = {'role': 'assistant', 'content': text}
    tool_calls = [
        tool_call
        for choice in deltas
        for tool_call in choice['delta'].get('tool_calls') or ()
    ]
    if tool_calls:
        message['tool_calls'] = tool_calls
    finish_reason = deltas[-1].get('finish_reason') or 'stop'
    return {
        'id': last['id'],
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': last['model'],
        'choices': [
            {'index': 0, 'message': message, 'finish_reason': finish_reason}
        ],
        'usage': last.get('usage'),
    }
