"""Requests under suspicion of crashing the backend servers that run them.

Load pattern: now and then one request crashes each server that begins to run it, and its caller
sends it again: the same caller, path and body, as another attempt, through any entry. Without this
it takes down one server after the other, with everything that runs beside it.

Each broken connection without an answer puts the request under suspicion, at every entry: they tell
each other. An answer clears it. After `BARRING` broken runs it is refused at once.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Broken runs in a row after which a request is refused.
BARRING = 3
# Seconds after which a broken run is forgotten.
FORGET_S = 120.0
# Bound on the requests remembered.
MOST_SUSPECTS = 10_000


@dataclass(slots=True)
class _Suspect:
    runs: int
    at: float


class CrashSuspects:
    """The suspects that one entry knows. Times are monotonic seconds."""

    __slots__ = ("_by_fingerprint",)

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()

    def broke(self, fingerprint: str, now: float) -> None:
        """Note that a run of the request ended without an answer, here or at another entry."""
        suspect = self._by_fingerprint.setdefault(fingerprint, _Suspect(0, now))
        if now - suspect.at > FORGET_S:
            suspect.runs = 0
        suspect.runs += 1
        suspect.at = now
        self._by_fingerprint.move_to_end(fingerprint)
        while len(self._by_fingerprint) > MOST_SUSPECTS:
            self._by_fingerprint.popitem(last=False)

    def answered(self, fingerprint: str) -> None:
        """Note that a server answered the request and lives."""
        self._by_fingerprint.pop(fingerprint, None)

    def is_barred(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not reach another server."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None or now - suspect.at > FORGET_S:
            return False
        return suspect.runs >= BARRING
