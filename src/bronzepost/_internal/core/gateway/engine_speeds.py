"""Learn how fast engines stream from the streams of all VMs.

A VM of a large fleet sends to each engine once in several seconds, which is too
seldom to see in time that an engine has become slow. Each VM therefore reports
what it has measured at engines that differ from the others, and adds up what its
peers report. Samples count less as they age, so an engine that gets no requests
because it was slow is tried again.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping
from typing import Final

from bronzepost._internal.core.gateway.placement import SLOWDOWN_PER_REQUEST
from bronzepost._internal.core.gateway.server_latency import (
    MAX_LATENCY_RATIO,
    MIN_LATENCY_RATIO,
    MIN_SECONDS_PER_EVENT,
)

# Time constant of the exponential decay by which older samples count less. Slow
# periods of engines last 4 s and more.
SAMPLE_DECAY_SECONDS: Final = 4.0
# The weight in samples of the assumption that an engine is as fast as the others.
# Reading of other prompts lengthens single streams by half.
PRIOR_SAMPLES: Final = 5.0
# Engines whose own samples differ from the reference by a smaller share are not
# reported.
REPORTED_DIFFERENCE: Final = 0.1
# Samples with less weight say nothing: after 12 s one sample weighs this much.
MIN_SAMPLES: Final = 0.05
# Bounds the size of a report, at 20 bytes for each engine.
MAX_REPORTED_ENGINES: Final = 64
_MICROSECONDS: Final = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineSamples:
    """Streams of one engine: sums decayed to ``at``, in monotonic seconds.

    ``seconds`` adds up the seconds per event, as if each stream ran alone.
    """

    seconds: float
    samples: float
    at: float


_NO_SAMPLES: Final = EngineSamples(seconds=0, samples=0, at=0)
SampleTable = Mapping[str, EngineSamples]
# Mean microseconds per event and samples by engine, as a VM reports them.
ReportedSpeeds = Mapping[str, tuple[int, float]]


def add_sample(
    known: EngineSamples | None,
    *,
    seconds_per_event: float,
    running: float,
    at: float,
) -> EngineSamples:
    """Return the samples of an engine with one stream added.

    ``running`` is the number of requests in flight at the engine.
    """
    unloaded = seconds_per_event / (1 + SLOWDOWN_PER_REQUEST * running)
    unloaded = max(unloaded, MIN_SECONDS_PER_EVENT)
    if known is None:
        return EngineSamples(seconds=unloaded, samples=1, at=at)
    share = find_remaining_share(at - known.at)
    return EngineSamples(
        seconds=share * known.seconds + unloaded,
        samples=share * known.samples + 1,
        at=at,
    )


def find_remaining_share(age_seconds: float) -> float:
    """Return how much a sample of some age still counts."""
    return math.exp(-max(age_seconds, 0) / SAMPLE_DECAY_SECONDS)


def decay_samples(table: SampleTable, *, at: float) -> dict[str, EngineSamples]:
    """Return the samples decayed to ``at``, without those that say nothing."""
    decayed = {}
    for server_id, known in table.items():
        share = find_remaining_share(at - known.at)
        if share * known.samples >= MIN_SAMPLES:
            decayed[server_id] = EngineSamples(
                seconds=share * known.seconds,
                samples=share * known.samples,
                at=at,
            )
    return decayed


def list_reported(
    own: SampleTable, *, reference_seconds: float, at: float
) -> dict[str, tuple[int, float]]:
    """Return the own samples of engines that differ from the reference.

    Those that differ most come first if there are too many.
    """
    if not reference_seconds:
        return {}
    found = []
    for server_id, known in decay_samples(own, at=at).items():
        mean = known.seconds / known.samples
        difference = abs(mean / reference_seconds - 1)
        if difference > REPORTED_DIFFERENCE:
            entry = (round(mean * _MICROSECONDS), round(known.samples, 1))
            found.append((difference, server_id, entry))
    found.sort(reverse=True)
    return {
        reported_id: entry
        for _, reported_id, entry in found[:MAX_REPORTED_ENGINES]
        if entry[1]
    }


def sum_samples(
    own: SampleTable,
    reports: Iterable[tuple[float, ReportedSpeeds]],
    *,
    at: float,
) -> dict[str, EngineSamples]:
    """Return own samples together with those of reports, decayed to ``at``.

    Each report comes with the time at which it arrived.
    """
    total = decay_samples(own, at=at)
    for received_at, speeds in reports:
        share = find_remaining_share(at - received_at)
        for server_id, reported in speeds.items():
            total[server_id] = _add_reported(
                total.get(server_id, _NO_SAMPLES), reported, share
            )
    return total


def _add_reported(
    known: EngineSamples, reported: tuple[int, float], share: float
) -> EngineSamples:
    microseconds, samples = reported
    weight = share * samples
    return EngineSamples(
        seconds=known.seconds + weight * microseconds / _MICROSECONDS,
        samples=known.samples + weight,
        at=known.at,
    )


def find_reference(total: SampleTable) -> float:
    """Return the median of the engines' seconds per event, 0 without any.

    A few slow engines do not change the median.
    """
    means = [
        known.seconds / known.samples
        for known in total.values()
        if known.samples >= MIN_SAMPLES
    ]
    return statistics.median(means) if means else 0


def rate_engines(
    total: SampleTable, reference_seconds: float
) -> dict[str, float]:
    """Return seconds per event by engine, divided by the reference.

    An engine with few samples is assumed to be nearer to the reference.

    >>> samples = EngineSamples(seconds=0.12, samples=2, at=0)
    >>> rate_engines({'i-1': samples}, 0.03)
    {'i-1': 1.5}
    """
    if not reference_seconds:
        return {}
    prior = PRIOR_SAMPLES * reference_seconds
    return {
        server_id: _clamp(
            (known.seconds + prior)
            / (known.samples + PRIOR_SAMPLES)
            / reference_seconds
        )
        for server_id, known in total.items()
    }


def _clamp(ratio: float) -> float:
    if abs(ratio - 1) <= REPORTED_DIFFERENCE:
        return 1
    return min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)
