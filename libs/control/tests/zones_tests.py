"""Evacuation of availability zones, requested by operators at any member."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_model import Recorded, Refusal, RefusalCode


def evacuated(role) -> list[str]:
    return role.member.state.view().evacuated_zones


def test_evacuation_at_any_member_reaches_followers(start_group):
    group = start_group("one", "two", "three")
    _context, follower, _node = group.follower("entry-1")
    group.wait_until(lambda: follower.view.entries)
    for name, role in group.role_by_name.items():
        assert isinstance(role.relay.evacuate("tx-waco", True), Recorded), name
        group.wait_until(lambda: follower.view.evacuated_zones == ["tx-waco"])
        assert isinstance(role.relay.evacuate("tx-waco", False), Recorded), name
        group.wait_until(lambda: follower.view.evacuated_zones == [])


def test_evacuation_survives_power_loss_of_all_members(start_group):
    """All members lose power after the acknowledgement; the evacuation must stay in force."""
    group = start_group("one", "two", "three")
    _announce_entry(group)
    group.role_by_name["two"].relay.evacuate("tx-waco", True)
    for name in list(group.role_by_name):
        group.stop(name)
    for name in ("one", "two", "three"):
        group.start(name)
    group.wait_until(group.leader)
    leader = group.role_by_name[group.leader()]
    group.wait_until(lambda: evacuated(leader) == ["tx-waco"])


def test_concurrent_opposite_requests_end_in_one_state(start_group):
    """If members ended in different states, part of the entries would use the zone."""
    group = start_group("one", "two", "three")
    _announce_entry(group)
    roles = list(group.role_by_name.values())
    for _ in range(5):
        requests = [
            eventlet.spawn(roles[0].relay.evacuate, "tx-waco", True),
            eventlet.spawn(roles[1].relay.evacuate, "tx-waco", False),
        ]
        for one in requests:
            assert isinstance(one.wait(), Recorded)
        epoch = max(role.member.state.epoch for role in roles)
        group.wait_until(
            lambda min_epoch=epoch: all(one.member.state.epoch >= min_epoch for one in roles)
        )
        assert len({tuple(evacuated(role)) for role in roles}) == 1


def test_unknown_zone_is_rejected(start_group):
    """If a mistyped zone were acknowledged, the operator would wait for it to empty in vain."""
    group = start_group("one", "two", "three")
    _announce_entry(group)
    refusal = group.role_by_name["one"].relay.evacuate("tx-wako", True)
    assert isinstance(refusal, Refusal) and refusal.code is RefusalCode.NOT_FOUND
    assert "'tx-wako'" in refusal.message and "tx-waco" in refusal.message


def test_member_without_majority_acknowledges_no_evacuation(start_group):
    """An evacuation that only a partitioned member knows would be in force nowhere."""
    group = start_group("one", "two", "three")
    _announce_entry(group)
    group.stop("two")
    group.stop("three")
    with pytest.raises(NoLeaderError):
        group.role_by_name["one"].relay.evacuate("tx-waco", True)


def test_admin_api_evacuates_and_returns_zones(start_group):
    group = start_group("one")
    _announce_entry(group)
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


def _announce_entry(group) -> None:
    """Announce an entry in tx-waco, so that the zone is known."""
    _context, follower, _node = group.follower("entry-1")
    group.wait_until(lambda: follower.view.entries)
