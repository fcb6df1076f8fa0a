"""Requests that crash the backend servers they run on.

Now and then one request crashes every server that runs it, and its caller sends it again, under a
new program. Left alone it takes down the fleet, one server after the other. Requests are known by a
fingerprint over organisation, target and body, and charged with each crash they were present at.

Innocent ones that ran beside it are present too. One crash makes nobody guilty: all of its requests
are suspects, which entries run apart. A request that crashes a server alone for the second time is
proven. In a crowd, the only one that was present at an earlier crash is held, but not for good.
Whoever completes is cleared.
"""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import AttemptId, Quarantined, Recorded, ReportCrash, mutable_record

CRASHES_TO_QUARANTINE = 2
# After so many crashes in a crowd, even several who were always together are held.
CROWD_CRASHES_TO_QUARANTINE = 3
# A day: by then the engine was repaired or the caller has changed the request.
PROVEN_MS = 24 * 3_600 * 1_000
# An innocent request in a crowd is held up for ten minutes at most; a guilty one costs a server in
# ten minutes at most.
HELD_MS = 10 * 60 * 1_000
# A suspect that never came again is forgotten after an hour.
SUSPECT_MS = 3_600 * 1_000
MAX_SUSPECTS = 10_000
# Enough to know a report that is sent again; a crash charges an attempt once.
REMEMBERED_ATTEMPTS = 8


@mutable_record
class Suspect:
    """One fingerprint and the crashes it is charged with."""

    crashes: int = 0
    last_crash_ms: int = 0
    proven: bool = False
    held_until_ms: int = 0
    charged_attempts: list[str] = field(default_factory=list)


@mutable_record
class Quarantine:
    """Suspects by fingerprint, the ones that crashed longest ago first."""

    suspect_by_fingerprint: dict[str, Suspect] = field(default_factory=dict)

    def report(self, command: ReportCrash, now_ms: int) -> Recorded:
        """Charge the requests that were running with one crash."""
        present = self._charge(command.fingerprints, command.attempts, now_ms)
        repeated = [
            fp for fp, suspect in present.items() if suspect.crashes >= CRASHES_TO_QUARANTINE
        ]
        for fingerprint in repeated:
            suspect = present[fingerprint]
            if len(present) == 1:
                suspect.proven = True
                suspect.held_until_ms = now_ms + PROVEN_MS
                continue
            if len(repeated) == 1 or suspect.crashes >= CROWD_CRASHES_TO_QUARANTINE:
                suspect.held_until_ms = max(suspect.held_until_ms, now_ms + HELD_MS)
        self._forget(now_ms)
        return Recorded()

    def status(self, fingerprint: str, now_ms: int) -> Quarantined:
        """Return whether a request is held now, and its crashes."""
        suspect = self.suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return Quarantined(False, 0)
        return Quarantined(now_ms < suspect.held_until_ms, suspect.crashes)

    def clear(self, fingerprint: str) -> None:
        """Take the suspicion from a request that completed; a proven one stays held."""
        suspect = self.suspect_by_fingerprint.get(fingerprint)
        if suspect is not None and not suspect.proven:
            del self.suspect_by_fingerprint[fingerprint]

    def _charge(
        self, fingerprints: list[str], attempts: list[AttemptId], now_ms: int
    ) -> dict[str, Suspect]:
        keys = [attempt.key for attempt in attempts]
        present: dict[str, Suspect] = {}
        for index, fingerprint in enumerate(fingerprints):
            key = keys[index] if index < len(keys) else ""
            suspect = self.suspect_by_fingerprint.pop(fingerprint, None) or Suspect()
            # Put back at the end: the order is that of the last crash.
            self.suspect_by_fingerprint[fingerprint] = suspect
            if key and key in suspect.charged_attempts:
                continue
            if key:
                suspect.charged_attempts.append(key)
                del suspect.charged_attempts[:-REMEMBERED_ATTEMPTS]
            if fingerprint not in present:
                suspect.crashes += 1
            suspect.last_crash_ms = now_ms
            present[fingerprint] = suspect
        return present

    def _forget(self, now_ms: int) -> None:
        while self.suspect_by_fingerprint:
            fingerprint, suspect = next(iter(self.suspect_by_fingerprint.items()))
            kept_until_ms = max(suspect.held_until_ms, suspect.last_crash_ms + SUSPECT_MS)
            if len(self.suspect_by_fingerprint) <= MAX_SUSPECTS and now_ms < kept_until_ms:
                return
            del self.suspect_by_fingerprint[fingerprint]
