"""Decide which write to the store goes next, and when.

All writes of a VM share its access to the store. While the store answers, a write
goes at once. After refusals or silence one write at a time tries again, with growing
pauses, and what has waited is then released at the VM's share of the rate that the
store takes. Retries of each write by itself would keep the store overloaded after
its return.
"""

import dataclasses
import enum
import math
import operator
from collections.abc import Collection, Mapping, Sequence
from typing import Final

# A store has more than one partition, so that fewer failures may be those of
# partitions that are down alone: each turn has two.
HOLD_AFTER_LOCATIONS: Final = 3
# Pauses grow by this factor until the longest one (exponential backoff).
_PAUSE_FACTOR: Final = 2.0
# Bounds the exponent; the longest pause is reached long before.
_MAX_DOUBLINGS: Final = 16
# Pauses are spread between this part of their length and all of it, so that VMs
# that were refused at once do not try again at once.
_SHORTEST_PAUSE_SHARE: Final = 0.5
# Share of the store's rate that all VMs together use for what has waited. The rest
# is for the budgets and turns of programs that go on meanwhile.
RELEASE_SHARE: Final = 0.8
# Share of the store's rate for attempts of all VMs while it refuses. It bounds what
# refused calls cost in a long outage of a large fleet.
PROBE_SHARE: Final = 0.1
# Writes a second of a VM whose share is less, so that it makes progress.
MIN_RATE: Final = 1.0
# While answers are prompt, each one raises the pace by the share of the VM, so that
# what other VMs leave unused is used. Late answers mean that the store queues: the
# pace stays, and goes back to the share before the store refuses, which it does when
# 2 s of work wait (delay-based congestion control). A refusal by rate halves it.
RATE_STEP: Final = 1.0
MAX_RATE_FACTOR: Final = 8.0
MIN_RATE_FACTOR: Final = 0.125
# An append takes 4 ms; one that takes longer than this has waited for others.
PROMPT_SECONDS: Final = 0.1
# A quarter of what may wait at the store.
LATE_SECONDS: Final = 0.5
# A failed location that nothing was written to for this long counts as untried.
FAILURE_RETENTION_SECONDS: Final = 5.0
# Limits of one append and of one of its records on the platform ("callBytes" of
# 2,097,152 and "recordBytes" of 262,144), less what lengths and keys take. A larger
# record goes alone, since the store rejects an append as a whole.
MAX_APPEND_BYTES: Final = 2_000_000
MAX_RECORD_BYTES: Final = 260_000


# A topic and a partition of it.
Location = tuple[str, int]


class Priority(enum.IntEnum):
    """Kinds of writes, the most urgent first."""

    BUDGET = 0
    TURN = 1
    SWEEP = 2


class Outcome(enum.StrEnum):
    """How an attempt ended.

    ``LIMITED`` is a refusal because all calls together are beyond the rate, and
    ``REJECTED`` one of this write only, as for its size.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LIMITED = 'limited'
    REJECTED = 'rejected'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PaceLimits:
    """The longest times between attempts of this VM, and its rate.

    ``rate`` is its share of the store's writes a second. Pauses between attempts
    grow from ``first_pause`` to ``longest_pause`` seconds.
    """

    rate: float
    first_pause: float
    longest_pause: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LocationFailure:
    """Failed attempts at a location in a row, and when the next one is due."""

    failures: int
    next_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingWrite:
    """A write that may go to one of ``locations``, the first one preferred.

    It is of no use after ``deadline_at``. ``size`` is in bytes.
    """

    key: str
    locations: tuple[Location, ...]
    deadline_at: float = math.inf
    size: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Writes that go into one append."""

    location: Location
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreAccess:
    """What a VM knows of its access to the store.

    ``unanswered`` are the locations that have failed since the last answer. Writes
    are held since ``held_since``, None if they are not. While they are held or
    ``is_paced``, no attempt begins before ``next_at``. ``probes`` are the failed
    attempts while writes are held. The pace is ``rate_factor`` times the share of
    the VM.
    """

    failures_by_location: Mapping[Location, LocationFailure] = (
        dataclasses.field(default_factory=dict)
    )
    unanswered: frozenset[Location] = frozenset()
    held_since: float | None = None
    probes: int = 0
    is_paced: bool = False
    next_at: float = 0
    rate_factor: float = 1.0

    @property
    def is_held(self) -> bool:
        """Return whether only one attempt at a time may begin."""
        return self.held_since is not None

    @property
    def is_calm(self) -> bool:
        """Return whether writes begin as soon as they come."""
        return not (self.is_held or self.is_paced)


