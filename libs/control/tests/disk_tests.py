"""Control members whose disks refuse writes for a while, one after the other and at once."""

from __future__ import annotations

import dataclasses
import errno
import shutil
import time

import eventlet
import pytest
from tarragonhall_control._member import LOG_FOLDER
from tarragonhall_fakes import Disks
from tarragonhall_group import OutcomeUnknownError
from tarragonhall_model import Budget, OpenProgram, ProgramInfo
from tarragonhall_wire import UnavailableError

WAIT_SECONDS = 10.0
THREE = ("one", "two", "three")


@pytest.fixture
def disks():
    made = Disks()
    made.install()
    yield made
    made.restore()


def open_program(group, number: int, seconds: float = WAIT_SECONDS) -> ProgramInfo:
    _, client = group.client(f"entry-{number}")
    body = OpenProgram(f"prog-{number}", "school", Budget(), 60)
    return client.propose(body, seconds, f"req-{number}")


def folder_of(group, name: str):
    return group.folder / name / LOG_FOLDER


def loop_of(group, name: str):
    return group.role_by_name[name].member.loop


def is_caught_up(group, name: str) -> bool:
    leader = group.leader()
    if leader is None or loop_of(group, name).failure is not None:
        return False
    applied = loop_of(group, name).replica.status().applied_index
    return applied == loop_of(group, leader).replica.status().commit_index


@pytest.mark.parametrize("failure", ["fill", "break_down"])
def test_the_second_disk_that_fails_for_a_while_does_not_end_the_group(start_group, disks, failure):
    # A member whose disk had refused a write stayed out until its process was restarted. The next
    # disk that was full for some seconds then took the majority, and no change was accepted.
    group = start_group(*THREE)
    for number, name in enumerate(THREE):
        getattr(disks, failure)(folder_of(group, name))
        assert isinstance(open_program(group, number), ProgramInfo)
        group.wait_until(lambda name=name: loop_of(group, name).failure is not None, WAIT_SECONDS)
        disks.repair(folder_of(group, name))
        group.wait_until(lambda name=name: is_caught_up(group, name), WAIT_SECONDS)
    for name in THREE:
        group.wait_until(lambda name=name: group.state(name).program_count() == 3)
    assert isinstance(open_program(group, 9), ProgramInfo)


def test_a_group_whose_disks_were_all_full_goes_on_with_what_it_had_accepted(start_group, disks):
    # All disks fill up at once and get room again, one of them later than the others.
    group = start_group(*THREE)
    accepted = open_program(group, 1)
    for name in THREE:
        disks.fill(folder_of(group, name))
    with pytest.raises(UnavailableError):
        open_program(group, 9, 0.5)
    # The last of the three has nothing to write without a majority.
    group.wait_until(lambda: sum(loop_of(group, n).failure is not None for n in THREE) >= 2)
    assert group.leader() is None
    disks.repair(folder_of(group, "one"))
    disks.repair(folder_of(group, "two"))
    assert isinstance(open_program(group, 2, 20.0), ProgramInfo)
    assert group.state(group.leader()).program("prog-1", "school").info == accepted
    disks.repair(folder_of(group, "three"))
    group.wait_until(lambda: is_caught_up(group, "three"), WAIT_SECONDS)
    assert group.state("three").program("prog-1", "school").info == accepted


def test_changes_in_flight_at_a_full_disk_are_reported_as_unknown_at_once(start_group, disks):
    # The leader's disk fills up under a change. Its sender must neither be told that the change is
    # in force nor wait for the time limit.
    group = start_group("one")
    member = group.role_by_name["one"].member
    disks.fill(folder_of(group, "one"))
    started = time.monotonic()
    with pytest.raises(OutcomeUnknownError):
        member.commit(OpenProgram("prog-1", "school", Budget(), 60))
    assert time.monotonic() - started < 1.0
    assert not member.is_leader()
    assert not member.confirm()
    assert not group.role_by_name["one"].ready()
    disks.repair(folder_of(group, "one"))
    group.wait_until(member.is_leader, WAIT_SECONDS)
    assert isinstance(open_program(group, 2), ProgramInfo)
    assert group.role_by_name["one"].ready()


