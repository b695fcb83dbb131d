"""Read and check the body of a chat completion request."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Any, Final

import msgspec

from bronzepost._internal.node.callers.web import Request, refuse_parameter

MAX_MESSAGES: Final = 10_000
DEFAULT_MAX_OUTPUT_TOKENS: Final = 512
MAX_OUTPUT_TOKENS: Final = 1_000_000

# Tokens that a chat template adds to each message.
_TEMPLATE_TOKENS_PER_MESSAGE: Final = 4
_ROLES: Final = frozenset((
    'system',
    'developer',
    'user',
    'assistant',
    'tool',
    'function',
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChatRequest:
    """A checked chat completion request.

    ``body`` holds all fields that the caller sent. Fields that bronzepost
    does not know are passed to the model engine unchanged.
    """

    body: Mapping[str, Any]
    model: str
    messages: list[dict[str, Any]]
    is_streaming: bool
    wants_usage: bool
    max_output_tokens: int

    @property
    def metadata(self) -> Mapping[str, Any]:
        """Return the body's metadata; empty if it is not an object."""
        metadata = self.body.get('metadata')
        return metadata if isinstance(metadata, dict) else {}


def read_chat_request(request: Request) -> ChatRequest:
    """Return the checked request.

    Raises:
        RefusedError: if a field is invalid; the error names the field.
    """
    body = request.json()
    if not isinstance(body, dict):
        raise refuse_parameter('body', 'not an object')
    options = body.get('stream_options')
    return ChatRequest(
        body=body,
        model=_read_model(body),
        messages=_read_messages(body),
        is_streaming=_read_flag(body, 'stream'),
        wants_usage=isinstance(options, dict)
        and bool(options.get('include_usage')),
        max_output_tokens=_read_max_tokens(body),
    )


def count_prompt_tokens(
    messages: list[dict[str, Any]], bytes_per_token: float
) -> int:
    """Return the number of tokens of the messages.

    ``bytes_per_token`` is the length of a token. With the length of the
    model's shortest token, the result is an upper bound; with 1, it is an
    upper bound for every tokenizer.
    """
    return sum(
        math.ceil(len(msgspec.json.encode(message)) / bytes_per_token)
        + _TEMPLATE_TOKENS_PER_MESSAGE
        for message in messages
    )


def _read_model(body: Mapping[str, Any]) -> str:
    model = body.get('model')
    if not isinstance(model, str) or not model:
        raise refuse_parameter('model', 'not the name of a model')
    return model


def _read_flag(body: Mapping[str, Any], name: str) -> bool:
    flag = body.get(name)
    if flag is not None and not isinstance(flag, bool):
        raise refuse_parameter(name, 'not true or false')
    return bool(flag)


def _read_max_tokens(body: Mapping[str, Any]) -> int:
    for name in ('max_completion_tokens', 'max_tokens'):
        tokens = body.get(name)
        if tokens is None:
            continue
        is_number = isinstance(tokens, int) and not isinstance(tokens, bool)
        if not is_number or not 1 <= tokens <= MAX_OUTPUT_TOKENS:
            raise refuse_parameter(
                name, f'not a whole number from 1 to {MAX_OUTPUT_TOKENS}'
            )
        return int(tokens)
    return DEFAULT_MAX_OUTPUT_TOKENS


def _read_messages(body: Mapping[str, Any]) -> list[dict[str, Any]]:
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise refuse_parameter('messages', 'not a list with a message')
    if len(messages) > MAX_MESSAGES:
        raise refuse_parameter('messages', f'more than {MAX_MESSAGES}')
    for index, message in enumerate(messages):
        _check_message(f'messages[{index}]', message)
    return messages


def _check_message(name: str, message: Any) -> None:
    if not isinstance(message, dict):
        raise refuse_parameter(name, 'not an object')
    if message.get('role') not in _ROLES:
        raise refuse_parameter(
            f'{name}.role', f'not one of {", ".join(sorted(_ROLES))}'
        )
    if not isinstance(message.get('content'), str | list | None):
        raise refuse_parameter(f'{name}.content', 'not a text or a list')
