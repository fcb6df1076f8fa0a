"""Orders from control members to engines over real links, through sidecars of fake engines."""

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
# Longer than an election and the next order together.
ORDER_DELAY_SECONDS = 4.0


class EngineWithSidecar:
    """A fake engine with its sidecar."""

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
        """Send an order like a process that still considers itself the leader."""
        context, _client = self.group.client("former")
        return context.hub.wait_for_link(self.context.link_address, 2).request(order, 4)

    def announced(self):
        """Return this server's record in the leader's view."""
        leader = self.group.leader()
        views = self.group.state(leader).view().servers if leader else []
        return next((one for one in views if one.server_id == self.name), None)

    def serves(self) -> list[str]:
        """Return the models that the sidecar accepts calls for."""
        return self.role._sidecar_by_server[self.name].record().serves

    def ordered_versions(self) -> list[str]:
        return [order["version"] for order in self.fake.orders]

    def serves_version(self, version: str) -> bool:
        """Return whether the engine has only this version and the leader's view shows it."""
        server = self.announced()
        shown = server is not None and server.serves == ["m"] and server.loaded == {"m": version}
        return shown and self.fake.loaded == {"m": version}


@pytest.fixture
def start_sidecar(start_group):
    started = []

    def start(group, name: str, **options) -> EngineWithSidecar:
        started.append(EngineWithSidecar(group, name, **options))
        return started[-1]

    yield start
    for one in started:
        one.role.stop()
        one.server.stop()


