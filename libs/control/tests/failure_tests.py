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


def cut_off(group, name: str) -> None:
    """Drop the log's messages to and from a member without closing a link: a silent partition."""
    member = group.role_by_name[name].member
    member.loop._hooks.send = lambda _peer, _message: None
    handlers = group.context_by_name[name].hub._handler_by_class
    handlers[LogMessage] = lambda _link, _message: None


def test_three_members_agree_and_any_of_them_serves_operators(start_group):
    group = start_group(*THREE)
    create_school(group)
    for name in THREE:
        status, shown = group.admin(name)("GET", "/organisations")
        assert status == 200
        assert [one["org_id"] for one in shown["organisations"]] == ["school"]


def test_an_entry_whose_links_closed_leaves_the_view_before_its_timeout(start_group):
    # An entry is killed. Its links close at once, but it kept its place in the view for its whole
    # timeout, and the callers of the organisations whose tokens it gave out waited that long.
    group = start_group("one")
    group.role_by_name["one"].member.nodes.entry_timeout_s = 60.0
    context, _, _ = group.follower("entry-1")
    _, kept, _ = group.follower("entry-2")
    group.until(lambda: kept.view is not None and len(kept.view.entries) == 2)
    context.hub.stop()
    group.until(lambda: [entry.entry_id for entry in kept.view.entries] == ["entry-2"])


def test_a_resend_after_the_leader_stopped_gets_the_first_result(start_group):
    # The leader commits an entry's proposal and dies before its answer is out. The entry sends the
    # proposal again to the next leader. Were it carried out again, one request of a caller would
    # open two programs.
    group = start_group(*THREE)
    context, client = group.client("entry-1")
    body = OpenProgram("prog-1", "school", Budget(), 60, idempotency_key="key-1")
    leader = group.leader()
    link = context.hub.wait_for(group.address_by_name[leader], WAIT_SECONDS)
    first = link.request(Propose("req-1", body), WAIT_SECONDS)
    assert isinstance(first, Proposed)
    group.stop(leader)
    again = client.propose(body, WAIT_SECONDS, "req-1")
    assert again == first.result
    assert group.leader() != leader


def test_a_proposal_in_flight_when_the_leader_stops_takes_effect_once(start_group):
    # The leader stops while proposals are on their way through it. Nobody can say which of them
    # were committed, so all are sent again under their request ids.
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


def test_a_leader_that_is_cut_off_calls_nothing_fresh(start_group):
    # A silent partition separates the leader from the other members while an entry still reaches
    # it. The others elect a new leader and withdraw a key. Had the old leader gone on saying that
    # its settings are fresh, the withdrawn key would work at that entry for as long as the cut.
    group = start_group(*THREE)
    create_school(group)
    old = group.leader()
    context, follower, node = group.follower("entry-1")
    group.until(lambda: follower.is_fresh(context.monotonic()))
    link = context.hub.wait_for(group.address_by_name[old], WAIT_SECONDS)
    cut_off(group, old)
    reply = link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
    assert isinstance(reply, NotLeader)
    # The others elect a leader that confirms again.
    group.until(lambda: group.leader() not in (None, old), WAIT_SECONDS)
    group.until(lambda: follower.fencing > 1 and follower.is_fresh(context.monotonic()))


def test_without_a_majority_the_lease_runs_out(start_group):
    # Two of three members are lost. Settings can't change any more, but nobody can know that from
    # the third one's side. An entry must stop admitting once its lease is over.
    group = start_group(*THREE)
    context, follower, _ = group.follower("entry-1", lease_seconds=1.5)
    group.until(lambda: follower.is_fresh(context.monotonic()))
    keep = group.leader()
    for name in THREE:
        if name != keep:
            group.stop(name)
    group.until(lambda: not follower.is_fresh(context.monotonic()), follower.lease_seconds + 3)
    eventlet.sleep(0.3)
    assert not follower.is_fresh(context.monotonic())


def test_a_withdrawn_key_reaches_followers_although_the_news_are_lost(start_group, monkeypatch):
    # The push that tells of a withdrawal is lost. The next heartbeat says what the entry has and
    # brings the rest; the bound for callers is the lease.
    group = start_group("one")
    key = create_school(group)
    _, follower, _ = group.follower("entry-1")
    group.until(lambda: secret_hash(key) in follower.key_by_hash)
    monkeypatch.setattr(Followers, "push", lambda _self: None)
    admin = group.admin()
    key_id = admin("GET", "/keys")[1]["keys"][0]["key_id"]
    assert admin("DELETE", f"/keys/{key_id}")[0] == 200
    group.until(lambda: not follower.key_by_hash, follower.lease_seconds)


