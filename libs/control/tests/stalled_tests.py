"""What a member tells about an election that nobody wins and a step that stops its process."""

from __future__ import annotations

import time

import pytest
from structlog.testing import capture_logs
from tarragonhall_control._member import LOG_FOLDER
from tarragonhall_fakes import Disks
from tarragonhall_group import _member
from tarragonhall_model import Budget, OpenProgram

THREE = ("one", "two", "three")
WAIT_SECONDS = 10.0


@pytest.fixture
def disks():
    made = Disks()
    made.install()
    yield made
    made.restore()


def test_an_election_without_a_majority_is_reported_with_the_votes(start_group, monkeypatch):
    # Guards against a member that stays a candidate for ever and writes a single line about it.
    monkeypatch.setattr(_member, "STALLED_ELECTION_SECONDS", 1.0)
    group = start_group(*THREE)
    # A member that has not heard of its group yet is no candidate.
    group.wait_until(lambda: group.state("three").configuration.operators.by_name, WAIT_SECONDS)
    group.stop("one")
    group.stop("two")
    with capture_logs() as lines:
        group.wait_until(
            lambda: any(line["event"] == "group.election_stalled" for line in lines), WAIT_SECONDS
        )
    stalled = next(line for line in lines if line["event"] == "group.election_stalled")
    assert stalled["granted_by"] == ("three",)
    assert stalled["refused_by"] == ()
    assert stalled["unanswered_by"] == ["one", "two"]
    assert stalled["leaderless_s"] >= 1.0
    exposition = group.context_by_name["three"].metrics.exposition
    assert "tarragonhall_group_leaderless_seconds" in exposition.text()


def test_a_step_that_stops_the_process_is_reported(start_group):
    # Guards against a disk that hangs in a sync looking like a machine that was suspended.
    group = start_group("one")
    replica = group.role_by_name["one"].member.loop.replica
    step = replica._core.storage.sync

    class HangingStorage:
        def __getattr__(self, name):
            return getattr(storage, name)

        def sync(self) -> None:
            time.sleep(0.5)
            step()

    storage = replica._core.storage
    with capture_logs() as lines:
        replica._core.storage = HangingStorage()
        group.wait_until(lambda: any(line["event"] == "group.step_slow" for line in lines))
        replica._core.storage = storage
    slow = next(line for line in lines if line["event"] == "group.step_slow")
    assert slow["step_s"] >= 0.5


def test_a_former_leader_tells_for_how_long_there_has_been_no_leader(start_group, monkeypatch):
    # Guards against an infinite time, which is no JSON: a leader had never heard of another one.
    monkeypatch.setattr(_member, "STALLED_ELECTION_SECONDS", 1.0)
    group = start_group(*THREE)
    leader = group.leader()
    with capture_logs() as lines:
        for name in THREE:
            if name != leader:
                group.stop(name)
        group.wait_until(
            lambda: any(line["event"] == "group.election_stalled" for line in lines), WAIT_SECONDS
        )
    stalled = next(line for line in lines if line["event"] == "group.election_stalled")
    assert 1.0 <= stalled["leaderless_s"] < WAIT_SECONDS


def test_a_member_that_is_offline_tells_for_how_long_it_has_heard_no_leader(start_group, disks):
    # Guards against a time that stands still while the member takes no part.
    group = start_group(*THREE)
    name = next(name for name in THREE if name != group.leader())
    disks.fill(group.folder / name / LOG_FOLDER)
    group.client("entry-1")[1].propose(
        OpenProgram("prog-1", "school", Budget(), 60), WAIT_SECONDS, "req-1"
    )

    def leaderless_s() -> float:
        text = group.context_by_name[name].metrics.exposition.text()
        found = [one for one in text.splitlines() if "leaderless_seconds" in one]
        return float(found[0].split()[1]) if found else 0.0

    group.wait_until(lambda: leaderless_s() > 2.0, WAIT_SECONDS)
    disks.repair(group.folder / name / LOG_FOLDER)
    group.wait_until(lambda: leaderless_s() < 1.0, WAIT_SECONDS)
