"""Learn how much faster requests run on servers that have seen their subject.

The requests of a route whose subject is being compared are divided at random:
most go to the warm servers of the subject, and a few, the controls, where they
would go without regard to it. The gain follows from the times of both groups,
so it contains whatever memory the servers have. A route without a gain is
served without regard to subjects, but for a small share of its subjects, in
which a later gain shows.
"""

import dataclasses
import enum
import math
from typing import Final

import xxhash

from bronzepost._internal.core.gateway.placement import SLOWDOWN_PER_REQUEST

# Time constant of the exponential decay of samples. A site of ten requests a
# second takes a minute for a judgment, and a changed gain shows in two.
SAMPLE_DECAY_SECONDS: Final = 60.0
# With fewer samples in one of the groups the spread of times is not known.
MIN_SAMPLES: Final = 30.0
# With this number in both groups a gain that matters would have shown.
DECISIVE_SAMPLES: Final = 150.0
# All servers are cold at first, so the absence of a gain shows only after a time.
TRIAL_SECONDS: Final = 60.0
# A smaller gain does not make up for the load that is less even.
MIN_GAIN: Final = 0.05
# Hysteresis: an established gain counts until its estimate is below this.
END_GAIN: Final = 0.02
# A request takes part of the time on any server, so a larger gain is an error.
MAX_GAIN: Final = 0.9
# The least gain that counts in the bound of the load, also where the gain is being
# found out. The gain that is learned is the mean of hits and misses; a bound that
# fell with it would cause more misses, and so a still smaller gain.
TRIAL_GAIN: Final = 0.3
# Standard errors by which a gain must be above the minimum: the decision is
# repeated at each refresh, so two would be passed by chance now and then.
CONFIDENCE: Final = 3.0
# The share of controls among the requests that are compared, where they lose the
# gain (1/32) and where it is being found out (1/4). More controls would keep the
# servers of the others cold.
ACTIVE_CONTROL_SHARE: Final = 0.03125
TRIAL_CONTROL_SHARE: Final = 0.25
# One of this many subjects is compared where there is no gain, for a minute.
IDLE_SUBJECTS: Final = 16
EPOCH_SECONDS: Final = 60.0
MIN_SECONDS: Final = 0.0001

# Count, sum and sum of squares of a group.
ReportedGroup = tuple[float, float, float]
# The warm group and the controls, as a VM reports them to its peers.
ReportedSamples = tuple[ReportedGroup, ReportedGroup]
# Digits after the point in reports.
REPORTED_DIGITS: Final = 2


class Phase(enum.StrEnum):
    """What is known of the gain of a route."""

    UNDECIDED = 'undecided'
    ACTIVE = 'active'
    IDLE = 'idle'


class Group(enum.StrEnum):
    """Where a request is sent: to warm servers, or without regard to them."""

    WARM = 'warm'
    CONTROL = 'control'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupSamples:
    """Decayed count, sum and sum of squares of the logarithms of seconds."""

    count: float = 0
    total: float = 0
    squares: float = 0

    @property
    def mean(self) -> float:
        """Return the mean logarithm."""
        return self.total / self.count if self.count else 0

    @property
    def error_square(self) -> float:
        """Return the square of the standard error of the mean."""
        if not self.count:
            return math.inf
        variance = max(self.squares / self.count - self.mean**2, 0)
        return variance / self.count


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GainSamples:
    """The samples of a route, decayed to ``at`` in monotonic seconds."""

    warm: GroupSamples = GroupSamples()
    control: GroupSamples = GroupSamples()
    at: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GainEstimate:
    """The share of its time that a warm request saves, with its lower bound.

    ``samples`` is the count of the smaller group.
    """

    gain: float = 0
    low: float = -math.inf
    samples: float = 0


def correct_for_load(seconds: float, *, running: float, slots: int) -> float:
    """Return the time that a request would have taken on an idle server.

    ``running`` is the number of other requests at the server when it was sent.

    >>> round(correct_for_load(0.212, running=2, slots=6), 3)
    0.2
    """
    batch = min(running, slots)
    excess = max(running + 1 - slots, 0)
    load = 1 + SLOWDOWN_PER_REQUEST * batch + excess / max(slots, 1)
    return seconds / load


def add_sample(
    samples: GainSamples, group: Group, seconds: float, *, at: float
) -> GainSamples:
    """Return the samples with one request added."""
    decayed = decay(samples, at=at)
    value = math.log(max(seconds, MIN_SECONDS))
    known = decayed.warm if group is Group.WARM else decayed.control
    added = GroupSamples(
        count=known.count + 1,
        total=known.total + value,
        squares=known.squares + value**2,
    )
    if group is Group.WARM:
        return dataclasses.replace(decayed, warm=added)
    return dataclasses.replace(decayed, control=added)


def decay(samples: GainSamples, *, at: float) -> GainSamples:
    """Return the samples, decayed to the time ``at``."""
    factor = math.exp(min(samples.at - at, 0) / SAMPLE_DECAY_SECONDS)
    return GainSamples(
        warm=_scale(samples.warm, factor),
        control=_scale(samples.control, factor),
        at=at,
    )


def add_reported(
    samples: GainSamples, reported: ReportedSamples
) -> GainSamples:
    """Return the samples together with those of a peer."""
    warm, control = reported
    return GainSamples(
        warm=_add(samples.warm, _unpack(warm)),
        control=_add(samples.control, _unpack(control)),
        at=samples.at,
    )


