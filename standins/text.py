"""Tokens, digests and answers of the engine, which callers can compute too.

An answer is a function of the model, the messages and the limits of the
request, so a caller can check that it received the whole answer to its own
request, in order:

    expected = answer_text('pass-assistant', messages, max_tokens=64)
"""

import math
from collections.abc import Mapping, Sequence
from hashlib import sha256
from itertools import accumulate
from typing import Any

import msgspec

CHARACTERS_PER_TOKEN = 4
DIGEST_TOKENS = 4
MIN_ANSWER_TOKENS = 16
ANSWER_LENGTH_COUNT = 49

Message = Mapping[str, Any]


def message_text(message: Message) -> str:
    """Return the text of a message, whose content may be in parts."""
    content = message.get('content') or ''
    if isinstance(content, str):
        return content
    return ''.join(str(part.get('text', '')) for part in content)


def count_message_tokens(message: Message) -> int:
    """Return the number of tokens: one per 4 characters, rounded up."""
    return math.ceil(len(message_text(message)) / CHARACTERS_PER_TOKEN)


def count_prompt_tokens(messages: Sequence[Message]) -> int:
    """Return the sum of the tokens of all messages."""
    return sum(count_message_tokens(message) for message in messages)


def _extend_digest(digest: str, message: Message) -> str:
    entry = (digest, str(message.get('role')), message_text(message))
    return sha256(msgspec.json.encode(entry)).hexdigest()


def prefix_digests(model: str, messages: Sequence[Message]) -> list[str]:
    """Return a digest of each prefix of the messages, shortest first.

    A digest covers the model and the role and text of each message. It also
    covers the digest before it, so equal digests mean equal prefixes.
    """
    chain = accumulate(messages, _extend_digest, initial=model)
    return list(chain)[1:]


def answer_tokens(
    model: str,
    messages: Sequence[Message],
    *,
    max_tokens: int | None = None,
    min_tokens: int = 0,
) -> list[str]:
    """Return the answer as tokens of 4 characters each.

    The first 4 tokens are the start of the digest of model and messages.
    Each later token is its position modulo 256, then two digits of the
    digest, all in hexadecimal. The digest determines a length of 16 to 64
    tokens, which ``min_tokens`` raises and ``max_tokens`` limits.
    """
    digest = prefix_digests(model, messages)[-1]
    length = MIN_ANSWER_TOKENS + int(digest[:8], 16) % ANSWER_LENGTH_COUNT
    length = max(length, min_tokens)
    if max_tokens is not None:
        length = min(length, max_tokens)
    return [_answer_token(digest, position) for position in range(length)]


def _answer_token(digest: str, position: int) -> str:
    if position < DIGEST_TOKENS:
        start = position * CHARACTERS_PER_TOKEN
        return digest[start : start + CHARACTERS_PER_TOKEN]
    start = (position * 2) % len(digest)
    return f'{position % 256:02x}{digest[start : start + 2]}'


def answer_text(
    model: str,
    messages: Sequence[Message],
    *,
    max_tokens: int | None = None,
    min_tokens: int = 0,
) -> str:
    """Return the whole answer; see :func:`answer_tokens`."""
    return ''.join(
        answer_tokens(
            model, messages, max_tokens=max_tokens, min_tokens=min_tokens
        )
    )
