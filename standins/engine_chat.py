"""Chat completions of the engine: requests, chunks and whole answers."""

import math
import time
from collections.abc import Iterator
from typing import Any
from uuid import uuid4

import msgspec

from standins import text
from standins.engine_batch import Prompt, Run
from standins.engine_cache import Prefix
from standins.faults import Switches
from standins.web import Request, RequestError

KEEP_ALIVE_SECONDS = 1
KEEP_ALIVE = b': keep-alive\n\n'
END_OF_STREAM = b'data: [DONE]\n\n'


class ChatBody(msgspec.Struct, kw_only=True):
    """Fields of a chat completion request that change the answer."""

    messages: list[dict[str, Any]]
    model: str = ''
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    min_tokens: int = 0
    stream: bool = False

    @property
    def output_limit(self) -> int | None:
        """Return ``max_completion_tokens``, else the older ``max_tokens``."""
        if self.max_completion_tokens is None:
            return self.max_tokens
        return self.max_completion_tokens


def decode_body(request: Request) -> ChatBody:
    """Return the body of a chat completion request."""
    try:
        body = msgspec.json.decode(request.body, type=ChatBody)
    except msgspec.MsgspecError as error:
        raise RequestError(400, f'body: {error}') from error
    if not body.messages:
        raise RequestError(400, 'messages: empty')
    if body.output_limit is not None and body.output_limit < 1:
        raise RequestError(400, 'max_tokens: below 1')
    return body


def build_prompt(request: Request, body: ChatBody, model: str) -> Prompt:
    """Return the prompt of a request, with its answer."""
    request_id = request.headers.get('x-request-id') or uuid4().hex
    answer = text.answer_tokens(
        model,
        body.messages,
        max_tokens=body.output_limit,
        min_tokens=body.min_tokens,
    )
    reply = {'role': 'assistant', 'content': ''.join(answer)}
    messages = [*body.messages, reply]
    *prefixes, answer_prefix = (
        Prefix(digest=digest, tokens=text.count_message_tokens(message))
        for digest, message in zip(
            text.prefix_digests(model, messages), messages, strict=True
        )
    )
    return Prompt(
        request_id=request_id,
        session=request.headers.get('x-session') or request_id,
        priority=read_priority(request),
        model=model,
        prefixes=prefixes,
        answer=answer,
        answer_prefix=answer_prefix,
        finish_reason='length' if len(answer) == body.output_limit else 'stop',
    )


def read_priority(request: Request) -> float:
    """Return the priority; lower values run first, and the default is 0."""
    header = request.headers.get('x-priority', '0')
    try:
        priority = float(header)
    except ValueError:
        raise RequestError(400, 'X-Priority: not a number') from None
    if math.isnan(priority):
        raise RequestError(400, 'X-Priority: not a number')
    return priority


def usage(run: Run) -> dict[str, Any]:
    """Return the ``usage`` object of a chat completion."""
    return {
        'prompt_tokens': run.prompt.tokens,
        'completion_tokens': run.produced,
        'total_tokens': run.prompt.tokens + run.produced,
        'prompt_tokens_details': {'cached_tokens': run.cached_tokens},
    }


def whole_answer(run: Run) -> dict[str, Any]:
    """Return the whole chat completion of a run that has ended."""
    content = ''.join(run.prompt.answer[: run.produced])
    choice = {
        'index': 0,
        'message': {'role': 'assistant', 'content': content},
        'finish_reason': run.finish_reason,
    }
    return {
        'id': run.prompt.request_id,
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': run.prompt.model,
        'choices': [choice],
        'usage': usage(run),
    }


def encode_chunk(run: Run, offset: int) -> bytes:
    """Return one event: a token, or the usage after the last token."""
    is_final = offset >= run.produced
    delta: dict[str, str] = {}
    if not is_final:
        delta['content'] = run.prompt.answer[offset]
    if offset == 0:
        delta['role'] = 'assistant'
    chunk = {
        'id': run.prompt.request_id,
        'object': 'chat.completion.chunk',
        'created': int(time.time()),
        'model': run.prompt.model,
        'choices': [
            {
                'index': 0,
                'delta': delta,
                'finish_reason': run.finish_reason if is_final else None,
            }
        ],
    }
    if is_final:
        chunk['usage'] = usage(run)
    return b'id: %d\ndata: %b\n\n' % (offset, msgspec.json.encode(chunk))


def stream_chunks(
    run: Run, *, offset: int, switches: Switches
) -> Iterator[bytes]:
    """Yield the events from an offset on, and keep-alive comments.

    A run continues when its caller disconnects, so that the caller can resume
    the stream.
    """
    while True:
        while offset < run.produced:
            yield encode_chunk(run, offset)
            offset += 1
        if run.finish_reason is not None and offset >= run.produced:
            break
        if not run.changed.wait(KEEP_ALIVE_SECONDS) and not switches.hang:
            yield KEEP_ALIVE
    if offset == run.produced:
        yield encode_chunk(run, offset)
    yield END_OF_STREAM