def pack_samples(samples: GainSamples) -> ReportedSamples:
    """Return the samples as a VM reports them."""
    return _pack(samples.warm), _pack(samples.control)


def estimate_gain(samples: GainSamples) -> GainEstimate:
    """Return the gain that the samples show."""
    warm, control = samples.warm, samples.control
    count = min(warm.count, control.count)
    if count < MIN_SAMPLES:
        return GainEstimate(samples=count)
    difference = control.mean - warm.mean
    error = math.sqrt(warm.error_square + control.error_square)
    return GainEstimate(
        gain=min(1 - math.exp(-difference), MAX_GAIN),
        low=1 - math.exp(CONFIDENCE * error - difference),
        samples=count,
    )


def decide_phase(
    phase: Phase, estimate: GainEstimate, *, trial_seconds: float
) -> Phase:
    """Return what is known of the gain, with hysteresis.

    The gain has been looked for during ``trial_seconds``. Too few samples change
    nothing.
    """
    if estimate.samples < MIN_SAMPLES:
        return phase
    if estimate.low >= MIN_GAIN:
        return Phase.ACTIVE
    if phase is Phase.ACTIVE and estimate.gain < END_GAIN:
        return Phase.IDLE
    is_over = trial_seconds >= TRIAL_SECONDS
    if phase is Phase.UNDECIDED and is_over:
        is_decided = estimate.samples >= DECISIVE_SAMPLES
        return Phase.IDLE if is_decided else phase
    return phase


def choose_group(
    phase: Phase, subject: str, *, unix_seconds: float, point: float
) -> Group | None:
    """Return the group of a request, None if its subject is not compared.

    All VMs compare the same subjects, so their servers are warm. ``point`` is
    uniform in [0, 1).
    """
    if phase is Phase.ACTIVE:
        control_share = ACTIVE_CONTROL_SHARE
    else:
        control_share = TRIAL_CONTROL_SHARE
    if phase is Phase.IDLE and not is_compared(subject, unix_seconds):
        return None
    return Group.CONTROL if point < control_share else Group.WARM


def is_compared(subject: str, unix_seconds: float) -> bool:
    """Return whether a subject is compared although there is no gain."""
    epoch = int(unix_seconds / EPOCH_SECONDS)
    number = xxhash.xxh64_intdigest(subject.encode(), seed=epoch)
    return number % IDLE_SUBJECTS == 0


def find_weight(phase: Phase, estimate: GainEstimate) -> float:
    """Return what a warm server is worth, in times of a cold request."""
    if phase is Phase.ACTIVE:
        return max(estimate.gain, TRIAL_GAIN)
    return TRIAL_GAIN


class GainLearner:
    """The gain of one route, from the requests of all VMs."""

    def __init__(self) -> None:
        """Start without a sample."""
        self.phase = Phase.UNDECIDED
        self.estimate = GainEstimate()
        self._own = GainSamples()
        self._began_at: float | None = None
        self._reported_by_name: dict[str, tuple[float, ReportedSamples]] = {}

    @property
    def weight(self) -> float:
        """Return what a warm server is worth, in times of a cold request."""
        return find_weight(self.phase, self.estimate)

    def record(self, group: Group, seconds: float, *, at: float) -> None:
        """Add the time of a request, corrected for load."""
        if self._began_at is None:
            self._began_at = at
        self._own = add_sample(self._own, group, seconds, at=at)

    def put_reported(
        self, name: str, reported: ReportedSamples, *, at: float
    ) -> None:
        """Replace the samples of a peer."""
        self._reported_by_name[name] = (at, reported)

    def pack(self, *, at: float) -> ReportedSamples:
        """Return the samples of this VM, as it reports them."""
        return pack_samples(decay(self._own, at=at))

    def refresh(self, *, at: float) -> bool:
        """Estimate the gain anew; return whether the phase has changed.

        Peers that have not reported for a time constant are left out.
        """
        self._reported_by_name = {
            name: received
            for name, received in self._reported_by_name.items()
            if received[0] >= at - SAMPLE_DECAY_SECONDS
        }
        total = decay(self._own, at=at)
        for _, reported in self._reported_by_name.values():
            total = add_reported(total, reported)
        self.estimate = estimate_gain(total)
        before = self.phase
        began_at = at if self._began_at is None else self._began_at
        self.phase = decide_phase(
            before, self.estimate, trial_seconds=at - began_at
        )
        return self.phase is not before


def _scale(samples: GroupSamples, factor: float) -> GroupSamples:
    return GroupSamples(
        count=samples.count * factor,
        total=samples.total * factor,
        squares=samples.squares * factor,
    )


def _add(one: GroupSamples, other: GroupSamples) -> GroupSamples:
    return GroupSamples(
        count=one.count + other.count,
        total=one.total + other.total,
        squares=one.squares + other.squares,
    )


def _pack(samples: GroupSamples) -> ReportedGroup:
    return (
        round(samples.count, REPORTED_DIGITS),
        round(samples.total, REPORTED_DIGITS),
        round(samples.squares, REPORTED_DIGITS),
    )


def _unpack(reported: ReportedGroup) -> GroupSamples:
    count, total, squares = reported
    return GroupSamples(count=count, total=total, squares=squares)
