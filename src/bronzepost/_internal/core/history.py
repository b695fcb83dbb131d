"""Digest chain over a program's messages.

Each digest covers the one before it, so two histories with the same digest
have the same messages in the same order. A caller's messages are compared
with a program's history without keeping the history in memory.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec
import xxhash

# Fields that a model sees. Callers may add others, such as annotations that a
# client library put into the message when it was received.
_FIELDS: Final = (
    'role',
    'content',
    'name',
    'tool_calls',
    'tool_call_id',
)

Message = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HistoryPoint:
    """A history by its digest and its number of messages."""

    digest: str = ''
    count: int = 0


def extend_history(
    point: HistoryPoint, messages: Sequence[Message]
) -> HistoryPoint:
    """Return the history with messages added at its end."""
    digest = point.digest
    for message in messages:
        digest = _digest_message(digest, message)
    return HistoryPoint(digest=digest, count=point.count + len(messages))


def find_new_messages(
    point: HistoryPoint, messages: Sequence[Message]
) -> list[Message] | None:
    """Return the messages after the history, None if it is not their start."""
    start = extend_history(HistoryPoint(), messages[: point.count])
    if start != point:
        return None
    return list(messages[point.count :])


def _digest_message(digest: str, message: Message) -> str:
    fields = [message.get(name) for name in _FIELDS]
    canonical = msgspec.json.encode([digest, fields], order='deterministic')
    return xxhash.xxh3_128_hexdigest(canonical)
