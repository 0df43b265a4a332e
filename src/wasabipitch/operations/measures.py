"""Counters, gauges and latency histograms in the Prometheus text format.

Counting only updates a dictionary. ``prometheus_client`` is imported when the metrics
are first fetched, because its import would delay the start of a host.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

PREFIX = "wasabipitch_"
# Upper bounds of the buckets, from a network round trip to a statement's timeout.
BUCKET_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
# Label sets per metric; more are ignored. Labels can contain values that callers
# choose, such as unknown databases, which must not fill the memory.
MAX_SERIES = 500

Labels = tuple[tuple[str, str], ...]


class Gauge(msgspec.Struct, frozen=True):
    """A value that is read when the metrics are fetched."""

    name: str
    labels: Labels
    value: float


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total_s += seconds

    def cumulate(self) -> list[tuple[str, int]]:
        """Return each bucket's upper bound and the count at or below it."""
        names = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
        total = 0
        buckets = []
        for name, count in zip(names, self.counts, strict=True):
            total += count
            buckets.append((name, total))
        return buckets


class Measures:
    """The metrics of one host since its start.

    Args:
        read_gauges: Returns the current values of all gauges.
    """

    def __init__(self, read_gauges: Callable[[], Iterable[Gauge]] = tuple) -> None:
        self.read_gauges = read_gauges
        self.counters: dict[str, Counter[Labels]] = {}
        self._histograms: dict[str, dict[Labels, _Histogram]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Add one to the counter with this name and these labels."""
        series = self.counters.setdefault(name, Counter())
        key = _sort_labels(labels)
        if key in series or len(series) < MAX_SERIES:
            series[key] += 1

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to the histogram with this name and these labels."""
        series = self._histograms.setdefault(name, {})
        key = _sort_labels(labels)
        if key not in series:
            if len(series) >= MAX_SERIES:
                return
            series[key] = _Histogram()
        series[key].add(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families, as ``prometheus_client`` asks of collectors."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, series in self.counters.items():
            family = CounterMetricFamily(
                PREFIX + name, name, labels=_label_names(series)
            )
            for labels, value in series.items():
                family.add_metric(_label_values(labels), value)
            yield family
        for name, histograms in self._histograms.items():
            family = HistogramMetricFamily(
                PREFIX + name, name, labels=_label_names(histograms)
            )
            for labels, histogram in histograms.items():
                buckets = histogram.cumulate()
                family.add_metric(_label_values(labels), buckets, histogram.total_s)
            yield family
        gauges: dict[str, list[Gauge]] = {}
        for gauge in self.read_gauges():
            gauges.setdefault(gauge.name, []).append(gauge)
        for name, members in gauges.items():
            labels = _label_names([members[0].labels])
            family = GaugeMetricFamily(PREFIX + name, name, labels=labels)
            for gauge in members:
                family.add_metric(_label_values(gauge.labels), gauge.value)
            yield family


def _sort_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _label_names(series: Iterable[Labels]) -> list[str]:
    first = next(iter(series), ())
    return [name for name, _ in first]


def _label_values(labels: Labels) -> list[str]:
    return [value for _, value in labels]
