"""VMs with turns that wait for a store, replayed in virtual time."""

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Collection, Iterator
from typing import Final

from bronzepost._internal.core.gateway.store_pace import (
    Batch,
    Location,
    Outcome,
    PaceLimits,
    StoreAccess,
    WaitingWrite,
    begin_attempt,
    choose_batch,
    end_pace,
    expect_return,
    find_next_time,
    record_answer,
    record_failure,
    share_limits,
)
from bronzepost._internal.gateway.programs.store_lane import (
    RETURN_SPREAD_SECONDS,
)
from bronzepost._internal.gateway.programs.store_pace import (
    FIRST_PAUSE_SECONDS,
    LONGEST_PAUSE_SECONDS,
)
from bronzepost._internal.gateway.programs.turn_store import list_locations

PARTITIONS: Final = 12
# Times of the platform: an append, and a refusal.
APPEND_SECONDS: Final = 0.004
REFUSAL_SECONDS: Final = 0.001
# More than this waits: the append is refused (pages of the platform).
MAX_QUEUE_SECONDS: Final = 2.0
# The reads of routes and servers are repeated at this interval in an outage.
READ_RETRY_SECONDS: Final = 0.3
# The time that the request of a turn has, and turns of a VM a second, so that about
# five wait on each VM after an outage of 3 s or more.
TURN_SECONDS: Final = 3.0
TURNS_PER_SECOND: Final = 5 / 3
# An outage begins after this time, and the replay goes on for as long after it.
CALM_SECONDS: Final = 3.0
# The old rule: pause after both locations have refused, and a peer besides.
OLD_RETRY_SECONDS: Final = 0.2


# A time, a number that keeps the order of steps at the same time, and a step.
Step = Callable[[], None]
Event = tuple[float, int, Step]


@dataclasses.dataclass(kw_only=True)
class Replay:
    """Virtual time, a store that fails, and what became of calls and turns.

    The store is away from ``away_at`` to ``back_at``. It works one write after
    another at ``rate`` a second. If it ``limits_calls``, calls beyond the rate are
    refused by rate, and refused calls count too.
    """

    rate: float
    away_at: float
    back_at: float
    limits_calls: bool = False
    now: float = 0
    refusals_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    calls_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    down_partitions: Collection[int] = ()
    durable_at: dict[str, float] = dataclasses.field(default_factory=dict)
    arrived_at: dict[str, float] = dataclasses.field(default_factory=dict)
    _free_at: float = 0
    _tokens_at: float = 0
    _events: list[Event] = dataclasses.field(default_factory=list)
    _numbers: Iterator[int] = dataclasses.field(default_factory=itertools.count)

    @property
    def is_away(self) -> bool:
        """Return whether the store refuses all calls."""
        return self.away_at <= self.now < self.back_at

    def after(self, seconds: float, step: Callable[[], None]) -> None:
        """Take a step after some time."""
        event = (self.now + seconds, next(self._numbers), step)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Take all steps until a time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()

    def append(
        self, location: Location, end: Callable[[Outcome], None]
    ) -> None:
        """Call the store; ``end`` is called with the outcome."""
        self.calls_by_second[self.second] += 1
        outcome = self._decide(location)
        if outcome is Outcome.ANSWERED:
            self._free_at = max(self._free_at, self.now) + 1 / self.rate
            delay = self._free_at - self.now + APPEND_SECONDS
        else:
            self.refusals_by_second[self.second] += 1
            delay = REFUSAL_SECONDS
        self.after(delay, lambda: end(outcome))

    @property
    def second(self) -> int:
        """Return the second since the store's return, negative before it."""
        return math.floor(self.now - self.back_at)

    def count_refusals(self, first: int, last: int) -> int:
        """Return the refusals in some seconds, counted from the return."""
        return sum(
            count
            for second, count in self.refusals_by_second.items()
            if first <= second <= last
        )

    def find_waits(self) -> list[float]:
        """Return how long after the return each turn that waited became durable.

        Infinite for a turn that did not.
        """
        return [
            self.durable_at.get(key, float('inf')) - self.back_at
            for key, at in self.arrived_at.items()
            if self.back_at - TURN_SECONDS < at <= self.back_at
            and self.durable_at.get(key, self.back_at) >= self.back_at
        ]

    def _decide(self, location: Location) -> Outcome:
        is_limited = False
        if self.limits_calls:
            self._tokens_at = max(self._tokens_at, self.now - 1) + 1 / self.rate
            is_limited = self._tokens_at > self.now
            if is_limited:
                self._tokens_at -= 1 / self.rate
        if self.is_away or location[1] in self.down_partitions:
            return Outcome.REFUSED
        if is_limited:
            return Outcome.LIMITED
        is_full = self._free_at - self.now > MAX_QUEUE_SECONDS
        return Outcome.REFUSED if is_full else Outcome.ANSWERED


