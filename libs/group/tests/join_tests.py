"""A process that asks to join a group: whom it asks, and how often."""

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
    """Links to members that answer as the group's leader or as others."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.down: set[str] = set()

    def handle(self, _message_class, _handler) -> None:
        return

    def wait_for(self, address, _timeout_s):
        if address in self.down:
            raise LinkClosedError("down")

        def request(_message, _timeout_s) -> JoinHeard:
            self.asked.append(address)
            return JoinHeard(leads=address == LEADER, leader=LEADER)

        return SimpleNamespace(request=request)


def joiner(hub: FakeHub) -> Joiner:
    context = SimpleNamespace(hub=hub, rng=random.Random(1), link_address=ME, monotonic=lambda: 0.0)
    context.availability_zone = "a"
    member = SimpleNamespace(member_id="me")
    return Joiner(member, context, lambda: MEMBERS)


def ask(made: Joiner) -> None:
    made._ask_all(SimpleNamespace(members=[]))
    eventlet.sleep(0.01)


def test_a_process_that_a_full_group_keeps_waiting_asks_its_leader_only():
    # A group has all the members that it takes, and six processes more stand by. Asking all ten
    # members each time they were half of what the members had to answer.
    hub = FakeHub()
    made = joiner(hub)
    ask(made)
    hub.asked.clear()
    ask(made)
    assert hub.asked == [LEADER]


def test_when_the_leader_is_gone_all_members_are_asked_again():
    # A member is lost with its disk and the lead went elsewhere. The process that stands by must
    # find the new leader, or the group stays one short.
    hub = FakeHub()
    made = joiner(hub)
    ask(made)
    hub.down.add(LEADER)
    ask(made)
    hub.asked.clear()
    ask(made)
    assert set(hub.asked) == set(MEMBERS) - {LEADER}
    assert JoinGroup("me", ME).address == ME
