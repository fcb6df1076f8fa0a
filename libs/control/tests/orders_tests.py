"""Orders from control members to engines over real links, with sidecars beside fake engines."""

from __future__ import annotations

import time

import eventlet
import pytest
from tarragonhall_control import _order_sender
from tarragonhall_fakes import EngineOptions, Fault, FaultKind, start_engine
from tarragonhall_model import EngineOrder, QueryTimeline, ServerKind
from tarragonhall_sidecar import SidecarSettings, _backend, start_sidecars
from tarragonhall_sidecar._role import Sidecars

THREE = ("one", "two", "three")
# Longer than an election and the next order take.
ACTS_AFTER = 4.0


class Beside:
    """An engine and the sidecar beside it."""

    def __init__(self, group, name: str, enforced: bool = False) -> None:
        self.group = group
        self.name = name
        self.fake, self.server = start_engine(options=EngineOptions(fencing_enforced=enforced))
        self.fake.loaded["m"] = "1"
        self.start()

    def start(self) -> None:
        self.context, client = self.group.client(self.name)
        settings = SidecarSettings(
            self.name, self.server.address, ServerKind.MODEL, ["m"], 2, "ignored", 500
        )
        self.role = start_sidecars([settings], self.context, client)

    def stop(self) -> None:
        self.role.stop()
        self.context.hub.stop()
        self.group.clients.remove(self.context)

    def request(self, order: EngineOrder):
        """Give an order as a process does that thinks that it leads."""
        context, _client = self.group.client("former")
        return context.hub.wait_for(self.context.link_address, 2).request(order, 4)

    def announced(self):
        """Return what the leader's view holds of this server."""
        leader = self.group.leader()
        views = self.group.state(leader).view().servers if leader else []
        return next((one for one in views if one.server_id == self.name), None)

    def serves(self) -> list[str]:
        """Return what the sidecar accepts calls for right now."""
        return self.role._sidecar_by_server[self.name].record().serves

    def versions(self) -> list[str]:
        return [order["version"] for order in self.fake.orders]

    def runs(self, version: str) -> bool:
        """Return whether the engine has a version and the leader's view shows it as served."""
        server = self.announced()
        shown = server is not None and server.serves == ["m"] and server.loaded == {"m": version}
        return shown and self.fake.loaded == {"m": version}


@pytest.fixture
def beside(start_group):
    started = []

    def start(group, name: str, **options) -> Beside:
        started.append(Beside(group, name, **options))
        return started[-1]

    yield start
    for one in started:
        one.role.stop()
        one.server.stop()


@pytest.fixture
def start_orders(start_group):
    """Start a group that waits for servers as long as one does in use, not as other tests do."""

    def start(*names: str):
        group = start_group(*names)
        for role in group.role_by_name.values():
            role.member.nodes.server_timeout_s = 3.0
        return group

    return start


@pytest.fixture(autouse=True)
def quick_answers(monkeypatch):
    """Let lost answers and failed orders be noticed soon enough for a test."""
    monkeypatch.setattr(_backend, "ORDER_SECONDS", 0.4)
    monkeypatch.setattr(_order_sender, "FAILURE_BACKOFF_SECONDS", 0.2)


def set_version(group, version: str, minimum: int = 0, name: str | None = None) -> int:
    """Put a version in force and return the status of the answer."""
    group.until(group.leader)
    revision = group.state(group.leader()).revision
    values = {"model.m.version": version, "model.m.min_replicas": minimum}
    body = {"path": "/", "set": values, "expected_revision": revision}
    request_id = f"{version}-{name}"
    return group.admin(name)("POST", "/settings", body | {"request_id": request_id})[0]


def test_a_version_goes_round_and_a_server_is_always_ready(start_orders, beside, monkeypatch):
    """An operator puts a new version in force while callers use the old one. Where both engines
    loaded it at once, every call would wait or be refused.
    """
    monkeypatch.setattr(_backend, "ORDER_SECONDS", 3.0)
    group = start_orders("one")
    pair = [beside(group, "s1"), beside(group, "s2")]
    group.until(lambda: all(one.runs("1") for one in pair))
    for one in pair:
        one.fake.faults.add(Fault(FaultKind.LATE, match='"version": "2"', seconds=0.5))
    assert set_version(group, "2", minimum=1) == 200
    ready = []

    def is_round() -> bool:
        ready.append(sum(one.serves() == ["m"] for one in pair))
        return all(one.runs("2") for one in pair)

    group.until(is_round, 8)
    assert min(ready) == 1
    assert [one.versions() for one in pair] == [["2"], ["2"]]