@pytest.fixture
def start_order_group(start_group):
    """Start a group with the default server timeout instead of the short one of other tests."""

    def start(*names: str):
        group = start_group(*names)
        for role in group.role_by_name.values():
            role.member.nodes.server_timeout_s = 3.0
        return group

    return start


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Shorten the timeout of orders and the backoff after a failed one."""
    monkeypatch.setattr(_backend, "ORDER_TIMEOUT_SECONDS", 0.4)
    monkeypatch.setattr(_order_sender, "FAILURE_BACKOFF_SECONDS", 0.2)


def set_version(group, version: str, minimum: int = 0, name: str | None = None) -> int:
    """Put a version in force and return the status of the response."""
    group.wait_until(group.leader)
    revision = group.state(group.leader()).revision
    values = {"model.m.version": version, "model.m.min_replicas": minimum}
    body = {"path": "/", "set": values, "expected_revision": revision}
    request_id = f"{version}-{name}"
    return group.admin(name)("POST", "/settings", body | {"request_id": request_id})[0]


def test_version_change_always_leaves_one_server_ready(
    start_order_group, start_sidecar, monkeypatch
):
    """A new version is put in force while callers use the old one. If both engines loaded it at
    once, every call would wait or be rejected.
    """
    monkeypatch.setattr(_backend, "ORDER_TIMEOUT_SECONDS", 3.0)
    group = start_order_group("one")
    pair = [start_sidecar(group, "s1"), start_sidecar(group, "s2")]
    group.wait_until(lambda: all(one.serves_version("1") for one in pair))
    for one in pair:
        one.fake.faults.add(Fault(FaultKind.LATE, match='"version": "2"', seconds=0.5))
    assert set_version(group, "2", minimum=1) == 200
    ready = []

    def is_rolled_out() -> bool:
        ready.append(sum(one.serves() == ["m"] for one in pair))
        return all(one.serves_version("2") for one in pair)

    group.wait_until(is_rolled_out, 8)
    assert min(ready) == 1
    assert [one.ordered_versions() for one in pair] == [["2"], ["2"]]


@pytest.mark.parametrize("enforced", [True, False])
def test_order_of_former_leader_is_superseded(start_order_group, start_sidecar, enforced):
    """An engine applies an order late, and the leader crashes before the response. The next leader
    orders another version; then the first order takes effect, and a copy of it arrives. Without a
    correction, callers would use a version that no operator wants.
    """
    group = start_order_group(*THREE)
    one = start_sidecar(group, "s1", enforced=enforced)
    group.wait_until(lambda: one.serves_version("1"))
    one.fake.faults.add(Fault(FaultKind.LATE, match='"version": "2"', seconds=ORDER_DELAY_SECONDS))
    former = group.leader()
    former_term = group.role_by_name[former].member.loop.replica.status().term
    set_version(group, "2")
    # The order has reached the engine, which applies it late.
    group.wait_until(lambda: one.fake.faults.pending() == 0)
    effect_at = time.monotonic() + ORDER_DELAY_SECONDS
    group.stop(former)
    group.wait_until(group.leader)
    assert set_version(group, "3") == 200
    group.wait_until(lambda: one.serves_version("3"))
    late = EngineOrder("order-copy", former_term, "load_model", "m", "2", "s1")
    assert not one.request(late).done
    eventlet.sleep(max(0.0, effect_at + 0.2 - time.monotonic()))
    # An engine that ignores fencing numbers applied it, and one more order corrects that.
    # The next leader may have ordered version 2 itself, before the operator changed it.
    applied_terms = [order["fencing"] for order in one.fake.orders]
    assert (former_term in applied_terms) is not enforced
    group.wait_until(lambda: one.serves_version("3"))
    assert one.ordered_versions()[-1] == "3"


def test_restarted_sidecar_reports_the_loaded_version(start_order_group, start_sidecar):
    """A sidecar is replaced after an order. Its settings still name the version that the engine was
    started with, but it must report the loaded one, and the next order must reach the engine.
    """
    group = start_order_group("one")
    one = start_sidecar(group, "s1")
    group.wait_until(lambda: one.serves_version("1"))
    set_version(group, "2")
    group.wait_until(lambda: one.serves_version("2"))
    one.stop()
    set_version(group, "3")
    one.start()
    assert one.role._sidecar_by_server["s1"].record().loaded == {"m": "2"}
    group.wait_until(lambda: one.serves_version("3"))
    assert one.ordered_versions() == ["2", "3"]


def test_sidecar_serves_the_loaded_model_instead_of_its_settings(start_order_group, start_sidecar):
    """An engine was switched to another model before its sidecar was replaced. If the sidecar used
    its settings, calls of the first model would be sent to an engine without it.
    """
    group = start_order_group("one")
    one = start_sidecar(group, "s1")
    one.stop()
    one.fake.loaded = {"n": "1"}
    one.start()
    group.wait_until(lambda: one.announced() is not None and one.announced().serves == ["n"])


def test_order_with_lost_response_is_not_repeated(start_order_group, start_sidecar):
    """An engine loads a version but its response is lost. Loading the weights again would take the
    engine out of service for another minute.
    """
    group = start_order_group("one")
    one = start_sidecar(group, "s1")
    group.wait_until(lambda: one.serves_version("1"))
    one.fake.faults.add(Fault(FaultKind.HANG, match='"version": "2"'))
    set_version(group, "2")
    group.wait_until(lambda: one.serves_version("2"))
    eventlet.sleep(1.0)
    assert one.ordered_versions() == ["2"]


def test_resent_order_keeps_its_id_and_is_applied_once(
    start_order_group, start_sidecar, monkeypatch
):
    """Loading takes longer than the leader's response timeout. If each resend were a new order, the
    weights would be loaded again.
    """
    monkeypatch.setattr(_order_sender, "RESPONSE_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(_backend, "ORDER_TIMEOUT_SECONDS", 3.0)
    received_ids = []
    handle_order = Sidecars.on_order

    def on_order(role: Sidecars, link, order: EngineOrder):
        received_ids.append(order.order_id)
        return handle_order(role, link, order)

    monkeypatch.setattr(Sidecars, "on_order", on_order)
    group = start_order_group("one")
    one = start_sidecar(group, "s1")
    group.wait_until(lambda: one.serves_version("1"))
    one.fake.faults.add(Fault(FaultKind.LATE, match='"version": "2"', seconds=1.0))
    set_version(group, "2")
    group.wait_until(lambda: one.serves_version("2"))
    eventlet.sleep(1.0)
    assert (len(one.fake.orders), len(set(received_ids))) == (1, 1)
    assert len(received_ids) > 1
    events = group.context_by_name["one"].timeline.find(QueryTimeline()).events
    outcomes = [event.fields["outcome"] for event in events if event.kind == "control_order"]
    assert outcomes == ["done"]


def test_concurrent_version_changes_apply_one_of_them(start_order_group, start_sidecar):
    """Two operators concurrently put different versions in force through two members. One of them
    gets a conflict, and no engine may load the rejected version.
    """
    group = start_order_group(*THREE)
    one = start_sidecar(group, "s1")
    group.wait_until(lambda: one.serves_version("1"))
    member_by_version = {"2": "one", "3": "two"}
    threads = {
        version: eventlet.spawn(set_version, group, version, 0, name)
        for version, name in member_by_version.items()
    }
    status_by_version = {version: thread.wait() for version, thread in threads.items()}
    assert sorted(status_by_version.values()) == [200, 409]
    accepted = next(version for version, status in status_by_version.items() if status == 200)
    group.wait_until(lambda: one.serves_version(accepted))
    assert one.ordered_versions() == [accepted]
