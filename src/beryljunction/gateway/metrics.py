"""Counters and latencies of an entry, in the text form that Prometheus scrapes."""

import bisect
import collections
from collections.abc import Callable, Iterator
from typing import Any

__all__ = ["EntryMetrics"]

# Bounds around the aims for a first token (0.32 s at the target, 0.2 to 0.6 s today), in ms.
_BOUNDS_MS = (10, 25, 50, 100, 200, 320, 400, 600, 1_000, 2_000, 5_000, 15_000)
# Events with a counter of their own: name of the metric, field for its label.
_COUNTED = {
    "refused": ("beryl_refusals", "reason"),
    "failed": ("beryl_failures", "reason"),
    "broken_off": ("beryl_broken_streams", "reason"),
    "attempt_ended": ("beryl_attempts_ended", "outcome"),
    "answered": ("beryl_answers", "status"),
}
_LATENCIES = (("first_ms", "beryl_first_byte"), ("whole_ms", "beryl_whole_answer"))


class _Latency:
    """Counts of measurements up to each bound."""

    def __init__(self) -> None:
        self.counts = [0] * (len(_BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def note(self, value_ms: float) -> None:
        self.counts[bisect.bisect_left(_BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms


class EntryMetrics:
    """Counts events; the library that writes them out is loaded at the first scrape.

    Loaded at the start it would cost 5 MB on every host and 80 ms of each start, which callers wait
    for after a loss of power; most processes are never scraped. Labels have few values each:
    events, reasons, outcomes, status codes.
    """

    def __init__(self) -> None:
        self._events: collections.Counter[str] = collections.Counter()
        self._labelled: dict[str, collections.Counter[str]] = {
            name: collections.Counter() for name, _ in _COUNTED.values()
        }
        self._latencies = {name: _Latency() for _, name in _LATENCIES}
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}

    def watch(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read at each scrape."""
        self._gauges[name] = (documentation, read)

    def count(self, event: str, fields: dict[str, Any]) -> None:
        """Count an event of the log, also one whose line is left out."""
        self._events[event] += 1
        if event in _COUNTED:
            metric, label = _COUNTED[event]
            self._labelled[metric][str(fields.get(label, ""))] += 1
        if event == "answered":
            for field, metric in _LATENCIES:
                value_ms = fields.get(field)
                if value_ms is not None:
                    self._latencies[metric].note(value_ms)

    def render(self) -> bytes:
        """Return the text that Prometheus scrapes."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, as a collector of the library does."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily("beryl_events", "Events of the log.", labels=["event"])
        for event, count in self._events.items():
            events.add_metric([event], count)
        yield events
        for name, label in _COUNTED.values():
            family = CounterMetricFamily(name, f"Requests by {label}.", labels=[label])
            for value, count in self._labelled[name].items():
                family.add_metric([value], count)
            yield family
        for name, latency in self._latencies.items():
            histogram = HistogramMetricFamily(f"{name}_seconds", "Time since the arrival.")
            histogram.add_metric([], _cumulated(latency), latency.sum_ms / 1000)
            yield histogram
        for name, (documentation, read) in self._gauges.items():
            yield GaugeMetricFamily(name, documentation, value=read())


def _cumulated(latency: _Latency) -> list[tuple[str, float]]:
    total = 0.0
    rows = []
    bounds = [str(bound / 1000) for bound in _BOUNDS_MS]
    for bound, count in zip([*bounds, "+Inf"], latency.counts, strict=True):
        total += count
        rows.append((bound, total))
    return rows
