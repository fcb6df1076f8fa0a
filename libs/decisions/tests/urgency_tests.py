"""The urgency that is sent to engines."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_decisions import urgency_of

RANK = st.integers(0, 20)


@given(RANK, RANK, RANK, RANK)
def test_the_organisations_rank_goes_before_the_routes(org, route, other_org, other_route):
    ours, theirs = urgency_of(org, route), urgency_of(other_org, other_route)
    assert 0 <= ours <= 9
    if min(org, 2) < min(other_org, 2):
        assert ours < theirs
    if org == other_org and min(route, 2) < min(other_route, 2):
        assert ours < theirs
