"""Backend servers that left or drain, across restarts of all control members."""

from __future__ import annotations

import time
from dataclasses import replace

import eventlet
import pytest
from tarragonhall_model import BackendRecord, BackendsChanged, FollowBackends
from tarragonhall_state import ControlState

SERVER = BackendRecord("i-1", "desk", "10.0.0.1:80", "tx-waco", 6, born_ms=1_000, sequence=4)
THREE = ("one", "two", "three")
# A server repeats a notice that is not answered within this time.
NOTICE_TIMEOUT_SECONDS = 1.0


def restart_all(group) -> None:
    for name in THREE:
        group.stop(name)
    for name in THREE:
        group.start(name)
    group.wait_until(group.leader, 10.0)


def records_of(group, name: str, follower: str) -> list[BackendRecord]:
    """Return the servers that an entry which has just started hears of from a member."""
    context, _client = group.client(follower)
    context.hub.handle(BackendsChanged, lambda _link, _message: None)
    link = context.hub.wait_for_link(group.address_by_name[name], 2.0)
    return link.request(FollowBackends(takes_changes=True), 1.0).unpacked()


def is_stored(group, name: str, server_id: str) -> bool:
    stored = group.state(name).departures.backends()
    return server_id in [one.server_id for one in stored]


def test_a_server_that_left_stays_gone_after_all_members_and_entries_restarted(start_group):
    # A server was told that it gets no more calls. All members are killed at once, and one of its
    # announcements from before arrives late at a member that knows no server yet.
    group = start_group(*THREE)
    group.role_by_name["one"].backends.announce(SERVER)
    group.role_by_name["one"].backends.leave("i-1", SERVER.born_ms)
    restart_all(group)
    group.role_by_name["two"].backends.announce(replace(SERVER, sequence=3))
    for name in THREE:
        group.wait_until(
            lambda name=name: [r.gone for r in records_of(group, name, f"entry-{name}")] == [True]
        )
    later = replace(SERVER, born_ms=2_000, sequence=1)
    group.role_by_name["two"].backends.announce(later)
    assert records_of(group, "one", "entry-9") == [later]


def test_a_draining_server_stays_draining_after_all_members_restarted(start_group):
    # The late announcement is one from before the server began to drain.
    group = start_group(*THREE)
    group.role_by_name["one"].backends.announce(replace(SERVER, sequence=5, draining=True))
    restart_all(group)
    group.role_by_name["three"].backends.announce(SERVER)
    group.wait_until(lambda: records_of(group, "three", "entry-1")[0].draining)
    group.role_by_name["three"].backends.announce(replace(SERVER, sequence=6))
    assert not records_of(group, "three", "entry-2")[0].draining


def test_a_departure_without_a_majority_is_confirmed_in_time_and_stored_later(start_group):
    # While the group has no leader, a server must not wait for its confirmation until it gives up.
    # The members that know the departure store it once there is a leader.
    group = start_group(*THREE)
    group.role_by_name["one"].backends.announce(SERVER)
    group.stop("two")
    group.stop("three")
    started = time.monotonic()
    group.role_by_name["one"].backends.leave("i-1", SERVER.born_ms)
    assert time.monotonic() - started < NOTICE_TIMEOUT_SECONDS
    metrics = group.context_by_name["one"].metrics
    assert metrics.counts["control.departures_unstored"] == 1
    group.start("two")
    group.wait_until(lambda: is_stored(group, "two", "i-1"), 10.0)


def test_departures_of_many_servers_at_once_take_few_commits(start_group):
    # Hundreds of servers leave within a second. With a commit for each of them, elections and
    # changes of operators would wait for the disks.
    group = start_group(*THREE)
    backends = group.role_by_name["one"].backends
    names = [f"i-{number}" for number in range(200)]
    for number, name in enumerate(names):
        backends._registry.on_announcement(
            replace(SERVER, server_id=name, address=f"10.0.0.{number}:80"), 0.0
        )
    leader = group.role_by_name[group.leader()].member
    before = leader.loop.replica.status().last_index
    leaving = [eventlet.spawn(backends.leave, name, SERVER.born_ms) for name in names]
    for thread in leaving:
        thread.wait()
    group.wait_until(lambda: len(leader.state.departures.backends()) == 200)
    assert leader.loop.replica.status().last_index - before < 20
    before = leader.loop.replica.status().last_index
    eventlet.sleep(1.5)
    assert leader.loop.replica.status().last_index == before


def test_a_draining_server_is_stored_once(start_group):
    # It goes on to announce itself about once a second until it exits.
    group = start_group("one")
    backends = group.role_by_name["one"].backends
    loop = group.role_by_name["one"].member.loop
    backends.announce(replace(SERVER, sequence=5, draining=True))
    group.wait_until(lambda: is_stored(group, "one", "i-1"))
    before = loop.replica.status().last_index
    for sequence in range(6, 9):
        backends.announce(replace(SERVER, sequence=sequence, draining=True))
        eventlet.sleep(0.6)
    assert loop.replica.status().last_index == before


@pytest.mark.parametrize("taken_at_once", [True, False])
def test_a_member_that_was_replaced_since_knows_departures_from_the_snapshot(taken_at_once):
    # Its log begins after the departure.
    state = ControlState()
    gone = replace(SERVER, gone=True)
    state.departures.add([SERVER if taken_at_once else gone, gone], 1_000)
    restored = ControlState()
    version = restored.departures.version
    restored.restore(state.snapshot())
    assert restored.departures.backends() == [gone]
    assert restored.departures.version > version
    assert restored.departures.holds(replace(gone, sequence=99))
    assert not restored.departures.holds(replace(gone, born_ms=2_000))


def test_departures_are_dropped_after_a_while():
    # Most ids are used once: kept for ever, they would fill the log's snapshots.
    state = ControlState()
    for number in range(1_000):
        gone = replace(SERVER, server_id=f"i-{number}", gone=True)
        state.departures.add([gone], number * 1_000)
    assert len(state.departures.backends()) == 121
