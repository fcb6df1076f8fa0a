"""Drain: when an entry that shuts down may close its listener, and when it may exit.

Load pattern: a rolling restart under full load, in which each restart without a drain cuts off the
running calls. The sidecar decides what a draining server does with its calls.

An entry first fails `readyz`, so that the load balancer sends no more, keeps listening for the
grace period, then closes the listener and exits once the last call is answered.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# Seconds after which calls that still run are cut off: the longest call timeout that callers state
# by default (60 s) and a margin, after which no caller waits any more.
FORCE_AFTER_S = 65.0


class DrainPhase(enum.Enum):
    """The phases of a shutdown, in order.

    It ends as `LEFT` when no call is open, or as `FORCED` when the calls still open are cut off.
    """

    SERVING = "serving"
    NOT_READY = "not_ready"
    CLOSED = "closed"
    LEFT = "left"
    FORCED = "forced"


@dataclass(slots=True)
class EntryDrain:
    """When an entry that shuts down may close its listener, and when it may exit."""

    grace_s: float
    force_after_s: float = FORCE_AFTER_S
    phase: DrainPhase = DrainPhase.SERVING
    _began_at: float = 0.0

    def begin(self, now: float) -> None:
        """Start to drain; a second call changes nothing."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.NOT_READY
            self._began_at = now

    def step(self, open_calls: int, now: float) -> DrainPhase:
        """Return the current phase; `open_calls` counts waiting and running calls."""
        if self.phase is DrainPhase.NOT_READY and now - self._began_at >= self.grace_s:
            self.phase = DrainPhase.CLOSED
        if self.phase is not DrainPhase.CLOSED:
            return self.phase
        if not open_calls:
            self.phase = DrainPhase.LEFT
        elif now - self._began_at >= self.force_after_s:
            self.phase = DrainPhase.FORCED
        return self.phase
