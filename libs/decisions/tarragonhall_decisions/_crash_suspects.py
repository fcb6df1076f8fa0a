"""Requests suspected of crashing the backend servers that run them.

Load pattern: occasionally a request crashes each server that starts to run it, and its caller sends
it again: the same caller, path and body, as another attempt, through any entry. Unless it is
refused, it crashes one server after another, with everything that runs beside it.

Each connection that breaks without an answer makes the request a suspect at every entry, as entries
notify each other. An answer clears it. After `MAX_BROKEN_RUNS` broken runs it is refused at once.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Broken runs in a row after which a request is refused. On bad days servers break off a few in a
# hundred answers, so three in a row happen to one innocent request in tens of thousands, whose
# caller has used up its retries by then.
MAX_BROKEN_RUNS = 3
# Seconds after which a broken run is forgotten; callers retry for less.
FORGET_S = 120.0
# Limit on the requests remembered.
MAX_SUSPECTS = 10_000


@dataclass(slots=True)
class _Suspect:
    broken_runs: int
    last_broken_at: float


class CrashSuspects:
    """The suspects that one entry knows; times are monotonic seconds."""

    __slots__ = ("_by_fingerprint",)

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()

    def on_broken_run(self, fingerprint: str, now: float) -> None:
        """Record that a run of the request ended without an answer, here or at another entry."""
        suspect = self._by_fingerprint.setdefault(fingerprint, _Suspect(0, now))
        if now - suspect.last_broken_at > FORGET_S:
            suspect.broken_runs = 0
        suspect.broken_runs += 1
        suspect.last_broken_at = now
        self._by_fingerprint.move_to_end(fingerprint)
        while len(self._by_fingerprint) > MAX_SUSPECTS:
            self._by_fingerprint.popitem(last=False)

    def known(self, now: float, limit: int) -> list[tuple[str, int, float]]:
        """Return fingerprint, broken runs and time of the last one, of the latest suspects."""
        known = [
            (fingerprint, suspect.broken_runs, suspect.last_broken_at)
            for fingerprint, suspect in self._by_fingerprint.items()
            if now - suspect.last_broken_at <= FORGET_S
        ]
        return known[-limit:]

    def learn(self, fingerprint: str, broken_runs: int, last_broken_at: float) -> None:
        """Take over what another entry knows; the same runs are not counted twice."""
        suspect = self._by_fingerprint.setdefault(fingerprint, _Suspect(0, last_broken_at))
        suspect.broken_runs = max(suspect.broken_runs, broken_runs)
        suspect.last_broken_at = max(suspect.last_broken_at, last_broken_at)
        while len(self._by_fingerprint) > MAX_SUSPECTS:
            self._by_fingerprint.popitem(last=False)

    def on_response(self, fingerprint: str) -> None:
        """Record that a server answered the request and survived it."""
        self._by_fingerprint.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not reach another server."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None or now - suspect.last_broken_at > FORGET_S:
            return False
        return suspect.broken_runs >= MAX_BROKEN_RUNS
