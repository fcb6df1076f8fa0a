"""Calls admitted while the owner of their bucket is unreachable."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_decisions import RateReserve, RateSlack
from tarragonhall_model import Rate

SLACK = RateSlack(window_s=5.0, share=0.1, calls=20)
RATE = Rate(133.0, 133.0)


def reserve(entries: int) -> RateReserve:
    created = RateReserve(SLACK)
    created.entries = entries
    return created


def test_failover_of_two_seconds_refuses_no_call_within_the_rate():
    # The leader of control dies and no entry gets tokens for two seconds. Each of nine entries
    # receives three calls a second of the organisation.
    created = reserve(9)
    assert all(created.take("org", RATE, number / 3) for number in range(6))


def test_a_long_outage_admits_no_more_than_its_share_of_each_window():
    created = reserve(9)
    admitted = [now for now in range(1, 2_000) if created.take("org", RATE, now / 100)]
    allowed = created.allowed(RATE)
    for start in range(0, 2_000, 10):
        assert sum(1 for now in admitted if start <= now <= start + 500) <= allowed


def test_without_slack_nothing_is_admitted():
    assert not RateReserve(RateSlack()).take("org", RATE, 0.0)


@given(st.integers(1, 40), st.floats(0.1, 500), st.floats(0, 500))
def test_all_entries_together_stay_within_the_slack(entries, per_second, burst):
    # Every entry is disconnected at once and uses its whole reserve.
    rate = Rate(per_second, burst)
    total = entries * reserve(entries).allowed(rate)
    assert total <= 0.1 * (per_second * 5 + burst) + 20
