"""Backend servers that announce themselves late, twice, under old ids and at used addresses."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import example, given
from hypothesis import strategies as st
from tarragonhall_decisions import BackendTable, Registry
from tarragonhall_decisions._registry import FORGET_S, UNREACHABLE_AFTER_S
from tarragonhall_model import BackendRecord

SERVER = BackendRecord("i-1", "desk", "10.0.0.1:80", "tx-waco", 6, born_ms=1_000, sequence=4)


def test_a_late_announcement_changes_nothing():
    # Two announcements arrive in reverse order, the later one of a draining server. If the earlier
    # one won, new calls would go there and be cut off when it exits.
    registry = Registry()
    registry.on_announcement(replace(SERVER, sequence=6, draining=True), 0.0)
    assert registry.on_announcement(replace(SERVER, sequence=5), 0.1) is None
    assert registry.records(99.0) == [replace(SERVER, sequence=6, draining=True)]


def test_a_restart_under_the_same_id_is_accepted():
    # A server crashes and restarts under its old id, so its sequence begins at one. Taken for an
    # old announcement, it would keep the server from getting calls.
    registry = Registry()
    registry.on_announcement(replace(SERVER, sequence=50), 0.0)
    restarted = replace(SERVER, born_ms=2_000, sequence=1)
    assert registry.on_announcement(restarted, 1.0) == restarted


def test_a_late_announcement_of_an_earlier_incarnation_does_not_undo_the_restart():
    # A partition delays an announcement of the earlier incarnation until after the restart.
    registry = Registry()
    restarted = replace(SERVER, born_ms=2_000, sequence=1)
    registry.on_announcement(restarted, 0.0)
    assert registry.on_announcement(replace(SERVER, sequence=51), 0.1) is None
    assert registry.records(99.0) == [restarted]


def test_a_server_that_left_does_not_come_back_by_a_late_announcement():
    # A server sends a leave notice and exits. A late announcement must not send callers to an
    # address where nothing listens.
    registry = Registry()
    registry.on_announcement(SERVER, 0.0)
    assert registry.mark_gone("i-1", None, 0.1).gone
    assert registry.on_announcement(replace(SERVER, sequence=9), 0.2) is None
    assert registry.records(99.0)[0].gone


def test_an_unreachable_server_stays_known_but_marked():
    # A server is cut off from the control members alone. Removing it would take away capacity that
    # entries still reach.
    registry = Registry()
    registry.on_announcement(SERVER, 0.0)
    assert registry.tick(UNREACHABLE_AFTER_S - 0.1) == []
    assert registry.tick(UNREACHABLE_AFTER_S + 0.1) == [replace(SERVER, heard=False)]
    assert registry.tick(UNREACHABLE_AFTER_S + 0.2) == []
    reachable_again = replace(SERVER, sequence=5)
    assert registry.on_announcement(reachable_again, UNREACHABLE_AFTER_S + 1) == reachable_again
    registry.tick(FORGET_S + UNREACHABLE_AFTER_S + 2)
    assert registry.records(99.0) == []


def test_a_server_reachable_for_one_member_counts_as_reachable():
    # The server moved on to another control member after a failure. The first one reports it as
    # unreachable although it is healthy.
    table = BackendTable()
    table.replace_source("a", [replace(SERVER, heard=False)])
    table.replace_source("b", [replace(SERVER, sequence=9)])
    assert table.by_id["i-1"].heard
    assert table.replace_source("a", []) == set()


def test_draining_counts_whichever_member_reports_it():
    table = BackendTable()
    table.replace_source("a", [replace(SERVER, sequence=8, draining=True)])
    table.update_source("b", [replace(SERVER, sequence=7)])
    assert table.by_id["i-1"].draining


def test_a_leave_notice_counts_at_a_member_that_never_knew_the_server():
    # The server announced itself at one member and sent its leave notice to another.
    table = BackendTable()
    table.replace_source("a", [SERVER])
    other = Registry()
    table.update_source("b", [other.mark_gone("i-1", None, 0.0)])
    assert table.by_id["i-1"].gone


def test_the_later_server_owns_the_address():
    # A server crashed and its address was given to one of another service, which would get the
    # first one's calls.
    table = BackendTable()
    other = replace(SERVER, server_id="i-2", service="models", born_ms=5_000, sequence=1)
    table.replace_source("a", [SERVER, other])
    assert table.by_id["i-1"].gone
    assert not table.by_id["i-2"].gone


@given(st.integers(0, 2**32), st.lists(st.integers(0, 19), min_size=1, max_size=40))
def test_any_order_of_arrival_ends_in_the_same_record(seed, picks):
    # Whatever is delayed, duplicated or reordered between a server and its registry, the last
    # announcement of its last incarnation wins.
    announcements = [
        replace(SERVER, born_ms=1_000 + 1_000 * (number // 10), sequence=number % 10)
        for number in range(20)
    ]
    rng = random.Random(seed)
    arrivals = [announcements[pick] for pick in picks]
    registry = Registry()
    for record in rng.sample(arrivals, len(arrivals)):
        registry.on_announcement(record, 0.0)
    assert registry.records(99.0) == [announcements[max(picks)]]


def test_followers_are_notified_of_a_server_that_turns_cold():
    """Without the update, entries would send more than the server can run while it warms up."""
    registry = Registry()
    registry.on_announcement(replace(SERVER, warmup_ms=0), 0.0)
    cold = replace(SERVER, sequence=5, warmup_ms=3_000)
    assert registry.on_announcement(cold, 1.0) == cold
    # The rest shrinks with time, which is no change: thousands of servers announce it each second.
    assert registry.on_announcement(replace(SERVER, sequence=6, warmup_ms=1_800), 2.2) is None
    again = replace(SERVER, sequence=7, warmup_ms=3_000)
    assert registry.on_announcement(again, 3.0) == again


def test_records_hold_the_remaining_warmup():
    """The first announcement's value would make a new follower treat it as cold too long."""
    registry = Registry()
    registry.on_announcement(replace(SERVER, warmup_ms=3_000), 0.0)
    assert registry.records(1.0)[0].warmup_ms == 2_000
    assert registry.records(4.0)[0].warmup_ms == 0


