"""Join requests of a process: their targets and their number."""

from __future__ import annotations

import random
from types import SimpleNamespace

import eventlet
from tarragonhall_group import Joiner
from tarragonhall_group._join import JoinGroup, JoinHeard
from tarragonhall_model import LinkClosedError

ME = "10.0.0.1:1"
MEMBERS = [f"10.0.0.{number}:1" for number in range(2, 12)]
LEADER = MEMBERS[3]


class FakeHub:
    """Links to members, one of which answers as the group's leader."""

    def __init__(self) -> None:
        self.requested: list[str] = []
        self.down: set[str] = set()

    def handle(self, _message_class, _handler) -> None:
        return

    def wait_for_link(self, address, _timeout_s):
        if address in self.down:
            raise LinkClosedError("down")

        def request(_message, _timeout_s) -> JoinHeard:
            self.requested.append(address)
            return JoinHeard(leads=address == LEADER, leader=LEADER)

        return SimpleNamespace(request=request)


def make_joiner(hub: FakeHub) -> Joiner:
    context = SimpleNamespace(hub=hub, rng=random.Random(1), link_address=ME, monotonic=lambda: 0.0)
    context.availability_zone = "a"
    member = SimpleNamespace(member_id="me")
    return Joiner(member, context, lambda: MEMBERS)


def request_join(made: Joiner) -> None:
    made._send_join_requests(SimpleNamespace(members=[]))
    eventlet.sleep(0.01)


def test_a_standby_repeats_its_join_request_only_to_the_leader():
    # A full group has 10 members and 6 standbys. If each standby sent every request to all members,
    # join requests would be half of all requests that the members answer.
    hub = FakeHub()
    made = make_joiner(hub)
    request_join(made)
    hub.requested.clear()
    request_join(made)
    assert hub.requested == [LEADER]


def test_join_requests_go_to_all_members_after_the_leader_is_lost():
    # The leader is lost with its disk and another member leads. The standby must find the new
    # leader, or the group stays one member short.
    hub = FakeHub()
    made = make_joiner(hub)
    request_join(made)
    hub.down.add(LEADER)
    request_join(made)
    hub.requested.clear()
    request_join(made)
    assert set(hub.requested) == set(MEMBERS) - {LEADER}
    assert JoinGroup("me", ME).address == ME
