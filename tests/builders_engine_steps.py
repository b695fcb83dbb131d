"""A model engine that runs requests in batches, replayed in virtual time."""

import collections
import dataclasses
from typing import Final

# Steps of a batch without prefill are replayed together.
STEPS_TOGETHER: Final = 8
_THOUSAND: Final = 1000
_MILLION: Final = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EnginePace:
    """How fast an engine of speed 1 is; the times are in milliseconds."""

    slots: int = 12
    memory_tokens: int = 294_983
    step_ms: float = 0.925
    step_ms_per_request: float = 0.00483
    step_ms_per_thousand_tokens: float = 0.00254
    read_tokens_per_ms: float = 256
    read_ms_per_million_pairs: float = 0.0917
    chunk_tokens: int = 4096


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class EngineRequest:
    """A request at an engine: its parts in order, and what is still to do."""

    parts: tuple[tuple[str, int], ...]
    answer_tokens: int
    sent_at: float
    unread_tokens: float = -1
    written_tokens: int = 0
    first_at: float = 0

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the prompt."""
        return sum(tokens for _, tokens in self.parts)


class StepEngine:
    """One engine: a batch, a queue and a cache that both share.

    A part is found in the cache when the reading of its request begins, so a
    request behind another one with the same part does not read it again.
    """

    def __init__(self, *, pace: EnginePace) -> None:
        """Start idle and with an empty cache."""
        self.pace = pace
        self.waiting: collections.deque[EngineRequest] = collections.deque()
        self.running: list[EngineRequest] = []
        self.read_tokens = 0
        self.shared_tokens_read = 0
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._pins: collections.Counter[str] = collections.Counter()

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is left to do."""
        return not self.running and not self.waiting

    def begin_steps(self) -> tuple[float, int, float]:
        """Return milliseconds, steps and read tokens of the next steps."""
        while self.waiting and len(self.running) < self.pace.slots:
            self.running.append(self.waiting.popleft())
        chunk = self._plan_chunk()
        steps = 1 if chunk else STEPS_TOGETHER
        batch = [
            request for request in self.running if not request.unread_tokens
        ]
        context = sum(
            request.prompt_tokens + request.written_tokens for request in batch
        )
        pace = self.pace
        step_ms = (
            pace.step_ms
            + pace.step_ms_per_request * len(batch)
            + pace.step_ms_per_thousand_tokens * context / _THOUSAND
        )
        return step_ms * steps + self._time_reading(chunk), steps, chunk

    def end_steps(
        self, steps: int, chunk: float, at: float
    ) -> list[EngineRequest]:
        """Return the requests that the steps have completed."""
        for request in self.running:
            if request.unread_tokens:
                chunk = self._read(request, chunk)
                continue
            request.written_tokens += steps
            request.first_at = request.first_at or at
        done = [
            request
            for request in self.running
            if request.written_tokens >= request.answer_tokens
        ]
        for request in done:
            self.running.remove(request)
            for part_id, _ in request.parts:
                self._pins[part_id] -= 1
        return done

    def _plan_chunk(self) -> float:
        chunk: float = 0
        for request in self.running:
            if chunk >= self.pace.chunk_tokens:
                break
            if request.unread_tokens < 0:
                request.unread_tokens = self._begin_reading(request)
            chunk += request.unread_tokens
        return min(chunk, self.pace.chunk_tokens)

    def _read(self, request: EngineRequest, chunk: float) -> float:
        if request.unread_tokens > 0:
            read = min(request.unread_tokens, chunk)
            request.unread_tokens -= read
            return chunk - read
        return chunk

    def _time_reading(self, chunk: float) -> float:
        pairs = sum(
            min(request.unread_tokens, chunk) * request.prompt_tokens
            for request in self.running
            if request.unread_tokens > 0
        )
        return (
            chunk / self.pace.read_tokens_per_ms
            + pairs / _MILLION * self.pace.read_ms_per_million_pairs / 2
        )

    def _begin_reading(self, request: EngineRequest) -> float:
        unread = 0
        for number, (part_id, tokens) in enumerate(request.parts):
            self._pins[part_id] += 1
            is_cached = part_id in self._cached
            if unread or not is_cached:
                unread += tokens
                self.shared_tokens_read += 0 if number else tokens
            if not is_cached:
                self._cached_tokens += tokens
                self._cached[part_id] = tokens
            self._cached.move_to_end(part_id)
        self.read_tokens += unread
        self._evict()
        return unread

    def _evict(self) -> None:
        for part_id in list(self._cached):
            if self._cached_tokens <= self.pace.memory_tokens:
                return
            if not self._pins[part_id]:
                self._cached_tokens -= self._cached.pop(part_id)