def test_a_thousand_servers_that_start_at_once_take_linear_time():
    """A scan of all servers at each change stopped entries for seconds when all had started."""

    class Counting(dict):
        lookups = 0

        def __getitem__(self, key):
            Counting.lookups += 1
            return super().__getitem__(key)

        def values(self):
            Counting.lookups += len(self)
            return super().values()

        def items(self):
            Counting.lookups += len(self)
            return super().items()

    table = BackendTable()
    table.by_id = Counting()
    for n in range(1_000):
        record = replace(SERVER, server_id=f"i-{n}", address=f"a:{n}")
        assert table.update_source("c-1", [record]) == {f"i-{n}"}
    assert Counting.lookups < 10_000


def test_a_follower_that_missed_changes_gets_just_those():
    # With thousands of servers that start within seconds, whole tables for each entry would fill
    # the links and the memory of a member.
    registry = Registry()
    for number in range(3):
        registry.on_announcement(replace(SERVER, server_id=f"i-{number}"), 0.0)
    version = registry.version
    registry.on_announcement(replace(SERVER, server_id="i-1", sequence=5, draining=True), 1.0)
    registry.on_announcement(replace(SERVER, server_id="i-2", sequence=5), 1.0)
    assert [one.server_id for one in registry.changes_since(version, 1.0)] == ["i-1"]
    assert registry.changes_since(registry.version, 1.0) == []


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 5), st.booleans()), max_size=30))
def test_changes_since_any_version_lead_to_the_same_table(steps):
    registry, table = Registry(), BackendTable()
    version = 0
    for number, sequence, follow in steps:
        record = replace(SERVER, server_id=f"i-{number}", address=f"a:{number}", sequence=sequence)
        registry.on_announcement(replace(record, draining=sequence == 5), 0.0)
        if follow:
            table.update_source("one", registry.changes_since(version, 0.0))
            version = registry.version
    table.update_source("one", registry.changes_since(version, 0.0))
    known = {one.server_id: one.draining for one in registry.records(0.0)}
    assert {key: one.draining for key, one in table.by_id.items()} == known


def test_a_server_that_left_stays_gone_after_all_members_forgot_it():
    # All control members restart with empty registries. An announcement from before the leave
    # notice then arrives late, and entries sent calls to a server that was about to exit.
    table = BackendTable()
    for source in ("a", "b"):
        table.update_source(source, [replace(SERVER, gone=True)])
    for source in ("a", "b"):
        table.replace_source(source, [])
    table.forget_gone(0.0)
    late = replace(SERVER, sequence=3)
    table.update_source("a", [late])
    assert table.by_id["i-1"].gone
    # A later incarnation under the same id is another server.
    table.update_source("a", [replace(SERVER, born_ms=2_000, sequence=1)])
    assert not table.by_id["i-1"].gone