def share_limits(
    *, store_rate: float, vms: int, first_pause: float, longest_pause: float
) -> PaceLimits:
    """Return the limits of one of several VMs that share a store.

    >>> share_limits(
    ...     store_rate=1500, vms=10, first_pause=0.1, longest_pause=0.5
    ... )
    PaceLimits(rate=120.0, first_pause=0.1, longest_pause=0.5)
    """
    return PaceLimits(
        rate=max(store_rate * RELEASE_SHARE / vms, MIN_RATE),
        first_pause=first_pause,
        longest_pause=max(longest_pause, vms / (store_rate * PROBE_SHARE)),
    )


def find_pause(failures: int, limits: PaceLimits, spread: float) -> float:
    """Return the seconds between a failure and the next attempt.

    ``failures`` counts those in a row. ``spread`` is a random number between 0
    and 1.
    """
    doublings = min(max(failures - 1, 0), _MAX_DOUBLINGS)
    pause = min(
        limits.first_pause * _PAUSE_FACTOR**doublings, limits.longest_pause
    )
    varying = 1 - _SHORTEST_PAUSE_SHARE
    return pause * (_SHORTEST_PAUSE_SHARE + varying * spread)


def choose_batch(
    access: StoreAccess,
    waiting: Sequence[WaitingWrite],
    busy: Collection[Location],
    *,
    at: float,
) -> Batch | None:
    """Return the append that goes next, or None if none may begin now.

    ``waiting`` are the writes that no attempt is under way for, and ``busy`` the
    locations of attempts that are. Other writes to the same location join the most
    urgent one, as far as one append holds them.
    """
    is_probe_under_way = access.is_held and bool(busy)
    if is_probe_under_way or (not access.is_calm and at < access.next_at):
        return None
    choices = [
        (_rank(access, write, location), location, write)
        for write in waiting
        for location in _list_due(access, write, busy, at)[:1]
    ]
    if not choices:
        return None
    _, location, first = min(choices, key=operator.itemgetter(0))
    return Batch(location=location, keys=_join(first, waiting, location))


def begin_attempt(
    access: StoreAccess, limits: PaceLimits, *, at: float
) -> StoreAccess:
    """Return the access after an attempt has begun, which uses up its turn."""
    if not access.is_paced:
        return access
    interval = 1 / (limits.rate * access.rate_factor)
    return dataclasses.replace(
        access, next_at=max(access.next_at, at) + interval
    )


def record_answer(
    access: StoreAccess,
    location: Location,
    *,
    at: float,
    seconds: float,
) -> StoreAccess:
    """Return the access after the store has answered an attempt.

    The answer took ``seconds``.
    """
    oldest = at - FAILURE_RETENTION_SECONDS
    if not access.is_held:
        return dataclasses.replace(
            access,
            failures_by_location={
                key: failure
                for key, failure in access.failures_by_location.items()
                if key != location and failure.next_at > oldest
            },
            unanswered=frozenset(),
            rate_factor=_adapt_rate(access.rate_factor, seconds),
        )
    # What failed in an outage of the whole store says nothing about partitions.
    return StoreAccess(is_paced=True, next_at=at)


def record_failure(
    access: StoreAccess,
    location: Location,
    outcome: Outcome,
    limits: PaceLimits,
    *,
    at: float,
    spread: float,
) -> StoreAccess:
    """Return the access after an attempt was refused or got no answer.

    ``spread`` is a random number between 0 and 1.
    """
    if outcome is Outcome.LIMITED:
        factor = max(min(access.rate_factor, 1) / 2, MIN_RATE_FACTOR)
        pause = (_SHORTEST_PAUSE_SHARE + spread) / (limits.rate * factor)
        return dataclasses.replace(
            access,
            is_paced=not access.is_held,
            rate_factor=factor,
            next_at=max(access.next_at, at + pause),
        )
    before = access.failures_by_location.get(location)
    count = before.failures + 1 if before else 1
    failure = LocationFailure(
        failures=count, next_at=at + find_pause(count, limits, spread)
    )
    failed = dataclasses.replace(
        access,
        failures_by_location={
            **access.failures_by_location,
            location: failure,
        },
    )
    if outcome is Outcome.REJECTED:
        # The store answers.
        return dataclasses.replace(failed, unanswered=frozenset())
    failed = dataclasses.replace(
        failed, unanswered=failed.unanswered | {location}
    )
    return _hold(failed, limits, at, spread)


