"""Counters, gauges and histograms in memory, without the Prometheus library.

A process counts from its first request on, but most processes are never asked
for their metrics. The library that renders them is slow to import, so
``exposition`` imports it when the metrics are first requested.
"""

import bisect
from collections.abc import Callable, Iterator, Sequence
from typing import Generic, TypeVar


class CounterOrGauge:
    """The number that a counter or a gauge holds for one set of labels."""

    __slots__ = ('value',)

    def __init__(self) -> None:
        """Initialise the number to 0."""
        self.value: float = 0

    def inc(self, by: float = 1) -> None:
        """Add to the number; only a gauge may decrease."""
        self.value += by

    def set(self, value: float) -> None:
        """Set the number of a gauge."""
        self.value = value


class Histogram:
    """Counts of observations by bucket, and the sum of all observations."""

    __slots__ = ('_bounds', '_counts', 'total')

    def __init__(self, bounds: Sequence[float]) -> None:
        """Create empty buckets; ``bounds`` are in ascending order."""
        self.total: float = 0
        self._bounds = bounds
        # The last count is for observations above all bounds.
        self._counts = [0 for _ in (*bounds, None)]

    def observe(self, observed: float) -> None:
        """Add an observation; a bound belongs to the bucket below it."""
        self.total += observed
        self._counts[bisect.bisect_left(self._bounds, observed)] += 1

    def list_buckets(self) -> list[tuple[str, int]]:
        """Return each upper bound as text, with its cumulative count."""
        buckets = []
        count = 0
        for bound, added in zip(
            (*self._bounds, float('inf')), self._counts, strict=True
        ):
            count += added
            bound_text = '+Inf' if bound == float('inf') else str(float(bound))
            buckets.append((bound_text, count))
        return buckets


MetricT = TypeVar('MetricT', CounterOrGauge, Histogram)
# Label values, in the order of the family's label names.
Labels = tuple[str, ...]


class MetricFamily(Generic[MetricT]):
    """A metric with one child for each combination of label values."""

    def __init__(
        self,
        name: str,
        description: str,
        label_names: Sequence[str],
        create_child: Callable[[], MetricT],
    ) -> None:
        """Create a family without children; they are created on first use."""
        self.name = name
        self.description = description
        self.label_names = tuple(label_names)
        self._create_child: Callable[[], MetricT] = create_child
        self._children_by_labels: dict[Labels, MetricT] = {}

    def labels(self, **labels: str) -> MetricT:
        """Return the child for some label values.

        Raises:
            KeyError: if the value of a label is missing.
        """
        key = tuple(labels[name] for name in self.label_names)
        child = self._children_by_labels.get(key)
        if child is None:
            child = self._create_child()
            self._children_by_labels[key] = child
        return child

    def clear(self) -> None:
        """Drop all children, for gauges of things that come and go."""
        self._children_by_labels.clear()

    def __iter__(self) -> Iterator[tuple[Labels, MetricT]]:
        """Return the label values and the child of each combination."""
        return iter(tuple(self._children_by_labels.items()))
