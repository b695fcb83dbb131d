"""Digest chain over a program's messages.

Each digest covers the previous one, so two histories with the same digest
have the same messages in the same order. The digest allows comparing a caller's
messages with a program's history without keeping the history in memory.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec
import xxhash

# Fields that are sent to a model. Callers may add others, such as annotations
# of a client library.
_DIGESTED_FIELDS: Final = (
    'role',
    'content',
    'name',
    'tool_calls',
    'tool_call_id',
)

Message = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HistoryPoint:
    """Digest and number of messages of a history."""

    digest: str = ''
    count: int = 0


def extend_history(
    point: HistoryPoint, messages: Sequence[Message]
) -> HistoryPoint:
    """Return the point after the messages are added to the history."""
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
    fields = [message.get(name) for name in _DIGESTED_FIELDS]
    canonical = msgspec.json.encode([digest, fields], order='deterministic')
    return xxhash.xxh3_128_hexdigest(canonical)
