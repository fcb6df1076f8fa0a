"""Drain: when an entry that leaves may close its listener, and when it may exit.

Load pattern: a rolling restart under full load. Without a drain each restart cuts off the calls in
service. What a draining server does with its calls is decided in the sidecar's execution.

An entry first fails `readyz`, so that the balancer sends no more, keeps listening for the grace,
then closes the listener and leaves once the last call is answered.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# Seconds after which calls that still run are cut off.
FORCE_AFTER_S = 65.0


class DrainPhase(enum.Enum):
    """The steps of leaving, in order."""

    SERVING = "serving"
    NOT_READY = "not_ready"
    CLOSED = "closed"
    LEFT = "left"
    FORCED = "forced"


@dataclass(slots=True)
class EntryDrain:
    """When an entry that was told to leave may close its listener, and when it may exit."""

    grace_s: float
    force_after_s: float = FORCE_AFTER_S
    phase: DrainPhase = DrainPhase.SERVING
    _began: float = 0.0

    def begin(self, now: float) -> None:
        """Start to leave; a second call hurries nothing."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.NOT_READY
            self._began = now

    def step(self, calls_at_hand: int, now: float) -> DrainPhase:
        """Return the phase that is reached; `calls_at_hand` counts waiting and running calls."""
        if self.phase is DrainPhase.NOT_READY and now - self._began >= self.grace_s:
            self.phase = DrainPhase.CLOSED
        if self.phase is not DrainPhase.CLOSED:
            return self.phase
        if not calls_at_hand:
            self.phase = DrainPhase.LEFT
        elif now - self._began >= self.force_after_s:
            self.phase = DrainPhase.FORCED
        return self.phase
