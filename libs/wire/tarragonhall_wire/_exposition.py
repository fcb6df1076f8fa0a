"""Counters, gauges and histograms of one process in the Prometheus text format.

The usual client library is not used because it takes 12 MB, a third of a process's memory. Names
become `tarragonhall_relay_calls_total` and `tarragonhall_relay_call_seconds`; label values come
from a fixed set and never contain an id or the name of an organisation.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

PREFIX = "tarragonhall_"
# Seconds, from a round trip between zones to the longest call, each about twice the previous.
BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

Labels = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Histogram:
    """The number of durations in each bucket, and their sum in seconds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Record one duration."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Exposition:
    """The metrics of one process by name and labels."""

    __slots__ = ("_counters", "_gauge_sources", "_gauges", "_histograms", "_sources")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], Histogram] = {}
        self._sources: list[Callable[[], dict[tuple[str, Labels], int]]] = []
        self._gauge_sources: list[Callable[[], dict[str, float]]] = []

    def add_source(self, counters: Callable[[], dict[tuple[str, Labels], int]]) -> None:
        """Add counters that are kept elsewhere and read with the text."""
        self._sources.append(counters)

    def add_gauges(self, gauges: Callable[[], dict[str, float]]) -> None:
        """Add gauges that are kept elsewhere and read with the text."""
        self._gauge_sources.append(gauges)

    def count(self, name: str, by: int, labels: Labels = ()) -> None:
        """Add to a counter."""
        key = (name, labels)
        self._counters[key] = self._counters.get(key, 0) + by

    def gauge(self, name: str, value: float, labels: Labels = ()) -> None:
        """Set a gauge."""
        self._gauges[(name, labels)] = value

    def observe(self, name: str, seconds: float, labels: Labels = ()) -> None:
        """Record a duration."""
        histogram = self._histograms.get((name, labels))
        if histogram is None:
            histogram = self._histograms[(name, labels)] = Histogram()
        histogram.observe(seconds)

    def text(self) -> str:
        """Return all metrics in the text format."""
        lines: list[str] = []
        counters = dict(self._counters)
        for source in self._sources:
            counters |= source()
        for (name, labels), value in sorted(counters.items()):
            lines.append(f"{_full_name(name)}_total{_format_labels(labels)} {value}")
        gauges = dict(self._gauges)
        for source in self._gauge_sources:
            gauges |= {(name, ()): value for name, value in source().items()}
        for (name, labels), value in sorted(gauges.items()):
            lines.append(f"{_full_name(name)}{_format_labels(labels)} {value:g}")
        for (name, labels), histogram in sorted(self._histograms.items(), key=lambda item: item[0]):
            lines.extend(_histogram_lines(_full_name(name) + "_seconds", labels, histogram))
        return "\n".join(lines) + "\n"


def _histogram_lines(name: str, labels: Labels, histogram: Histogram) -> list[str]:
    lines = []
    cumulative = 0
    for bound, count in zip((*BUCKETS, float("inf")), histogram.counts, strict=True):
        cumulative += count
        text = "+Inf" if bound == float("inf") else f"{bound:g}"
        lines.append(f"{name}_bucket{_format_labels((*labels, ('le', text)))} {cumulative}")
    lines.append(f"{name}_sum{_format_labels(labels)} {histogram.total:.6g}")
    lines.append(f"{name}_count{_format_labels(labels)} {cumulative}")
    return lines


def _full_name(name: str) -> str:
    return PREFIX + name.removesuffix("_ms").replace(".", "_")


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