def test_a_member_started_on_a_full_disk_takes_part_once_there_is_room(start_group, disks):
    # The process of a member ends and is started again before its disk has room.
    group = start_group(*THREE)
    open_program(group, 1)
    name = next(name for name in THREE if name != group.leader())
    group.stop(name)
    disks.fill(folder_of(group, name))
    group.start(name)
    eventlet.sleep(0.5)
    assert loop_of(group, name).failure is not None
    assert not group.role_by_name[name].ready()
    disks.repair(folder_of(group, name))
    group.wait_until(lambda: is_caught_up(group, name), WAIT_SECONDS)
    assert group.state(name).program_count() == 1


def test_a_full_disk_is_reported_to_operators(start_group, disks):
    # Without a sign of it, the loss of redundancy is found only when the next disk fails.
    group = start_group(*THREE)
    name = next(name for name in THREE if name != group.leader())
    disks.fill(folder_of(group, name))
    open_program(group, 1)
    group.wait_until(lambda: loop_of(group, name).failure is not None, WAIT_SECONDS)

    def storage_by_id():
        listed = group.admin()("GET", "/members")[1]["members"]
        return {one["member_id"]: one["silent_s"] for one in listed}

    group.wait_until(lambda: (storage_by_id()[name] or 0) > 1.0, WAIT_SECONDS)
    exposition = group.context_by_name[name].metrics.exposition
    assert "tarragonhall_group_storage_failed 1\n" in exposition.text()
    disks.repair(folder_of(group, name))
    group.wait_until(lambda: storage_by_id()[name] < 0.5, WAIT_SECONDS)
    assert "tarragonhall_group_storage_failed 0\n" in exposition.text()


def test_members_tell_their_problems_through_any_member(start_group, disks):
    # Guards against a member whose failure is told by its own log alone, which may be on its disk.
    group = start_group(*THREE)
    leader = group.leader()
    name, other = (name for name in THREE if name != leader)
    group.context_by_name[other].hub.problems.watch("log", lambda: "writes are refused")
    disks.fill(folder_of(group, name))
    open_program(group, 1)
    group.wait_until(lambda: loop_of(group, name).failure is not None, WAIT_SECONDS)
    for asked in (leader, other):
        listed = group.admin(asked)("GET", "/members")[1]["members"]
        problems_by_id = {one["member_id"]: one["problems"] for one in listed}
        assert problems_by_id[leader] == []
        assert problems_by_id[other] == ["log: writes are refused"]
        assert "disk full" in problems_by_id[name][0]
    problems = group.admin(other)("GET", "/status")[1]["problems"]
    assert problems[f"{other} {group.address_by_name[other]}"] == ["log: writes are refused"]
    disks.repair(folder_of(group, name))
    group.stop(other)
    group.wait_until(lambda: is_caught_up(group, name), WAIT_SECONDS)
    listed = group.admin()("GET", "/members")[1]["members"]
    problems_by_id = {one["member_id"]: one["problems"] for one in listed}
    assert problems_by_id == {leader: [], name: [], other: None}


def test_without_a_leader_any_member_tells_what_is_wrong_with_each(start_group, disks):
    # Guards against a list of members that nobody answers when it is needed most.
    group = start_group(*THREE)
    leader = group.leader()
    name, stopped = (name for name in THREE if name != leader)
    group.stop(stopped)
    disks.fill(folder_of(group, name))
    with pytest.raises(UnavailableError):
        open_program(group, 1, 0.5)
    group.wait_until(lambda: group.leader() is None, WAIT_SECONDS)
    for asked in (leader, name):
        status, value = group.admin(asked)("GET", "/members")
        findings = {one["place"]: one["message"] for one in value["findings"]}
        assert status == 503
        assert findings[f"member {stopped}"] == "does not answer"
        assert "disk full" in findings[f"member {name}"]
        assert f"member {leader}" not in findings
    anonymous = group.admin(leader)
    anonymous.token = "unknown"
    assert anonymous("GET", "/members")[1]["findings"] == []


