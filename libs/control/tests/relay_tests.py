"""Relay documents, backend servers and healing of members, over real links."""

from __future__ import annotations

import dataclasses
import shutil

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_control._backend_service import FORWARD_TIMEOUT_SECONDS
from tarragonhall_model import (
    BackendRecord,
    BackendsChanged,
    BackendsKnown,
    FollowBackends,
    RelayDocument,
    encode,
)

SERVER = BackendRecord("i-1", "desk", "10.0.0.1:80", "tx-waco", 6, born_ms=1_000, sequence=4)


def document(version: int) -> RelayDocument:
    return RelayDocument(version, f"document {version}".encode())


def test_highest_document_version_wins_at_any_member(start_group):
    # Two operators publish at two members, and an older document is resent after a lost response.
    # It is acknowledged without effect: applying it would restore routes that were removed.
    group = start_group("one", "two", "three")
    roles = list(group.role_by_name.values())
    assert roles[0].relay.publish(document(3)).version == 3
    assert roles[1].relay.publish(document(7)).version == 7
    assert roles[2].relay.publish(document(3)).version == 7
    assert roles[2].relay.publish(dataclasses.replace(document(7), compressed=b"x")).version == 7
    for role in roles:
        assert role.relay.document_in_force().document == document(7)


def test_followers_get_new_documents_and_ignore_older_ones(start_group):
    group = start_group("one", "two", "three")
    follower = group.relay_follower("entry-1")
    group.role_by_name["one"].relay.publish(document(2))
    group.wait_until(lambda: follower.relay_version == 2)
    group.role_by_name["two"].relay.publish(document(5))
    group.wait_until(lambda: follower.relay == document(5))
    assert not follower.apply_relay(document(4))
    late = group.relay_follower("entry-2")
    group.wait_until(lambda: late.relay == document(5))


def test_document_survives_power_loss_of_all_members(start_group):
    group = start_group("one", "two", "three")
    group.role_by_name["one"].relay.publish(document(9))
    for name in list(group.role_by_name):
        group.stop(name)
    for name in ("one", "two", "three"):
        group.start(name)
    group.wait_until(group.leader)
    assert group.role_by_name["two"].relay.document_in_force().document == document(9)


def test_member_without_majority_returns_no_document(start_group):
    # A partitioned member may have an outdated document. If it returned that as the one in force,
    # an operator would be misled about whether a withdrawn key still works.
    group = start_group("one", "two", "three")
    group.role_by_name["one"].relay.publish(document(1))
    group.stop("two")
    group.stop("three")
    with pytest.raises(NoLeaderError):
        group.role_by_name["one"].relay.document_in_force()
    with pytest.raises(NoLeaderError):
        group.role_by_name["one"].relay.publish(document(2))


def test_entries_are_notified_before_a_server_may_leave(start_group):
    # A server notifies one member that it drains, and exits two seconds after the response. An
    # entry that follows only another member must be notified by then.
    group = start_group("one", "two", "three")
    context, _client = group.client("entry-1")
    received = []
    context.hub.handle(BackendsChanged, lambda _link, message: received.extend(message.records))
    link = context.hub.wait_for_link(group.address_by_name["three"], 2.0)
    reply = link.request(FollowBackends(), 1.0)
    assert reply == BackendsKnown(0, True, [])
    one = group.role_by_name["one"].backends
    one.announce(SERVER)
    drains = dataclasses.replace(SERVER, sequence=5, draining=True)
    one.announce(drains)
    assert received == [SERVER, drains]
    one.leave("i-1", None)
    assert received[-1].gone
    assert link.request(FollowBackends(reply.version), 1.0).records == [received[-1]]


def test_servers_that_start_together_reach_entries_of_another_member_in_few_messages(start_group):
    # Thousands of servers start within seconds, also after a power loss. One message for each of
    # them between members and to each entry would delay elections and heartbeats.
    group = start_group("one", "two", "three")
    context, _client = group.client("entry-1")
    received = []
    context.hub.handle(BackendsChanged, lambda _link, message: received.append(message.records))
    link = context.hub.wait_for_link(group.address_by_name["three"], 2.0)
    version = link.request(FollowBackends(takes_changes=True), 1.0).version
    records = [
        dataclasses.replace(SERVER, server_id=f"i-{number}", address=f"10.0.0.{number}:80")
        for number in range(200)
    ]
    one = group.role_by_name["one"].backends
    announcing = [eventlet.spawn(one.announce, record) for record in records]
    for thread in announcing:
        thread.wait()
    assert sorted(one.server_id for part in received for one in part) == sorted(
        one.server_id for one in records
    )
    assert len(received) < 20
    reply = link.request(FollowBackends(version, takes_changes=True), 1.0)
    assert (reply.complete, len(reply.unpacked())) == (False, 200)
    assert len(encode(reply)) < 40 * 200
    one.announce(dataclasses.replace(records[7], sequence=9, draining=True))
    reply = link.request(FollowBackends(reply.version, takes_changes=True), 1.0)
    assert (reply.complete, [r.server_id for r in reply.records]) == (False, ["i-7"])


def test_an_entry_of_an_earlier_version_gets_the_whole_table(start_group):
    # It would take a partial table for the whole one or ignore it.
    group = start_group("one")
    context, _client = group.client("entry-1")
    context.hub.handle(BackendsChanged, lambda _link, _message: None)
    link = context.hub.wait_for_link(group.address_by_name["one"], 2.0)
    version = link.request(FollowBackends(), 1.0).version
    group.role_by_name["one"].backends.announce(SERVER)
    reply = link.request(FollowBackends(version), 1.0)
    assert (reply.complete, reply.records) == (True, [SERVER])


def test_members_that_learn_of_servers_from_each_other_do_not_wait_for_each_other(start_group):
    # Each member forwards its own news and waits until the others have told their entries. If these
    # waited for their own forwarding in turn, announcements would end by a timeout.
    group = start_group("one", "two", "three")
    started = group.role_by_name["one"].backends._member.context.monotonic()
    waiting = []
    for number, role in enumerate(list(group.role_by_name.values()) * 20):
        record = dataclasses.replace(SERVER, server_id=f"i-{number}", address=f"a:{number}")
        waiting.append(eventlet.spawn(role.backends.announce, record))
    for thread in waiting:
        thread.wait()
    took_s = group.role_by_name["one"].backends._member.context.monotonic() - started
    assert took_s < FORWARD_TIMEOUT_SECONDS


def test_control_member_with_lost_disk_is_healed(start_group):
    group = start_group("one", "two", "three")
    for name in list(group.role_by_name):
        group.stop(name)
    settings_of = group.settings
    group.settings = lambda name: dataclasses.replace(settings_of(name), heal=True)
    for name in ("one", "two", "three"):
        group.start(name)
    group.wait_until(group.leader)
    group.role_by_name["one"].relay.publish(document(4))
    lost_name = next(name for name in ("one", "two", "three") if name != group.leader())
    group.stop(lost_name)
    shutil.rmtree(group.folder / lost_name)
    group.settings = lambda name: dataclasses.replace(
        settings_of(name), heal=True, members={} if name == lost_name else group.address_by_name
    )
    group.start(lost_name)
    group.wait_until(lambda: group.state(lost_name).relay == document(4), 10.0)
    eventlet.sleep(0)
    leader = group.role_by_name[group.leader()].member
    group.wait_until(lambda: all(one.voting for one in leader.loop.replica.status().members), 10.0)
