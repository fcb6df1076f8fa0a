"""Which log lines are written when there are more than a process may write.

Load pattern: thousands of calls a second end, or all of them fail at once. Written without a bound
the lines take more of the processor than the calls; cut off at any line, those that explain the
failure are missing. So served calls give way first, then changes of belief, failures last; and the
calls whose lines are kept are chosen by their id, so that all processes keep the same ones.
"""

from __future__ import annotations

import collections
import enum
import zlib
from dataclasses import dataclass, field

# Bounds of all lines of a process; served calls may use half, changes four fifths.
LINES_A_SECOND = 200
BYTES_A_SECOND = 64 * 1024
# Seconds over which the bounds hold.
WINDOW_S = 1.0
# Steps in which the share of served calls that are logged is lowered.
SAMPLE_STEPS = 64


class LineKind(enum.Enum):
    """What a line tells; the value is the share of the budget up to which such lines go out."""

    SERVED = 0.5
    CHANGE = 0.8
    FAILURE = 1.0


@dataclass(slots=True)
class LogBudget:
    """The lines of one process. Times are monotonic seconds."""

    lines: int = LINES_A_SECOND
    size: int = BYTES_A_SECOND
    _window_at: float = float("-inf")
    _lines_used: int = 0
    _size_used: int = 0
    _served_seen: int = 0
    # Of 64 steps, how many ids of served calls are written.
    _sampled: int = SAMPLE_STEPS
    left_out: collections.Counter = field(default_factory=collections.Counter)

    def admit(self, kind: LineKind, request_id: str, size: int, now: float) -> bool:
        """Return whether a line goes out; count it among those left out if not."""
        if now - self._window_at >= WINDOW_S:
            self._begin_window(now)
        if kind is LineKind.SERVED:
            self._served_seen += 1
        within = (
            self._lines_used + 1 <= self.lines * kind.value
            and self._size_used + size <= self.size * kind.value
        )
        if not within or not self._is_sampled(kind, request_id):
            self.left_out[kind.name.lower()] += 1
            return False
        self._lines_used += 1
        self._size_used += size
        return True

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines of each kind were left out since the last time."""
        taken = dict(self.left_out)
        self.left_out.clear()
        return taken

    def _begin_window(self, now: float) -> None:
        wanted = self._served_seen
        room = self.lines * LineKind.SERVED.value
        self._sampled = SAMPLE_STEPS
        if wanted > room:
            self._sampled = max(1, int(SAMPLE_STEPS * room / wanted))
        self._window_at = now
        self._lines_used = self._size_used = self._served_seen = 0

    def _is_sampled(self, kind: LineKind, request_id: str) -> bool:
        if kind is not LineKind.SERVED or not request_id:
            return True
        return zlib.crc32(request_id.encode()) % SAMPLE_STEPS < self._sampled