def end_pace(access: StoreAccess, *, at: float) -> StoreAccess:
    """Return the access once nothing waits: the next write goes at once.

    A turn that was used just now is waited for, so that many writes one after
    another do not leave the pace.
    """
    if not access.is_paced or access.is_held or at < access.next_at:
        return access
    return dataclasses.replace(access, is_paced=False, rate_factor=1)


def expect_return(access: StoreAccess, *, until: float) -> StoreAccess:
    """Return the access of a VM that has learned that the store answers again.

    The next attempt is due at ``until`` at the latest.
    """
    failures = {
        location: LocationFailure(
            failures=1, next_at=min(failure.next_at, until)
        )
        for location, failure in access.failures_by_location.items()
    }
    next_at = access.next_at
    if access.is_held:
        next_at = min(next_at, until)
    return dataclasses.replace(
        access, failures_by_location=failures, next_at=next_at, probes=0
    )


def may_begin(
    access: StoreAccess,
    busy: Collection[Location],
    *,
    at: float,
    priority: Priority,
) -> bool:
    """Return whether a call that cannot wait may begin.

    Calls for budgets and reads of turns take a turn in advance while the pace is
    kept, and are made at a location that failed alone, since callers wait for them.
    Sweeps come after all that waits.
    """
    if priority is Priority.SWEEP:
        return access.is_calm
    return not access.is_held or (at >= access.next_at and not busy)


def needs_peer(access: StoreAccess, write: WaitingWrite) -> bool:
    """Return whether a peer may store a write that this VM cannot."""
    return access.is_held or all(
        location in access.failures_by_location for location in write.locations
    )


def find_next_time(
    access: StoreAccess, waiting: Sequence[WaitingWrite]
) -> float:
    """Return when an attempt that is not under way yet is due next.

    Infinite if nothing waits. The time may have passed, if an attempt under way
    holds back the next one.
    """
    due = [
        getattr(access.failures_by_location.get(location), 'next_at', 0)
        for write in waiting
        for location in write.locations
    ]
    earliest: float = min(due, default=math.inf)
    return earliest if access.is_calm else max(earliest, access.next_at)


def _rank(
    access: StoreAccess, write: WaitingWrite, location: Location
) -> tuple[int, float, str]:
    # While writes are held, locations that have not failed tell the most.
    failure = access.failures_by_location.get(location)
    failures = failure.failures if failure and access.is_held else 0
    return failures, write.deadline_at, write.key


def _list_due(
    access: StoreAccess,
    write: WaitingWrite,
    busy: Collection[Location],
    at: float,
) -> list[Location]:
    failures = access.failures_by_location
    due = [
        location
        for location in write.locations
        if location not in busy
        and (location not in failures or failures[location].next_at <= at)
    ]
    return sorted(
        due,
        key=lambda location: (
            failures[location].next_at if location in failures else 0
        ),
    )


def _join(
    first: WaitingWrite, waiting: Sequence[WaitingWrite], location: Location
) -> tuple[str, ...]:
    joined = [first.key]
    free = MAX_APPEND_BYTES - first.size
    if first.size > MAX_RECORD_BYTES:
        return tuple(joined)
    for write in sorted(waiting, key=lambda listed: listed.deadline_at):
        is_fitting = write.size <= min(free, MAX_RECORD_BYTES)
        if write is not first and location in write.locations and is_fitting:
            joined.append(write.key)
            free -= write.size
    return tuple(joined)


def _adapt_rate(factor: float, seconds: float) -> float:
    if seconds <= PROMPT_SECONDS:
        return min(factor + RATE_STEP, MAX_RATE_FACTOR)
    return factor if seconds <= LATE_SECONDS else min(factor, 1)


def _hold(
    access: StoreAccess, limits: PaceLimits, at: float, spread: float
) -> StoreAccess:
    """Return the access with writes held if enough locations have failed."""
    # A failed attempt that began before the writes were held is no probe.
    is_late = access.is_held and at < access.next_at
    is_alone = len(access.unanswered) < HOLD_AFTER_LOCATIONS
    if is_late or (is_alone and not access.is_held):
        return access
    probes = access.probes + 1
    return dataclasses.replace(
        access,
        held_since=at if access.held_since is None else access.held_since,
        is_paced=False,
        probes=probes,
        next_at=at + find_pause(probes, limits, spread),
    )
