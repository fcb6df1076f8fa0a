from __future__ import annotations

from tarragonhall_control._nodes import NodeMonitor
from tarragonhall_model import EntryRecord, ServerKind, ServerRecord, View

ENTRY = EntryRecord("one", "life-1", "127.0.0.1:1", "tx-waco")
SERVER = ServerRecord("one", "life-1", "127.0.0.1:2", "tx-waco", ServerKind.MODEL, ["planner"])
VIEW = View(1, [ENTRY], [SERVER])


def check_until(monitor: NodeMonitor, now: float) -> list:
    """Check as often as the role does, up to a time, and return what expired last."""
    expired = []
    steps = round((now - monitor._checked_at) / 0.25)
    start = monitor._checked_at
    for step in range(1, steps + 1):
        expired = monitor.expired(VIEW, start + step * 0.25)
    return expired


def test_a_node_expires_after_its_own_timeout():
    monitor = NodeMonitor(entry_timeout_s=4.0, server_timeout_s=3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0)
    monitor.record_heartbeat(SERVER, 1.0)
    assert check_until(monitor, 4.0) == []
    assert check_until(monitor, 4.25) == [SERVER]
    assert check_until(monitor, 5.25) == [ENTRY, SERVER]


def test_a_new_leader_gives_everyone_a_full_timeout():
    # The lead changes. The new leader has heard nobody yet; without a grace it would empty the
    # view at once, and all running work would be taken for lost.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(100.0)
    assert check_until(monitor, 103.0) == []
    assert check_until(monitor, 103.25) == [SERVER]


def test_a_leader_that_was_paused_does_not_blame_the_nodes():
    # The leader's process stands still for ten seconds. The heartbeats of that time are unread.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.expired(VIEW, 0.25)
    assert monitor.expired(VIEW, 10.25) == []
    assert check_until(monitor, 13.0) == []


def test_an_entry_that_is_heard_on_a_new_link_stays():
    # A switch resets a connection. The entry lives on and dials again; taken out of the view, it
    # would give up its buckets and its organisations would wait for nothing.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0, "first link")
    monitor.link_closed("first link", 1.0)
    monitor.record_heartbeat(ENTRY, 2.25, "second link")
    monitor.record_heartbeat(SERVER, 2.25)
    assert check_until(monitor, 5.0) == []
    monitor.link_closed("second link", 5.0)
    assert ENTRY in check_until(monitor, 6.75)


def test_an_earlier_link_that_closes_late_says_nothing():
    # The end of a half-open connection is noticed long after the entry dialled again.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 0.5, "first link")
    monitor.record_heartbeat(ENTRY, 1.0, "second link")
    monitor.record_heartbeat(SERVER, 2.0)
    monitor.link_closed("first link", 1.0)
    assert check_until(monitor, 4.75) == []


def test_a_new_leader_forgets_the_links_that_closed_before():
    # A member leads again after a while. What it saw in its earlier lead says nothing about now.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.record_heartbeat(ENTRY, 0.0, "link")
    monitor.link_closed("link", 0.0)
    monitor.reset_timeouts(10.0)
    assert check_until(monitor, 12.75) == []


def test_a_late_heartbeat_of_an_earlier_life_does_not_bring_it_back():
    # The process restarted; a heartbeat of its earlier life was stuck in a queue. Announced again,
    # it would draw work to a life that is gone.
    monitor = NodeMonitor(4.0, 3.0)
    later = EntryRecord("one", "life-2", "127.0.0.1:1", "tx-waco")
    assert monitor.needs_announcement(ENTRY, None)
    assert monitor.needs_announcement(later, ENTRY)
    assert not monitor.needs_announcement(ENTRY, later)
    assert not monitor.needs_announcement(later, later)


def test_a_node_that_left_is_not_brought_back_by_a_heartbeat_on_its_way():
    monitor = NodeMonitor(4.0, 3.0)
    monitor.mark_left(ENTRY)
    assert not monitor.needs_announcement(ENTRY, None)
    assert monitor.needs_announcement(SERVER, None)


def test_an_entry_that_dials_again_stays_though_its_heartbeat_comes_later():
    # A connection is reset. The entry dials again within a tenth of a second; its next heartbeat
    # is up to a second away. Taken out of the view until then, its organisations would wait.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0, "first link")
    monitor.record_heartbeat(SERVER, 1.0)
    monitor.link_closed("first link", 1.0)
    monitor.link_opened("life-1")
    assert check_until(monitor, 3.0) == []


def test_another_life_of_an_entry_is_no_sign_of_life_of_the_first():
    # The entry was killed and started again. What its first life owned is lost with it. It is given
    # the time that a start takes, not its whole timeout of four seconds.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0, "first link")
    monitor.record_heartbeat(SERVER, 1.0)
    monitor.link_closed("first link", 1.0)
    monitor.link_opened("life-2")
    assert check_until(monitor, 2.3) == []
    assert check_until(monitor, 2.7) == [ENTRY]
