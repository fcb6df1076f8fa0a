"""The version counters of the view, which the owners of rate limits depend on."""

from __future__ import annotations

from tarragonhall_model import EntryRecord, ServerKind, ServerRecord
from tarragonhall_state._views import Views


def test_entries_version_counts_only_changes_of_entries():
    """If it missed a change of the entries, two entries would grant the same organisation's tokens;
    if it counted changes of servers, callers would wait at each of them.
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


def test_owners_settle_once_every_earlier_incarnation_has_ended():
    """All entries are killed shortly after one was added, and restart at their addresses.

    No owner by an earlier assignment is running, so callers must not wait for leases to expire.
    """
    views = Views()
    for entry_id in "abc":
        views.announce_entry(_entry(entry_id, "1"), 1)
    assert views.view().settled_version < views.view().owners_version == 3
    views.announce_entry(_entry("a", "2"), 2)
    assert views.view().settled_version < views.view().owners_version
    views.announce_entry(_entry("b", "2"), 3)
    assert views.view().settled_version == views.view().owners_version == 3


def test_an_incarnation_at_another_address_does_not_end_the_earlier_one():
    """An entry starts elsewhere while its earlier process, behind a partition, still grants."""
    views = Views()
    views.announce_entry(_entry("a", "1"), 1)
    assert views.view().settled_version == views.view().owners_version
    views.announce_entry(_entry("a", "2", "elsewhere"), 2)
    assert views.view().settled_version < views.view().owners_version
    views.announce_entry(_entry("a", "3", "elsewhere"), 3)
    assert views.view().settled_version < views.view().owners_version


def test_a_removed_entry_may_still_act_as_an_owner():
    """A removed entry may only be partitioned; settling an earlier version does not cover it."""
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
    """The acknowledgement of an operator's command is lost, and the command is sent again."""
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
    """A sidecar that restarts in the zone announces itself as ready, but must not get calls."""
    views = Views()
    views.evacuate_zone("zone", True, 1)
    for incarnation in ("1", "2"):
        views.announce_server(
            ServerRecord("s", incarnation, "addr", "zone", ServerKind.MODEL, ["m"]), 2
        )
        assert views.view().servers[0].draining
    views.evacuate_zone("zone", False, 3)
    assert not views.view().servers[0].draining
