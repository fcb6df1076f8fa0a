"""How many calls one entry may have under way at one server, learnt from refusals.

Load pattern: more is asked of the servers than they can run. A server that has no place left and
no room in its own queue refuses, which costs a round trip and work on both sides. Sent on at once
to the next server, then again after a pause, nearly all that a service is sent is refused.

The window falls to what ran there when the server refused, so that from then on a call goes there
when one of this entry's own has ended. Entries that do not know each other share a server so, and
each keeps what it had. It grows with time and not with answers: places that other entries no
longer use are found by one call at a time.
"""

from __future__ import annotations

# Seconds in which a window that sees no refusal doubles.
DOUBLE_S = 0.5
# Window after a refusal where this entry has no call at the server.
NOTHING_RAN = 0.87
# Factor by which each further refusal in a row shrinks it.
REFUSED_AGAIN = 0.87
# Smallest window.
LEAST_WINDOW = 0.25
# By then no server is as large; a power without bounds overflows after minutes.
MOST_DOUBLINGS = 30.0
# A window that has grown beyond this has seen no refusal for about `DOUBLE_S`.
GROWN = 1.5


class ServerWindow:
    """The window of one entry at one server; without bounds until the server refuses."""

    __slots__ = ("_refused_at", "_window")

    def __init__(self) -> None:
        self._window = float("inf")
        self._refused_at = 0.0

    def has_room(self, running: int, now: float) -> bool:
        """Return whether a call may go there; `running` are this entry's own under way."""
        return running + 1 <= self._now(now)

    def refused(self, running: int, now: float) -> None:
        """Note that the server refused a call as full; `running` does not count that call."""
        if running >= 1:
            self._window = float(running)
        elif self._now(now) <= GROWN:
            self._window = max(LEAST_WINDOW, min(1.0, self._window) * REFUSED_AGAIN)
        else:
            self._window = NOTHING_RAN
        self._refused_at = now

    def answered(self) -> None:
        """Note that a call was answered: places do come free there."""
        self._window = max(self._window, 1.0)

    def _now(self, now: float) -> float:
        return self._window * 2.0 ** min(MOST_DOUBLINGS, (now - self._refused_at) / DOUBLE_S)
