"""Requests suspected of crashing the backend servers that run them.

Load pattern: occasionally a request crashes each server that starts to run it, and its caller sends
it again: the same caller, path and body, as another attempt, through any entry. Unless it is
refused, it crashes one server after another, with everything that runs beside it.

Each connection that breaks without an answer makes the request a suspect at every entry, as entries
notify each other. After `MAX_CRASHES` crashes it is refused at once. A server that crashes breaks
off all its runs, and a rack that loses power those of all its servers, so runs beside each other
are one crash: only runs of different servers, one begun after the other had ended, are several.

An answer clears the request, and an answer of a server to a later run clears the server's broken
one. One call at a time is let through after `TRY_AGAIN_S`, as nothing else could clear the request.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Crashes after which a request is refused. On bad days servers break off a few in a hundred
# answers, so three in a row happen to one innocent request in tens of thousands, whose caller has
# used up its retries by then.
MAX_CRASHES = 3
# Seconds after which a broken run is forgotten; callers retry for less.
FORGET_S = 120.0
# Seconds after the last broken run, or the last call that was let through, until the next one is.
TRY_AGAIN_S = 60.0
# Limit on the requests remembered, and on the broken runs of each.
MAX_SUSPECTS = 10_000
MAX_RUNS = 8


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """A run that ended without an answer; `server` names one start of a backend server.

    Times are monotonic seconds.
    """

    server: str
    started_at: float
    ended_at: float


@dataclass(slots=True)
class _Suspect:
    run_by_server: dict[str, BrokenRun] = field(default_factory=dict)
    tried_at: float = float("-inf")

    def runs(self, now: float) -> list[BrokenRun]:
        """Return the runs that are not forgotten, in the order of their ends."""
        runs = [run for run in self.run_by_server.values() if now - run.ended_at <= FORGET_S]
        return sorted(runs, key=lambda run: (run.ended_at, run.started_at))

    def crashes(self, now: float) -> int:
        """Return the number of crashes that explain the runs."""
        return len(_successive(self.runs(now)))

    def add(self, run: BrokenRun) -> None:
        """Record a run. A server that broke off before went on, so only its last run counts."""
        known = self.run_by_server.get(run.server)
        if known is None or run.ended_at > known.ended_at:
            self.run_by_server[run.server] = run
        if len(self.run_by_server) <= MAX_RUNS:
            return
        runs = self.runs(run.ended_at)
        successive = _successive(runs)
        spare = [one for one in runs if one not in successive]
        del self.run_by_server[(spare or runs)[0].server]


class CrashSuspects:
    """The suspects that one entry knows; times are monotonic seconds."""

    __slots__ = ("_by_fingerprint", "_cleared_at_by_fingerprint", "_suspected_by_server")

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._cleared_at_by_fingerprint: OrderedDict[str, float] = OrderedDict()
        self._suspected_by_server: OrderedDict[str, set[str]] = OrderedDict()

    def on_broken_run(self, fingerprint: str, run: BrokenRun) -> None:
        """Record that a run of the request ended without an answer, here or at another entry."""
        if run.ended_at <= self._cleared_at_by_fingerprint.get(fingerprint, float("-inf")):
            return
        self._by_fingerprint.setdefault(fingerprint, _Suspect()).add(run)
        self._by_fingerprint.move_to_end(fingerprint)
        self._suspected_by_server.setdefault(run.server, set()).add(fingerprint)
        _drop_oldest(self._by_fingerprint)
        _drop_oldest(self._suspected_by_server)

    def known(self, now: float, limit: int) -> list[tuple[str, list[BrokenRun]]]:
        """Return the fingerprints of the latest suspects, each with its broken runs."""
        known = [
            (fingerprint, suspect.runs(now))
            for fingerprint, suspect in self._by_fingerprint.items()
        ]
        return [(fingerprint, runs) for fingerprint, runs in known if runs][-limit:]

    def on_response(self, fingerprint: str, now: float) -> bool:
        """Record that a server answered the request; return whether it was a suspect."""
        if self._by_fingerprint.pop(fingerprint, None) is None:
            return False
        self._cleared_at_by_fingerprint[fingerprint] = now
        self._cleared_at_by_fingerprint.move_to_end(fingerprint)
        _drop_oldest(self._cleared_at_by_fingerprint)
        return True

    def on_server_response(self, server: str, started_at: float) -> None:
        """Record that a server answered a run begun at `started_at`: it had not crashed before."""
        fingerprints = self._suspected_by_server.get(server)
        if fingerprints is None:
            return
        for fingerprint in list(fingerprints):
            suspect = self._by_fingerprint.get(fingerprint)
            run = suspect.run_by_server.get(server) if suspect is not None else None
            if run is not None and run.ended_at > started_at:
                continue
            fingerprints.discard(fingerprint)
            if run is not None:
                del suspect.run_by_server[server]
        if not fingerprints:
            del self._suspected_by_server[server]

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether the request has crashed the servers that ran it."""
        suspect = self._by_fingerprint.get(fingerprint)
        return suspect is not None and suspect.crashes(now) >= MAX_CRASHES

    def wait_s(self, fingerprint: str, now: float) -> float:
        """Return in how many seconds a call may be let through, 0 if this one may.

        The calls after one that is let through wait for its answer.
        """
        if not self.is_quarantined(fingerprint, now):
            return 0.0
        suspect = self._by_fingerprint[fingerprint]
        last_at = max(suspect.runs(now)[-1].ended_at, suspect.tried_at)
        wait_s = max(0.0, last_at + TRY_AGAIN_S - now)
        if wait_s == 0.0:
            suspect.tried_at = now
        return wait_s


def _successive(runs: list[BrokenRun]) -> list[BrokenRun]:
    """Return the most runs of which each began after the one before had ended."""
    successive: list[BrokenRun] = []
    for run in runs:
        if successive and run.started_at < successive[-1].ended_at:
            continue
        successive.append(run)
    return successive


def _drop_oldest(by_key: OrderedDict) -> None:
    while len(by_key) > MAX_SUSPECTS:
        by_key.popitem(last=False)
