"""Simulated model engine with continuous batching."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from .clock import VirtualClock
from .prefix_cache import PrefixCache
from .settings import EngineShape

# Virtual times are rounded, so a remainder below this counts as zero.
TOKEN_TOLERANCE = 1e-6


@dataclasses.dataclass(kw_only=True, slots=True)
class EngineRequest:
    """A call at an engine; ``on_done`` receives the cached prompt tokens."""

    session: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    on_start: Callable[[], None]
    on_done: Callable[[int], None]
    cached_tokens: int = 0


class Engine:
    """Serve requests by priority, with a batch bounded by slots and memory.

    A step produces one token for each decoding sequence and prefills one
    chunk of the oldest unfilled prompt in the batch. Its duration grows with
    the number of decoding sequences, plus the prefill time of the chunk.
    Between two changes of the batch all speeds are constant, so only these
    changes are events.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        shape: EngineShape,
        cache: PrefixCache,
    ) -> None:
        """Start with an empty batch and queue."""
        self.cache = cache
        self.has_failed = False
        self._clock = clock
        self._shape = shape
        self._tie_breakers = itertools.count()
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._prefilling: list[EngineRequest] = []
        self._decoding: list[tuple[float, int, EngineRequest]] = []
        self._prefill_tokens_left: float = 0
        self._decode_steps: float = 0
        self._updated_at: float = 0
        self._schedule_version = 0

    @property
    def running(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait to join the batch."""
        return len(self._waiting)

    def submit(self, request: EngineRequest) -> None:
        """Queue a request; a failed engine never answers."""
        if self.has_failed:
            return
        self._update_progress()
        entry = (request.priority, next(self._tie_breakers), request)
        heapq.heappush(self._waiting, entry)
        self._start_waiting_requests()
        self._schedule_batch_change()

    def fail(self) -> None:
        """Stop permanently; running and waiting requests get no answer."""
        self.has_failed = True
        self._schedule_version += 1

    def _find_step_seconds(self) -> float:
        shape = self._shape
        seconds: float = 0
        if self._decoding:
            seconds += shape.step_base_seconds
            seconds += shape.step_seconds_per_sequence * len(self._decoding)
        if self._prefilling:
            chunk = shape.prefill_chunk_tokens
            seconds += chunk / shape.prefill_tokens_per_second
        return seconds

    def _update_progress(self) -> None:
        """Update decode and prefill progress to the current time."""
        elapsed = self._clock.now - self._updated_at
        self._updated_at = self._clock.now
        step = self._find_step_seconds()
        if not elapsed or not step:
            return
        self._decode_steps += elapsed / step
        if self._prefilling:
            chunk = self._shape.prefill_chunk_tokens
            self._prefill_tokens_left -= chunk * elapsed / step

    def _start_waiting_requests(self) -> None:
        while self._waiting and self.running < self._shape.slots:
            request = self._waiting[0][-1]
            cached = self.cache.reserve(
                request.session, request.prompt_tokens, request.output_tokens
            )
            if cached < 0:
                return
            heapq.heappop(self._waiting)
            request.cached_tokens = cached
            request.on_start()
            self._prefilling.append(request)
            if len(self._prefilling) == 1:
                self._begin_prefill()

    def _begin_prefill(self) -> None:
        request = self._prefilling[0]
        missing = request.prompt_tokens - request.cached_tokens
        self._prefill_tokens_left = max(missing, 1)

    def _schedule_batch_change(self) -> None:
        """Schedule the next change of the batch, replacing the earlier one."""
        self._schedule_version += 1
        step = self._find_step_seconds()
        steps: list[float] = []
        if self._decoding:
            steps.append(self._decoding[0][0] - self._decode_steps)
        if self._prefilling:
            steps.append(
                self._prefill_tokens_left / self._shape.prefill_chunk_tokens
            )
        if steps:
            scheduled_version = self._schedule_version
            self._clock.call_later(
                max(min(steps), 0) * step,
                lambda: self._apply_batch_change(scheduled_version),
            )

    def _apply_batch_change(self, scheduled_version: int) -> None:
        if scheduled_version != self._schedule_version:
            return
        self._update_progress()
        if self._prefilling and self._prefill_tokens_left <= TOKEN_TOLERANCE:
            self._finish_prefill()
        finished = self._remove_finished()
        self._start_waiting_requests()
        self._schedule_batch_change()
        for request in finished:
            request.on_done(request.cached_tokens)

    def _finish_prefill(self) -> None:
        request = self._prefilling.pop(0)
        end_step = self._decode_steps + request.output_tokens
        heapq.heappush(
            self._decoding, (end_step, next(self._tie_breakers), request)
        )
        if self._prefilling:
            self._begin_prefill()

    def _remove_finished(self) -> list[EngineRequest]:
        finished: list[EngineRequest] = []
        limit = self._decode_steps + TOKEN_TOLERANCE
        while self._decoding and self._decoding[0][0] <= limit:
            request = heapq.heappop(self._decoding)[-1]
            self.cache.finish(
                request.session, request.prompt_tokens, request.output_tokens
            )
            finished.append(request)
        return finished
