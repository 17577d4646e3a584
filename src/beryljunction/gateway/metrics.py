"""Counters and latency histograms of an entry, in the Prometheus text format."""

import bisect
import collections
from collections.abc import Callable, Iterator, Mapping
from typing import Any

__all__ = ["EntryMetrics"]

# Histogram buckets around the first-token latency: target 0.32 s, currently 0.2 to 0.6 s.
_BUCKETS_MS = (10, 25, 50, 100, 200, 320, 400, 600, 1_000, 2_000, 5_000, 15_000)
# Events with a separate counter: metric name, and the event field used as its label.
_LABELLED_COUNTERS = {
    "refused": ("beryl_refusals", "reason"),
    "failed": ("beryl_failures", "reason"),
    "broken_off": ("beryl_broken_streams", "reason"),
    "attempt_ended": ("beryl_attempts_ended", "outcome"),
    "answered": ("beryl_answers", "status"),
    "task_failed": ("beryl_task_failures", "task"),
}
_LATENCY_METRICS = (("first_ms", "beryl_first_byte"), ("whole_ms", "beryl_whole_answer"))


class _LatencyHistogram:
    """Histogram with a count per bucket, not cumulative, and the sum of its values."""

    def __init__(self) -> None:
        self.counts = [0] * (len(_BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, value_ms: float) -> None:
        self.counts[bisect.bisect_left(_BUCKETS_MS, value_ms)] += 1
        self.sum_ms += value_ms


class EntryMetrics:
    """Counts events and renders them for Prometheus.

    prometheus_client is imported at the first scrape, because most processes are never scraped. An
    import at startup would take 5 MB on every host and add 80 ms to each start, for which callers
    wait after a power loss. Each label has few values: events, reasons, outcomes, status codes.
    """

    def __init__(self) -> None:
        self._events: collections.Counter[str] = collections.Counter()
        self._labelled: dict[str, collections.Counter[str]] = {
            name: collections.Counter() for name, _ in _LABELLED_COUNTERS.values()
        }
        self._latencies = {name: _LatencyHistogram() for _, name in _LATENCY_METRICS}
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self._labelled_gauges: dict[str, tuple[str, str, Callable[[], Mapping[str, float]]]] = {}

    def add_gauge(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read at each scrape."""
        self._gauges[name] = (documentation, read)

    def add_labelled_gauge(
        self, name: str, documentation: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge with one value for each value of a label, read at each scrape."""
        self._labelled_gauges[name] = (documentation, label, read)

    def count_event(self, event: str, fields: dict[str, Any]) -> None:
        """Count a log event, including one whose line the rate limit drops."""
        self._events[event] += 1
        if event in _LABELLED_COUNTERS:
            metric, label = _LABELLED_COUNTERS[event]
            self._labelled[metric][str(fields.get(label, ""))] += 1
        if event == "answered":
            for field, metric in _LATENCY_METRICS:
                value_ms = fields.get(field)
                if value_ms is not None:
                    self._latencies[metric].observe(value_ms)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; this is the collector interface of prometheus_client."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily("beryl_events", "Events of the log.", labels=["event"])
        for event, count in self._events.items():
            events.add_metric([event], count)
        yield events
        for name, label in _LABELLED_COUNTERS.values():
            family = CounterMetricFamily(name, f"Events by {label}.", labels=[label])
            for value, count in self._labelled[name].items():
                family.add_metric([value], count)
            yield family
        for name, latency in self._latencies.items():
            histogram = HistogramMetricFamily(f"{name}_seconds", "Time since the arrival.")
            histogram.add_metric([], _cumulative_buckets(latency), latency.sum_ms / 1000)
            yield histogram
        for name, (documentation, read) in self._gauges.items():
            yield GaugeMetricFamily(name, documentation, value=read())
        for name, (documentation, label, read_all) in self._labelled_gauges.items():
            gauge = GaugeMetricFamily(name, documentation, labels=[label])
            for value, reading in read_all().items():
                gauge.add_metric([value], reading)
            yield gauge


def _cumulative_buckets(latency: _LatencyHistogram) -> list[tuple[str, float]]:
    total = 0.0
    rows = []
    bounds = [str(bound / 1000) for bound in _BUCKETS_MS]
    for bound, count in zip([*bounds, "+Inf"], latency.counts, strict=True):
        total += count
        rows.append((bound, total))
    return rows
