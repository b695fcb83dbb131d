"""Track how long the answers of a service are, in tokens.

The length says how many decoding steps a request takes, and so what prefill
costs in comparison.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final

# Assumed length in tokens before the first answer. It counts as two answers, since
# the first one may be very short.
DEFAULT_TOKENS: Final = 256
DEFAULT_COUNT: Final = 2
# Weight of a new answer in the mean, once there are as many as its inverse.
MIN_WEIGHT: Final = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerLength:
    """The mean tokens of the ``count`` answers of a service so far."""

    tokens: float = DEFAULT_TOKENS
    count: int = DEFAULT_COUNT


AnswerLengthTable = Mapping[str, AnswerLength]


def record_answer(
    table: AnswerLengthTable, service: str, *, tokens: int
) -> AnswerLengthTable:
    """Return the table with a complete answer of a service added."""
    known = table.get(service, AnswerLength())
    count = known.count + 1
    weight = max(1 / count, MIN_WEIGHT)
    mean = known.tokens + weight * (tokens - known.tokens)
    return {**table, service: AnswerLength(tokens=mean, count=count)}


def find_answer_tokens(table: AnswerLengthTable, service: str) -> float:
    """Return the mean length of the answers of a service in tokens."""
    return table.get(service, AnswerLength()).tokens
