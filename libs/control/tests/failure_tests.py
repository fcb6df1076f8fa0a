from __future__ import annotations

import eventlet
import pytest
from tarragonhall_control._followers import Followers
from tarragonhall_group import LogMessage
from tarragonhall_model import (
    Budget,
    EntryRecord,
    Heartbeat,
    Leaving,
    NotLeader,
    OpenProgram,
    ProgramInfo,
    Propose,
    Proposed,
    secret_hash,
)
from tarragonhall_wire import UnavailableError

WAIT_SECONDS = 10.0
THREE = ("one", "two", "three")


def create_school(group) -> str:
    admin = group.admin()
    assert admin("POST", "/organisations", {"org_id": "school", "path": "/school"})[0] == 200
    return admin("POST", "/keys", {"org_id": "school"})[1]["key"]


def partition(group, name: str) -> None:
    """Drop the log's messages to and from a member without closing its links."""
    member = group.role_by_name[name].member
    member.loop._hooks.send = lambda _peer, _message: None
    handlers = group.context_by_name[name].hub._handler_by_class
    handlers[LogMessage] = lambda _link, _message: None


def test_any_of_three_members_serves_operators(start_group):
    group = start_group(*THREE)
    create_school(group)
    for name in THREE:
        status, shown = group.admin(name)("GET", "/organisations")
        assert status == 200
        assert [one["org_id"] for one in shown["organisations"]] == ["school"]


def test_entry_with_closed_links_leaves_view_before_its_timeout(start_group):
    # A killed entry stayed in the view for its whole timeout although its links had closed at once.
    # Callers of the organisations whose tokens it granted waited that long.
    group = start_group("one")
    group.role_by_name["one"].member.nodes.entry_timeout_s = 60.0
    context, _, _ = group.follower("entry-1")
    _, remaining, _ = group.follower("entry-2")
    group.wait_until(lambda: remaining.view is not None and len(remaining.view.entries) == 2)
    context.hub.stop()
    group.wait_until(lambda: [entry.entry_id for entry in remaining.view.entries] == ["entry-2"])


def test_resend_after_leader_stop_gets_the_first_result(start_group):
    # The leader commits a proposal and crashes before it responds. The entry resends it to the next
    # leader. If it were applied again, one request of a caller would open two programs.
    group = start_group(*THREE)
    context, client = group.client("entry-1")
    body = OpenProgram("prog-1", "school", Budget(), 60, idempotency_key="key-1")
    leader = group.leader()
    link = context.hub.wait_for_link(group.address_by_name[leader], WAIT_SECONDS)
    first = link.request(Propose("req-1", body), WAIT_SECONDS)
    assert isinstance(first, Proposed)
    group.stop(leader)
    again = client.propose(body, WAIT_SECONDS, "req-1")
    assert again == first.result
    assert group.leader() != leader


def test_proposal_in_flight_at_leader_stop_applies_once(start_group):
    # The leader stops with proposals in flight. Which of them were committed is unknown, so all are
    # resent with their request ids.
    group = start_group(*THREE)
    _, client = group.client("entry-1")
    results = []

    def propose(number: int) -> None:
        body = OpenProgram(f"prog-{number}", "school", Budget(), 60)
        results.append(client.propose(body, WAIT_SECONDS, f"req-{number}"))

    threads = [eventlet.spawn(propose, number) for number in range(20)]
    eventlet.sleep(0.02)
    group.stop(group.leader())
    for thread in threads:
        thread.wait()
    assert {info.program_id for info in results} == {f"prog-{number}" for number in range(20)}
    assert all(isinstance(info, ProgramInfo) for info in results)
    state = group.state(group.leader())
    assert state.program_count() == 20


def test_partitioned_leader_reports_nothing_as_fresh(start_group):
    # A partition separates the leader from the other members, but not from an entry. The others
    # elect a new leader and withdraw a key. If the old leader still reported its settings as fresh,
    # the key would work at that entry until the partition ends.
    group = start_group(*THREE)
    create_school(group)
    old = group.leader()
    context, follower, node = group.follower("entry-1")
    group.wait_until(lambda: follower.is_fresh(context.monotonic()))
    link = context.hub.wait_for_link(group.address_by_name[old], WAIT_SECONDS)
    partition(group, old)
    reply = link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
    assert isinstance(reply, NotLeader)
    # The others elect a leader whose confirmations succeed.
    group.wait_until(lambda: group.leader() not in (None, old), WAIT_SECONDS)
    group.wait_until(lambda: follower.fencing > 1 and follower.is_fresh(context.monotonic()))


def test_freshness_lease_expires_without_majority(start_group):
    # Two of three members are lost. The third cannot know whether settings still change, so an
    # entry must stop admitting calls once its lease has expired.
    group = start_group(*THREE)
    context, follower, _ = group.follower("entry-1", lease_seconds=1.5)
    group.wait_until(lambda: follower.is_fresh(context.monotonic()))
    survivor = group.leader()
    for name in THREE:
        if name != survivor:
            group.stop(name)
    group.wait_until(lambda: not follower.is_fresh(context.monotonic()), follower.lease_seconds + 3)
    eventlet.sleep(0.3)
    assert not follower.is_fresh(context.monotonic())


def test_key_withdrawal_reaches_followers_despite_lost_push(start_group, monkeypatch):
    # The push of a withdrawal is lost. The entry's next heartbeat reports its revision, and the
    # reply brings the rest; the lease bounds how long the key still works.
    group = start_group("one")
    key = create_school(group)
    _, follower, _ = group.follower("entry-1")
    group.wait_until(lambda: secret_hash(key) in follower.key_by_hash)
    monkeypatch.setattr(Followers, "push", lambda _self: None)
    admin = group.admin()
    key_id = admin("GET", "/keys")[1]["keys"][0]["key_id"]
    assert admin("DELETE", f"/keys/{key_id}")[0] == 200
    group.wait_until(lambda: not follower.key_by_hash, follower.lease_seconds)


