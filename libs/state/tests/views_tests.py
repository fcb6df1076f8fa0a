"""The view's counters, on which owners of rates rely."""

from __future__ import annotations

from tarragonhall_model import EntryRecord, ServerKind, ServerRecord
from tarragonhall_state._views import Views


def test_entries_version_counts_changes_of_the_entries_alone():
    """Were it to miss a change of the entries, two of them would grant the same organisation's
    tokens; were it to count changes of servers, callers would wait at each.
    """
    views = Views()
    first = EntryRecord("a", "1", "addr", "zone")
    views.announce_entry(first, 1)
    views.announce_entry(first, 2)
    assert views.view().entries_version == 1
    views.announce_server(ServerRecord("s", "1", "addr", "zone", ServerKind.MODEL, ["m"]), 3)
    views.drain_server("s", True, 4)
    assert views.view().entries_version == 1
    views.announce_entry(EntryRecord("a", "2", "addr", "zone"), 5)
    assert views.view().entries_version == 2
    views.remove_entry("a", "1", 6)
    assert views.view().entries_version == 2
    views.remove_entry("a", "2", 7)
    assert views.view().entries_version == 3


def _entry(entry_id, incarnation, address=None):
    return EntryRecord(entry_id, incarnation, address or f"addr-{entry_id}", "zone")


def test_owners_settle_once_every_earlier_life_has_ended():
    """All entries are killed shortly after one was added, and come back at their addresses.

    Nobody who acted on the earlier choice of owners is left. Callers must not wait for leases.
    """
    views = Views()
    for entry_id in "abc":
        views.announce_entry(_entry(entry_id, "1"), 1)
    assert views.view().settled_version < views.view().owners_version == 3
    views.announce_entry(_entry("a", "2"), 2)
    assert views.view().settled_version < views.view().owners_version
    views.announce_entry(_entry("b", "2"), 3)
    assert views.view().settled_version == views.view().owners_version == 3


def test_a_life_at_another_address_says_nothing_of_the_earlier_one():
    """An entry is started elsewhere while the earlier process is only cut off. It still grants."""
    views = Views()
    views.announce_entry(_entry("a", "1"), 1)
    assert views.view().settled_version == views.view().owners_version
    views.announce_entry(_entry("a", "2", "elsewhere"), 2)
    assert views.view().settled_version < views.view().owners_version
    views.announce_entry(_entry("a", "3", "elsewhere"), 3)
    assert views.view().settled_version < views.view().owners_version


def test_an_entry_that_is_taken_out_may_still_act():
    """A silent entry is taken out; it may be cut off only. Its word that others settled is old."""
    views = Views()
    views.announce_entry(_entry("a", "1"), 1)
    views.announce_entry(_entry("b", "1"), 2)
    views.settle_owners(2, 3)
    views.remove_entry("b", "1", 4)
    views.settle_owners(2, 5)
    assert views.view().settled_version == 2
    assert views.view().owners_version == 3
    views.settle_owners(3, 6)
    assert views.view().settled_version == 3


def test_an_evacuation_that_is_resent_changes_nothing():
    """An operator's acknowledgement is lost and the order comes again, at any member."""
    views = Views()
    views.evacuate_zone("tx-waco", True, 1)
    epoch = views.view().epoch
    views.evacuate_zone("tx-waco", True, 2)
    assert (views.view().epoch, views.view().evacuated_zones) == (epoch, ["tx-waco"])
    views.evacuate_zone("tx-temple", False, 3)
    assert views.view().epoch == epoch
    views.evacuate_zone("tx-waco", False, 4)
    assert (views.view().epoch, views.view().evacuated_zones) == (epoch + 1, [])


def test_the_servers_of_an_evacuated_zone_are_shown_as_draining():
    """A sidecar of the zone that restarts announces itself as ready and must get no calls."""
    views = Views()
    views.evacuate_zone("zone", True, 1)
    for incarnation in ("1", "2"):
        views.announce_server(
            ServerRecord("s", incarnation, "addr", "zone", ServerKind.MODEL, ["m"]), 2
        )
        assert views.view().servers[0].draining
    views.evacuate_zone("zone", False, 3)
    assert not views.view().servers[0].draining
