"""When to push load reports, within a bound of bytes a second on the whole node."""

from __future__ import annotations

import dataclasses

from tarragonhall_model import LoadReport, encode

# A node may spend 5 KB a second on control; heartbeats and link pings take about 1 KB of it.
BYTES_PER_SECOND = 2_000
# An entry that routes by reports gains nothing from more: its own calls in flight it knows itself.
SHORTEST_SECONDS = 0.2
# An entry that came back without its old reports gets a new one after this at the latest.
LONGEST_SECONDS = 5.0
HELD_PROGRAMS = 16


class ReportPacer:
    """Decides when a report goes out: on change, but never above the bound of bytes."""

    __slots__ = ("_last", "_last_peers", "_next_at", "_sent_at")

    def __init__(self) -> None:
        self._last: LoadReport | None = None
        self._last_peers: frozenset[int] = frozenset()
        self._next_at = 0.0
        self._sent_at = 0.0

    def due(self, report: LoadReport, peers: frozenset[int], now: float) -> bool:
        """Return whether the report is to be sent to the peers now, and count it as sent."""
        if not peers or now < self._next_at:
            return False
        # The age alone changes all the time and tells nothing new.
        content = dataclasses.replace(report, engine_age_ms=0)
        old = content == self._last and peers <= self._last_peers
        if old and now - self._sent_at < LONGEST_SECONDS:
            return False
        self._last = content
        self._last_peers = peers
        self._sent_at = now
        cost = len(encode(report)) * len(peers)
        self._next_at = now + max(SHORTEST_SECONDS, cost / BYTES_PER_SECOND)
        return True
