"""Which programs an engine is told to release."""

from __future__ import annotations

from tarragonhall_sidecar._reconcile import (
    ASK_AGAIN_SECONDS,
    ASKED_PER_ROUND,
    Listing,
    Releases,
)


def test_every_held_program_is_asked_about_in_turn():
    """An engine holds far more programs than one round may ask about. One that is gone must be
    found however far down the listing it stands.
    """
    releases = Releases()
    names = [f"p{index}" for index in range(3 * ASKED_PER_ROUND)]
    releases.listed(Listing(dict.fromkeys(names, 1)), 0.0)
    asked: list[str] = []
    for round_number in range(3):
        now = 2.0 * round_number
        batch = releases.to_ask(now)
        releases.answered(batch, batch, now)
        asked += batch
    assert sorted(asked) == sorted(names)
    assert releases.to_ask(6.0) == []
    assert len(releases.to_ask(ASK_AGAIN_SECONDS)) == ASKED_PER_ROUND


def test_a_release_is_repeated_until_the_listing_shows_the_program_gone():
    """An engine forgets to act on a release. Without a look at its listing, no one would notice."""
    releases = Releases()
    releases.program_ended("p1")
    for now in (0.0, 2.0, 4.0):
        releases.listed(Listing({"p1": 10}), now)
        assert releases.to_free(set(), now) == ["p1"]
    releases.listed(Listing({}), 6.0)
    assert releases.to_free(set(), 6.0) == []


def test_a_program_with_a_run_under_way_is_released_after_it():
    releases = Releases()
    releases.program_ended("p1")
    releases.listed(Listing({"p1": 10}), 0.0)
    assert releases.to_free({"p1"}, 0.0) == []
    assert releases.to_free(set(), 1.0) == ["p1"]


def test_under_pressure_a_short_history_goes_before_a_long_one():
    """Programs pause for tools and fill the engine's memory. Left alone it drops the longest idle,
    which may be the history that is dearest to compute again.
    """
    releases = Releases()
    releases.listed(Listing({"long": 80, "short": 15}, capacity=100), 0.0)
    assert releases.to_free(set(), 5.0) == ["short"]


def test_an_engine_that_does_not_state_its_capacity_is_never_under_pressure():
    releases = Releases()
    releases.listed(Listing({"a": 10**9}), 0.0)
    assert releases.to_free(set(), 100.0) == []
