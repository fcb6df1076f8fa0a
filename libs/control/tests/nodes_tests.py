from __future__ import annotations

from tarragonhall_control._nodes import NodeMonitor
from tarragonhall_model import EntryRecord, ServerKind, ServerRecord, View

ENTRY = EntryRecord("one", "life-1", "127.0.0.1:1", "tx-waco")
SERVER = ServerRecord("one", "life-1", "127.0.0.1:2", "tx-waco", ServerKind.MODEL, ["planner"])
VIEW = View(1, [ENTRY], [SERVER])


def check_until(monitor: NodeMonitor, now: float) -> list:
    """Check at the interval of the role up to a time; return the result of the last check."""
    expired = []
    steps = round((now - monitor._checked_at) / 0.25)
    start = monitor._checked_at
    for step in range(1, steps + 1):
        expired = monitor.expired(VIEW, start + step * 0.25)
    return expired


def test_node_expires_after_its_own_timeout():
    monitor = NodeMonitor(entry_timeout_s=4.0, server_timeout_s=3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0)
    monitor.record_heartbeat(SERVER, 1.0)
    assert check_until(monitor, 4.0) == []
    assert check_until(monitor, 4.25) == [SERVER]
    assert check_until(monitor, 5.25) == [ENTRY, SERVER]


def test_new_leader_restarts_all_timeouts():
    # A new leader has received no heartbeats yet. Without new timeouts it would empty the view at
    # once, and all running work would be treated as lost.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(100.0)
    assert check_until(monitor, 103.0) == []
    assert check_until(monitor, 103.25) == [SERVER]


def test_paused_leader_restarts_all_timeouts():
    # The leader's process is paused for ten seconds, so heartbeats of that time are unread.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.expired(VIEW, 0.25)
    assert monitor.expired(VIEW, 10.25) == []
    assert check_until(monitor, 13.0) == []


def test_heartbeat_over_new_link_keeps_entry():
    # A network switch resets a connection and the entry reconnects. If it left the view, it would
    # give up its token buckets, and its organisations would wait needlessly.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0, "first link")
    monitor.link_closed("first link", 1.0)
    monitor.record_heartbeat(ENTRY, 2.25, "second link")
    monitor.record_heartbeat(SERVER, 2.25)
    assert check_until(monitor, 5.0) == []
    monitor.link_closed("second link", 5.0)
    assert ENTRY in check_until(monitor, 6.75)


def test_late_close_of_earlier_link_is_ignored():
    # The close of a half-open connection is detected long after the entry reconnected.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 0.5, "first link")
    monitor.record_heartbeat(ENTRY, 1.0, "second link")
    monitor.record_heartbeat(SERVER, 2.0)
    monitor.link_closed("first link", 1.0)
    assert check_until(monitor, 4.75) == []


def test_new_leader_ignores_earlier_closed_links():
    # A member becomes leader again; link states of its earlier leadership are outdated.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.record_heartbeat(ENTRY, 0.0, "link")
    monitor.link_closed("link", 0.0)
    monitor.reset_timeouts(10.0)
    assert check_until(monitor, 12.75) == []


def test_late_heartbeat_of_earlier_incarnation_is_ignored():
    # A process restarts, and a queued heartbeat of its earlier incarnation arrives. If that were
    # announced again, work would be sent to a process that is gone.
    monitor = NodeMonitor(4.0, 3.0)
    later = EntryRecord("one", "life-2", "127.0.0.1:1", "tx-waco")
    assert monitor.needs_announcement(ENTRY, None)
    assert monitor.needs_announcement(later, ENTRY)
    assert not monitor.needs_announcement(ENTRY, later)
    assert not monitor.needs_announcement(later, later)


def test_heartbeat_after_leave_is_ignored():
    monitor = NodeMonitor(4.0, 3.0)
    monitor.mark_left(ENTRY)
    assert not monitor.needs_announcement(ENTRY, None)
    assert monitor.needs_announcement(SERVER, None)


def test_reconnect_keeps_entry_before_its_next_heartbeat():
    # After a connection reset the entry reconnects within 0.1 s, but its next heartbeat takes up to
    # a second. If it left the view until then, its organisations would wait.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0, "first link")
    monitor.record_heartbeat(SERVER, 1.0)
    monitor.link_closed("first link", 1.0)
    monitor.link_opened("life-1")
    assert check_until(monitor, 3.0) == []


def test_new_incarnation_does_not_keep_the_earlier_one():
    # An entry was killed and restarted, so what its first incarnation owned is lost. That one
    # stays in the view for the time of a restart, not for its whole timeout of four seconds.
    monitor = NodeMonitor(4.0, 3.0)
    monitor.reset_timeouts(0.0)
    monitor.record_heartbeat(ENTRY, 1.0, "first link")
    monitor.record_heartbeat(SERVER, 1.0)
    monitor.link_closed("first link", 1.0)
    monitor.link_opened("life-2")
    assert check_until(monitor, 2.3) == []
    assert check_until(monitor, 2.7) == [ENTRY]