@pytest.mark.parametrize("enforced", [True, False])
def test_an_order_of_the_former_leader_does_not_last(start_orders, beside, enforced):
    """The engine is slow to act on an order, its answer is lost and its leader dies. The next
    leader orders another version; then the first order takes effect, and a copy of it arrives.
    Callers would go on with a version that no operator wants.
    """
    group = start_orders(*THREE)
    one = beside(group, "s1", enforced=enforced)
    group.until(lambda: one.runs("1"))
    one.fake.faults.add(Fault(FaultKind.LATE, match='"version": "2"', seconds=ACTS_AFTER))
    former = group.leader()
    former_term = group.role_by_name[former].member.loop.replica.status().term
    set_version(group, "2")
    # Now the order has reached the engine, which is slow to act on it.
    group.until(lambda: one.fake.faults.pending() == 0)
    acts_at = time.monotonic() + ACTS_AFTER
    group.stop(former)
    group.until(group.leader)
    assert set_version(group, "3") == 200
    group.until(lambda: one.runs("3"))
    late = EngineOrder("order-copy", former_term, "load_model", "m", "2", "s1")
    assert not one.request(late).done
    eventlet.sleep(max(0.0, acts_at + 0.2 - time.monotonic()))
    # An engine that ignores the numbers did act on it, and one more order puts that right.
    # The next leader may have ordered version 2 itself, before the operator changed it.
    acted = [order["fencing"] for order in one.fake.orders]
    assert (former_term in acted) is not enforced
    group.until(lambda: one.runs("3"))
    assert one.versions()[-1] == "3"


def test_a_sidecar_that_restarts_between_two_orders_knows_what_is_loaded(start_orders, beside):
    """The platform replaces the sidecar after an order. Its settings still name what the engine was
    started with, and the next order must reach the engine all the same.
    """
    group = start_orders("one")
    one = beside(group, "s1")
    group.until(lambda: one.runs("1"))
    set_version(group, "2")
    group.until(lambda: one.runs("2"))
    one.stop()
    set_version(group, "3")
    one.start()
    assert one.role._sidecar_by_server["s1"].record().loaded == {"m": "2"}
    group.until(lambda: one.runs("3"))
    assert one.versions() == ["2", "3"]


def test_a_sidecar_serves_what_the_engine_has_and_not_what_its_settings_say(start_orders, beside):
    """The engine went over to another model before the sidecar was replaced. Calls of the first
    model would be sent to an engine that does not have it.
    """
    group = start_orders("one")
    one = beside(group, "s1")
    one.stop()
    one.fake.loaded = {"n": "1"}
    one.start()
    group.until(lambda: one.announced() is not None and one.announced().serves == ["n"])


def test_an_order_whose_answer_the_engine_lost_is_not_given_again(start_orders, beside):
    """The engine loads the version and its answer never comes. Loaded again, the weights would cost
    the engine another minute in which it serves no one.
    """
    group = start_orders("one")
    one = beside(group, "s1")
    group.until(lambda: one.runs("1"))
    one.fake.faults.add(Fault(FaultKind.HANG, match='"version": "2"'))
    set_version(group, "2")
    group.until(lambda: one.runs("2"))
    eventlet.sleep(1.0)
    assert one.versions() == ["2"]


def test_an_order_that_is_resent_keeps_its_id_and_is_done_once(start_orders, beside, monkeypatch):
    """Loading takes longer than the leader waits for the answer. Each resend as a new order would
    load the weights once more.
    """
    monkeypatch.setattr(_order_sender, "RESPONSE_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(_backend, "ORDER_SECONDS", 3.0)
    arrived = []
    carry_out = Sidecars.on_order

    def on_order(role: Sidecars, link, order: EngineOrder):
        arrived.append(order.order_id)
        return carry_out(role, link, order)

    monkeypatch.setattr(Sidecars, "on_order", on_order)
    group = start_orders("one")
    one = beside(group, "s1")
    group.until(lambda: one.runs("1"))
    one.fake.faults.add(Fault(FaultKind.LATE, match='"version": "2"', seconds=1.0))
    set_version(group, "2")
    group.until(lambda: one.runs("2"))
    eventlet.sleep(1.0)
    assert (len(one.fake.orders), len(set(arrived))) == (1, 1)
    assert len(arrived) > 1
    events = group.context_by_name["one"].timeline.find(QueryTimeline()).events
    outcomes = [event.fields["outcome"] for event in events if event.kind == "control_order"]
    assert outcomes == ["done"]


def test_two_operators_who_change_a_version_at_once_get_one_of_them(start_orders, beside):
    """Two operators put different versions in force at the same moment, through two members. One is
    told that the other was first, and no engine may load the version that was refused.
    """
    group = start_orders(*THREE)
    one = beside(group, "s1")
    group.until(lambda: one.runs("1"))
    wishes = {"2": "one", "3": "two"}
    threads = {
        version: eventlet.spawn(set_version, group, version, 0, name)
        for version, name in wishes.items()
    }
    status_by_version = {version: thread.wait() for version, thread in threads.items()}
    assert sorted(status_by_version.values()) == [200, 409]
    accepted = next(version for version, status in status_by_version.items() if status == 200)
    group.until(lambda: one.runs(accepted))
    assert one.versions() == [accepted]
