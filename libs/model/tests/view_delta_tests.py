"""Tests of the differences between two views."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_model import (
    EntryRecord,
    ServerKind,
    ServerRecord,
    StoreRecord,
    View,
    apply_view_delta,
    encode,
    view_delta,
)

IDS = st.sampled_from("abcdef")
INCARNATIONS = st.sampled_from(["one", "two"])


def members(factory) -> st.SearchStrategy[list]:
    return st.dictionaries(IDS, INCARNATIONS).map(
        lambda by_id: [factory(*item) for item in by_id.items()]
    )


def entry(name: str, incarnation: str) -> EntryRecord:
    return EntryRecord(name, incarnation, f"{name}:1", "z")


def server(name: str, incarnation: str) -> ServerRecord:
    return ServerRecord(name, incarnation, f"{name}:2", "z", ServerKind.MODEL, ["m"])


def store(name: str, incarnation: str) -> StoreRecord:
    return StoreRecord(name, incarnation, f"{name}:3", "z")


def views(epoch: int) -> st.SearchStrategy[View]:
    counts = st.integers(0, 9)
    return st.builds(
        View,
        st.just(epoch),
        members(entry),
        members(server),
        counts,
        counts,
        members(store),
        st.lists(IDS, max_size=2),
        st.lists(IDS, max_size=2),
        counts,
        counts,
    )


def by_id(view: View) -> tuple:
    """Return the content of a view without the order of its members, which is irrelevant."""
    return (
        view.epoch,
        {one.entry_id: one for one in view.entries},
        {one.server_id: one for one in view.servers},
        {one.store_id: one for one in view.stores},
        view.changed_at_ms,
        view.entries_version,
        view.store_founders,
        view.retiring_stores,
        view.owners_version,
        view.settled_version,
    )


@given(views(1), views(2))
def test_a_delta_turns_any_view_into_any_later_one(earlier, later):
    assert by_id(apply_view_delta(earlier, view_delta(earlier, later))) == by_id(later)


def test_a_delta_is_applied_only_to_its_base_view():
    # Otherwise a lost or duplicated push would mix the members of two views.
    earlier, later = View(4, [entry("a", "one")], []), View(6, [entry("b", "one")], [])
    delta = view_delta(earlier, later)
    assert apply_view_delta(View(5, [], []), delta) is None
    assert apply_view_delta(later, delta) is None


def test_the_delta_for_one_restart_among_hundreds_of_entries_is_small():
    earlier = View(1, [entry(f"e-{n}", "one") for n in range(360)], [])
    later = View(2, [*earlier.entries[1:], entry("e-0", "two")], [])
    assert len(encode(view_delta(earlier, later))) < 600
    assert len(encode(later)) > 20_000
