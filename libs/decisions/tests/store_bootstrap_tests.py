"""Which stores bootstrap the stores' group."""

from __future__ import annotations

from tarragonhall_decisions import StoreBootstrap, ToleratedLosses
from tarragonhall_decisions._store_bootstrap import DISCOVERY_WAIT_S, SAME_ZONE_WAIT_S
from tarragonhall_model import StoreRecord, View


def stores(zones: str) -> View:
    """Return a view with a store in each of these zones, a letter each."""
    records = [
        StoreRecord(f"s-{number}", "life", f"s-{number}:1", zone, True)
        for number, zone in enumerate(zones)
    ]
    return View(1, [], [], stores=records)


def test_group_is_no_larger_than_the_tolerated_losses_need():
    # In a group of all ten stores, each stored turn would go to ten disks and wait for six.
    members = StoreBootstrap(ToleratedLosses(2, zones=1)).initial_members(stores("aaabbbccdd"), 0.0)
    assert len(members) == 5


def test_members_cover_as_many_zones_as_possible():
    # Guards against a group in one zone although the loss of a zone must be tolerated: all three
    # members would be lost.
    members = StoreBootstrap(ToleratedLosses(1, zones=1)).initial_members(stores("aaabbc"), 0.0)
    assert members == ["s-0", "s-3", "s-5"]


def test_members_share_a_zone_if_no_zone_loss_is_tolerated():
    # Guards against a copy of each stored turn to each zone, which is most of the traffic between
    # zones.
    members = StoreBootstrap(ToleratedLosses(1)).initial_members(stores("abbbccd"), 0.0)
    assert members == ["s-1", "s-2", "s-3"]


def test_bootstrap_waits_briefly_for_the_rest_of_a_zone():
    # Guards against a bootstrap with the first stores that report, each in another zone.
    bootstrap = StoreBootstrap(ToleratedLosses(1))
    assert bootstrap.initial_members(stores("abcb"), 0.0) == []
    assert bootstrap.initial_members(stores("abcbb"), 0.3) == ["s-1", "s-3", "s-4"]
    bootstrap = StoreBootstrap(ToleratedLosses(1))
    assert bootstrap.initial_members(stores("abcb"), 0.0) == []
    assert bootstrap.initial_members(stores("abcb"), SAME_ZONE_WAIT_S + 0.1) == [
        "s-1",
        "s-3",
        "s-0",
    ]


def test_deployment_with_fewer_stores_is_bootstrapped_after_a_while():
    bootstrap = StoreBootstrap(ToleratedLosses(2))
    assert bootstrap.initial_members(stores("abc"), 0.0) == []
    assert len(bootstrap.initial_members(stores("abc"), DISCOVERY_WAIT_S + 0.1)) == 3
