"""The urgency that is sent to engines."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_decisions import admission_order, kind_of, urgency_of

RANK = st.integers(0, 20)


@given(RANK, RANK, RANK, RANK)
def test_the_organisations_rank_goes_before_the_routes(org, route, other_org, other_route):
    ours, theirs = urgency_of(org, route), urgency_of(other_org, other_route)
    assert 0 <= ours <= 9
    if min(org, 2) < min(other_org, 2):
        assert ours < theirs
    if org == other_org and min(route, 2) < min(other_route, 2):
        assert ours < theirs


def test_programs_of_a_less_urgent_kind_are_refused_before_any_of_a_more_urgent_one():
    # By the order of waiting calls, an important organisation's least urgent programs would start
    # while another one's most urgent programs are refused.
    urgencies = [urgency_of(organisation, route) for organisation in (0, 1) for route in (0, 2)]
    assert admission_order(urgencies) == [1, 4, 3, 6]
    assert [kind_of(one) for one in admission_order(urgencies)] == [0, 0, 2, 2]
