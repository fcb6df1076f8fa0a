"""Relay documents, backend servers and healing of members, over real links."""

from __future__ import annotations

import dataclasses
import shutil

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_model import (
    BackendRecord,
    BackendsChanged,
    BackendsKnown,
    EntryRecord,
    FollowBackends,
    RelayDocument,
)
from tarragonhall_state import Follower

SERVER = BackendRecord("i-1", "desk", "10.0.0.1:80", "tx-waco", 6, born_ms=1_000, sequence=4)


def document(version: int) -> RelayDocument:
    return RelayDocument(version, f"document {version}".encode())


def relay_follower(group, name: str):
    """Return a process that follows the relay document like an entry."""
    context, client = group.client(name)
    node = EntryRecord(name, context.incarnation, context.link_address, "tx-waco")
    follower = Follower()
    client.follow(lambda: node, follower, include_relay=True)
    return follower


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
    follower = relay_follower(group, "entry-1")
    group.role_by_name["one"].relay.publish(document(2))
    group.wait_until(lambda: follower.relay_version == 2)
    group.role_by_name["two"].relay.publish(document(5))
    group.wait_until(lambda: follower.relay == document(5))
    assert not follower.apply_relay(document(4))
    late = relay_follower(group, "entry-2")
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