class PacedVm:
    """A VM that writes its turns by the rules of the gateway."""

    def __init__(self, *, replay: Replay, vms: int, seed: int) -> None:
        """Be one of several VMs."""
        self._replay = replay
        self._random = random.Random(seed)
        self._access = StoreAccess()
        self._limits: PaceLimits = share_limits(
            store_rate=replay.rate,
            vms=vms,
            first_pause=FIRST_PAUSE_SECONDS,
            longest_pause=LONGEST_PAUSE_SECONDS,
        )
        self._waiting: dict[str, WaitingWrite] = {}
        self._under_way: set[str] = set()
        self._busy: list[Location] = []
        self._due_at = float('inf')
        detection = self._random.random() * READ_RETRY_SECONDS
        replay.after(
            replay.back_at - replay.now + detection, self._learn_of_return
        )

    def add(self, key: str, deadline_at: float) -> None:
        """Begin to write a turn."""
        if not self._waiting:
            self._access = end_pace(self._access, at=self._replay.now)
        self._waiting[key] = WaitingWrite(
            key=key,
            locations=list_locations(key, PARTITIONS),
            deadline_at=deadline_at,
            size=8000,
        )
        self._dispatch()

    def drop(self, key: str) -> None:
        """Give a turn up."""
        self._waiting.pop(key, None)

    def _learn_of_return(self) -> None:
        until = self._replay.now + self._random.random() * RETURN_SPREAD_SECONDS
        self._access = expect_return(self._access, until=until)
        self._dispatch()

    def _list_idle(self) -> list[WaitingWrite]:
        return [
            write
            for key, write in self._waiting.items()
            if key not in self._under_way
        ]

    def _dispatch(self) -> None:
        now = self._replay.now
        while True:
            batch = choose_batch(
                self._access, self._list_idle(), self._busy, at=now
            )
            if batch is None:
                break
            self._begin(batch)
        next_at = find_next_time(self._access, self._list_idle())
        if now < next_at < self._due_at or self._due_at <= now < next_at:
            self._due_at = next_at
            if next_at < float('inf'):
                self._replay.after(next_at - now, self._dispatch)

    def _begin(self, batch: Batch) -> None:
        self._access = begin_attempt(
            self._access, self._limits, at=self._replay.now
        )
        self._busy.append(batch.location)
        self._under_way.update(batch.keys)
        began_at = self._replay.now
        self._replay.append(
            batch.location, lambda outcome: self._end(batch, outcome, began_at)
        )

    def _end(self, batch: Batch, outcome: Outcome, began_at: float) -> None:
        self._busy.remove(batch.location)
        self._under_way.difference_update(batch.keys)
        now = self._replay.now
        if outcome is Outcome.ANSWERED:
            for key in batch.keys:
                self._waiting.pop(key, None)
                self._replay.durable_at.setdefault(key, now)
            self._access = record_answer(
                self._access,
                batch.location,
                at=now,
                seconds=now - began_at,
            )
        else:
            self._access = record_failure(
                self._access,
                batch.location,
                outcome,
                self._limits,
                at=now,
                spread=self._random.random(),
            )
        self._dispatch()


class OldVm:
    """A VM that writes each turn by itself, as before the queue.

    Each waiting turn goes to both locations from its VM and from a peer, again and
    again after 0.2 s.
    """

    def __init__(self, *, replay: Replay, vms: int, seed: int) -> None:
        """Be one of several VMs."""
        self._replay = replay
        self._random = random.Random(seed)
        self._waiting: set[str] = set()

    def add(self, key: str, deadline_at: float) -> None:
        """Begin to write a turn."""
        self._waiting.add(key)
        first, second = list_locations(key, PARTITIONS)
        self._try(key, (first, second), is_first=True)

    def drop(self, key: str) -> None:
        """Give a turn up."""
        self._waiting.discard(key)

    def _try(
        self, key: str, locations: tuple[Location, ...], *, is_first: bool
    ) -> None:
        if key not in self._waiting:
            return
        location, *others = locations

        def end(outcome: Outcome) -> None:
            if outcome is Outcome.ANSWERED:
                self._waiting.discard(key)
                self._replay.durable_at.setdefault(key, self._replay.now)
                return
            if others:
                self._try(key, tuple(others), is_first=is_first)
                return
            again = list_locations(key, PARTITIONS)
            if is_first:
                self._try(key, again, is_first=False)
            self._replay.after(
                OLD_RETRY_SECONDS,
                lambda: self._try(key, again, is_first=False),
            )

        self._replay.append(location, end)


def replay_outage(
    make_vm: type[PacedVm] | type[OldVm],
    *,
    vms: int,
    rate: float,
    seconds: float,
    limits_calls: bool = False,
    down_partitions: Collection[int] = (),
    seed: int = 1,
) -> Replay:
    """Return the replay of an outage that lasts for some seconds."""
    back_at = CALM_SECONDS + seconds
    replay = Replay(
        rate=rate,
        away_at=CALM_SECONDS,
        back_at=back_at,
        limits_calls=limits_calls,
        down_partitions=down_partitions,
    )
    generator = random.Random(seed)
    for number in range(vms):
        vm = make_vm(replay=replay, vms=vms, seed=generator.getrandbits(32))
        _plan_turns(replay, vm, generator, str(number))
    replay.run(back_at + CALM_SECONDS)
    return replay


def _plan_turns(
    replay: Replay, vm: PacedVm | OldVm, generator: random.Random, name: str
) -> None:
    at = generator.expovariate(TURNS_PER_SECOND)
    while at < replay.back_at + CALM_SECONDS:
        key = f'{name}-{at:.6f}'
        replay.arrived_at[key] = at
        replay.after(at, functools.partial(vm.add, key, at + TURN_SECONDS))
        # What waits at the return is followed to its end.
        if at + TURN_SECONDS < replay.back_at:
            replay.after(at + TURN_SECONDS, functools.partial(vm.drop, key))
        at += generator.expovariate(TURNS_PER_SECOND)
