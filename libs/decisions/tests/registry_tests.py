"""Backend servers that announce themselves late, twice, under old ids and at used addresses."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_decisions import BackendTable, Registry
from tarragonhall_decisions._registry import FORGET_S, SILENT_S
from tarragonhall_model import BackendRecord

SERVER = BackendRecord("i-1", "desk", "10.0.0.1:80", "tx-waco", 6, born_ms=1_000, sequence=4)


def test_a_late_announcement_changes_nothing():
    # Two announcements overtake each other on their way. The server said that it drains; taking the
    # older word last would send it new work, and its callers would be cut off when it ends.
    registry = Registry()
    registry.hear(replace(SERVER, sequence=6, draining=True), 0.0)
    assert registry.hear(replace(SERVER, sequence=5), 0.1) is None
    assert registry.records(99.0) == [replace(SERVER, sequence=6, draining=True)]


def test_a_restart_under_the_same_id_counts_anew():
    # A server crashes and starts again under its old id, so its sequence begins at one. Taken for
    # an old announcement it would never get work again.
    registry = Registry()
    registry.hear(replace(SERVER, sequence=50), 0.0)
    reborn = replace(SERVER, born_ms=2_000, sequence=1)
    assert registry.hear(reborn, 1.0) == reborn


def test_a_word_from_before_the_crash_does_not_undo_the_restart():
    # A partition held up an announcement of the earlier life; it arrives after the restart.
    registry = Registry()
    reborn = replace(SERVER, born_ms=2_000, sequence=1)
    registry.hear(reborn, 0.0)
    assert registry.hear(replace(SERVER, sequence=51), 0.1) is None
    assert registry.records(99.0) == [reborn]


def test_a_server_that_left_does_not_come_back_by_a_late_announcement():
    # The server said that it leaves and ended. One of its announcements comes after that; callers
    # would be sent to an address where nobody listens.
    registry = Registry()
    registry.hear(SERVER, 0.0)
    assert registry.leave("i-1", None, 0.1).gone
    assert registry.hear(replace(SERVER, sequence=9), 0.2) is None
    assert registry.records(99.0)[0].gone


def test_a_silent_server_stays_known_but_marked():
    # A server is cut off from the control members alone. Forgetting it would take capacity away
    # that entries still reach.
    registry = Registry()
    registry.hear(SERVER, 0.0)
    assert registry.tick(SILENT_S - 0.1) == []
    assert registry.tick(SILENT_S + 0.1) == [replace(SERVER, heard=False)]
    assert registry.tick(SILENT_S + 0.2) == []
    heard_again = replace(SERVER, sequence=5)
    assert registry.hear(heard_again, SILENT_S + 1) == heard_again
    registry.tick(FORGET_S + SILENT_S + 2)
    assert registry.records(99.0) == []


def test_a_server_heard_by_one_member_counts_as_heard():
    # The server moved on to another control member after a failure. The first one hears nothing
    # any more and says so; the server is well.
    table = BackendTable()
    table.replace_source("a", [replace(SERVER, heard=False)])
    table.replace_source("b", [replace(SERVER, sequence=9)])
    assert table.by_id["i-1"].heard
    assert table.replace_source("a", []) == set()


def test_draining_counts_whoever_heard_it():
    table = BackendTable()
    table.replace_source("a", [replace(SERVER, sequence=8, draining=True)])
    table.update_source("b", [replace(SERVER, sequence=7)])
    assert table.by_id["i-1"].draining


def test_a_departure_heard_by_a_member_that_never_knew_the_server():
    # The server announced itself at one member and said that it leaves at another.
    table = BackendTable()
    table.replace_source("a", [SERVER])
    other = Registry()
    table.update_source("b", [other.leave("i-1", None, 0.0)])
    assert table.by_id["i-1"].gone


def test_the_later_server_owns_the_address():
    # A server crashed without a word and its address was given to one of another service. Calls for
    # the first one would be sent to the second.
    table = BackendTable()
    other = replace(SERVER, server_id="i-2", service="models", born_ms=5_000, sequence=1)
    table.replace_source("a", [SERVER, other])
    assert table.by_id["i-1"].gone
    assert not table.by_id["i-2"].gone


@given(st.integers(0, 2**32), st.lists(st.integers(0, 19), min_size=1, max_size=40))
def test_any_order_of_arrival_ends_in_the_same_belief(seed, picks):
    # Whatever is delayed, doubled or reordered between a server and its registry, the last word of
    # its last life decides.
    words = [
        replace(SERVER, born_ms=1_000 + 1_000 * (number // 10), sequence=number % 10)
        for number in range(20)
    ]
    rng = random.Random(seed)
    arrivals = [words[pick] for pick in picks]
    registry = Registry()
    for record in rng.sample(arrivals, len(arrivals)):
        registry.hear(record, 0.0)
    assert registry.records(99.0) == [words[max(picks)]]


def test_followers_are_told_of_a_server_that_turns_cold_by_itself():
    """Entries that do not hear of it go on sending more than it bears while it warms up."""
    registry = Registry()
    registry.hear(replace(SERVER, warmup_ms=0), 0.0)
    cold = replace(SERVER, sequence=5, warmup_ms=3_000)
    assert registry.hear(cold, 1.0) == cold
    # What is left shrinks with time: nothing new, and thousands of servers say it each second.
    assert registry.hear(replace(SERVER, sequence=6, warmup_ms=1_800), 2.2) is None
    again = replace(SERVER, sequence=7, warmup_ms=3_000)
    assert registry.hear(again, 3.0) == again


def test_what_a_member_tells_later_says_how_long_a_server_still_needs():
    """A new follower that is told the first word would take the server for cold too long."""
    registry = Registry()
    registry.hear(replace(SERVER, warmup_ms=3_000), 0.0)
    assert registry.records(1.0)[0].warmup_ms == 2_000
    assert registry.records(4.0)[0].warmup_ms == 0


def test_a_thousand_servers_that_start_at_once_cost_no_square_of_their_number():
    """Each change that looks at all servers stopped entries for seconds when all had started."""

    class Counting(dict):
        looks = 0

        def __getitem__(self, key):
            Counting.looks += 1
            return super().__getitem__(key)

        def values(self):
            Counting.looks += len(self)
            return super().values()

        def items(self):
            Counting.looks += len(self)
            return super().items()

    table = BackendTable()
    table.by_id = Counting()
    for n in range(1_000):
        record = replace(SERVER, server_id=f"i-{n}", address=f"a:{n}")
        assert table.update_source("c-1", [record]) == {f"i-{n}"}
    assert Counting.looks < 10_000
