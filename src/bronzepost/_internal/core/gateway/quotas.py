"""Token buckets of workspaces, at the part of the quota that one VM holds.

A VM holds a capacity, a part between 0 and 1 of the quotas of all VMs. The
capacities of all VMs sum to at most 1. A bucket fills at the rate times the
capacity, and holds at most the burst times the capacity, so that all buckets of
a workspace together stay within its quota.
"""

import bisect
import dataclasses
import itertools
import operator
from collections.abc import Sequence
from typing import Final

# The users' window, in which a workspace may send rate x window + burst.
WINDOW_SECONDS: Final = 5.0
# The longest time after which a refused request is told to come back. Requests
# of callers have deadlines of a few seconds.
MAX_RETRY_SECONDS: Final = 3.0
# The requests of a program are counted with this half-life: several programs
# end in it, and a workspace that changes its programs is measured anew soon.
HALF_LIFE_SECONDS: Final = 20.0
# A bucket that is fuller than this share is not short, whatever was refused
# before, so programs may start.
FULL_SHARE: Final = 0.75
# With more than half of the capacity no other VM has as much.
MAJORITY: Final = 0.5
# Steps of the capacity that are kept. A bucket that was not used since the
# oldest one begins empty there.
MAX_STEPS: Final = 512

_get_time: Final = operator.attrgetter('at')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Quota:
    """The quota of a workspace: requests a second, and requests."""

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CapacityStep:
    """The capacity that a VM holds from a time on, in monotonic seconds."""

    at: float
    capacity: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BucketPace:
    """The tokens a second that fill a bucket, and the most it holds."""

    fill: float
    depth: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bucket:
    """The tokens of a workspace at one VM at a time, in monotonic seconds.

    Requests that wait for their turn and repeated sends may leave ``level``
    below 0. ``starts`` are the tokens of first turns of programs. ``requests``
    and ``first_turns`` are what was admitted lately. The last request was refused
    at ``refused_at``, and the last one of those was told to come at ``told_at``.
    """

    quota: Quota
    at: float
    level: float = 0
    starts: float = 0
    requests: float = 0
    first_turns: float = 0
    refused_at: float = -WINDOW_SECONDS
    told_at: float = 0

    @property
    def requests_per_program(self) -> float:
        """Return the mean number of requests of a program, at least 1."""
        return max(self.requests / max(self.first_turns, 1), 1)

    def is_short(self, at: float) -> bool:
        """Return whether requests were refused in the last window."""
        return at - self.refused_at < WINDOW_SECONDS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BucketDecision:
    """Whether a request has a token, and the bucket after it.

    The request may be sent after ``wait_seconds``, or ask again then.
    """

    bucket: Bucket
    is_granted: bool
    wait_seconds: float


def find_pace(quota: Quota, capacity: float) -> BucketPace:
    """Return the pace of a bucket at a part of a quota.

    A bucket that holds less than one token admits nothing. It holds one then, and
    fills more slowly, so that the tokens of a window are the same: 1 + fill x
    window = (burst + rate x window) x capacity. A part that has less than one
    token a window admits nothing.
    """
    depth = quota.burst * capacity
    fill = quota.rate * capacity
    if depth >= 1:
        return BucketPace(fill=fill, depth=depth)
    slower = fill - (1 - depth) / WINDOW_SECONDS
    if capacity > MAJORITY:
        # A quota of less than about one request a window: the VM with most of it
        # admits one request now and then, which no bound in whole requests has.
        slower = max(slower, fill / 2)
    if slower <= 0:
        return BucketPace(fill=0, depth=0)
    return BucketPace(fill=slower, depth=1)


def add_step(
    steps: Sequence[CapacityStep], *, at: float, capacity: float
) -> tuple[CapacityStep, ...]:
    """Return the steps of a capacity with one more, the oldest ones dropped."""
    if steps and steps[-1].capacity == capacity:
        return tuple(steps)
    step = CapacityStep(at=at, capacity=capacity)
    return (*steps[1 - MAX_STEPS :], step)


