"""Fair parts of organisations, over the entries that their calls are spread over."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from tarragonhall_decisions import FairParts

ORGANISATIONS = [f"org-{number}" for number in range(20)]


def entries_with(calls_by_org: dict[str, int], entries: int = 5) -> list[FairParts]:
    """Return entries over which the calls of organisations of equal weight are spread."""
    parts = [FairParts() for _ in range(entries)]
    rng = random.Random(2)
    for org_id, calls in calls_by_org.items():
        for one in parts:
            one.seen(org_id, 1.0, 0.0)
        for _ in range(calls):
            rng.choice(parts).began(org_id)
    return parts


def told_by_others(parts: list[FairParts]) -> dict[str, int]:
    """Return what the first entry has heard after one round of messages."""
    told: dict[str, int] = {}
    for other in parts[1:]:
        for org_id, calls in other.largest():
            told[org_id] = told.get(org_id, 0) + calls
    return told


def test_organisation_at_ten_times_its_usual_is_seen_by_an_entry_with_few_of_its_calls():
    """Load: one of twenty organisations at ten times its usual, spread over five entries. By the
    few calls that it sees itself, no entry would know.
    """
    calls = dict.fromkeys(ORGANISATIONS, 4) | {"org-0": 40}
    parts = entries_with(calls)
    told = told_by_others(parts)
    total = sum(calls.values())
    assert parts[0].excess("org-0", told, "org-0", total) > 2.0
    assert all(parts[0].excess(one, told, one, total) < 2.0 for one in ORGANISATIONS[1:])


def test_organisation_with_a_higher_rate_has_a_larger_part():
    """Load: a large organisation sends what its rate allows; it must not count as in excess."""
    parts = FairParts()
    for org_id in ORGANISATIONS:
        parts.seen(org_id, 1.0, 0.0)
    parts.seen("large", 20.0, 0.0)
    for _ in range(50):
        parts.began("large")
    assert parts.excess("large", {}, "large", 100) < 1.5


def test_organisations_that_have_left_leave_their_part_to_others():
    """Failure: callers go away without a sign; their part must not stay empty."""
    parts = FairParts()
    for org_id in ORGANISATIONS:
        parts.seen(org_id, 1.0, 0.0)
    parts.seen("org-0", 1.0, 9.0)
    parts.seen("org-1", 1.0, 9.0)
    for _ in range(20):
        parts.began("org-0")
    assert parts.excess("org-0", {}, "org-0", 40) < 1.0


@settings(max_examples=80, deadline=None)
@given(steps=st.lists(st.tuples(st.integers(0, 60), st.booleans()), max_size=300))
def test_what_is_told_is_bounded_and_counts_no_call_that_has_ended(steps):
    """Load: many organisations. A message with all of them would grow with the callers."""
    parts = FairParts()
    calls: dict[str, int] = {}
    for now, (number, ends) in enumerate(steps):
        org_id = f"org-{number}"
        parts.seen(org_id, 1.0, float(now))
        if ends and calls.get(org_id):
            parts.ended(org_id)
            calls[org_id] -= 1
        elif not ends:
            parts.began(org_id)
            calls[org_id] = calls.get(org_id, 0) + 1
    told = parts.largest()
    assert len(told) <= 8
    assert all(calls[org_id] == count > 0 for org_id, count in told)