def test_returning_follower_catches_up_on_hundreds_of_changes(start_group):
    # An entry is offline during hundreds of changes. It must then have exactly the settings in
    # force, from a delta or the whole, and never an older value.
    group = start_group("one")
    create_school(group)
    context, follower, _ = group.follower("entry-1")
    group.wait_until(lambda: "school" in follower.organisation_by_id)
    revision = follower.settings_revision
    context.hub.stop()
    admin = group.admin()
    for number in range(300):
        body = {"path": "/school", "set": {"weight": 1 + number}, "expected_revision": revision}
        status, changed = admin("POST", "/settings", body)
        assert status == 200
        revision = changed["revision"]
    _, later, _ = group.follower("entry-2")
    follower.apply_policy(group.state("one").policy_since(follower.settings_revision))
    group.wait_until(lambda: later.settings_revision == revision)
    for one in (follower, later):
        assert one.settings_revision == revision
        assert one.organisation_by_id["school"].weight == 300.0


def test_restarted_member_keeps_its_state(start_group):
    # The only member restarts. Everything acknowledged to operators and callers must still hold.
    group = start_group("one")
    key = create_school(group)
    _, client = group.client("entry-1")
    info = client.propose(OpenProgram("prog-1", "school", Budget(), 60), WAIT_SECONDS)
    group.stop("one")
    group.start("one")
    group.wait_until(group.leader)
    state = group.state("one")
    assert state.program("prog-1", "school").info == info
    assert state.configuration.keys.policy(secret_hash(key)) is not None


def test_unresponsive_node_leaves_the_view_and_rejoins(start_group):
    # A process crashes. Work sent to it would be lost, so it leaves the view once its heartbeats
    # have stopped for the timeout; its next incarnation joins again.
    group = start_group("one")
    context, _, _ = group.follower("entry-1")
    state = group.state("one")
    group.wait_until(lambda: [one.entry_id for one in state.view().entries] == ["entry-1"])
    context.hub.stop()
    group.wait_until(lambda: state.view().entries == [])
    group.follower("entry-1")
    group.wait_until(lambda: [one.entry_id for one in state.view().entries] == ["entry-1"])


def test_late_heartbeat_does_not_restore_a_process_that_left(start_group):
    # A process leaves while one of its heartbeats is in flight. If that announced it again, work
    # would be sent to it until its timeout, and those calls would wait in vain.
    group = start_group("one")
    context, _ = group.client("entry-1")
    node = EntryRecord("entry-1", context.incarnation, context.link_address, "tx-waco")
    link = context.hub.wait_for_link(group.address_by_name["one"], WAIT_SECONDS)
    state = group.state("one")
    link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
    group.wait_until(lambda: state.view().entries == [node])
    assert isinstance(link.request(Leaving(node), WAIT_SECONDS), Proposed)
    link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
    eventlet.sleep(0.2)
    assert state.view().entries == []


def test_report_of_settled_owners_is_stored(start_group):
    # Two entries joined, so one may have owned rates that the other owns now. An entry that waited
    # until earlier owners stopped reports so, and no later incarnation has to wait again.
    group = start_group("one")
    state = group.state("one")
    heartbeats = []
    for name in ("entry-1", "entry-2"):
        context, _ = group.client(name)
        node = EntryRecord(name, context.incarnation, context.link_address, "tx-waco")
        link = context.hub.wait_for_link(group.address_by_name["one"], WAIT_SECONDS)
        link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
        heartbeats.append((link, node))
        group.wait_until(lambda key=name: key in [one.entry_id for one in state.view().entries])
    assert state.unsettled_owners_version == 2
    link, node = heartbeats[0]
    link.request(Heartbeat(node, 0, 0, settled_owners=1), WAIT_SECONDS)
    eventlet.sleep(0.1)
    assert state.unsettled_owners_version == 2
    link.request(Heartbeat(node, 0, 0, settled_owners=2), WAIT_SECONDS)
    group.wait_until(lambda: state.unsettled_owners_version == 0)
    assert state.view().settled_version == 2


def test_concurrent_changes_get_one_acceptance_and_conflicts(start_group):
    # Operators change the same setting concurrently through different members. Only one of them may
    # be told that the change is in force.
    group = start_group(*THREE)
    create_school(group)
    revision = group.state(group.leader()).revision
    body = {"path": "/school", "set": {"weight": 7}, "expected_revision": revision}

    def change(name: str) -> tuple[int, dict]:
        return group.admin(name)("POST", "/settings", body | {"request_id": f"r-{name}"})

    threads = [eventlet.spawn(change, name) for name in THREE]
    outcomes = [thread.wait() for thread in threads]
    assert sorted(status for status, _ in outcomes) == [200, 409, 409]
    refused = next(value for status, value in outcomes if status == 409)
    assert refused["revision"] == revision + 1
    assert refused["in_force"]["weight"] == 7.0


def test_operator_commands_are_rejected_over_links(start_group):
    # A compromised process that knows the link secret proposes a key for itself. Only operators may
    # grant keys, and only the admin API checks their tokens.
    from tarragonhall_state import GrantKey

    group = start_group("one")
    _, client = group.client("entry-1")
    with pytest.raises(UnavailableError):
        client.propose(GrantKey("ab" * 32, "school", "entry"), 0.5)
    assert group.state("one").configuration.keys.by_id == {}
