"""Limits one entry's calls in flight at a server after the server refused a call as full.

Load pattern: more calls arrive than the servers can run. A server without a free slot or room in
its queue refuses, which costs a round trip and work on both sides. If refused calls went to the
next server at once, and again after a pause, nearly all calls would be refused.

The window falls to the calls that ran there when the server refused, so that another is sent only
when one of this entry's own has ended. Entries share a server this way without knowing of each
other, and each keeps the slots it had. The window grows with time and not with answers: one call at
a time finds slots that other entries no longer use.
"""

from __future__ import annotations

# Seconds in which a window without refusals doubles, about the run time of a turn: a window of one
# probes after a turn, one of eight every 60 ms, and a server that is free again is used in full
# within two seconds.
DOUBLING_S = 0.5
# Window after a refusal where this entry has no call at the server. Below 1 no call may be sent; it
# grows to 1 in a tenth of a second, in which some of a server's 6 to 96 slots come free.
IDLE_WINDOW = 0.87
# Factor by which each further refusal in a row shrinks the window, which lengthens that pause by
# another tenth of a second.
REPEATED_REFUSAL_FACTOR = 0.87
# Smallest window, which limits that pause to one second.
MIN_WINDOW = 0.25
# No server is as large as a window after this many doublings; an unlimited power overflows after
# minutes.
MAX_DOUBLINGS = 30.0
# A window that has grown beyond this has seen no refusal for about `DOUBLING_S`.
RECOVERED_WINDOW = 1.5


class ServerWindow:
    """The window of one entry at one server; unlimited until the server refuses."""

    __slots__ = ("_refused_at", "_window")

    def __init__(self) -> None:
        self._window = float("inf")
        self._refused_at = 0.0

    def has_room(self, running: int, now: float) -> bool:
        """Return whether a call may go there; `running` counts this entry's own in flight."""
        return running + 1 <= self._current(now)

    def refused(self, running: int, now: float) -> None:
        """Record that the server refused a call as full; `running` does not count that call."""
        if running >= 1:
            self._window = float(running)
        elif self._current(now) <= RECOVERED_WINDOW:
            self._window = max(MIN_WINDOW, min(1.0, self._window) * REPEATED_REFUSAL_FACTOR)
        else:
            self._window = IDLE_WINDOW
        self._refused_at = now

    def answered(self) -> None:
        """Record that a call was answered: slots do come free there."""
        self._window = max(self._window, 1.0)

    def _current(self, now: float) -> float:
        return self._window * 2.0 ** min(MAX_DOUBLINGS, (now - self._refused_at) / DOUBLING_S)
