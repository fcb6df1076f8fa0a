from __future__ import annotations

from tarragonhall_model import AttemptId, ReportCrash
from tarragonhall_state._quarantine import (
    PROVEN_HOLD_MS,
    SUSPECT_RETENTION_MS,
    TEMPORARY_HOLD_MS,
    Quarantine,
)

NOW_MS = 1_000_000


def crash(quarantine: Quarantine, *fingerprints: str, number: int = 1, now_ms: int = NOW_MS):
    attempts = [
        AttemptId(f"prog-{fingerprint}", 1, number, "engine-1", "life-1")
        for fingerprint in fingerprints
    ]
    quarantine.report(ReportCrash("engine-1", "life-1", list(fingerprints), attempts), now_ms)


def quarantined(quarantine: Quarantine, now_ms: int = NOW_MS) -> set[str]:
    return {name for name in "pabcd" if quarantine.status(name, now_ms).quarantined}


def test_a_request_that_crashes_two_servers_alone_is_quarantined():
    # A request crashes every server that runs it, and its caller resends it under a new program.
    # Without quarantine it would take down the fleet, one server after the other.
    quarantine = Quarantine()
    crash(quarantine, "p")
    assert quarantined(quarantine) == set()
    crash(quarantine, "p", number=2)
    assert quarantined(quarantine) == {"p"}
    quarantine.clear("p")
    assert quarantined(quarantine) == {"p"}
    assert quarantined(quarantine, NOW_MS + PROVEN_HOLD_MS) == set()


def test_of_two_shared_crashes_only_the_request_present_at_both_is_quarantined():
    # In two crashes, unrelated requests were running next to the one that caused them. Callers of
    # the unrelated requests must not be refused.
    quarantine = Quarantine()
    crash(quarantine, "p", "a", "b")
    crash(quarantine, "p", "c", "d", number=2)
    assert quarantined(quarantine) == {"p"}


def test_requests_that_always_run_next_to_a_crashing_one_are_held_only_for_a_time():
    # Two requests are always retried together. Which of them crashes the servers shows only when
    # one runs without the other, so a hold must expire.
    quarantine = Quarantine()
    for number in (1, 2):
        crash(quarantine, "p", "a", number=number)
    assert quarantined(quarantine) == set()
    crash(quarantine, "p", "a", number=3)
    assert quarantined(quarantine) == {"p", "a"}
    assert quarantined(quarantine, NOW_MS + TEMPORARY_HOLD_MS) == set()
    crash(quarantine, "p", number=4, now_ms=NOW_MS + TEMPORARY_HOLD_MS)
    assert quarantined(quarantine, NOW_MS + TEMPORARY_HOLD_MS) == {"p"}


def test_a_suspect_that_completes_is_cleared():
    quarantine = Quarantine()
    crash(quarantine, "p", "a")
    quarantine.clear("a")
    crash(quarantine, "a", number=2)
    assert quarantined(quarantine) == set()
    assert quarantine.status("a", NOW_MS).crashes == 1


def test_a_crash_that_is_reported_twice_counts_once():
    # A sidecar resends its report under a new request id after a lost reply. If it counted twice, a
    # single crash would quarantine its request.
    quarantine = Quarantine()
    crash(quarantine, "p")
    crash(quarantine, "p")
    assert quarantine.status("p", NOW_MS).crashes == 1
    assert quarantined(quarantine) == set()


def test_suspects_are_dropped_after_their_retention():
    quarantine = Quarantine()
    crash(quarantine, "p")
    crash(quarantine, "a", now_ms=NOW_MS + SUSPECT_RETENTION_MS)
    assert list(quarantine.suspect_by_fingerprint) == ["a"]
