"""Counters, gauges and histograms that are exposed through Prometheus.

The Prometheus client is imported when the values are first exposed: it
imports an HTTP server, which would delay each start of a daemon.
"""

import bisect
import collections.abc
import functools
import itertools
import math
import threading
import typing

if typing.TYPE_CHECKING:
    import prometheus_client
    from prometheus_client import metrics_core

__all__ = ['Counter', 'Gauge', 'Gauge', 'Histogram', 'expose']

LabelValues = tuple[str, ...]

_lock = threading.Lock()
_instruments: list['_Instrument'] = []


class _Instrument:
    """Base class: values by label values.

    Args:
        name: Name of the metric.
        documentation: Help text of the metric.
        label_names: Names of its labels.
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: collections.abc.Sequence[str] = (),
    ) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = tuple(label_names)
        _instruments.append(self)

    def family(self) -> 'metrics_core.Metric':
        """Return the metric with its current values."""
        raise NotImplementedError


class Counter(_Instrument):
    """A value that only rises; thread-safe.

    Example:
        >>> counter = Counter('example_calls', 'Calls', ['outcome'])
        >>> counter.inc('answered')
        >>> counter.values
        {('answered',): 1.0}
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: collections.abc.Sequence[str] = (),
    ) -> None:
        super().__init__(name, documentation, label_names)
        self.values: dict[LabelValues, float] = {}
        if not label_names:
            self.values[()] = 0.0

    def inc(self, *labels: str, amount: float = 1.0) -> None:
        """Raise the value of some label values."""
        with _lock:
            self.values[labels] = self.values.get(labels, 0.0) + amount

    def family(self) -> 'metrics_core.Metric':
        from prometheus_client import core

        found = core.CounterMetricFamily(
            self.name, self.documentation, labels=self.label_names
        )
        for labels, value in sorted(self.values.copy().items()):
            found.add_metric(labels, value)
        return found


class Gauge(_Instrument):
    """A value that rises and falls; thread-safe."""

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: collections.abc.Sequence[str] = (),
    ) -> None:
        super().__init__(name, documentation, label_names)
        self.values: dict[LabelValues, float] = {}
        if not label_names:
            self.values[()] = 0.0

    def set(self, value: float) -> None:
        """Replace the value of a gauge without labels."""
        self.replace({(): value})

    def replace(
        self, values: collections.abc.Mapping[LabelValues, float]
    ) -> None:
        """Replace the values of all label values.

        Those that are not given again are no longer exposed, so that the
        names of upstreams that have left do not accumulate.
        """
        self.values = dict(values)

    def family(self) -> 'metrics_core.Metric':
        from prometheus_client import core

        found = core.GaugeMetricFamily(
            self.name, self.documentation, labels=self.label_names
        )
        for labels, value in sorted(self.values.items()):
            found.add_metric(labels, value)
        return found


class Histogram(_Instrument):
    """Counts of observed values by bucket; thread-safe.

    Args:
        name: Name of the metric.
        documentation: Help text of the metric.
        label_names: Names of its labels.
        bounds: Upper bounds of the buckets, in ascending order; the last
            bucket has none.
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: collections.abc.Sequence[str],
        bounds: collections.abc.Sequence[float],
    ) -> None:
        super().__init__(name, documentation, label_names)
        self.bounds = (*bounds, math.inf)
        self.counts: dict[LabelValues, list[int]] = {}
        self.sums: dict[LabelValues, float] = {}

    def observe(self, value: float, *labels: str) -> None:
        """Count a value."""
        with _lock:
            counts = self.counts.setdefault(labels, [0] * len(self.bounds))
            counts[bisect.bisect_left(self.bounds, value)] += 1
            self.sums[labels] = self.sums.get(labels, 0.0) + value

    def family(self) -> 'metrics_core.Metric':
        from prometheus_client import core
        from prometheus_client import utils

        found = core.HistogramMetricFamily(
            self.name, self.documentation, labels=self.label_names
        )
        with _lock:
            copies = [
                (labels, list(counts), self.sums[labels])
                for labels, counts in sorted(self.counts.items())
            ]
        for labels, counts, total in copies:
            buckets = [
                (utils.floatToGoString(bound), count)
                for bound, count in zip(
                    self.bounds, itertools.accumulate(counts), strict=True
                )
            ]
            found.add_metric(labels, buckets, total)
        return found


class _Collector:
    """Presents the instruments to a Prometheus registry."""

    def collect(self) -> collections.abc.Iterator['metrics_core.Metric']:
        """Return the metrics of all instruments."""
        return (instrument.family() for instrument in _instruments)


def expose() -> bytes:
    """Return all values in Prometheus' text format."""
    import prometheus_client

    return prometheus_client.generate_latest(_registry())


@functools.cache
def _registry() -> 'prometheus_client.CollectorRegistry':
    """Return the process's registry with all instruments."""
    import prometheus_client

    prometheus_client.REGISTRY.register(_Collector())
    return prometheus_client.REGISTRY
