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
