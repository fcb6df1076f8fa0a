"""Counters, gauges and timings by statsd; without an address they are only kept in memory."""

from __future__ import annotations

import collections

import statsd

PREFIX = "tarragonhall"


class Metrics:
    """Metrics of one process; `counts` holds every counter since the start."""

    __slots__ = ("_client", "counts")

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += by
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)


def make_metrics(host: str | None, port: int, instance: str) -> Metrics:
    """Return the metrics of this process; `host` is None where no statsd server is set."""
    if host is None:
        return Metrics()
    prefix = f"{PREFIX}.{instance.replace('.', '_')}"
    return Metrics(statsd.StatsClient(host, port, prefix=prefix))
