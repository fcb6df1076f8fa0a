"""Limits the log lines of a process by their importance.

Thousands of calls may end per second, or all of them fail at once. Without a limit, logging uses
more CPU than the calls; with one limit for all lines, those that explain a failure may be missing.
So lines of served calls are suppressed first, then state changes, and failures last. Served calls
are sampled by their id, so that all processes log the same ones.

A line costs some 30 microseconds and 300 bytes, so `LINES_A_SECOND` is under 1% of a core and
60 kB per second.
"""

from __future__ import annotations

import collections
import enum
import zlib
from dataclasses import dataclass, field

# Limits for all lines of a process; served calls may use half of it, changes four fifths.
LINES_A_SECOND = 200
BYTES_A_SECOND = 64 * 1024
# Seconds to which the limits apply.
WINDOW_S = 1.0
# Steps in which the share of served calls that is logged can be reduced.
SAMPLE_STEPS = 64


class LineKind(enum.Enum):
    """The kind of a line, which is written while less than this share of the budget is used."""

    SERVED = 0.5
    CHANGE = 0.8
    FAILURE = 1.0


@dataclass(slots=True)
class LogBudget:
    """The budget for the lines of one process. Times are monotonic seconds."""

    lines: int = LINES_A_SECOND
    size: int = BYTES_A_SECOND
    _window_at: float = float("-inf")
    _lines_used: int = 0
    _size_used: int = 0
    _served_seen: int = 0
    # How many of the 64 steps of served calls' ids are logged.
    _sampled: int = SAMPLE_STEPS
    suppressed: collections.Counter = field(default_factory=collections.Counter)

    def admit(self, kind: LineKind, request_id: str, size: int, now: float) -> bool:
        """Return whether a line is to be written; count it as suppressed if not."""
        if now - self._window_at >= WINDOW_S:
            self._begin_window(now)
        if kind is LineKind.SERVED:
            self._served_seen += 1
        fits = (
            self._lines_used + 1 <= self.lines * kind.value
            and self._size_used + size <= self.size * kind.value
        )
        if not fits or not self._is_sampled(kind, request_id):
            self.suppressed[kind.name.lower()] += 1
            return False
        self._lines_used += 1
        self._size_used += size
        return True

    def take_suppressed(self) -> dict[str, int]:
        """Return and reset the number of suppressed lines by kind."""
        taken = dict(self.suppressed)
        self.suppressed.clear()
        return taken

    def _begin_window(self, now: float) -> None:
        served = self._served_seen
        served_limit = self.lines * LineKind.SERVED.value
        self._sampled = SAMPLE_STEPS
        if served > served_limit:
            self._sampled = max(1, int(SAMPLE_STEPS * served_limit / served))
        self._window_at = now
        self._lines_used = self._size_used = self._served_seen = 0

    def _is_sampled(self, kind: LineKind, request_id: str) -> bool:
        if kind is not LineKind.SERVED or not request_id:
            return True
        return zlib.crc32(request_id.encode()) % SAMPLE_STEPS < self._sampled
