"""Continuous batching of the engine, with steps in real time."""

import heapq
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import repeat

import gevent
from gevent.event import Event

from standins.engine_cache import Prefix, PrefixCache
from standins.faults import Switches
from standins.service import Effects

# A complete prefill may leave a remainder by rounding.
ROUNDING_TOLERANCE_TOKENS = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Slots and speed of an engine."""

    slots: int
    step_seconds: float
    prefill_tokens_per_second: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """One request with its answer, which is computed on arrival."""

    request_id: str
    session: str
    priority: float
    model: str
    prefixes: Sequence[Prefix]
    answer: Sequence[str]
    answer_prefix: Prefix
    finish_reason: str

    @property
    def tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(prefix.tokens for prefix in self.prefixes)


@dataclass(kw_only=True, slots=True)
class Run:
    """Progress of one request."""

    prompt: Prompt
    arrival: int = 0
    cached_tokens: int = 0
    prefill_left: float = 0
    produced: int = 0
    finish_reason: str | None = None
    ended_at: float = 0
    changed: Event = field(default_factory=Event)

    def notify(self) -> None:
        """Wake all greenlets that wait for progress."""
        woken = self.changed
        self.changed = Event()
        woken.set()


class Batch:
    """Runs in slots, and a priority queue of runs that wait for a slot.

    Each step lasts ``step_seconds``. In each step, every run whose prefill is
    complete produces one token. The prefill tokens of a step go to the other
    runs in order of admission.
    """

    def __init__(
        self,
        *,
        profile: EngineProfile,
        cache: PrefixCache,
        switches: Switches,
        effects: Effects,
    ) -> None:
        """Start idle."""
        self.profile = profile
        self.running: list[Run] = []
        self._cache = cache
        self._switches = switches
        self._effects = effects
        self._waiting: list[tuple[float, int, Run]] = []
        self._arrivals = 0
        self._has_work = Event()

    @property
    def waiting(self) -> int:
        """Return the number of runs without a slot."""
        return len(self._waiting)

    def submit(self, prompt: Prompt) -> Run:
        """Queue a request after those of the same priority."""
        run = Run(prompt=prompt, arrival=self._arrivals)
        self._arrivals += 1
        heapq.heappush(self._waiting, (prompt.priority, run.arrival, run))
        self._has_work.set()
        return run

    def cancel(self, run: Run) -> bool:
        """End a run early; return whether it was still in progress."""
        if run.finish_reason is not None:
            return False
        if run in self.running:
            self._release_slot(run)
        else:
            self._waiting = [
                entry for entry in self._waiting if entry[2] is not run
            ]
            heapq.heapify(self._waiting)
        self._end(run, 'cancelled')
        return True

    def run_steps(self) -> None:
        """Run steps forever, and wait while there are no requests."""
        deadline = time.monotonic()
        for _ in repeat(None):
            if not self.running and not self._waiting:
                self._has_work.clear()
                self._has_work.wait()
            self._admit()
            # A late step does not shorten the next one.
            deadline = (
                max(deadline, time.monotonic()) + self.profile.step_seconds
            )
            gevent.sleep(max(deadline - time.monotonic(), 0))
            if not self._switches.hang:
                self._advance()

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.profile.slots:
            _, _, run = heapq.heappop(self._waiting)
            prompt = run.prompt
            self._effects.count_run(prompt.request_id)
            run.cached_tokens = self._cache.use(prompt.session, prompt.prefixes)
            run.prefill_left = prompt.tokens - run.cached_tokens
            self._cache.pin(prompt.session, prompt.prefixes)
            self.running.append(run)

    def _advance(self) -> None:
        budget = (
            self.profile.prefill_tokens_per_second * self.profile.step_seconds
        )
        for run in tuple(self.running):
            budget -= self._prefill(run, budget)
            if run.prefill_left <= ROUNDING_TOLERANCE_TOKENS:
                self._decode(run)

    def _prefill(self, run: Run, budget: float) -> float:
        done = min(run.prefill_left, budget)
        run.prefill_left -= done
        return done

    def _decode(self, run: Run) -> None:
        prompt = run.prompt
        if not run.produced:
            self._cache.fill(prompt.session, prompt.prefixes)
        run.produced = min(run.produced + 1, len(prompt.answer))
        if run.produced >= len(prompt.answer):
            self._cache.fill(
                prompt.session, (*prompt.prefixes, prompt.answer_prefix)
            )
            self._release_slot(run)
            self._end(run, prompt.finish_reason)
        run.notify()

    def _release_slot(self, run: Run) -> None:
        self.running.remove(run)
        self._cache.unpin(run.prompt.session, run.prompt.prefixes)

    def _end(self, run: Run, reason: str) -> None:
        run.finish_reason = reason
        run.ended_at = time.monotonic()
        run.notify()
