"""Build the prompt of a turn from the turns before it."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """A turn with its complete answer.

    ``ancestors`` are the ids of the turns before it, oldest first.
    ``ends_at`` is the Unix time in seconds until which the turn is kept, at least
    the end of its retention.
    """

    turn_id: str
    ancestors: tuple[str, ...]
    prompt: bytes
    answer: bytes
    ends_at: float


def join_answer(data_lines: Iterable[bytes]) -> bytes:
    """Return the data of an answer's events, each followed by a line feed."""
    return b''.join(b'%b\n' % line for line in data_lines)


def list_chain(turn: Turn) -> tuple[str, ...]:
    """Return the ids of a turn and of those before it, oldest first."""
    return (*turn.ancestors, turn.turn_id)


def list_missing(
    chain: Sequence[str], turns_by_id: Mapping[str, Turn]
) -> list[str]:
    """Return the ids of a chain that are not in ``turns_by_id``."""
    return [turn_id for turn_id in chain if turn_id not in turns_by_id]


def build_prompt(
    chain: Sequence[str], turns_by_id: Mapping[str, Turn], prompt: bytes
) -> bytes:
    """Return the whole prompt of a turn that follows the chain.

    Raises:
        KeyError: if a turn of the chain is not in ``turns_by_id``.
    """
    blocks: list[bytes] = []
    for turn_id in chain:
        turn = turns_by_id[turn_id]
        blocks.extend((turn.prompt, turn.answer))
    return b''.join((*blocks, prompt))
