"""Changes of the relay document while open links lose their packets and new ones work."""

from __future__ import annotations

import dataclasses
from types import SimpleNamespace

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_model import BackendRecord, RelayDocument
from tarragonhall_relay._backend_follower import BackendFollower

# The interval of entries on the platform, and the bound that a deployment states for changes.
HEARTBEAT_SECONDS = 0.4
IN_FORCE_SECONDS = 2.0
# How long after a fault of the network a deployment counts its processes as connected again.
CONNECTED_SECONDS = 3.0
# How long after the confirmation of its notice a server still serves calls.
DRAIN_SECONDS = 2.0
SERVER = BackendRecord("i-1", "desk", "10.0.0.1:80", "tx-waco", 6, born_ms=1_000, sequence=4)


@pytest.fixture
def group_class(relayed_group_class):
    return relayed_group_class


def document(version: int) -> RelayDocument:
    return RelayDocument(version, b"routes")


def publish_until_acknowledged(group, version: int) -> None:
    while True:
        for role in group.role_by_name.values():
            try:
                role.relay.publish(document(version))
            except NoLeaderError:
                continue
            return


def test_a_change_is_in_force_in_time_although_the_link_to_control_lost_its_packets(start_group):
    # Guards against an entry that keeps an older version until a silent link is given up.
    group = start_group("one")
    follower = group.relay_follower("entry-1", HEARTBEAT_SECONDS)
    group.role_by_name["one"].relay.publish(document(1))
    group.wait_until(lambda: follower.relay_version == 1)
    group.silence()
    group.role_by_name["one"].relay.publish(document(2))
    group.wait_until(lambda: follower.relay_version == 2, IN_FORCE_SECONDS)


def test_a_change_is_in_force_as_soon_as_processes_count_as_connected_again(start_group):
    # Guards against members and entries that stay blind after all links have lost their packets.
    group = start_group("one", "two", "three")
    followers = [group.relay_follower(f"entry-{n}", HEARTBEAT_SECONDS) for n in range(3)]
    publish_until_acknowledged(group, 1)
    group.wait_until(lambda: all(one.relay_version == 1 for one in followers))
    group.silence()
    with eventlet.Timeout(CONNECTED_SECONDS):
        publish_until_acknowledged(group, 2)
        group.wait_until(lambda: all(one.relay_version == 2 for one in followers))


class FollowedServers:
    """What the follower of an entry passes on: the ids of servers that may get calls."""

    def __init__(self) -> None:
        self.usable: set[str] = set()
        self.pool = SimpleNamespace(close_idle=lambda _server_id: None)
        self.chooser = self

    def set_servers(self, records, _now) -> None:
        self.usable = {one.server_id for one in records if not (one.gone or one.draining)}


def follow_servers(group, name: str) -> FollowedServers:
    context, _client = group.client(name)
    followed = FollowedServers()
    BackendFollower(context, followed).start()
    return followed


@pytest.mark.parametrize("how", ["leave", "drain"])
@pytest.mark.parametrize("silent_s", [0.0, 0.3, 1.0])
def test_a_departure_reaches_entries_in_time_although_all_links_lost_their_packets(
    start_group, how, silent_s
):
    # Guards against calls to a server that may exit, from an entry whose links to all members have
    # been silent since some time before its notice.
    group = start_group("one", "two", "three")
    entries = [follow_servers(group, f"entry-{number}") for number in range(3)]
    group.role_by_name["one"].backends.announce(SERVER)
    group.wait_until(lambda: all(one.usable == {"i-1"} for one in entries))
    group.silence()
    eventlet.sleep(silent_s)
    backends = group.role_by_name["two"].backends
    if how == "leave":
        backends.leave("i-1", SERVER.born_ms)
    else:
        backends.announce(dataclasses.replace(SERVER, sequence=5, draining=True))
    group.wait_until(lambda: all(one.usable == set() for one in entries), DRAIN_SECONDS)
