"""Put together the prompt of a turn from the turns before it."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """A turn that was answered whole.

    ``ancestors`` are the ids of the turns before it, the oldest first.
    ``ends_at`` is the Unix time in seconds until which it is kept.
    """

    turn_id: str
    ancestors: tuple[str, ...]
    prompt: bytes
    answer: bytes
    ends_at: float


def join_answer(data_lines: Iterable[bytes]) -> bytes:
    """Return the data of a turn's events, each followed by a line feed."""
    return b''.join(b'%b\n' % line for line in data_lines)


def list_chain(turn: Turn) -> tuple[str, ...]:
    """Return the ids that a turn after this one builds on, oldest first."""
    return (*turn.ancestors, turn.turn_id)


def list_missing(
    chain: Sequence[str], turns_by_id: Mapping[str, Turn]
) -> list[str]:
    """Return the ids of a chain that are not at hand."""
    return [turn_id for turn_id in chain if turn_id not in turns_by_id]


def build_prompt(
    chain: Sequence[str], turns_by_id: Mapping[str, Turn], prompt: bytes
) -> bytes:
    """Return the whole prompt of a turn that follows the chain.

    Raises:
        KeyError: if a turn of the chain is not at hand.
    """
    blocks: list[bytes] = []
    for turn_id in chain:
        turn = turns_by_id[turn_id]
        blocks.extend((turn.prompt, turn.answer))
    return b''.join((*blocks, prompt))
