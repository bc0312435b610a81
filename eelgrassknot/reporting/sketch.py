"""Quantile sketch that merges and that travels as plain data.

The buckets and the quantiles are those of the ddsketch library; only the
bucket counts are kept here, sparse, since most rows see a few values.

References:
    Masson, Rim, Lee: DDSketch: a fast and fully-mergeable quantile sketch
    with relative-error guarantees. PVLDB 12(12), 2019.
"""

import collections
import collections.abc

import ddsketch
from ddsketch import ddsketch as library
from ddsketch import store
import msgspec

__all__ = ['RELATIVE_ACCURACY', 'Sketch']

RELATIVE_ACCURACY = 0.01
# Shorter durations count as none at all.
LEAST_MS = 0.001

_MAPPING = ddsketch.LogarithmicMapping(RELATIVE_ACCURACY)


class Sketch(msgspec.Struct, array_like=True):
    """Distribution of durations in milliseconds.

    Attributes:
        buckets: How many values fell in each bucket.
        zeros: How many values were shorter than ``LEAST_MS``.
        total_ms: Sum of all values.
        largest_ms: The largest value.

    Example:
        >>> sketch = Sketch()
        >>> sketch.add_all([1.0, 2.0, 100.0])
        >>> sketch.count, round(sketch.quantile_ms(0.5), 1)
        (3, 2.0)
    """

    buckets: dict[int, int] = msgspec.field(default_factory=dict)
    zeros: int = 0
    total_ms: float = 0.0
    largest_ms: float = 0.0

    @property
    def count(self) -> int:
        """Number of values."""
        return self.zeros + sum(self.buckets.values())

    @property
    def mean_ms(self) -> float:
        """Mean of all values, 0 if there is none."""
        return self.total_ms / self.count if self.count else 0.0

    def add(self, value_ms: float) -> None:
        """Add one value; a negative one counts as none."""
        if value_ms < LEAST_MS:
            self.zeros += 1
            return
        key = _MAPPING.key(value_ms)
        self.buckets[key] = self.buckets.get(key, 0) + 1
        self.total_ms += value_ms
        self.largest_ms = max(self.largest_ms, value_ms)

    def add_all(self, values_ms: collections.abc.Iterable[float]) -> None:
        """Add many values."""
        for value_ms in values_ms:
            self.add(value_ms)

    def merge(self, other: 'Sketch') -> None:
        """Add all values that another sketch has seen."""
        counts = collections.Counter(self.buckets)
        counts.update(other.buckets)
        self.buckets = dict(counts)
        self.zeros += other.zeros
        self.total_ms += other.total_ms
        self.largest_ms = max(self.largest_ms, other.largest_ms)

    def count_up_to(self, bound_ms: float) -> int:
        """Return how many values are at most a bound.

        Args:
            bound_ms: The bound; values within one hundredth of it may
                count on either side.
        """
        last = _MAPPING.key(bound_ms)
        return self.zeros + sum(
            count for key, count in self.buckets.items() if key <= last
        )

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile, 0 if there is no value.

        Args:
            quantile: From 0 to 1.

        Returns:
            The value, within one hundredth of the true one.
        """
        positive = store.DenseStore()
        for key, count in self.buckets.items():
            positive.add(key, count)
        whole = library.BaseDDSketch(
            _MAPPING, positive, store.DenseStore(), float(self.zeros)
        )
        value_ms = whole.get_quantile_value(quantile) or 0.0
        return min(value_ms, self.largest_ms)
