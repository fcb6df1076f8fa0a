"""Changes of the relay document while open links lose their packets and new ones work."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_control import NoLeaderError
from tarragonhall_model import RelayDocument

# The interval of entries on the platform, and the bound that a deployment states for changes.
HEARTBEAT_SECONDS = 0.4
IN_FORCE_SECONDS = 2.0
# How long after a fault of the network a deployment counts its processes as connected again.
CONNECTED_SECONDS = 3.0


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
