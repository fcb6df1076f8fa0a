from __future__ import annotations

import pytest
from tarragonhall_control import OPTIONS
from tarragonhall_model import (
    AttemptId,
    Budget,
    CallKind,
    CallSpec,
    EndProgram,
    Execution,
    ExecutionKnown,
    OpenCall,
    OpenProgram,
    ProgramInfo,
    ProgramStatus,
    QueryExecution,
    QueryProgram,
    ReleaseProgram,
    ServerKind,
    ServerRecord,
    StartAttempt,
)
from tarragonhall_state import Follower

WAIT_SECONDS = 5.0


def test_operator_sets_up_organisation_on_single_member(start_group):
    admin = start_group("one").admin()
    status, made = admin(
        "POST",
        "/organisations",
        {"org_id": "school", "path": "/school", "settings": {"weight": 2}, "request_id": "r-1"},
    )
    assert (status, made["revision"]) == (200, 2)
    status, granted = admin("POST", "/keys", {"org_id": "school"})
    assert status == 201
    assert granted["key"].startswith("thk_")
    status, model = admin("POST", "/models", {"name": "planner", "version": "v1"})
    assert status == 200
    status, settings = admin("GET", "/settings?path=/school")
    assert settings["effective"]["weight"] == {"value": 2.0, "from": "/school"}
    assert settings["effective"]["idle_seconds"] == {"value": 600, "from": "default"}
    status, keys = admin("GET", "/keys?org=school")
    assert [key["key_id"] for key in keys["keys"]] == [granted["key_id"]]
    assert "key_hash" not in keys["keys"][0]
    status, shown = admin("GET", "/status")
    assert (status, shown["leader"], shown["revision"]) == (200, "one", 4)


def test_program_opened_over_link_is_shown_to_operators(start_group):
    group = start_group("one")
    _, client = group.client("entry-1")
    body = OpenProgram("prog-1", "school", Budget(), 60)
    info = client.propose(body, WAIT_SECONDS, "req-1")
    assert isinstance(info, ProgramInfo)
    assert client.request(QueryProgram("prog-1", "school"), WAIT_SECONDS).info == info
    known = client.request(QueryExecution("prog-1", 1), WAIT_SECONDS)
    assert known == ExecutionKnown(Execution.NOT_RUN)
    status, listed = group.admin()("GET", "/programs?status=open")
    assert [program["program_id"] for program in listed["programs"]] == ["prog-1"]
    status, ended = group.admin()("POST", "/programs/prog-1/cancel", {})
    assert (status, ended["status"]) == (200, "cancelled")


@pytest.mark.parametrize("ended_by", ["entry", "operator", "expiry"])
def test_ended_program_stops_calls_of_its_sub_agents(start_group, ended_by):
    # A program is cancelled by its caller or an operator, or it expires. Without a stop, the call
    # of its sub-agent would still occupy a slot and memory, with no one left to use the result.
    group = start_group("one")
    context, client = group.client("desk-1")
    received = []
    context.hub.handle(ReleaseProgram, lambda _link, message: received.append(message))
    node = ServerRecord(
        "desk-1", context.incarnation, context.link_address, "z", ServerKind.MODEL, ["planner"]
    )
    client.follow(lambda: node, Follower())
    group.wait_until(lambda: group.state("one").server("desk-1") is not None)
    budget = Budget(seconds=2 if ended_by == "expiry" else 60)
    client.propose(OpenProgram("root", "school", budget, 60), WAIT_SECONDS, "r1")
    child = OpenProgram("child", "school", budget, 60, parent="root")
    client.propose(child, WAIT_SECONDS, "r2")
    spec = CallSpec(1, CallKind.MODEL, "planner", "b", max_tokens=10)
    client.propose(OpenCall("child", "school", spec, "entry-1"), WAIT_SECONDS, "r3")
    attempt = AttemptId("child", 1, 1, "desk-1", context.incarnation)
    client.propose(StartAttempt(attempt, "school", "entry-1"), WAIT_SECONDS, "r4")
    match ended_by:
        case "entry":
            end = EndProgram("root", "school", ProgramStatus.CANCELLED)
            client.propose(end, WAIT_SECONDS, "r5")
        case "operator":
            group.admin()("POST", "/programs/root/cancel", {})
    group.wait_until(lambda: received)
    assert received[0] == ReleaseProgram("child", (attempt,))


def test_follower_is_announced_and_gets_updates(start_group):
    group = start_group("one")
    context, follower, node = group.follower("entry-1")
    group.wait_until(lambda: follower.view.entries == [node])
    assert follower.is_fresh(context.monotonic())
    assert follower.fencing == group.role_by_name["one"].member.loop.replica.status().term
    group.admin()("POST", "/organisations", {"org_id": "school", "path": "/school"})
    group.wait_until(lambda: "school" in follower.organisation_by_id, 0.5)


def test_timeout_below_heartbeat_interval_is_rejected():
    # With a timeout of half a second, every healthy server left the view between two heartbeats and
    # rejoined, again and again.
    raw_settings = {"data_folder": "d", "admin": "127.0.0.1:1", "members": {"one": "127.0.0.1:2"}}
    _, findings = OPTIONS.load(raw_settings | {"server_timeout_ms": 500, "entry_timeout_ms": 800})
    assert [finding.place for finding in findings] == ["/server_timeout_ms", "/entry_timeout_ms"]
