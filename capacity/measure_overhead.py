"""Latency that a node adds, paired with direct calls to the engine."""

import time
from collections.abc import Iterable
from typing import Any, Final

from . import scale
from .client import Answer, Conversation, stream_chat
from .fleet import SETTLE_SECONDS, Fleet
from .rows import Row, judge, percentile

PAIRS: Final = 160
PROGRAM_TURNS: Final = 8
TOKENS: Final = 32
STEP: Final = ('--step-seconds', '0.01')
PAUSE_SECONDS: Final = 0.2
_MILLISECONDS: Final = 1000
_MIDDLE: Final = 50
_HIGH: Final = 95

Pair = tuple[Answer, Answer]


def measure_overhead() -> Iterable[Row]:
    """Yield the added time to the first token and of each token."""
    with Fleet(nodes=1, options={'engine': STEP}) as fleet:
        time.sleep(SETTLE_SECONDS)
        callers = Callers(fleet)
        pairs = [callers.call_twice(number) for number in range(PAIRS)]
    starts = pairs[::PROGRAM_TURNS]
    later = [pair for pair in pairs if pair not in starts]
    yield _first_token_row('later calls', later)
    yield _first_token_row('first calls', starts)
    yield _row(
        'mean time between tokens added by a node, paired',
        [
            node.token_seconds() - direct.token_seconds()
            for node, direct in pairs
        ],
        scale.TOKEN_MILLISECONDS,
    )
    yield _quantile_row(pairs)


def _first_token_row(name: str, pairs: list[Pair]) -> Row:
    return _row(
        f'first token added by a node to {name} of programs, paired',
        [
            node.first_token_seconds - direct.first_token_seconds
            for node, direct in pairs
        ],
        scale.FIRST_TOKEN_MILLISECONDS,
    )


class Callers:
    """The same conversation through a node and directly with an engine."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the only node and the only engine of a fleet."""
        self._node = fleet.nodes[0].caller_address
        self._engine = fleet.runners[0].address
        self._program = Conversation(address=self._node)
        self._direct: list[dict[str, Any]] = []

    def call_twice(self, number: int) -> Pair:
        """Make the same call on both paths, each first in turn."""
        if number % PROGRAM_TURNS == 0:
            self._program = Conversation(address=self._node)
            self._direct = []
        if number % 2:
            direct = self._call_engine(number)
            return self._call_node(number), direct
        through_node = self._call_node(number)
        return through_node, self._call_engine(number)

    def _call_node(self, number: int) -> Answer:
        answer = self._program.take_turn(TOKENS, f'node: turn {number}')
        time.sleep(PAUSE_SECONDS)
        return answer

    def _call_engine(self, number: int) -> Answer:
        # The text differs, so that neither path fills the other's cache.
        text = f'same: turn {number}'
        self._direct.append({'role': 'user', 'content': text})
        answer = stream_chat(
            self._engine,
            self._direct,
            tokens=TOKENS,
            headers={'X-Session': f'direct-{number // PROGRAM_TURNS}'},
        )
        self._direct.append({'role': 'assistant', 'content': answer.text})
        time.sleep(PAUSE_SECONDS)
        return answer


def _row(role: str, seconds: list[float], bound: float) -> Row:
    added = [each * _MILLISECONDS for each in seconds]
    middle = percentile(added, _MIDDLE)
    high = percentile(added, _HIGH)
    return Row(
        role=role,
        slope=f'p50 {middle:.3f} ms, p95 {high:.3f} ms, {len(added)} pairs',
        points=f'largest {max(added):.3f} ms',
        bound=f'p95 {bound} ms',
        fits=judge(high, bound),
        mechanism='each chunk is passed on as it comes',
    )


def list_gaps(answers: Iterable[Answer]) -> list[float]:
    """Return the times between tokens in milliseconds, without the last."""
    gaps: list[float] = []
    for answer in answers:
        times = answer.token_times[:-1]
        gaps.extend(
            (later - earlier) * _MILLISECONDS
            for earlier, later in zip(times, times[1:], strict=False)
        )
    return gaps


def _quantile_row(pairs: list[Pair]) -> Row:
    through_node = list_gaps(node for node, _ in pairs)
    to_engine = list_gaps(direct for _, direct in pairs)
    middle = percentile(through_node, _MIDDLE) - percentile(to_engine, _MIDDLE)
    high = percentile(through_node, _HIGH) - percentile(to_engine, _HIGH)
    return Row(
        role='difference of the quantiles of single gaps between tokens',
        slope=f'at p50 {middle:.3f} ms, at p95 {high:.3f} ms',
        points=(
            f'p95 {percentile(through_node, _HIGH):.3f} ms through the node,'
            f' {percentile(to_engine, _HIGH):.3f} ms direct,'
            f' {len(through_node)} gaps each'
        ),
        bound=f'p95 {scale.TOKEN_MILLISECONDS} ms',
        fits=judge(high, scale.TOKEN_MILLISECONDS),
        mechanism='each chunk is passed on as it comes',
    )
