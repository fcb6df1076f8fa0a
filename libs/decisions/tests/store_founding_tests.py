"""Who founds the group of the stores."""

from __future__ import annotations

from tarragonhall_decisions import LossesBorne, StoreFounding
from tarragonhall_decisions._store_founding import PATIENCE_S, SETTLE_S
from tarragonhall_model import StoreRecord, View


def stores(zones: str) -> View:
    """Return a view with a store in each of these zones, a letter each."""
    records = [
        StoreRecord(f"s-{number}", "life", f"s-{number}:1", zone, True)
        for number, zone in enumerate(zones)
    ]
    return View(1, [], [], stores=records)


def test_no_more_found_a_group_than_bear_the_losses():
    # Ten stores founded a group of ten: each kept turn went to ten disks and waited for six.
    founders = StoreFounding(LossesBorne(2, zones=1)).founders(stores("aaabbbccdd"), 0.0)
    assert len(founders) == 5


def test_founders_lie_in_as_many_zones_as_there_are():
    # Guards against the loss of a zone that is to be borne: three founders there would all go.
    founders = StoreFounding(LossesBorne(1, zones=1)).founders(stores("aaabbc"), 0.0)
    assert founders == ["s-0", "s-3", "s-5"]


def test_founders_lie_together_where_no_zone_has_to_be_borne():
    # Guards against a copy of each kept turn to each zone, most of all bytes between zones.
    founders = StoreFounding(LossesBorne(1)).founders(stores("abbbccd"), 0.0)
    assert founders == ["s-1", "s-2", "s-3"]


def test_founders_wait_for_the_rest_of_a_zone_and_not_for_long():
    # Guards against founding with the first stores that are heard, each in another zone.
    founding = StoreFounding(LossesBorne(1))
    assert founding.founders(stores("abcb"), 0.0) == []
    assert founding.founders(stores("abcbb"), 0.3) == ["s-1", "s-3", "s-4"]
    founding = StoreFounding(LossesBorne(1))
    assert founding.founders(stores("abcb"), 0.0) == []
    assert founding.founders(stores("abcb"), SETTLE_S + 0.1) == ["s-1", "s-3", "s-0"]


def test_a_deployment_with_fewer_stores_is_founded_after_a_while():
    founding = StoreFounding(LossesBorne(2))
    assert founding.founders(stores("abc"), 0.0) == []
    assert len(founding.founders(stores("abc"), PATIENCE_S + 0.1)) == 3
