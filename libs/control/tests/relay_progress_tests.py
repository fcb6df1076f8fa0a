"""What a leader tells about the way of a relay document to its followers."""

from __future__ import annotations

import pytest
from tarragonhall_control._relay_progress import RelayProgress
from tarragonhall_wire import Metrics


class Progress:
    def __init__(self) -> None:
        self.now = 100.0
        self.metrics = Metrics()
        self.progress = RelayProgress(self.metrics, lambda: self.now)
        self.progress.start(3)

    def reported(self) -> str:
        self.progress.report_behind()
        return self.metrics.exposition.text()


@pytest.fixture
def leader() -> Progress:
    return Progress()


def test_a_version_is_timed_until_each_follower_reports_it(leader):
    # Guards against a late follower that hides behind others: the time of each one counts.
    leader.progress.on_step(5)
    leader.progress.on_heartbeat("entry/a", 3)
    leader.now += 0.5
    leader.progress.on_heartbeat("entry/a", 5)
    leader.progress.on_heartbeat("entry/a", 5)
    leader.now += 2.0
    leader.progress.on_heartbeat("entry/b", 5)
    text = leader.reported().replace("tarragonhall_", "")
    assert "control_relay_reported_seconds_count 2\n" in text
    assert "control_relay_reported_seconds_sum 3\n" in text


def test_followers_behind_the_newest_version_are_counted(leader):
    leader.progress.on_heartbeat("entry/a", 3)
    leader.progress.on_step(5)
    leader.progress.on_heartbeat("entry/b", 4)
    assert "control_relay_behind 2" in leader.reported().replace("tarragonhall_", "")
    leader.progress.on_heartbeat("entry/b", 5)
    assert "control_relay_behind 1" in leader.reported().replace("tarragonhall_", "")
    leader.progress.forget("entry/a")
    leader.progress.on_heartbeat("entry/c", 5)
    assert "control_relay_behind 0" in leader.reported().replace("tarragonhall_", "")


def test_a_version_of_an_earlier_leader_is_not_timed(leader):
    # Guards against a delay that would be counted from the election instead of the commit.
    leader.progress.on_heartbeat("entry/a", 3)
    assert "relay_reported" not in leader.reported()


def test_a_follower_without_relay_documents_is_not_counted(leader):
    leader.progress.on_heartbeat("server/a", None)
    assert "control_relay_behind 0" in leader.reported().replace("tarragonhall_", "")
