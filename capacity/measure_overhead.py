"""Latency that a node adds, from pairs with direct calls to the engine."""

import time
from collections.abc import Iterable
from typing import Any, Final

from . import scale
from .client import Answer, Conversation, stream_chat
from .fleet import SETTLE_SECONDS, Fleet
from .rows import Row, check_bound, percentile

PAIRS: Final = 160
PROGRAM_TURNS: Final = 8
TOKENS: Final = 32
STEP_OPTIONS: Final = ('--step-seconds', '0.01')
PAUSE_SECONDS: Final = 0.2
_MILLISECONDS_PER_SECOND: Final = 1000
_P50: Final = 50
_P95: Final = 95

Pair = tuple[Answer, Answer]


def measure_overhead() -> Iterable[Row]:
    """Yield the time added to the first token and to each later one."""
    with Fleet(nodes=1, options={'engine': STEP_OPTIONS}) as fleet:
        time.sleep(SETTLE_SECONDS)
        callers = PairedCallers(fleet)
        pairs = [callers.call_both(number) for number in range(PAIRS)]
    first_calls = pairs[::PROGRAM_TURNS]
    later_calls = [pair for pair in pairs if pair not in first_calls]
    yield _first_token_row('later calls', later_calls)
    yield _first_token_row('first calls', first_calls)
    yield _row(
        'mean time between tokens added by a node, paired',
        [
            node.mean_token_seconds() - direct.mean_token_seconds()
            for node, direct in pairs
        ],
        scale.MAX_ADDED_TOKEN_MILLISECONDS,
    )
    yield _quantile_row(pairs)


def _first_token_row(name: str, pairs: list[Pair]) -> Row:
    return _row(
        f'first token added by a node to {name} of programs, paired',
        [
            node.first_token_seconds - direct.first_token_seconds
            for node, direct in pairs
        ],
        scale.MAX_ADDED_FIRST_TOKEN_MILLISECONDS,
    )


class PairedCallers:
    """Two equal conversations: through a node and directly with an engine."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the only node and the only engine of a fleet."""
        self._node = fleet.nodes[0].caller_address
        self._engine = fleet.runners[0].address
        self._program = Conversation(address=self._node)
        self._direct_messages: list[dict[str, Any]] = []

    def call_both(self, number: int) -> Pair:
        """Make the same call on both paths, alternating which goes first."""
        if number % PROGRAM_TURNS == 0:
            self._program = Conversation(address=self._node)
            self._direct_messages = []
        if number % 2:
            direct = self._call_engine(number)
            return self._call_node(number), direct
        through_node = self._call_node(number)
        return through_node, self._call_engine(number)

    def _call_node(self, number: int) -> Answer:
        answer = self._program.make_call(TOKENS, f'node: turn {number}')
        time.sleep(PAUSE_SECONDS)
        return answer

    def _call_engine(self, number: int) -> Answer:
        # The texts differ, so that neither path fills the cache for the other.
        text = f'same: turn {number}'
        self._direct_messages.append({'role': 'user', 'content': text})
        answer = stream_chat(
            self._engine,
            self._direct_messages,
            tokens=TOKENS,
            headers={'X-Session': f'direct-{number // PROGRAM_TURNS}'},
        )
        self._direct_messages.append({
            'role': 'assistant',
            'content': answer.text,
        })
        time.sleep(PAUSE_SECONDS)
        return answer


def _row(role: str, seconds: list[float], bound: float) -> Row:
    added = [value * _MILLISECONDS_PER_SECOND for value in seconds]
    median = percentile(added, _P50)
    p95 = percentile(added, _P95)
    return Row(
        role=role,
        slope=f'p50 {median:.3f} ms, p95 {p95:.3f} ms, {len(added)} pairs',
        points=f'largest {max(added):.3f} ms',
        bound=f'p95 {bound} ms',
        fits=check_bound(p95, bound),
        mechanism='each chunk is passed on as it comes',
    )


def list_gaps(answers: Iterable[Answer]) -> list[float]:
    """Return the ms between tokens, without the last gap of each answer."""
    gaps: list[float] = []
    for answer in answers:
        times = answer.token_times[:-1]
        gaps.extend(
            (later - earlier) * _MILLISECONDS_PER_SECOND
            for earlier, later in zip(times, times[1:], strict=False)
        )
    return gaps


def _quantile_row(pairs: list[Pair]) -> Row:
    through_node = list_gaps(node for node, _ in pairs)
    to_engine = list_gaps(direct for _, direct in pairs)
    median = percentile(through_node, _P50) - percentile(to_engine, _P50)
    p95 = percentile(through_node, _P95) - percentile(to_engine, _P95)
    return Row(
        role='difference of the quantiles of single gaps between tokens',
        slope=f'at p50 {median:.3f} ms, at p95 {p95:.3f} ms',
        points=(
            f'p95 {percentile(through_node, _P95):.3f} ms through the node,'
            f' {percentile(to_engine, _P95):.3f} ms direct,'
            f' {len(through_node)} gaps each'
        ),
        bound=f'p95 {scale.MAX_ADDED_TOKEN_MILLISECONDS} ms',
        fits=check_bound(p95, scale.MAX_ADDED_TOKEN_MILLISECONDS),
        mechanism='each chunk is passed on as it comes',
    )