def test_a_follower_that_returns_after_hundreds_of_changes_has_them_all(start_group):
    # An entry is away while operators make hundreds of changes. It must come back with exactly
    # what is in force, by a delta or by the whole, and never with an older number.
    group = start_group("one")
    create_school(group)
    context, follower, _ = group.follower("entry-1")
    group.until(lambda: "school" in follower.organisation_by_id)
    seen = follower.settings_revision
    context.hub.stop()
    admin = group.admin()
    for number in range(300):
        body = {"path": "/school", "set": {"weight": 1 + number}, "expected_revision": seen}
        status, changed = admin("POST", "/settings", body)
        assert status == 200
        seen = changed["revision"]
    _, later, _ = group.follower("entry-2")
    follower.apply_policy(group.state("one").policy_since(follower.settings_revision))
    group.until(lambda: later.settings_revision == seen)
    for one in (follower, later):
        assert one.settings_revision == seen
        assert one.organisation_by_id["school"].weight == 300.0


def test_a_restarted_member_has_what_it_had(start_group):
    # The only member is restarted. What operators and callers were told before must still hold.
    group = start_group("one")
    key = create_school(group)
    _, client = group.client("entry-1")
    info = client.propose(OpenProgram("prog-1", "school", Budget(), 60), WAIT_SECONDS)
    group.stop("one")
    group.start("one")
    group.until(group.leader)
    state = group.state("one")
    assert state.program("prog-1", "school").info == info
    assert state.configuration.keys.policy(secret_hash(key)) is not None


def test_a_node_that_falls_silent_leaves_the_view_and_one_that_returns_is_back(start_group):
    # A process dies without a word. Work sent to it would be lost, so it leaves the view once its
    # heartbeats have stopped for the timeout; a new life of it joins again.
    group = start_group("one")
    context, _, _ = group.follower("entry-1")
    state = group.state("one")
    group.until(lambda: [one.entry_id for one in state.view().entries] == ["entry-1"])
    context.hub.stop()
    group.until(lambda: state.view().entries == [])
    group.follower("entry-1")
    group.until(lambda: [one.entry_id for one in state.view().entries] == ["entry-1"])


def test_a_process_that_left_is_not_brought_back_by_its_last_heartbeat(start_group):
    # A process leaves while a heartbeat of it is still on its way. Announced again, it would draw
    # work for a timeout, and its calls would wait for nothing.
    group = start_group("one")
    context, _ = group.client("entry-1")
    node = EntryRecord("entry-1", context.incarnation, context.link_address, "tx-waco")
    link = context.hub.wait_for(group.address_by_name["one"], WAIT_SECONDS)
    state = group.state("one")
    link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
    group.until(lambda: state.view().entries == [node])
    assert isinstance(link.request(Leaving(node), WAIT_SECONDS), Proposed)
    link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
    eventlet.sleep(0.2)
    assert state.view().entries == []


def test_the_word_of_an_entry_that_earlier_owners_stopped_is_kept(start_group):
    # Two entries joined, so one of them may have owned what is the other's now. An entry that has
    # waited that out says so, and the next life of either need not wait again.
    group = start_group("one")
    state = group.state("one")
    beats = []
    for name in ("entry-1", "entry-2"):
        context, _ = group.client(name)
        node = EntryRecord(name, context.incarnation, context.link_address, "tx-waco")
        link = context.hub.wait_for(group.address_by_name["one"], WAIT_SECONDS)
        link.request(Heartbeat(node, 0, 0), WAIT_SECONDS)
        beats.append((link, node))
        group.until(lambda key=name: key in [one.entry_id for one in state.view().entries])
    assert state.unsettled_owners == 2
    link, node = beats[0]
    link.request(Heartbeat(node, 0, 0, settled_owners=1), WAIT_SECONDS)
    eventlet.sleep(0.1)
    assert state.unsettled_owners == 2
    link.request(Heartbeat(node, 0, 0, settled_owners=2), WAIT_SECONDS)
    group.until(lambda: state.unsettled_owners == 0)
    assert state.view().settled_version == 2


def test_operators_who_race_get_one_acceptance_and_one_conflict(start_group):
    # Two operators change the same thing at the same moment, through different members. Both
    # must not believe that theirs is in force.
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


def test_operators_commands_are_not_taken_from_links(start_group):
    # A process that knows the link secret, an entry taken over by someone, proposes a key for
    # itself. Keys are for operators to grant, and their tokens are checked at the admin API.
    from tarragonhall_state import GrantKey

    group = start_group("one")
    _, client = group.client("entry-1")
    with pytest.raises(UnavailableError):
        client.propose(GrantKey("ab" * 32, "school", "entry"), 0.5)
    assert group.state("one").configuration.keys.by_id == {}
