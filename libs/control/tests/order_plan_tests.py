"""The next order of each engine, planned from the models that engines report as loaded."""

from __future__ import annotations

from dataclasses import replace

from tarragonhall_control._order_plan import Engines, OrderPlan, model_servers
from tarragonhall_model import EntryRecord, ModelPolicy, NodeLoad, ServerKind, ServerRecord

ENTRY = EntryRecord("e", "1", "127.0.0.1:1", "z")


def engine(name: str, model: str, version: str) -> ServerRecord:
    return ServerRecord(
        name, "1", f"a-{name}", "z", ServerKind.MODEL, [model], loaded={model: version}
    )


def apply_order(server: ServerRecord, step) -> ServerRecord:
    """Return what a sidecar announces after an order was applied."""
    serves, loaded = set(server.serves), dict(server.loaded)
    if step.action == "unload":
        serves.discard(step.model)
        loaded.pop(step.model, None)
    else:
        serves.add(step.model)
        loaded[step.model] = step.version
    return replace(server, serves=sorted(serves), loaded=loaded)


def test_new_version_is_loaded_one_server_at_a_time():
    """If all servers loaded a new version at once, every call would wait while weights load."""
    by_id = model_servers([engine(name, "m", "1") for name in "abc"])
    plan, models, orders = OrderPlan(), [ModelPolicy("m", "2", 2)], []
    for second in range(10):
        for step in plan.next_steps(models, Engines(by_id), float(second)):
            in_flight = {step.server.server_id: "m"}
            unserved = by_id | {step.server.server_id: replace(step.server, serves=[])}
            assert not plan.next_steps(models, Engines(unserved, in_flight), second + 0.5)
            orders.append(step.server.server_id)
            by_id[step.server.server_id] = apply_order(step.server, step)
    assert orders == ["a", "b", "c"]
    assert {server.loaded["m"] for server in by_id.values()} == {"2"}


def test_version_is_held_while_no_replica_can_be_spared():
    """A model has only its minimum of replicas. Loading a version on them would leave its calls
    without a server, so the change is held and reported as held. A server of the model that is not
    ready loads it at once.
    """
    by_id = model_servers([engine("a", "m", "1")])
    plan, models = OrderPlan(), [ModelPolicy("m", "2", 1)]
    assert not plan.next_steps(models, Engines(by_id), 0.0)
    assert plan.held_models == {"m"}
    by_id["b"] = replace(engine("b", "m", "1"), loaded={})
    (step,) = plan.next_steps(models, Engines(by_id), 1.0)
    assert (step.server.server_id, step.version) == ("b", "2")
    by_id["b"] = apply_order(step.server, step)
    (step,) = plan.next_steps(models, Engines(by_id), 2.0)
    assert step.server.server_id == "a"


def test_late_effect_of_an_old_order_is_corrected():
    """An engine that ignores fencing numbers applies an order of the former leader minutes late.
    Without another order it would serve the old version for good.
    """
    by_id = model_servers([engine("a", "m", "2"), engine("b", "m", "2")])
    plan, models = OrderPlan(), [ModelPolicy("m", "2", 1)]
    assert not plan.next_steps(models, Engines(by_id), 0.0)
    by_id["b"] = engine("b", "m", "1")
    (step,) = plan.next_steps(models, Engines(by_id), 1.0)
    assert (step.server.server_id, step.action, step.version) == ("b", "load_model", "2")


def test_lasting_demand_switches_an_idle_engine():
    """The demand moves from one model to another. Without a switch, calls of the second would wait
    while engines of the first are idle.
    """
    by_id = model_servers([engine("a", "m", "1"), engine("b", "m", "1"), engine("c", "n", "1")])
    plan, models, orders = OrderPlan(), [ModelPolicy("m", "1"), ModelPolicy("n", "1")], []
    for second in range(20):
        plan.record_load(ENTRY, NodeLoad({"n": 30.0}), float(second))
        for name, server in by_id.items():
            plan.record_load(
                server, NodeLoad(busy_share=1.0 if name == "c" else 0.0), float(second)
            )
        for step in plan.next_steps(models, Engines(by_id), float(second)):
            orders.append((step.server.server_id, step.action, step.model))
            by_id[step.server.server_id] = apply_order(step.server, step)
    assert orders == [("a", "unload", "m"), ("a", "load_model", "n")]


def test_engine_of_unmanaged_model_is_not_switched():
    """A model without a version in force has one engine, which still serves calls. Switching it to
    another model would fail those calls.
    """
    by_id = model_servers([engine("a", "other", "1")])
    assert not OrderPlan().next_steps([ModelPolicy("m", "1")], Engines(by_id), 0.0)
