"""Which members get requests while a group has a leader, loses it, or has a slow one."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest
from tarragonhall_model import NotLeader, Proposed, RequestTimeoutError
from tarragonhall_wire import LeaderClient, UnavailableError
from tarragonhall_wire import _leader_client as module

MEMBERS = ["a:1", "b:1", "c:1"]


class Group:
    """Three members with a simulated clock; `reply_by_address` holds the reply of each."""

    def __init__(self) -> None:
        self.now = 0.0
        self.reply_by_address = dict.fromkeys(MEMBERS, NotLeader(None))
        # Reply delay of each member; None for a machine without power.
        self.delay_by_address: dict[str, float | None] = dict.fromkeys(MEMBERS, 0.001)
        self.requested: list[str] = []
        self.link_by_address: dict[str, object] = {}
        hub = SimpleNamespace(link_to=self.link_to)
        context = SimpleNamespace(hub=hub, rng=random.Random(1), monotonic=lambda: self.now)
        self.client = LeaderClient(context, lambda: MEMBERS)

    def link_to(self, address: str):
        if address not in self.link_by_address:
            self.link_by_address[address] = SimpleNamespace(
                request=lambda message, timeout_s: self.answer(address, timeout_s)
            )
        return self.link_by_address[address]

    def replace_link(self, address: str) -> None:
        """Let the next request to a member use another connection than the ones before."""
        self.link_by_address.pop(address, None)

    def answer(self, address: str, timeout_s: float) -> object:
        self.requested.append(address)
        delay = self.delay_by_address[address]
        if delay is None or delay > timeout_s:
            self.now += timeout_s
            raise RequestTimeoutError("no reply")
        self.now += delay
        return self.reply_by_address[address]

    def sleep(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def group(monkeypatch) -> Group:
    simulated = Group()
    monkeypatch.setattr(module.eventlet, "sleep", simulated.sleep)
    return simulated


def test_a_leader_without_power_costs_a_request_less_than_half_a_second(group):
    # The leader of the stores loses power and half a second later another one leads. A turn that
    # waited 1 s for the dead leader and then tried it once more would be refused.
    group.reply_by_address["a:1"] = Proposed("old")
    assert group.client.propose("x", 1.5, "r-1") == "old"
    started = group.now
    group.delay_by_address["a:1"] = None
    group.reply_by_address["b:1"] = Proposed("new")
    group.reply_by_address["c:1"] = NotLeader("a:1")
    assert group.client.propose("x", 1.5, "r-2") == "new"
    assert group.now - started < 0.5
    assert group.requested.count("a:1") == 2


def test_a_slow_leader_gets_longer_timeouts(group):
    # The leader's machine is slow and a commit takes longer than the first attempt's timeout. If
    # later attempts did not wait longer, every request would be abandoned before its reply.
    group.delay_by_address["a:1"] = 0.5
    group.reply_by_address["a:1"] = Proposed("late")
    group.reply_by_address["b:1"] = group.reply_by_address["c:1"] = NotLeader("a:1")
    assert group.client.propose("x", 5.0, "r-1") == "late"
    assert group.now < 2.5


def test_a_leader_with_a_new_link_is_tried_at_once(group):
    # Guards against a second without changes after a silent connection was replaced: the failure
    # belonged to the old connection.
    group.reply_by_address["a:1"] = Proposed("x")
    group.reply_by_address["b:1"] = group.reply_by_address["c:1"] = NotLeader("a:1")
    assert group.client.propose("x", 1.5, "r-1") == "x"
    group.delay_by_address["a:1"] = None
    with pytest.raises(UnavailableError):
        group.client.propose("x", 0.3, "r-2")
    group.delay_by_address["a:1"] = 0.001
    group.replace_link("a:1")
    started = group.now
    assert group.client.propose("x", 1.5, "r-3") == "x"
    assert group.now - started < 0.2


def test_without_a_leader_the_request_times_out(group):
    with pytest.raises(UnavailableError):
        group.client.propose("x", 1.0, "r-1")
    assert 1.0 <= group.now < 1.2
