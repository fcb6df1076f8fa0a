"""Decides when calls of a service leave their availability zone.

Load pattern: the demand of zones rises and falls at different times. While one is at its top, calls
that leave it are answered earlier, although the way costs; but if they left for each short queue,
they would swing between the zones, and their prefixes would be read in both.
"""

from __future__ import annotations

# Time constant of the mean gain in seconds: calls leave after about half a second of a gain, and
# stay again as soon after it has ended.
HOLD_S = 0.4
# Bound of one gain, so that a single queue does not outweigh the hold.
MAX_GAIN_MS = 150.0


class ZoneExit:
    """The mean gain in milliseconds of calls of one service that would leave their zone."""

    __slots__ = ("_at", "_gain_ms")

    def __init__(self) -> None:
        self._gain_ms = -MAX_GAIN_MS
        self._at: float | None = None

    def leaves(self, local_ms: float | None, remote_ms: float, now: float) -> bool:
        """Return whether a call leaves, by its expected times in its zone and elsewhere.

        `local_ms` is None where no server of the zone accepts the call, which then leaves at once.
        """
        gain_ms = MAX_GAIN_MS if local_ms is None else local_ms - remote_ms
        gain_ms = max(-MAX_GAIN_MS, min(MAX_GAIN_MS, gain_ms))
        elapsed_s = now - self._at if self._at is not None else 0.0
        self._at = now
        kept = 0.5 ** (max(0.0, elapsed_s) / HOLD_S)
        self._gain_ms = kept * self._gain_ms + (1.0 - kept) * gain_ms
        if local_ms is None:
            return True
        return self._gain_ms > 0.0 and gain_ms > 0.0
