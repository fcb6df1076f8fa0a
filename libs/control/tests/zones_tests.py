"""Evacuation of availability zones, ordered by operators at any member."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_model import Recorded, Refusal, RefusalCode


def evacuated(role) -> list[str]:
    return role.member.state.view().evacuated_zones


def test_followers_learn_of_an_evacuation_ordered_at_any_member(start_group):
    group = start_group("one", "two", "three")
    _context, follower, _node = group.follower("entry-1")
    group.until(lambda: follower.view.entries)
    for name, role in group.role_by_name.items():
        assert isinstance(role.relay.evacuate("tx-waco", True), Recorded), name
        group.until(lambda: follower.view.evacuated_zones == ["tx-waco"])
        assert isinstance(role.relay.evacuate("tx-waco", False), Recorded), name
        group.until(lambda: follower.view.evacuated_zones == [])


def test_an_evacuation_outlives_a_power_cut_of_all_members(start_group):
    """All members lose power right after the acknowledgement; the zone is still to be left."""
    group = start_group("one", "two", "three")
    _follow(group)
    group.role_by_name["two"].relay.evacuate("tx-waco", True)
    for name in list(group.role_by_name):
        group.stop(name)
    for name in ("one", "two", "three"):
        group.start(name)
    group.until(group.leader)
    leader = group.role_by_name[group.leader()]
    group.until(lambda: evacuated(leader) == ["tx-waco"])


def test_opposite_orders_that_race_at_two_members_end_in_one_state(start_group):
    """Two operators order both at once. Members that differ would send calls to half of a zone."""
    group = start_group("one", "two", "three")
    _follow(group)
    roles = list(group.role_by_name.values())
    for _ in range(5):
        racing = [
            eventlet.spawn(roles[0].relay.evacuate, "tx-waco", True),
            eventlet.spawn(roles[1].relay.evacuate, "tx-waco", False),
        ]
        for one in racing:
            assert isinstance(one.wait(), Recorded)
        epoch = max(role.member.state.epoch for role in roles)
        group.until(lambda least=epoch: all(one.member.state.epoch >= least for one in roles))
        assert len({tuple(evacuated(role)) for role in roles}) == 1


def test_a_zone_that_nobody_knows_is_refused(start_group):
    """A mistyped zone that was acknowledged would leave the operator waiting for it to empty."""
    group = start_group("one", "two", "three")
    _follow(group)
    refusal = group.role_by_name["one"].relay.evacuate("tx-wako", True)
    assert isinstance(refusal, Refusal) and refusal.code is RefusalCode.NOT_FOUND
    assert "'tx-wako'" in refusal.message and "tx-waco" in refusal.message


def test_a_member_without_the_others_acknowledges_no_evacuation(start_group):
    """A member is cut off. An evacuation that only it knows would be in force nowhere."""
    group = start_group("one", "two", "three")
    _follow(group)
    group.stop("two")
    group.stop("three")
    with pytest.raises(NoLeaderError):
        group.role_by_name["one"].relay.evacuate("tx-waco", True)


def test_operators_of_the_admin_api_evacuate_and_return_zones(start_group):
    group = start_group("one")
    _follow(group)
    admin = group.admin()
    assert admin("GET", "/zones")[1]["zones"] == [
        {"availability_zone": "tx-waco", "evacuated": False, "entries": 1, "servers": 0}
    ]
    status, value = admin("POST", "/zones/tx-waco/evacuation", {"evacuated": True})
    assert (status, value["evacuated_zones"]) == (200, ["tx-waco"])
    assert admin("GET", "/status")[1]["evacuated_zones"] == ["tx-waco"]
    assert admin("GET", "/zones")[1]["zones"][0]["evacuated"]
    assert admin("POST", "/zones/tx-waco/evacuation", {"evacuated": False})[0] == 200
    assert admin("GET", "/status")[1]["evacuated_zones"] == []
    assert admin("POST", "/zones/nowhere/evacuation", {"evacuated": True})[0] == 404


def _follow(group) -> None:
    """Have an entry of tx-waco in the view, so that the zone is known."""
    _context, follower, _node = group.follower("entry-1")
    group.until(lambda: follower.view.entries)
