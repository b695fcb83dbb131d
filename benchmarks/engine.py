"""Model engine with continuous batching, in virtual time."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from .clock import VirtualClock
from .prefix_cache import PrefixCache
from .settings import EngineShape

# Rounding of the virtual times must not leave a sequence unfinished.
TOKEN_TOLERANCE = 1e-6


@dataclasses.dataclass(kw_only=True, slots=True)
class EngineRequest:
    """A call at an engine; ``on_done`` gets the tokens that were cached."""

    session: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    on_start: Callable[[], None]
    on_done: Callable[[int], None]
    cached_tokens: int = 0


class Engine:
    """Serve requests by priority, with a batch bounded by slots and memory.

    A step gives one token to every sequence that decodes, and fills one chunk
    of the oldest prompt in the batch. A step takes longer the more sequences
    decode, and by the time of the chunk. Between two changes of the batch all
    speeds are constant, so only these changes are events.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        shape: EngineShape,
        cache: PrefixCache,
    ) -> None:
        """Start idle."""
        self.cache = cache
        self.has_failed = False
        self._clock = clock
        self._shape = shape
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._filling: list[EngineRequest] = []
        self._decoding: list[tuple[float, int, EngineRequest]] = []
        self._prefill_left: float = 0
        self._decoded: float = 0
        self._advanced_at: float = 0
        self._version = 0

    @property
    def running(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._filling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for the batch."""
        return len(self._waiting)

    def submit(self, request: EngineRequest) -> None:
        """Queue a request; a failed engine never answers."""
        if self.has_failed:
            return
        self._advance()
        entry = (request.priority, next(self._numbers), request)
        heapq.heappush(self._waiting, entry)
        self._start_waiting()
        self._plan()

    def fail(self) -> None:
        """Stop for good without answering."""
        self.has_failed = True
        self._version += 1

    def _find_step_seconds(self) -> float:
        shape = self._shape
        seconds: float = 0
        if self._decoding:
            seconds += shape.step_base_seconds
            seconds += shape.step_seconds_per_sequence * len(self._decoding)
        if self._filling:
            chunk = shape.prefill_chunk_tokens
            seconds += chunk / shape.prefill_tokens_per_second
        return seconds

    def _advance(self) -> None:
        """Bring the progress of the batch up to the present."""
        elapsed = self._clock.now - self._advanced_at
        self._advanced_at = self._clock.now
        step = self._find_step_seconds()
        if not elapsed or not step:
            return
        self._decoded += elapsed / step
        if self._filling:
            chunk = self._shape.prefill_chunk_tokens
            self._prefill_left -= chunk * elapsed / step

    def _start_waiting(self) -> None:
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
            self._filling.append(request)
            if len(self._filling) == 1:
                self._begin_prefill()

    def _begin_prefill(self) -> None:
        request = self._filling[0]
        missing = request.prompt_tokens - request.cached_tokens
        self._prefill_left = max(missing, 1)

    def _plan(self) -> None:
        """Schedule the next change of the batch."""
        self._version += 1
        step = self._find_step_seconds()
        steps: list[float] = []
        if self._decoding:
            steps.append(self._decoding[0][0] - self._decoded)
        if self._filling:
            steps.append(self._prefill_left / self._shape.prefill_chunk_tokens)
        if steps:
            version = self._version
            self._clock.call_later(
                max(min(steps), 0) * step, lambda: self._wake(version)
            )

    def _wake(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        if self._filling and self._prefill_left <= TOKEN_TOLERANCE:
            self._finish_prefill()
        finished = self._take_finished()
        self._start_waiting()
        self._plan()
        for request in finished:
            request.on_done(request.cached_tokens)

    def _finish_prefill(self) -> None:
        request = self._filling.pop(0)
        end = self._decoded + request.output_tokens
        heapq.heappush(self._decoding, (end, next(self._numbers), request))
        if self._filling:
            self._begin_prefill()

    def _take_finished(self) -> list[EngineRequest]:
        finished: list[EngineRequest] = []
        limit = self._decoded + TOKEN_TOLERANCE
        while self._decoding and self._decoding[0][0] <= limit:
            request = heapq.heappop(self._decoding)[-1]
            self.cache.finish(
                request.session, request.prompt_tokens, request.output_tokens
            )
            finished.append(request)
        return finished
