"""Tests of which programs are selected for a release."""

from __future__ import annotations

from tarragonhall_sidecar._reconcile import (
    MAX_QUERIED_PER_ROUND,
    QUERY_INTERVAL_SECONDS,
    Listing,
    ReleaseTracker,
)


def test_every_held_program_is_queried_in_turn():
    """An engine holds far more programs than one round may query. An ended one must be found
    wherever it is in the listing.
    """
    tracker = ReleaseTracker()
    names = [f"p{index}" for index in range(3 * MAX_QUERIED_PER_ROUND)]
    tracker.update_listing(Listing(dict.fromkeys(names, 1)), 0.0)
    queried: list[str] = []
    for round_number in range(3):
        now = 2.0 * round_number
        batch = tracker.programs_to_query(now)
        tracker.update_living(batch, batch, now)
        queried += batch
    assert sorted(queried) == sorted(names)
    assert tracker.programs_to_query(6.0) == []
    assert len(tracker.programs_to_query(QUERY_INTERVAL_SECONDS)) == MAX_QUERIED_PER_ROUND


def test_a_release_is_repeated_until_the_listing_no_longer_shows_the_program():
    """An engine does not act on a release, which only its listing shows."""
    tracker = ReleaseTracker()
    tracker.program_ended("p1")
    for now in (0.0, 2.0, 4.0):
        tracker.update_listing(Listing({"p1": 10}), now)
        assert tracker.programs_to_release(set(), now) == ["p1"]
    tracker.update_listing(Listing({}), 6.0)
    assert tracker.programs_to_release(set(), 6.0) == []


def test_a_program_with_a_run_in_flight_is_released_after_it():
    tracker = ReleaseTracker()
    tracker.program_ended("p1")
    tracker.update_listing(Listing({"p1": 10}), 0.0)
    assert tracker.programs_to_release({"p1"}, 0.0) == []
    assert tracker.programs_to_release(set(), 1.0) == ["p1"]


def test_under_pressure_a_short_history_is_released_before_a_long_one():
    """Programs that wait for tools fill the engine's memory. By itself the engine evicts the
    longest idle one, which may be the most expensive history to compute again.
    """
    tracker = ReleaseTracker()
    tracker.update_listing(Listing({"long": 80, "short": 15}, capacity=100), 0.0)
    assert tracker.programs_to_release(set(), 5.0) == ["short"]


def test_an_engine_that_does_not_state_its_capacity_is_never_under_pressure():
    tracker = ReleaseTracker()
    tracker.update_listing(Listing({"a": 10**9}), 0.0)
    assert tracker.programs_to_release(set(), 100.0) == []
