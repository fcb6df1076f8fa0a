"""Counters, gauges and timings, sent to statsd if its address is set and exposed as text."""

from __future__ import annotations

import collections

import statsd

from tarragonhall_wire._exposition import Exposition, Labels

PREFIX = "tarragonhall"


class Metrics:
    """Metrics of one process; `counts` holds every counter since the start.

    The values of `labels` must come from fixed sets, such as statuses.
    """

    __slots__ = ("_client", "counts", "exposition")

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.counts: collections.Counter[str] = collections.Counter()
        self.exposition = Exposition()

    def count(self, name: str, by: int = 1, labels: Labels = ()) -> None:
        """Add to a counter."""
        self.counts[name] += by
        self.exposition.count(name, by, labels)
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.exposition.gauge(name, value)
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float, labels: Labels = ()) -> None:
        """Record a duration."""
        self.exposition.observe(name, milliseconds / 1000, labels)
        if self._client is not None:
            self._client.timing(name, milliseconds)


def make_metrics(host: str | None, port: int, instance: str) -> Metrics:
    """Return the metrics of this process; without a statsd server, `host` is None."""
    if host is None:
        return Metrics()
    prefix = f"{PREFIX}.{instance.replace('.', '_')}"
    return Metrics(statsd.StatsClient(host, port, prefix=prefix))
