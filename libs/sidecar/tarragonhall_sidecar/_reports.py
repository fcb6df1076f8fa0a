"""Paces load reports within a limit of bytes a second for the whole node."""

from __future__ import annotations

import dataclasses

from tarragonhall_model import LoadReport, encode

# A node may use 5 KB a second for control traffic; heartbeats and link pings take about 1 KB.
MAX_BYTES_PER_SECOND = 2_000
# More frequent reports do not improve routing: an entry knows its own calls in flight.
MIN_INTERVAL_SECONDS = 0.2
# The longest time that a restarted entry waits for a report.
MAX_INTERVAL_SECONDS = 5.0
MAX_HELD_PROGRAMS = 16


class ReportPacer:
    """Decides when to send a report: on a change, within the limit of bytes a second."""

    __slots__ = ("_last_report", "_last_peers", "_next_at", "_sent_at")

    def __init__(self) -> None:
        self._last_report: LoadReport | None = None
        self._last_peers: frozenset[int] = frozenset()
        self._next_at = 0.0
        self._sent_at = 0.0

    def due(self, report: LoadReport, peers: frozenset[int], now: float) -> bool:
        """Return whether to send the report to the peers now; if so, it counts as sent."""
        if not peers or now < self._next_at:
            return False
        # The age changes constantly and is no reason for a report.
        content = dataclasses.replace(report, engine_age_ms=0)
        unchanged = content == self._last_report and peers <= self._last_peers
        if unchanged and now - self._sent_at < MAX_INTERVAL_SECONDS:
            return False
        self._last_report = content
        self._last_peers = peers
        self._sent_at = now
        cost = len(encode(report)) * len(peers)
        self._next_at = now + max(MIN_INTERVAL_SECONDS, cost / MAX_BYTES_PER_SECOND)
        return True
