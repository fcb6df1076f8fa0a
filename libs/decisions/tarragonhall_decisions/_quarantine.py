"""Quarantine of requests that crash their backend server.

Load pattern: one request crashes each server that runs it, and its caller sends it again. Without
quarantine it would crash the servers one by one, with all the calls that run beside it.

When a server crashes, all requests that ran on it are suspects, since the cause is unknown. They
are retried apart, no two suspects on one server at a time. A second crash with one suspect among
the running requests identifies the cause; the others complete elsewhere and are cleared.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_model import Execution, Refusal, RefusalCode

# Crashes of servers after which a request is refused: one crash may be the server's own fault, and
# a third would cost another server.
REFUSE_AFTER_CRASHES = 2
# Seconds without a crash after which a request is no longer suspected, far longer than a caller's
# retries last, so that one crash of a server does not slow its requests for good.
FORGET_AFTER_S = 600.0
# Sent to the caller with the refusal: the same time, in milliseconds.
RETRY_AFTER_MS = 600_000


@dataclass(slots=True)
class _Suspect:
    crashes: int = 0
    last_crash: float = 0.0


@dataclass(slots=True)
class Quarantine:
    """The suspects that one process knows, by request fingerprint."""

    _by_fingerprint: dict[str, _Suspect] = field(default_factory=dict)
    _running_by_server: dict[str, list[str]] = field(default_factory=dict)

    def merge_crashes(self, fingerprint: str, crashes: int, now: float) -> None:
        """Store the journal's count of crashes for a request."""
        if crashes <= 0:
            return
        suspect = self._by_fingerprint.setdefault(fingerprint, _Suspect())
        suspect.crashes = max(suspect.crashes, crashes)
        suspect.last_crash = now

    def refusal(self, fingerprint: str, now: float) -> Refusal | None:
        """Return the refusal of a request that is known to crash servers; None for any other."""
        suspect = self._current_suspect(fingerprint, now)
        if suspect is None or suspect.crashes < REFUSE_AFTER_CRASHES:
            return None
        return Refusal(
            RefusalCode.QUARANTINED,
            "the request crashed the backend servers that ran it",
            Execution.NOT_RUN,
            RETRY_AFTER_MS,
        )

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether the request ran on a server that crashed recently."""
        return self._current_suspect(fingerprint, now) is not None

    def servers_to_avoid(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the servers where another suspect runs; the request must not start there."""
        if not self.is_suspect(fingerprint, now):
            return frozenset()
        return frozenset(
            server
            for server, running in self._running_by_server.items()
            if any(other != fingerprint and self.is_suspect(other, now) for other in running)
        )

    def on_start(self, fingerprint: str, server_id: str) -> None:
        """Record that a request starts on a server."""
        self._running_by_server.setdefault(server_id, []).append(fingerprint)

    def on_end(self, fingerprint: str, server_id: str, answered: bool) -> None:
        """Record that a request has left a server; an answer clears it of suspicion."""
        running = self._running_by_server.get(server_id, [])
        if fingerprint in running:
            running.remove(fingerprint)
        if not running:
            self._running_by_server.pop(server_id, None)
        if answered:
            self._by_fingerprint.pop(fingerprint, None)

    def on_crash(self, server_id: str, now: float) -> list[str]:
        """Record that a server crashed; return the fingerprints to report to the journal.

        If suspects were among the running requests, the crash counts against them alone; otherwise
        all the running requests become suspects.
        """
        running = list(dict.fromkeys(self._running_by_server.pop(server_id, [])))
        suspects = suspects_of_crash(
            {item: self._crashes(item, now) for item in running},
        )
        for item in suspects:
            suspect = self._by_fingerprint.setdefault(item, _Suspect())
            suspect.crashes += 1
            suspect.last_crash = now
        return suspects

    def _crashes(self, fingerprint: str, now: float) -> int:
        suspect = self._current_suspect(fingerprint, now)
        return suspect.crashes if suspect else 0

    def _current_suspect(self, fingerprint: str, now: float) -> _Suspect | None:
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is not None and now - suspect.last_crash > FORGET_AFTER_S:
            del self._by_fingerprint[fingerprint]
            return None
        return suspect


def suspects_of_crash(crashes_by_fingerprint: dict[str, int]) -> list[str]:
    """Return the requests running on a crashed server against which the crash counts."""
    suspects = [item for item, crashes in crashes_by_fingerprint.items() if crashes > 0]
    return suspects or list(crashes_by_fingerprint)
