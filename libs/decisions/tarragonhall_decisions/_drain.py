"""Drain: what happens to the calls at hand when a server or an entry leaves.

Load pattern: a rolling restart under full load. Without a drain each restart cuts off the calls in
service; without the hand-back the waiting ones stand behind a process that is about to go.

A draining server keeps what runs and hands back what waits, at once: a waiting call has not run,
so another server may take it, also when it must not be repeated. An entry first fails `readyz`, so
that the balancer sends no more, keeps listening for the grace, then closes the listener and leaves
once the last call is answered.

Grounds for the figures: `FORCE_AFTER_S` is the longest call timeout that callers state by default
(60 s) and a margin; what still runs then has outlived its caller.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

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


@dataclass(slots=True, frozen=True)
class HandBack:
    """The attempts to end as `NOT_RUN`, and those that may run to their end."""

    handed_back: list[str]
    kept: list[str]


def hand_back(waiting: list[str], running: list[str]) -> HandBack:
    """Decide, for a draining server, which attempts (by key) go back to their entries."""
    return HandBack(handed_back=list(waiting), kept=list(running))