def test_a_member_that_a_new_leader_never_heard_of_is_reported_as_silent(start_group):
    # Guards against a lost member that no list shows once the leadership has changed.
    group = start_group(*THREE)
    leader = group.leader()
    lost = next(name for name in THREE if name != leader)
    group.stop(lost)
    loop_of(group, leader).replica._core.become_follower(99, None)
    group.wait_until(lambda: group.leader() is not None, WAIT_SECONDS)

    def silent_s() -> float:
        listed = group.admin()("GET", "/members")[1]["members"]
        return next(one["silent_s"] for one in listed if one["member_id"] == lost) or 0

    group.wait_until(lambda: silent_s() > 1.0, WAIT_SECONDS)


@pytest.mark.parametrize("number", [errno.EACCES, errno.ENODEV, errno.EINVAL])
def test_disks_that_go_and_come_back_one_after_the_other_do_not_end_the_group(
    start_group, disks, number
):
    # Guards against errors that were taken to last, each of which cost the group a member.
    group = start_group(*THREE)
    for count, name in enumerate(THREE):
        disks.refuse(folder_of(group, name), number)
        assert isinstance(open_program(group, count), ProgramInfo)
        group.wait_until(lambda name=name: loop_of(group, name).failure is not None, WAIT_SECONDS)
        disks.repair(folder_of(group, name))
        group.wait_until(lambda name=name: is_caught_up(group, name), WAIT_SECONDS)
    assert isinstance(open_program(group, 9), ProgramInfo)


def test_members_whose_steps_raise_one_after_the_other_do_not_end_the_group(start_group):
    # Guards against members that end without a word and take the majority with them.
    group = start_group(*THREE)
    for count, name in enumerate(THREE):
        replica = loop_of(group, name).replica

        def fail(_events, _now):
            raise KeyError("missing")

        replica_class = type(replica)
        loop_of(group, name).replica = type(
            "RaisingReplica",
            (),
            {
                "step": staticmethod(fail),
                "__getattr__": lambda _self, attribute, inner=replica: getattr(inner, attribute),
            },
        )()
        group.wait_until(
            lambda name=name, kind=replica_class: isinstance(loop_of(group, name).replica, kind),
            WAIT_SECONDS,
        )
        group.wait_until(lambda name=name: is_caught_up(group, name), WAIT_SECONDS)
        assert isinstance(open_program(group, count), ProgramInfo)
        assert group.context_by_name[name].metrics.counts["group.step_failures"] == 1
    for name in THREE:
        group.wait_until(lambda name=name: group.state(name).program_count() == 3)


def test_a_member_whose_data_folder_is_removed_under_it_joins_again(start_group):
    # Guards against a lost disk that only a restart of the process would replace.
    group = start_group(*THREE)
    settings_of = group.settings
    group.settings = lambda name: dataclasses.replace(settings_of(name), heal=True)
    for name in THREE:
        group.stop(name)
        group.start(name)
    open_program(group, 1)
    name = next(name for name in THREE if name != group.leader())
    shutil.rmtree(folder_of(group, name))
    loop_of(group, name).take_snapshot()
    group.wait_until(lambda: loop_of(group, name).failure is not None, WAIT_SECONDS)
    group.wait_until(lambda: is_caught_up(group, name), WAIT_SECONDS)
    assert group.state(name).program_count() == 1


def test_a_leader_without_a_majority_tells_what_is_wrong_with_each_member(start_group, monkeypatch):
    # Guards against a refusal without its reason in the seconds before a leader steps down.
    group = start_group(*THREE)
    leader = group.leader()
    others = [name for name in THREE if name != leader]
    admin = group.admin(leader)
    member = group.role_by_name[leader].member
    for name in others:
        group.stop(name)
    monkeypatch.setattr(type(member.group), "confirm", lambda _group: False)
    monkeypatch.setattr(type(member.group), "is_leader", lambda _group: True)
    status, value = admin("GET", "/members")
    assert status == 503
    assert {one["place"] for one in value["findings"]} == {f"member {name}" for name in others}


def test_status_shows_the_problems_of_every_linked_process(start_group):
    # Guards against entries and stores whose failures only their own logs and metrics tell.
    group = start_group(*THREE)
    context, _follower, _node = group.follower("entry-1")
    context.hub.problems.watch("log", lambda: "writes are refused")

    def problems() -> dict:
        return group.admin()("GET", "/status")[1]["problems"]

    group.wait_until(lambda: problems() != {}, WAIT_SECONDS)
    assert problems() == {f"entry-1 {context.link_address}": ["log: writes are refused"]}