def test_a_draining_server_stays_draining_after_all_members_forgot_it():
    # The late announcement is one from before the server began to drain.
    table = BackendTable()
    table.update_source("a", [replace(SERVER, sequence=6, draining=True)])
    table.replace_source("a", [])
    table.forget_gone(0.0)
    table.update_source("a", [replace(SERVER, sequence=5)])
    assert table.by_id["i-1"].draining
    table.update_source("a", [replace(SERVER, sequence=7)])
    assert not table.by_id["i-1"].draining


def test_a_late_announcement_of_an_incarnation_before_the_one_that_left_is_ignored():
    # The server restarted under its id and then left; the announcement is of its first start.
    table = BackendTable()
    table.update_source("a", [replace(SERVER, born_ms=2_000, gone=True)])
    table.replace_source("a", [])
    table.forget_gone(0.0)
    table.update_source("a", [SERVER])
    assert table.by_id["i-1"].gone


def test_departures_are_forgotten_once_no_member_has_listed_them_for_long():
    # Most ids are used once: kept for ever, they would fill the memory of an entry.
    table = BackendTable()
    for number in range(100):
        record = replace(SERVER, server_id=f"i-{number}", gone=True)
        table.update_source("a", [record])
    table.replace_source("a", [])
    table.forget_gone(0.0)
    table.forget_gone(FORGET_S - 1)
    assert len(table._departed_by_id) == 100
    table.forget_gone(FORGET_S + 1)
    assert (table._departed_by_id, table._departed_listed_at, table.by_id) == ({}, {}, {})


def test_a_mark_without_an_incarnation_does_not_outlast_the_next_start():
    # A leave notice that names no start reaches a member that never knew the server. Kept by an
    # entry as a mark of the restarted server, it would take that server out for good.
    table = BackendTable()
    restarted = replace(SERVER, born_ms=2_000, sequence=1)
    table.update_source("a", [restarted])
    table.update_source("b", [Registry().mark_gone("i-1", None, 0.0)])
    assert table.by_id["i-1"].gone
    table.update_source("b", [restarted])
    assert not table.by_id["i-1"].gone


def test_a_leave_notice_of_an_incarnation_announced_elsewhere_counts():
    # The member knows the start before. Marked on that one, the server would come back with the
    # next late announcement of the start that left.
    registry = Registry()
    registry.on_announcement(SERVER, 0.0)
    assert registry.mark_gone("i-1", 2_000, 0.1).born_ms == 2_000
    assert registry.on_announcement(replace(SERVER, born_ms=2_000, sequence=3), 0.2) is None


@given(
    st.lists(st.sampled_from(["ready", "drain", "leave", "late", "restart"]), max_size=12),
    st.integers(0, 2),
)
@example(["ready", "drain", "restart", "late", "late"], 0)
def test_no_order_of_restarts_and_late_announcements_brings_a_server_back(steps, member):
    # Members are restarted at any moment, and any earlier announcement arrives again at any of
    # them. Nothing but a later incarnation makes a server count again after its departure.
    table = BackendTable()
    registries = {name: Registry() for name in "abc"}
    sent = [SERVER]
    draining = gone = False
    for number, step in enumerate(steps):
        name = "abc"[(member + number) % 3]
        registry = registries[name]
        latest = sent[-1]
        match step:
            case "ready" if not draining and not gone:
                sent.append(replace(latest, sequence=latest.sequence + 1))
                registry.on_announcement(sent[-1], 0.0)
            case "drain" if not gone:
                draining = True
                sent.append(replace(latest, sequence=latest.sequence + 1, draining=True))
                registry.on_announcement(sent[-1], 0.0)
            case "leave":
                gone = True
                registry.mark_gone("i-1", SERVER.born_ms, 0.0)
            case "late":
                registry.on_announcement(sent[number % len(sent)], 0.0)
            case "restart":
                for name in registries:
                    registries[name] = Registry()
        for name, one in registries.items():
            table.replace_source(name, one.records(0.0))
        table.forget_gone(0.0)
        record = table.by_id.get("i-1")
        assert record is None or record.gone or not gone
        assert record is None or record.gone or record.draining or not draining
