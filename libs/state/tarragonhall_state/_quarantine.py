"""Quarantine of requests that crash the backend servers they run on.

A request may crash every server that runs it while its caller resends it under a new program; it
would take down the fleet, one server after the other. Requests are identified by a fingerprint over
organisation, target and body, and charged with each crash during which they were running.

Other requests that ran on the same server are charged too, so one crash proves nothing: all of its
requests become suspects, which entries run separately. A request that was running alone at a crash,
and is charged with at least two, is proven. If several were running, the only one charged with an
earlier crash is held for a limited time. A suspect that completes is cleared.
"""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import AttemptId, Quarantined, Recorded, ReportCrash, mutable_record

CRASHES_TO_QUARANTINE = 2
# After this many crashes, even several requests that were always running together are held.
SHARED_CRASHES_TO_QUARANTINE = 3
# A day: enough time to fix the engine or for the caller to change the request.
PROVEN_HOLD_MS = 24 * 3_600 * 1_000
# Limits the harm of a wrong decision: an unrelated request is held for at most ten minutes, and a
# crashing one takes down at most one server per ten minutes.
TEMPORARY_HOLD_MS = 10 * 60 * 1_000
# A suspect that is not seen again is dropped after an hour.
SUSPECT_RETENTION_MS = 3_600 * 1_000
MAX_SUSPECTS = 10_000
# Enough to detect a resent report; a crash is charged once per attempt.
MAX_CHARGED_ATTEMPTS = 8


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
    """Suspects by fingerprint, least recently crashed first."""

    suspect_by_fingerprint: dict[str, Suspect] = field(default_factory=dict)

    def report(self, command: ReportCrash, now_ms: int) -> Recorded:
        """Charge one crash to the requests that were running."""
        present = self._charge(command.fingerprints, command.attempts, now_ms)
        repeated = [
            fp for fp, suspect in present.items() if suspect.crashes >= CRASHES_TO_QUARANTINE
        ]
        for fingerprint in repeated:
            suspect = present[fingerprint]
            if len(present) == 1:
                suspect.proven = True
                suspect.held_until_ms = now_ms + PROVEN_HOLD_MS
                continue
            if len(repeated) == 1 or suspect.crashes >= SHARED_CRASHES_TO_QUARANTINE:
                suspect.held_until_ms = max(suspect.held_until_ms, now_ms + TEMPORARY_HOLD_MS)
        self._drop_expired(now_ms)
        return Recorded()

    def status(self, fingerprint: str, now_ms: int) -> Quarantined:
        """Return whether a request is held now, and its number of crashes."""
        suspect = self.suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return Quarantined(False, 0)
        return Quarantined(now_ms < suspect.held_until_ms, suspect.crashes)

    def clear(self, fingerprint: str) -> None:
        """Clear a suspect that completed; a proven one stays held."""
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
            # Moved to the end: suspects are ordered by their last crash.
            self.suspect_by_fingerprint[fingerprint] = suspect
            if key and key in suspect.charged_attempts:
                continue
            if key:
                suspect.charged_attempts.append(key)
                del suspect.charged_attempts[:-MAX_CHARGED_ATTEMPTS]
            if fingerprint not in present:
                suspect.crashes += 1
            suspect.last_crash_ms = now_ms
            present[fingerprint] = suspect
        return present

    def _drop_expired(self, now_ms: int) -> None:
        while self.suspect_by_fingerprint:
            fingerprint, suspect = next(iter(self.suspect_by_fingerprint.items()))
            expires_at_ms = max(suspect.held_until_ms, suspect.last_crash_ms + SUSPECT_RETENTION_MS)
            if len(self.suspect_by_fingerprint) <= MAX_SUSPECTS and now_ms < expires_at_ms:
                return
            del self.suspect_by_fingerprint[fingerprint]