def settle(
    bucket: Bucket, steps: Sequence[CapacityStep], *, at: float
) -> Bucket:
    """Return a bucket filled up to a time, as the capacity was until then.

    At each step down the tokens beyond the new depth are lost: their part of the
    quota is in use elsewhere.
    """
    if not steps or at <= bucket.at:
        return bucket
    if bucket.at < steps[0].at:
        bucket = dataclasses.replace(
            bucket, at=steps[0].at, level=min(bucket.level, 0), starts=0
        )
    first = bisect.bisect_right(steps, bucket.at, key=_get_time) - 1
    for step, following in itertools.pairwise(steps[first:]):
        bucket = _fill(bucket, step.capacity, at=following.at)
    return _fill(bucket, steps[-1].capacity, at=at)


def change_quota(bucket: Bucket, quota: Quota, capacity: float) -> Bucket:
    """Return a settled bucket with another quota; a lower one holds at once."""
    if quota == bucket.quota:
        return bucket
    depth = find_pace(quota, capacity).depth
    return dataclasses.replace(
        bucket, quota=quota, level=min(bucket.level, depth)
    )


def take_token(
    bucket: Bucket,
    capacity: float,
    *,
    max_wait_seconds: float,
    is_first_turn: bool,
) -> BucketDecision:
    """Take a token of a settled bucket for a request, if it has one in time.

    The first turn of a program has one only if the whole program is likely to
    have its tokens, where the workspace is short of them.
    """
    pace = find_pace(bucket.quota, capacity)
    if pace.fill <= 0:
        return BucketDecision(
            bucket=dataclasses.replace(bucket, refused_at=bucket.at),
            is_granted=False,
            wait_seconds=MAX_RETRY_SECONDS,
        )
    wait_seconds = max(1 - bucket.level, 0) / pace.fill
    may_start = not is_first_turn or _may_start(bucket, pace)
    if may_start and wait_seconds <= max(max_wait_seconds, 0):
        return BucketDecision(
            bucket=_count_admitted(bucket, is_first_turn),
            is_granted=True,
            wait_seconds=wait_seconds,
        )
    interval = 1 / pace.fill
    if not may_start:
        interval *= bucket.requests_per_program
        wait_seconds = max(wait_seconds, (1 - bucket.starts) * interval)
    return _refuse(bucket, interval, wait_seconds)


def add_tokens(bucket: Bucket, capacity: float, tokens: float) -> Bucket:
    """Return a settled bucket with tokens given back, or taken if negative."""
    depth = find_pace(bucket.quota, capacity).depth
    return dataclasses.replace(bucket, level=min(bucket.level + tokens, depth))


def _fill(bucket: Bucket, capacity: float, *, at: float) -> Bucket:
    seconds = at - bucket.at
    pace = find_pace(bucket.quota, capacity)
    mean = bucket.requests_per_program
    decay = 0.5 ** (seconds / HALF_LIFE_SECONDS)
    return dataclasses.replace(
        bucket,
        at=at,
        level=min(bucket.level + pace.fill * seconds, pace.depth),
        starts=min(
            bucket.starts + pace.fill * seconds / mean,
            max(pace.depth / mean, 1),
        ),
        requests=bucket.requests * decay,
        first_turns=bucket.first_turns * decay,
    )


def _may_start(bucket: Bucket, pace: BucketPace) -> bool:
    is_full = bucket.level >= max(pace.depth * FULL_SHARE, 1)
    return is_full or bucket.starts >= 1 or not bucket.is_short(bucket.at)


def _count_admitted(bucket: Bucket, is_first_turn: bool) -> Bucket:
    starts = bucket.starts
    return dataclasses.replace(
        bucket,
        level=bucket.level - 1,
        starts=max(starts - 1, 0) if is_first_turn else starts,
        requests=bucket.requests + 1,
        first_turns=bucket.first_turns + is_first_turn,
    )


def _refuse(
    bucket: Bucket, interval: float, wait_seconds: float
) -> BucketDecision:
    """Refuse a request, and tell it the first time that no other was told."""
    free_at = bucket.at + wait_seconds
    place_at = max(bucket.told_at + interval, free_at)
    if place_at > bucket.at + MAX_RETRY_SECONDS:
        # The places begin again, or all callers would come at the longest time.
        place_at = min(free_at, bucket.at + MAX_RETRY_SECONDS)
    return BucketDecision(
        bucket=dataclasses.replace(
            bucket, refused_at=bucket.at, told_at=place_at
        ),
        is_granted=False,
        wait_seconds=place_at - bucket.at,
    )
